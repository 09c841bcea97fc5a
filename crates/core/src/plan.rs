//! Selection of a chain of engines, or of an endpoint of a plain service, for each request.
//!
//! A chain covers every layer of a model once. Its cost is the estimated time of the whole answer:
//! the time to the first token, and the time between tokens for the expected length. The estimate
//! uses the configuration, load reports (corrected by this entry's later dispatches), observed step
//! and link times, and prefix-cache hints. Only a random sample of each layer range's endpoints is
//! compared, so that many entries with the same stale reports do not all pick the same endpoint.
//!
//! - [`node`]: what is known of one endpoint.
//! - [`link`]: latency of links between hosts.
//! - [`search`]: the shortest path over the sampled endpoints.

pub mod link;
pub mod node;
pub mod search;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use oriole_macros::data;
use slotmap::SlotMap;

use crate::config::{Config, Kind};
use crate::estimate::Rng;
use crate::membership::Eligibility;
use crate::message::{Hop, Load, Stage};
use crate::name;
use crate::report_interval::Intervals;
use crate::request::{Refusal, Refused};
use crate::time::{Instant, as_us};
use node::{Node, Speed};
use search::{Graph, Path};

slotmap::new_key_type! {
    /// Key of an endpoint within a [`Planner`].
    pub struct Key;
}

/// Bytes of activations that a stage sends to the next one for each token.
const ACTIVATION_BYTES: f64 = 8192.0;

/// Time recorded for a link over which nothing came through, in microseconds.
const FAILED_LINK_US: f64 = 1_000_000.0;

/// The request for which a chain or an endpoint is chosen.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Tokens to prefill before the next one is decoded.
    pub prompt_tokens: u32,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Hashes of the prompt's prefixes with their lengths in tokens, longest first.
    pub prefixes: &'a [(u64, u32)],
    /// Endpoints that are used only if there are no others.
    pub avoid: &'a BTreeSet<name::Endpoint>,
    /// Endpoints that are always compared, whether sampled or not.
    pub include: &'a BTreeSet<name::Endpoint>,
    /// Random number from which the sample is drawn.
    pub random: u64,
}

/// A chosen chain, and the endpoints among which it was chosen.
#[data]
pub struct Choice {
    /// The stages in layer order.
    pub chain: Vec<Stage>,
    /// Estimated microseconds to the first token.
    pub first_us: u64,
    /// Estimated microseconds between tokens.
    pub token_us: u64,
    /// The endpoints that were compared.
    pub candidates: Vec<Candidate>,
}

/// An endpoint that was compared with others.
#[data]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Estimated microseconds of the whole request there; links included for plain services only.
    pub cost_us: u64,
    /// Estimated number of sequences in progress at the endpoint.
    pub sequences: u32,
    /// Estimated number of tokens queued at the endpoint.
    pub queued: u32,
    /// Tokens of the prompt that are in its prefix cache, according to hints.
    pub cached: u32,
    /// Whether it was chosen.
    pub chosen: bool,
}

/// Why no chain was chosen.
#[data]
pub struct Unplanned {
    /// The refusal.
    pub refused: Refused,
    /// Estimated microseconds of the best chain, or `None` if there was no chain.
    pub estimate_us: Option<u64>,
    /// The endpoints that were compared.
    pub candidates: Vec<Candidate>,
}

/// What one entry knows of endpoints and links, and chooses from.
#[derive(Clone, Debug)]
pub struct Planner {
    host: name::Host,
    zone: name::Zone,
    origin: link::Location,
    links: link::Links,
    nodes: SlotMap<Key, Node>,
    names: BTreeMap<name::Endpoint, Key>,
    graphs: BTreeMap<name::Model, Graph>,
    services: BTreeMap<name::Service, Vec<Key>>,
}

impl Planner {
    /// Creates a planner without endpoints for the entry on `host` in `zone`.
    pub fn new(host: name::Host, zone: name::Zone) -> Self {
        let mut links = link::Links::default();
        let origin = links.location(&host, &zone);
        Self {
            host,
            zone,
            origin,
            links,
            nodes: SlotMap::with_key(),
            names: BTreeMap::new(),
            graphs: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Applies a configuration, and keeps what was learned about endpoints that remain in it.
    pub fn configure(&mut self, config: &Config) {
        self.links.configure(&config.links);
        if let Some(entry) = config.entries.get(&self.host) {
            self.zone = entry.zone.clone();
        }
        self.origin = self.links.location(&self.host, &self.zone);
        let ttl = Intervals::new(config.endpoints.len()).lifetime;
        let mut old = std::mem::take(&mut self.nodes);
        let old_names = std::mem::take(&mut self.names);
        self.graphs.clear();
        self.services.clear();
        for (name, endpoint) in &config.endpoints {
            let location = self.links.location(&endpoint.host, &endpoint.zone);
            let (first, end) = match &endpoint.kind {
                Kind::Engine { first_layer, end_layer, .. } => (*first_layer, *end_layer),
                Kind::Service { .. } => (0, 0),
            };
            let stage = Stage {
                endpoint: name.clone(),
                host: endpoint.host.clone(),
                address: endpoint.side,
                first,
                end,
            };
            let mut node = Node::new(stage, location, Speed::new(&endpoint.kind));
            node.report_ttl = ttl;
            if let Some(old) = old_names.get(name).and_then(|key| old.remove(*key)) {
                node.inherit(&old);
            }
            node.draining = endpoint.drain;
            let key = self.nodes.insert(node);
            self.names.insert(name.clone(), key);
            match &endpoint.kind {
                Kind::Engine { model, .. } => {
                    let Some(settings) = config.models.get(model) else { continue };
                    let graph = self.graphs.entry(model.clone());
                    graph.or_insert_with(|| Graph::new(settings)).insert(first, end, key);
                }
                Kind::Service { service, .. } => {
                    self.services.entry(service.clone()).or_default().push(key);
                }
            }
        }
    }

    /// Chooses a chain for `model`; fails if there is none, or none that meets the deadline.
    pub fn choose(
        &self,
        now: Instant,
        model: &name::Model,
        query: &Query<'_>,
    ) -> Result<Choice, Unplanned> {
        let graph = self.graphs.get(model).ok_or_else(no_chain)?;
        let mut rng = Rng::new(query.random);
        let sampled = graph.search(self, now, query, Some(&mut rng));
        let best = match &sampled {
            Some(path) if path.meets_deadline(query) => sampled,
            // Compares all endpoints before refusing a request.
            _ => graph.search(self, now, query, None),
        };
        let path = best.ok_or_else(no_chain)?;
        if !path.meets_deadline(query) {
            return Err(self.deadline_refusal(now, query, &path));
        }
        Ok(self.choice(now, query, &path))
    }

    /// Chooses an endpoint of a plain service: the best of a random sample.
    pub fn choose_service(
        &self,
        now: Instant,
        service: &name::Service,
        query: &Query<'_>,
    ) -> Result<Choice, Unplanned> {
        let members = self.services.get(service).ok_or_else(no_chain)?;
        let mut rng = Rng::new(query.random);
        let path =
            search::choose_service(self, now, query, members, &mut rng).ok_or_else(no_chain)?;
        if !path.meets_deadline(query) {
            return Err(self.deadline_refusal(now, query, &path));
        }
        Ok(self.choice(now, query, &path))
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Instant, load: &Load) {
        if let Some(node) = self.node_mut(&load.endpoint) {
            node.record_load(now, load);
        }
    }

    /// Records that a request with `tokens` tokens to prefill was sent to `chain`.
    pub fn record_dispatch(&mut self, now: Instant, chain: &[Stage], tokens: u32) {
        for stage in chain {
            if let Some(node) = self.node_mut(&stage.endpoint) {
                node.record_dispatch(now, tokens);
            }
        }
    }

    /// Records that a request to `chain` has ended.
    pub fn record_finish(&mut self, chain: &[Stage]) {
        for stage in chain {
            if let Some(node) = self.node_mut(&stage.endpoint) {
                node.record_finish();
            }
        }
    }

    /// Records the timing of a decode step over `chain` that took `total`, network included.
    pub fn observe_step(&mut self, now: Instant, chain: &[Stage], hops: &[Hop], total: Duration) {
        if hops.len() != chain.len() {
            return;
        }
        let mut path = vec![self.origin];
        let mut busy_us = 0.0;
        for (stage, hop) in chain.iter().zip(hops) {
            let Some(node) = self.node_mut(&stage.endpoint) else { return };
            node.observe_step(now, *hop);
            path.push(node.location);
            busy_us += f64::from(hop.queue_us) + f64::from(hop.run_us);
        }
        path.push(self.origin);
        let network_us = (as_us(total) as f64 - busy_us).max(0.0);
        self.links.observe(now, &path, ACTIVATION_BYTES, network_us);
    }

    /// Records the timing of a plain service's call that took `total`, network included.
    pub fn observe_call(&mut self, now: Instant, endpoint: &name::Endpoint, total: Duration) {
        let run_us = u32::try_from(as_us(total)).unwrap_or(u32::MAX);
        if let Some(node) = self.node_mut(endpoint) {
            node.observe_step(now, Hop { queue_us: 0, run_us, batch: 1 });
        }
    }

    /// Treats an endpoint as closed until its side reports otherwise.
    pub fn mark_closed(&mut self, now: Instant, endpoint: &name::Endpoint) {
        if let Some(node) = self.node_mut(endpoint) {
            node.mark_closed(now);
        }
    }

    /// Marks the link after stage `stage` of `chain` as degraded, because nothing came through.
    pub fn record_link_failure(&mut self, now: Instant, chain: &[Stage], stage: u16) {
        let stages = chain.iter().skip(usize::from(stage)).take(2);
        let path: Vec<link::Location> =
            stages.filter_map(|s| self.node(&s.endpoint)).map(|node| node.location).collect();
        self.links.observe(now, &path, 0.0, FAILED_LINK_US);
    }

    /// Keeps new work off an endpoint until `until` if there are other endpoints.
    pub fn mark_suspected(&mut self, endpoint: &name::Endpoint, until: Instant) {
        if let Some(node) = self.node_mut(endpoint) {
            node.suspect_until = node.suspect_until.max(until);
        }
    }

    /// Keeps new work off all endpoints of an unreachable host until `until`.
    pub fn mark_unreachable(&mut self, host: &name::Host, until: Instant) {
        for node in self.nodes.values_mut().filter(|node| node.stage.host == *host) {
            node.unreachable_until = until;
        }
    }

    /// Reverts [`Planner::mark_unreachable`] after a message from the host.
    pub fn mark_reachable(&mut self, host: &name::Host) {
        self.mark_unreachable(host, Instant::default());
    }

    /// Sets what work an endpoint may get, according to the state of its host.
    pub fn set_eligibility(&mut self, endpoint: &name::Endpoint, eligibility: Eligibility) {
        if let Some(node) = self.node_mut(endpoint) {
            node.eligibility = eligibility;
        }
    }

    /// Returns the address of the side on `host`, or `None` if no endpoint is configured there.
    pub fn address(&self, host: &name::Host) -> Option<SocketAddr> {
        let mut nodes = self.nodes.values();
        nodes.find(|node| node.stage.host == *host).map(|node| node.stage.address)
    }

    /// Estimates the microseconds of one step over `chain` at its present load; `tokens` is 1 for a
    /// decode step and the length of the chunk for a prefill step.
    pub fn step_us(&self, now: Instant, chain: &[Stage], tokens: u32) -> u64 {
        let mut from = self.origin;
        let mut sum = 0.0;
        for stage in chain {
            let Some(node) = self.node(&stage.endpoint) else { continue };
            let bytes = ACTIVATION_BYTES * f64::from(tokens);
            sum += self.links.estimate(now, from, node.location, bytes);
            sum += match tokens {
                0 | 1 => node.token_us(now),
                _ => node.prompt_us(now, tokens, 1.0),
            };
            from = node.location;
        }
        sum += self.links.estimate(now, from, self.origin, 0.0);
        sum as u64
    }

    /// Returns the links whose observed time is well over their configured latency.
    pub fn degraded(&self, now: Instant) -> Vec<link::Degraded> {
        self.links.degraded(now)
    }

    /// Drops link observations that have decayed to almost nothing.
    pub fn prune(&mut self, now: Instant) {
        self.links.prune(now);
    }

    /// Returns the state of an endpoint, or `None` if it is not configured.
    pub fn node(&self, endpoint: &name::Endpoint) -> Option<&Node> {
        self.nodes.get(*self.names.get(endpoint)?)
    }

    fn node_mut(&mut self, endpoint: &name::Endpoint) -> Option<&mut Node> {
        self.nodes.get_mut(*self.names.get(endpoint)?)
    }

    fn choice(&self, now: Instant, query: &Query<'_>, path: &Path) -> Choice {
        Choice {
            chain: self.stages(&path.keys),
            first_us: path.first_us as u64,
            token_us: path.token_us as u64,
            candidates: self.candidates(now, query, path),
        }
    }

    fn deadline_refusal(&self, now: Instant, query: &Query<'_>, path: &Path) -> Unplanned {
        let over_us = path.total_us(query) - as_us(query.time_left) as f64;
        let retry_after_ms = Some((over_us / 1000.0).ceil() as u64);
        Unplanned {
            refused: crate::message::not_run(Refusal::Deadline, retry_after_ms),
            estimate_us: Some(path.total_us(query) as u64),
            candidates: self.candidates(now, query, path),
        }
    }

    fn stages(&self, keys: &[Key]) -> Vec<Stage> {
        keys.iter().filter_map(|key| self.nodes.get(*key)).map(|node| node.stage.clone()).collect()
    }

    fn candidates(&self, now: Instant, query: &Query<'_>, path: &Path) -> Vec<Candidate> {
        let candidate = |(key, cost_us): &(Key, f64)| {
            let node = self.nodes.get(*key)?;
            Some(Candidate {
                endpoint: node.name().clone(),
                cost_us: *cost_us as u64,
                sequences: node.sequences(now),
                queued: node.queued(now),
                cached: node.cached(query.prefixes),
                chosen: path.keys.contains(key),
            })
        };
        path.candidates.iter().filter_map(candidate).collect()
    }
}

fn no_chain() -> Unplanned {
    let refused = crate::message::not_run(Refusal::NoChain, None);
    Unplanned { refused, estimate_us: None, candidates: Vec::new() }
}
