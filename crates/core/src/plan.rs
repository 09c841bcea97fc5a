//! Choice of chains of model engines and of plain services' endpoints.
//!
//! A chain covers every layer of a model once. Its cost is the estimated time to the first token
//! plus the time between tokens for the expected length of the answer, from the configuration,
//! load reports (corrected by own dispatches since), observed step times and links, and hints of
//! prefix caches. Only a few random endpoints of each layer range compete, so that many entries
//! with the same late reports do not all pick the same endpoint.
//!
//! - [`node`]: one endpoint's state.
//! - [`link`]: links between hosts.
//! - [`search`]: the shortest path over the endpoints that compete.

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
use crate::membership::Standing;
use crate::message::{Hop, Load, Stage};
use crate::name;
use crate::report_interval::Intervals;
use crate::request::{Refusal, Refused};
use crate::time::{Instant, as_us};
use node::{Node, Speed};
use search::{Graph, Path};

slotmap::new_key_type! {
    /// An endpoint in a planner.
    pub struct Key;
}

/// Bytes of activation of one token that pass between stages.
const ACTIVATION_BYTES: f64 = 8192.0;

/// Time that a link counts as taking after nothing came through, in microseconds.
const CUT_US: f64 = 1_000_000.0;

/// What a chain or an endpoint is to be chosen for.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Tokens to run before the next one is sampled.
    pub prompt_tokens: u32,
    /// Tokens of answer that are expected.
    pub answer_tokens: u32,
    /// Time left until the deadline.
    pub left: Duration,
    /// Hashes of the prompt's prefixes with their lengths, longest first.
    pub prefixes: &'a [(u64, u32)],
    /// Endpoints not to be used unless nothing else can be.
    pub avoid: &'a BTreeSet<name::Endpoint>,
    /// Endpoints that compete in any case.
    pub keep: &'a BTreeSet<name::Endpoint>,
    /// A random number.
    pub random: u64,
}

/// A chain that was chosen, and from what.
#[data]
pub struct Choice {
    /// The stages in layer order.
    pub chain: Vec<Stage>,
    /// Estimated microseconds to the first token.
    pub first_us: u64,
    /// Estimated microseconds between tokens.
    pub token_us: u64,
    /// The endpoints that competed.
    pub candidates: Vec<Candidate>,
}

/// An endpoint that competed.
#[data]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Estimated microseconds there for the whole request, without links.
    pub cost_us: u64,
    /// Sequences there, as estimated.
    pub sequences: u32,
    /// Tokens that wait there, as estimated.
    pub queued: u32,
    /// Tokens of the prompt that it is thought to have cached.
    pub cached: u32,
    /// Whether it was chosen.
    pub chosen: bool,
}

/// Why no chain was chosen.
#[data]
pub struct Unplanned {
    /// The refusal.
    pub refused: Refused,
    /// Estimated microseconds of the best chain, if there was one.
    pub estimate_us: Option<u64>,
    /// The endpoints that competed.
    pub candidates: Vec<Candidate>,
}

/// The state from which one entry chooses.
#[derive(Clone, Debug)]
pub struct Planner {
    host: name::Host,
    zone: name::Zone,
    origin: link::Node,
    links: link::Links,
    nodes: SlotMap<Key, Node>,
    names: BTreeMap<name::Endpoint, Key>,
    graphs: BTreeMap<name::Model, Graph>,
    services: BTreeMap<name::Service, Vec<Key>>,
}

impl Planner {
    /// A planner of the entry on `host` in `zone`, without endpoints.
    pub fn new(host: name::Host, zone: name::Zone) -> Self {
        let mut links = link::Links::default();
        let origin = links.node(&host, &zone);
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

    /// Takes over a configuration; what was learned of endpoints that remain is kept.
    pub fn configure(&mut self, config: &Config) {
        self.links.configure(&config.links);
        if let Some(entry) = config.entries.get(&self.host) {
            self.zone = entry.zone.clone();
        }
        self.origin = self.links.node(&self.host, &self.zone);
        let life = Intervals::new(config.endpoints.len()).lifetime;
        let mut old = std::mem::take(&mut self.nodes);
        let old_names = std::mem::take(&mut self.names);
        self.graphs.clear();
        self.services.clear();
        for (name, endpoint) in &config.endpoints {
            let place = self.links.node(&endpoint.host, &endpoint.zone);
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
            let mut node = Node::new(stage, place, Speed::new(&endpoint.kind));
            node.report_life = life;
            if let Some(old) = old_names.get(name).and_then(|key| old.remove(*key)) {
                node.inherit(&old);
            }
            node.leaving = endpoint.drain;
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

    /// Chooses a chain for `model`.
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
            Some(path) if path.meets(query) => sampled,
            // Before a refusal, every endpoint competes.
            _ => graph.search(self, now, query, None),
        };
        let path = best.ok_or_else(no_chain)?;
        if !path.meets(query) {
            return Err(self.late(now, query, &path));
        }
        Ok(self.choice(now, query, &path))
    }

    /// Chooses an endpoint of a plain service: the better of two random ones.
    pub fn choose_service(
        &self,
        now: Instant,
        service: &name::Service,
        query: &Query<'_>,
    ) -> Result<Choice, Unplanned> {
        let members = self.services.get(service).ok_or_else(no_chain)?;
        let mut rng = Rng::new(query.random);
        let path = search::pick(self, now, query, members, &mut rng).ok_or_else(no_chain)?;
        if !path.meets(query) {
            return Err(self.late(now, query, &path));
        }
        Ok(self.choice(now, query, &path))
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: Instant, load: &Load) {
        if let Some(node) = self.node_mut(&load.endpoint) {
            node.report(now, load);
        }
    }

    /// Counts a request that was sent to `chain`.
    pub fn dispatch(&mut self, now: Instant, chain: &[Stage], tokens: u32) {
        for stage in chain {
            if let Some(node) = self.node_mut(&stage.endpoint) {
                node.dispatch(now, tokens);
            }
        }
    }

    /// Ends the count of a request that was sent to `chain`.
    pub fn finish(&mut self, chain: &[Stage]) {
        for stage in chain {
            if let Some(node) = self.node_mut(&stage.endpoint) {
                node.finish();
            }
        }
    }

    /// Learns from one decode step over `chain` that took `total`, door to door.
    pub fn observe(&mut self, now: Instant, chain: &[Stage], hops: &[Hop], total: Duration) {
        if hops.len() != chain.len() {
            return;
        }
        let mut path = vec![self.origin];
        let mut busy_us = 0.0;
        for (stage, hop) in chain.iter().zip(hops) {
            let Some(node) = self.node_mut(&stage.endpoint) else { return };
            node.observe(now, *hop);
            path.push(node.place);
            busy_us += f64::from(hop.queue_us) + f64::from(hop.run_us);
        }
        path.push(self.origin);
        let network_us = (as_us(total) as f64 - busy_us).max(0.0);
        self.links.observe(now, &path, ACTIVATION_BYTES, network_us);
    }

    /// Learns from a call of a plain service that took `total`, door to door.
    pub fn observe_call(&mut self, now: Instant, endpoint: &name::Endpoint, total: Duration) {
        let run_us = u32::try_from(as_us(total)).unwrap_or(u32::MAX);
        if let Some(node) = self.node_mut(endpoint) {
            node.observe(now, Hop { queue_us: 0, run_us, batch: 1 });
        }
    }

    /// Takes an endpoint as closed until its side reports otherwise.
    pub fn close(&mut self, now: Instant, endpoint: &name::Endpoint) {
        if let Some(node) = self.node_mut(endpoint) {
            node.close(now);
        }
    }

    /// Takes the link after stage `stage` of `chain` as degraded: nothing came through.
    pub fn cut(&mut self, now: Instant, chain: &[Stage], stage: u16) {
        let stages = chain.iter().skip(usize::from(stage)).take(2);
        let path: Vec<link::Node> =
            stages.filter_map(|s| self.node(&s.endpoint)).map(|node| node.place).collect();
        self.links.observe(now, &path, 0.0, CUT_US);
    }

    /// Keeps new work off an endpoint until then, if there is another one.
    pub fn suspect(&mut self, endpoint: &name::Endpoint, until: Instant) {
        if let Some(node) = self.node_mut(endpoint) {
            node.suspect_until = node.suspect_until.max(until);
        }
    }

    /// Keeps new work off the endpoints of a host that cannot be reached until then.
    pub fn lose(&mut self, host: &name::Host, until: Instant) {
        for node in self.nodes.values_mut().filter(|node| node.stage.host == *host) {
            node.lost_until = until;
        }
    }

    /// Ends [`Planner::lose`]: the host was heard again.
    pub fn find(&mut self, host: &name::Host) {
        self.lose(host, Instant::default());
    }

    /// Sets what an endpoint may be given, by the host list and by what is seen of its host.
    pub fn judge(&mut self, endpoint: &name::Endpoint, standing: Standing) {
        if let Some(node) = self.node_mut(endpoint) {
            node.standing = standing;
        }
    }

    /// Where the side of `host` listens.
    pub fn address(&self, host: &name::Host) -> Option<SocketAddr> {
        let mut nodes = self.nodes.values();
        nodes.find(|node| node.stage.host == *host).map(|node| node.stage.address)
    }

    /// Estimated microseconds of one step over `chain` as it is loaded now; `tokens` is 1 for a
    /// decode step and the length of the chunk for a part of a prompt.
    pub fn step_us(&self, now: Instant, chain: &[Stage], tokens: u32) -> u64 {
        let mut from = self.origin;
        let mut sum = 0.0;
        for stage in chain {
            let Some(node) = self.node(&stage.endpoint) else { continue };
            let bytes = ACTIVATION_BYTES * f64::from(tokens);
            sum += self.links.estimate(now, from, node.place, bytes);
            sum += match tokens {
                0 | 1 => node.token_us(now),
                _ => node.prompt_us(now, tokens, 1.0),
            };
            from = node.place;
        }
        sum += self.links.estimate(now, from, self.origin, 0.0);
        sum as u64
    }

    /// Links that are now well over their configured latency.
    pub fn degraded(&self, now: Instant) -> Vec<link::Degraded> {
        self.links.degraded(now)
    }

    /// Drops observations that have faded.
    pub fn forget(&mut self, now: Instant) {
        self.links.forget(now);
    }

    /// One endpoint's state.
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

    fn late(&self, now: Instant, query: &Query<'_>, path: &Path) -> Unplanned {
        let over_us = path.total_us(query) - as_us(query.left) as f64;
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
        path.compared.iter().filter_map(candidate).collect()
    }
}

fn no_chain() -> Unplanned {
    let refused = crate::message::not_run(Refusal::NoChain, None);
    Unplanned { refused, estimate_us: None, candidates: Vec::new() }
}
