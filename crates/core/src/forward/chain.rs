//! Chains that are usable now, and the choice among them.
//!
//! Load pattern: demand close to the capacity of the chains, unevenly spread over entries and
//! availability zones. Each request goes to the chain whose answer is estimated to complete first,
//! and only if the stage with the least free memory can hold it: evicting a sequence from an
//! engine's KV cache costs more than queueing a request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Need;
use super::in_flight::{Sum, Tracker, Work};
use crate::fleet::{Endpoint, Incarnation, View};
use crate::placement::estimate::{self, Assignment, Cost};
use crate::placement::{Accelerator, Chain as PlannedChain, Model, Plan, Range};
use crate::time::Instant;
use crate::{name, route};

/// Fraction of free memory that is assigned; the rest covers answers that are longer than expected.
const MAX_ROOM_FRACTION: f64 = 0.95;

/// Fraction of the route's longest allowed pause that the estimated pause may take.
const MAX_PAUSE_FRACTION: f64 = 0.6;

/// Fraction of the route's objective within which the first event is estimated to arrive.
const FIRST_EVENT_FRACTION: f64 = 0.7;

/// Multiple of the objective within which the first event must arrive if a late answer is
/// accepted; callers disconnect soon after.
const LATE_FIRST_EVENT_FACTOR: f64 = 2.0;

/// Cost of a chain that starts in another availability zone.
const OTHER_ZONE_COST_MS: f64 = 800.0;

/// Weight of the transfer between availability zones, which delays all other chains that cross.
const CROSSING_WEIGHT: f64 = 50.0;

/// One stage of a usable chain, as requests address it.
#[derive(Clone, Debug, PartialEq)]
pub struct Hop {
    /// The endpoint that runs the stage.
    pub endpoint: name::Endpoint,
    /// Start time of the endpoint, which identifies its incarnation; Unix time in milliseconds.
    pub born: u64,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: name::Zone,
    /// The layers that the stage runs, which may be a subset of those that the endpoint holds.
    pub layers: Range,
    /// Memory of the endpoint that its layers leave free, in bytes.
    pub free: f64,
}

impl Hop {
    /// Returns the incarnation of the endpoint that this hop refers to.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { endpoint: self.endpoint.clone(), born: self.born }
    }
}

/// A chain whose stages all hold their layers and accept work.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// First endpoint of the planned chain. Work in progress is counted under this key, also while
    /// another endpoint replaces the first one.
    pub key: name::Endpoint,
    /// The stages in order of layers; never empty.
    pub hops: Vec<Hop>,
    /// Availability zone of the first endpoint of the planned chain that is listed.
    pub zone: name::Zone,
    cost: Cost,
    /// Tokens that the stage with the least free memory can hold, if no other chain uses it.
    room: f64,
    /// Whether another chain uses one of the endpoints.
    is_shared: bool,
}

impl Chain {
    /// Returns the first endpoint, to which requests are sent.
    pub fn head(&self) -> &name::Endpoint {
        &self.hops[0].endpoint
    }

    /// Returns how many times the chain crosses from one availability zone to another.
    pub fn crossings(&self) -> usize {
        self.hops.windows(2).filter(|pair| pair[0].zone != pair[1].zone).count()
    }

    /// Formats the endpoints with their layers for logs.
    pub fn path(&self) -> String {
        let hop = |h: &Hop| format!("{}={}-{}", h.endpoint, h.layers.first, h.layers.end);
        self.hops.iter().map(hop).collect::<Vec<_>>().join(",")
    }

    /// Estimates the time between two events of a stream.
    ///
    /// `requests` requests with `tokens` tokens in total are in progress on the chain.
    pub fn event_time(&self, model: &Model, requests: u32, tokens: u64) -> Duration {
        let ms = self.cost.token_ms(model, f64::from(requests), tokens as f64);
        Duration::from_secs_f64(ms * f64::from(model.stride) / 1000.0)
    }

    /// Estimates the time until the prefill of a prompt of `prompt` tokens is complete.
    ///
    /// `queue` prompt tokens of other requests are ahead of it, and `crossing` tokens still have to
    /// be transferred between availability zones.
    pub fn prefill_time(&self, model: &Model, prompt: u64, queue: u64, crossing: f64) -> Duration {
        let prefill_ms =
            self.cost.queue_ms(model, queue as f64) + self.cost.prefill_ms(model, prompt as f64);
        Duration::from_secs_f64(prefill_ms / 1000.0) + self.crossing_time(model, crossing)
    }

    /// Estimates the time to transfer `crossing` tokens between availability zones; zero for a
    /// chain within one zone.
    fn crossing_time(&self, model: &Model, crossing: f64) -> Duration {
        if self.crossings() == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(estimate::crossing_ms(model, crossing) / 1000.0)
    }

    /// Estimates the time to transfer `tokens` tokens to the stages that `other` has instead of
    /// this chain's, as far as these are reached from another availability zone.
    ///
    /// Requests that move to `other` prefill all their tokens again on those stages.
    pub fn move_time(&self, model: &Model, other: &Self, tokens: u64) -> Duration {
        let is_new = |hop: &Hop| !self.hops.contains(hop);
        let crosses =
            |pair: &&[Hop]| pair[0].zone != pair[1].zone && (is_new(&pair[0]) || is_new(&pair[1]));
        let crossings = other.hops.windows(2).filter(crosses).count();
        let ms = estimate::crossing_ms(model, tokens as f64) * crossings as f64;
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Estimates the longest time that a generation of `need` takes.
    ///
    /// `sum` is the work in progress on the chain, and `factor` the ratio of observed to estimated
    /// pauses between events.
    pub fn max_duration(&self, model: &Model, need: &Need, sum: Sum, factor: f64) -> Duration {
        let event = self.event_time(model, sum.requests, sum.tokens).mul_f64(factor.max(1.0));
        let events = f64::from(need.max_answer) / f64::from(model.stride.max(1));
        let prefill_ms = self.cost.prefill_ms(model, f64::from(need.prompt));
        event.mul_f64(events.ceil() + 1.0) + Duration::from_secs_f64(prefill_ms / 1000.0)
    }
}

/// Resolves planned chains to chains that are usable now.
#[derive(Clone, Copy)]
pub struct Resolver<'a> {
    /// The model of the service.
    pub model: &'a Model,
    /// The service that the chains serve.
    pub service: &'a name::Service,
    /// State of the endpoints.
    pub view: &'a View,
    /// How long a draining endpoint still gets new work.
    pub grace: Duration,
    /// The current time.
    pub now: Instant,
}

impl Resolver<'_> {
    /// Returns a hop over endpoint `id`, or `None` if it is not usable or does not hold `layers`.
    fn hop(&self, id: &name::Endpoint, layers: Range) -> Option<(Hop, Accelerator)> {
        let endpoint = self.view.get(id)?;
        let usable = self.view.is_usable(id, self.grace, self.now);
        if !usable || !endpoint.layers.covers(layers) {
            return None;
        }
        let accelerator = self.model.accelerators.get(endpoint.accelerator.as_ref()?)?.clone();
        let held = f64::from(endpoint.layers.len()) * self.model.layer_bytes;
        let free = (accelerator.memory - held).max(0.0);
        let (address, zone) = (endpoint.address, endpoint.zone.clone());
        let born = endpoint.born;
        let hop = Hop { endpoint: id.clone(), born, address, zone, layers, free };
        Some((hop, accelerator))
    }

    /// Returns hops that reroute requests for the layers `gap` through any usable endpoints,
    /// including those of other chains.
    ///
    /// Prefers endpoints in `zone`, then those that cover more layers, then faster accelerators.
    /// Returns `None` if some layer has no usable endpoint.
    fn reroute(&self, gap: Range, zone: Option<&name::Zone>) -> Option<Vec<(Hop, Accelerator)>> {
        let mut hops = vec![];
        let mut first = gap.first;
        while first < gap.end {
            let step = Range { first, end: first + 1 };
            let end = |e: &Endpoint| e.layers.end.min(gap.end);
            let holders = self.view.of_service(self.service).filter(|e| e.layers.covers(step));
            let mut found: Vec<_> = holders
                .filter_map(|e| self.hop(&e.id, Range { first, end: end(e) }).map(|h| (e, h)))
                .collect();
            found.sort_by(|(a, (_, x)), (b, (_, y))| {
                let speed = x.step_factor.total_cmp(&y.step_factor);
                ((Some(&b.zone) == zone).cmp(&(Some(&a.zone) == zone)))
                    .then(end(b).cmp(&end(a)))
                    .then(speed)
                    .then_with(|| a.id.cmp(&b.id))
            });
            let (_, hop) = found.into_iter().next()?;
            first = hop.0.layers.end;
            hops.push(hop);
        }
        Some(hops)
    }

    /// Resolves a planned chain, replacing stages that are not usable.
    ///
    /// Returns `None` if a stage cannot be replaced.
    fn resolve(&self, planned: &PlannedChain) -> Option<Chain> {
        let key = planned.stages.first()?.endpoint.clone();
        let known = planned.stages.iter().find_map(|s| self.view.get(&s.endpoint))?;
        let zone = known.zone.clone();
        let mut all = vec![];
        for stage in &planned.stages {
            match self.hop(&stage.endpoint, stage.layers) {
                Some(hop) => all.push(hop),
                None => all.extend(self.reroute(stage.layers, Some(&zone))?),
            }
        }
        let mut endpoints = BTreeSet::new();
        // A chain must not use an endpoint twice.
        if !all.iter().all(|(hop, _)| endpoints.insert(hop.endpoint.clone())) {
            return None;
        }
        let parts: Vec<Assignment<'_>> = all
            .iter()
            .map(|(hop, accelerator)| Assignment { accelerator, layers: hop.layers.len() })
            .collect();
        let cost = Cost::of(self.model, &parts);
        let hops: Vec<Hop> = all.into_iter().map(|(hop, _)| hop).collect();
        let bytes = |h: &Hop| f64::from(h.layers.len()) * self.model.token_layer_bytes;
        let room = hops.iter().map(|h| h.free / bytes(h)).fold(f64::INFINITY, f64::min);
        Some(Chain { key, hops, zone, cost, room, is_shared: false })
    }
}

/// Returns the usable chains of `plans`, which start with the current plan.
///
/// A chain of an earlier plan is left out if a usable one has the same first endpoint.
pub fn usable(resolver: &Resolver<'_>, plans: &[Plan]) -> Vec<Chain> {
    let mut chains: Vec<Chain> = vec![];
    for plan in plans {
        let planned_chains = plan.services.get(resolver.service).map_or(&[][..], Vec::as_slice);
        for planned in planned_chains {
            let first = planned.stages.first().map(|s| &s.endpoint);
            if chains.iter().any(|c| Some(&c.key) == first) {
                continue;
            }
            chains.extend(resolver.resolve(planned));
        }
    }
    mark_shared(&mut chains);
    chains
}

/// Returns the keys of the chains that run on other stages than before.
pub fn with_other_stages<'a>(
    before: &'a [Chain],
    after: &'a [Chain],
) -> impl Iterator<Item = &'a name::Endpoint> {
    let differs =
        |chain: &&Chain| before.iter().any(|old| old.key == chain.key && old.hops != chain.hops);
    after.iter().filter(differs).map(|chain| &chain.key)
}

fn mark_shared(chains: &mut [Chain]) {
    let mut count: BTreeMap<name::Endpoint, usize> = BTreeMap::new();
    for hop in chains.iter().flat_map(|c| &c.hops) {
        *count.entry(hop.endpoint.clone()).or_default() += 1;
    }
    for chain in chains {
        chain.is_shared = chain.hops.iter().any(|h| count.get(&h.endpoint) > Some(&1));
    }
}

/// Requirements of one request on the chain that serves it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The route of the request.
    pub route: &'a route::Route,
    /// Work that the request adds to the chain.
    pub work: Work,
    /// Availability zone of this entry.
    pub zone: &'a name::Zone,
    /// First endpoints of chains on which the request may already have run.
    pub ran_at: &'a [name::Endpoint],
    /// Key of a chain that must not be chosen.
    pub avoid: Option<&'a name::Endpoint>,
    /// Whether an answer that begins late is accepted, since the request cannot wait any longer.
    pub accepts_late: bool,
}

impl Query<'_> {
    /// Returns the time within which the first event must be estimated to arrive.
    fn first_event_limit(&self) -> Duration {
        let part = if self.accepts_late { LATE_FIRST_EVENT_FACTOR } else { FIRST_EVENT_FRACTION };
        self.route.objective.mul_f64(part)
    }

    /// Returns whether the request may run on `chain` in view of its earlier attempts.
    fn allows(&self, chain: &Chain) -> bool {
        let attempts = self.route.max_attempts as usize;
        let is_allowed = self.ran_at.len() < attempts || self.ran_at.contains(chain.head());
        is_allowed && self.avoid != Some(&chain.key)
    }
}

/// Returns the bytes that work in progress uses on each endpoint of chains that share endpoints.
fn used_bytes<'a>(
    model: &Model,
    chains: &'a [Chain],
    in_flight: &Tracker,
    now: Instant,
) -> BTreeMap<&'a name::Endpoint, f64> {
    let mut used_bytes = BTreeMap::new();
    for chain in chains.iter().filter(|c| c.is_shared) {
        let tokens = in_flight.sum(&chain.key, now).tokens as f64;
        for hop in &chain.hops {
            let bytes = tokens * f64::from(hop.layers.len()) * model.token_layer_bytes;
            *used_bytes.entry(&hop.endpoint).or_default() += bytes;
        }
    }
    used_bytes
}

/// Prompt tokens that still have to be transferred between availability zones.
///
/// All chains share the link between two availability zones, so that the transfers of one chain
/// delay the others.
struct Crossing {
    /// Tokens of all chains.
    all: f64,
    /// Tokens that may be transferred before the next event of a stream: the prefill chunks of one
    /// stride on each chain.
    pass: f64,
}

impl Crossing {
    fn of(model: &Model, chains: &[Chain], in_flight: &Tracker, now: Instant) -> Self {
        let pass = model.chunk * f64::from(model.stride);
        let mut sum = Self { all: 0.0, pass: 0.0 };
        for chain in chains.iter().filter(|c| c.crossings() > 0) {
            let crossings = chain.crossings() as f64;
            let prefill = in_flight.sum(&chain.key, now).prefill as f64;
            sum.all += prefill * crossings;
            sum.pass += prefill.min(pass) * crossings;
        }
        sum
    }
}

/// Picks the chain on which the request is estimated to complete first.
///
/// Considers only chains with a free slot and enough memory, whose estimated pauses and first event
/// are within the limits of the route. Returns `None` if there is none.
pub fn choose<'a>(
    model: &Model,
    chains: &'a [Chain],
    in_flight: &Tracker,
    query: &Query<'_>,
    now: Instant,
) -> Option<&'a Chain> {
    // Memory is summed up by endpoint only for chains that share endpoints; most share none.
    let used_bytes = used_bytes(model, chains, in_flight, now);
    let has_hop_room = |hop: &Hop| {
        let bytes =
            query.work.tokens as f64 * f64::from(hop.layers.len()) * model.token_layer_bytes;
        let taken = used_bytes.get(&hop.endpoint).copied().unwrap_or_default();
        taken + bytes <= hop.free * MAX_ROOM_FRACTION
    };
    let has_room = |chain: &Chain, tokens: u64| {
        if chain.is_shared {
            chain.hops.iter().all(has_hop_room)
        } else {
            tokens as f64 <= chain.room * MAX_ROOM_FRACTION
        }
    };
    let crossing = Crossing::of(model, chains, in_flight, now);
    let prompt = query.work.prefill;
    let mut best: Option<(f64, &Chain)> = None;
    for chain in chains.iter().filter(|c| query.allows(c)) {
        let sum = in_flight.expected(&chain.key, now);
        let (requests, tokens) = (sum.requests + 1, sum.tokens + query.work.tokens);
        if requests > model.slots || !has_room(chain, tokens) {
            continue;
        }
        let factor = in_flight.slowdown_factor(&chain.key, now);
        let event = chain.event_time(model, requests, tokens).mul_f64(factor);
        // Events wait for the prompts that are transferred before them.
        let pause = event + chain.crossing_time(model, crossing.pass);
        let exceeds_pause =
            query.route.pause.is_some_and(|most| pause > most.mul_f64(MAX_PAUSE_FRACTION));
        let crossing = crossing.all + prompt as f64 * chain.crossings() as f64;
        let first = event + chain.prefill_time(model, prompt, sum.prefill, crossing);
        let begins_late = sum.prefill > 0 && first > query.first_event_limit();
        if (exceeds_pause && sum.requests > 0) || begins_late {
            continue;
        }
        let zone_ms = if chain.zone == *query.zone { 0.0 } else { OTHER_ZONE_COST_MS };
        let crossing_ms = estimate::crossing_ms(model, query.work.tokens as f64) * CROSSING_WEIGHT;
        let zone_ms = zone_ms + crossing_ms * chain.crossings() as f64;
        let events = model.mean_answer_tokens / f64::from(model.stride.max(1));
        let cost = event.as_secs_f64() * 1000.0 * events + zone_ms;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, chain));
        }
    }
    best.map(|(_, chain)| chain)
}
