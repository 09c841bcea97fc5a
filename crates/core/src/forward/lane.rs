//! Chains that can be used now, and the choice among them.
//!
//! Load pattern: demand near what the chains can hold, unevenly spread over entries and
//! availability zones. Each request goes where its answer is estimated to be complete first, and
//! only where the stage with the least room still has room for it; a sequence that is pushed out
//! of an engine's memory costs more than one that waits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Need;
use super::book::{Book, Sum, Work};
use crate::fleet::{Doubt, Endpoint, View};
use crate::placement::estimate::{self, Assignment, Cost};
use crate::placement::{Accelerator, Chain, Model, Plan, Range};
use crate::time::Instant;
use crate::{name, route};

/// Part of the room that is given out; the rest covers answers that grow longer than expected.
const ROOM_PART: f64 = 0.95;

/// Part of the longest allowed pause that an event may take by the estimate.
const PAUSE_PART: f64 = 0.6;

/// Part of the objective by which the first event is to come by the estimate.
const FIRST_PART: f64 = 0.7;

/// Objectives within which it is to come where it can only come late; callers leave soon after.
const LATE_PART: f64 = 2.0;

/// Estimated extra cost of a chain that starts in another availability zone, in milliseconds.
const FAR_MS: f64 = 800.0;

/// Weight of a passage between availability zones: what passes there delays all other chains.
const CROSSING_WEIGHT: f64 = 50.0;

/// One stage as a request names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Hop {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Which start of it is meant.
    pub born: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The layers that it runs, which may be a part of those that it holds.
    pub layers: Range,
    /// Memory beside the layers that it holds, in bytes.
    pub free: f64,
}

impl Hop {
    /// The endpoint, and the start of it that is meant, to be doubted.
    pub fn seen(&self) -> Doubt {
        Doubt { endpoint: self.endpoint.clone(), born: self.born }
    }
}

/// A chain all of whose stages hold their layers and take work.
#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    /// The first endpoint in the plan, by which work in progress is counted, also while another
    /// one takes its place.
    pub key: name::Endpoint,
    /// The stages in order; never empty.
    pub hops: Vec<Hop>,
    /// The availability zone of the first stage.
    pub zone: name::Zone,
    cost: Cost,
    /// Tokens for which the stage with the least room has room, if no other lane uses it.
    room: f64,
    /// Whether another lane runs through one of the endpoints.
    is_shared: bool,
}

impl Lane {
    /// The first endpoint, which receives requests.
    pub fn head(&self) -> &name::Endpoint {
        &self.hops[0].endpoint
    }

    /// Passages from one availability zone to another.
    pub fn crossings(&self) -> usize {
        self.hops.windows(2).filter(|pair| pair[0].zone != pair[1].zone).count()
    }

    /// The endpoints with their layers, for logs.
    pub fn path(&self) -> String {
        let hop = |h: &Hop| format!("{}={}-{}", h.endpoint, h.layers.first, h.layers.end);
        self.hops.iter().map(hop).collect::<Vec<_>>().join(",")
    }

    /// Estimated time of one event with `requests` requests of `tokens` tokens in progress.
    pub fn event(&self, model: &Model, requests: u32, tokens: u64) -> Duration {
        let ms = self.cost.token_ms(model, f64::from(requests), tokens as f64);
        Duration::from_secs_f64(ms * f64::from(model.stride) / 1000.0)
    }

    /// Estimated time until a prompt of `prompt` tokens has been read after `queue` tokens of others,
    /// if `crossing` tokens have yet to pass between availability zones.
    pub fn read(&self, model: &Model, prompt: u64, queue: u64, crossing: f64) -> Duration {
        let prefill_ms =
            self.cost.queue_ms(model, queue as f64) + self.cost.prefill_ms(model, prompt as f64);
        Duration::from_secs_f64(prefill_ms / 1000.0) + self.passage(model, crossing)
    }

    /// Estimated time that `crossing` tokens take between availability zones, if the chain passes
    /// between some.
    fn passage(&self, model: &Model, crossing: f64) -> Duration {
        if self.crossings() == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(estimate::crossing_ms(model, crossing) / 1000.0)
    }

    /// Longest time that a generation of `need` takes if events come `factor` times as slowly as
    /// estimated.
    pub fn longest(&self, model: &Model, need: &Need, sum: Sum, factor: f64) -> Duration {
        let event = self.event(model, sum.requests, sum.tokens).mul_f64(factor.max(1.0));
        let events = f64::from(need.most) / f64::from(model.stride.max(1));
        let prefill_ms = self.cost.prefill_ms(model, f64::from(need.prompt));
        event.mul_f64(events.ceil() + 1.0) + Duration::from_secs_f64(prefill_ms / 1000.0)
    }
}

/// What lanes are made from.
#[derive(Clone, Copy)]
pub struct Source<'a> {
    /// The model.
    pub model: &'a Model,
    /// The service.
    pub service: &'a name::Service,
    /// The endpoints.
    pub view: &'a View,
    /// How long a leaving endpoint may be used.
    pub grace: Duration,
    /// The present time.
    pub now: Instant,
}

impl Source<'_> {
    /// A hop over an endpoint that can be used now and holds `layers`.
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

    /// Hops over any endpoints that hold `gap`, those of other chains included.
    fn bridge(&self, gap: Range, zone: Option<&name::Zone>) -> Option<Vec<(Hop, Accelerator)>> {
        let mut hops = vec![];
        let mut first = gap.first;
        while first < gap.end {
            let step = Range { first, end: first + 1 };
            let end = |e: &Endpoint| e.layers.end.min(gap.end);
            let holders = self.view.of(self.service).filter(|e| e.layers.covers(step));
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

    /// The chain as it can be used now, around stages that cannot.
    fn lane(&self, chain: &Chain) -> Option<Lane> {
        let key = chain.stages.first()?.endpoint.clone();
        let known = chain.stages.iter().find_map(|s| self.view.get(&s.endpoint))?;
        let zone = known.zone.clone();
        let mut all = vec![];
        for stage in &chain.stages {
            match self.hop(&stage.endpoint, stage.layers) {
                Some(hop) => all.push(hop),
                None => all.extend(self.bridge(stage.layers, Some(&zone))?),
            }
        }
        let mut endpoints = BTreeSet::new();
        // A chain must not run through one endpoint twice.
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
        Some(Lane { key, hops, zone, cost, room, is_shared: false })
    }
}

/// Chains of the present plan, then those of earlier plans that can still be used.
pub fn all(source: &Source<'_>, plans: &[Plan]) -> Vec<Lane> {
    let mut lanes: Vec<Lane> = vec![];
    for plan in plans {
        let chains = plan.services.get(source.service).map_or(&[][..], Vec::as_slice);
        for chain in chains {
            let first = chain.stages.first().map(|s| &s.endpoint);
            if lanes.iter().any(|l| Some(&l.key) == first) {
                continue;
            }
            lanes.extend(source.lane(chain));
        }
    }
    mark_shared(&mut lanes);
    lanes
}

fn mark_shared(lanes: &mut [Lane]) {
    let mut count: BTreeMap<name::Endpoint, usize> = BTreeMap::new();
    for hop in lanes.iter().flat_map(|l| &l.hops) {
        *count.entry(hop.endpoint.clone()).or_default() += 1;
    }
    for lane in lanes {
        lane.is_shared = lane.hops.iter().any(|h| count.get(&h.endpoint) > Some(&1));
    }
}

/// What is asked of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The route.
    pub route: &'a route::Route,
    /// What the request adds to the work in progress.
    pub work: Work,
    /// The entry's availability zone.
    pub zone: &'a name::Zone,
    /// First endpoints at which the request has run already.
    pub ran_at: &'a [name::Endpoint],
    /// The key of a chain that is not to be chosen.
    pub avoid: Option<&'a name::Endpoint>,
    /// Whether an answer that begins late is better than none, since it cannot wait any longer.
    pub is_last: bool,
}

impl Ask<'_> {
    /// The time by which the first event is to come.
    fn first_limit(&self) -> Duration {
        let part = if self.is_last { LATE_PART } else { FIRST_PART };
        self.route.objective.mul_f64(part)
    }

    /// Whether the request may run on a chain, too.
    fn allows(&self, lane: &Lane) -> bool {
        let attempts = self.route.max_attempts as usize;
        let is_allowed = self.ran_at.len() < attempts || self.ran_at.contains(lane.head());
        is_allowed && self.avoid != Some(&lane.key)
    }
}

/// Bytes that work in progress takes of each endpoint of the lanes that share some.
fn used<'a>(
    model: &Model,
    lanes: &'a [Lane],
    book: &Book,
    now: Instant,
) -> BTreeMap<&'a name::Endpoint, f64> {
    let mut used = BTreeMap::new();
    for lane in lanes.iter().filter(|l| l.is_shared) {
        let tokens = book.sum(&lane.key, now).tokens as f64;
        for hop in &lane.hops {
            let bytes = tokens * f64::from(hop.layers.len()) * model.token_layer_bytes;
            *used.entry(&hop.endpoint).or_default() += bytes;
        }
    }
    used
}

/// Tokens of prompts that have yet to pass between availability zones.
///
/// All chains share the way between two availability zones: what one sends there, the others wait
/// for.
struct Crossing {
    /// On all chains.
    all: f64,
    /// Those that may pass before the next event of a stream: one pass of each chain.
    pass: f64,
}

impl Crossing {
    fn of(model: &Model, lanes: &[Lane], book: &Book, now: Instant) -> Self {
        let pass = model.chunk * f64::from(model.stride);
        let mut sum = Self { all: 0.0, pass: 0.0 };
        for lane in lanes.iter().filter(|l| l.crossings() > 0) {
            let crossings = lane.crossings() as f64;
            let reading = book.sum(&lane.key, now).reading as f64;
            sum.all += reading * crossings;
            sum.pass += reading.min(pass) * crossings;
        }
        sum
    }
}

/// The chain on which the request is estimated to be complete first, among those with room.
pub fn choose<'a>(
    model: &Model,
    lanes: &'a [Lane],
    book: &Book,
    ask: &Ask<'_>,
    now: Instant,
) -> Option<&'a Lane> {
    // Most chains share no endpoint; only for those that do is the use of each one summed up.
    let used = used(model, lanes, book, now);
    let fits_hop = |hop: &Hop| {
        let bytes = ask.work.tokens as f64 * f64::from(hop.layers.len()) * model.token_layer_bytes;
        let taken = used.get(&hop.endpoint).copied().unwrap_or_default();
        taken + bytes <= hop.free * ROOM_PART
    };
    let has_room = |lane: &Lane, tokens: u64| {
        if lane.is_shared {
            lane.hops.iter().all(fits_hop)
        } else {
            tokens as f64 <= lane.room * ROOM_PART
        }
    };
    let crossing = Crossing::of(model, lanes, book, now);
    let prompt = ask.work.reading;
    let mut best: Option<(f64, &Lane)> = None;
    for lane in lanes.iter().filter(|l| ask.allows(l)) {
        let sum = book.expected(&lane.key, now);
        let (requests, tokens) = (sum.requests + 1, sum.tokens + ask.work.tokens);
        if requests > model.slots || !has_room(lane, tokens) {
            continue;
        }
        let factor = book.factor(&lane.key, now);
        let event = lane.event(model, requests, tokens).mul_f64(factor);
        // Events wait for the prompts that pass before them.
        let pause = event + lane.passage(model, crossing.pass);
        let late = ask.route.pause.is_some_and(|most| pause > most.mul_f64(PAUSE_PART));
        let crossing = crossing.all + prompt as f64 * lane.crossings() as f64;
        let first = event + lane.read(model, prompt, sum.reading, crossing);
        let begins_late = sum.reading > 0 && first > ask.first_limit();
        if (late && sum.requests > 0) || begins_late {
            continue;
        }
        let far = if lane.zone == *ask.zone { 0.0 } else { FAR_MS };
        let passage = estimate::crossing_ms(model, ask.work.tokens as f64) * CROSSING_WEIGHT;
        let far = far + passage * lane.crossings() as f64;
        let events = model.mean_answer_tokens / f64::from(model.stride.max(1));
        let cost = event.as_secs_f64() * 1000.0 * events + far;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, lane));
        }
    }
    best.map(|(_, lane)| lane)
}
