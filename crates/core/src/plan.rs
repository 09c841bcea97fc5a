//! Selection of a chain of engines, or of an endpoint of a plain service, for each request.
//!
//! A chain covers every layer of a model once. Its cost is the estimated time of the whole answer:
//! the time to the first token, and the time between tokens for the expected length. The estimate
//! uses the configuration, load reports (corrected by this entry's later dispatches), observed step
//! and link times, and prefix-cache hints. Only a random sample of each layer range's endpoints is
//! compared, so that many entries with the same stale reports do not all pick the same endpoint.
//!
//! - [`Query`], [`Choice`], [`Unplanned`]: what is asked of a [`Planner`], and its answers.
//! - [`node`]: what is known of one endpoint.
//! - [`link`]: latency of links between hosts.
//! - [`search`]: the shortest path over the sampled endpoints.

mod choice;
pub mod link;
pub mod node;
pub mod search;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::config::{Config, Endpoint, Kind};
use crate::estimate::Rng;
use crate::membership::Eligibility;
use crate::message::{Hop, Load, Stage};
use crate::name;
use crate::report_interval::Intervals;
use crate::time::{Instant, as_us};
use node::{Node, Speed};
use search::Graph;

pub use choice::{Candidate, Choice, Query, Unplanned};

slotmap::new_key_type! {
    /// Key of an endpoint within a [`Planner`].
    pub struct Key;
}

/// Bytes of activations that a stage sends to the next one for each token.
const ACTIVATION_BYTES: f64 = 8192.0;

/// Time recorded for a link over which nothing came through, in microseconds.
const FAILED_LINK_US: f64 = 1_000_000.0;

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
            let speed = Speed::new(&endpoint.kind);
            let mut node = Node::new(stage(name, endpoint), location, speed);
            node.report_ttl = ttl;
            if let Some(old) = old_names.get(name).and_then(|key| old.remove(*key)) {
                node.inherit(&old);
            }
            node.draining = endpoint.drain;
            let key = self.nodes.insert(node);
            self.names.insert(name.clone(), key);
            match &endpoint.kind {
                Kind::Engine { model, first_layer, end_layer, .. } => {
                    let Some(settings) = config.models.get(model) else { continue };
                    let graph = self.graphs.entry(model.clone());
                    let graph = graph.or_insert_with(|| Graph::new(settings));
                    graph.insert(*first_layer, *end_layer, key);
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
        let graph = self.graphs.get(model).ok_or_else(Unplanned::no_chain)?;
        let mut rng = Rng::new(query.random);
        let sampled = graph.search(self, now, query, Some(&mut rng));
        let best = match &sampled {
            Some(path) if path.meets_deadline(query) => sampled,
            // Compares all endpoints before refusing a request.
            _ => graph.search(self, now, query, None),
        };
        let path = best.ok_or_else(Unplanned::no_chain)?;
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
        let members = self.services.get(service).ok_or_else(Unplanned::no_chain)?;
        let mut rng = Rng::new(query.random);
        let path = search::choose_service(self, now, query, members, &mut rng)
            .ok_or_else(Unplanned::no_chain)?;
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
}

/// Returns the stage that an endpoint can serve; that of a plain service has no layers.
fn stage(name: &name::Endpoint, endpoint: &Endpoint) -> Stage {
    let (first, end) = match &endpoint.kind {
        Kind::Engine { first_layer, end_layer, .. } => (*first_layer, *end_layer),
        Kind::Service { .. } => (0, 0),
    };
    Stage {
        endpoint: name.clone(),
        host: endpoint.host.clone(),
        address: endpoint.side,
        first,
        end,
    }
}
