//! Selects the chain for one request.
//!
//! Load pattern: demand close to the capacity of the chains, unevenly spread over entries and
//! availability zones. Each request goes to the chain whose answer is estimated to complete first,
//! and only if the stage with the least free memory can hold it: evicting a sequence from an
//! engine's KV cache costs more than queueing a request.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Chain, Hop};
use crate::forward::headroom::Headroom;
use crate::forward::in_flight::{Tracker, Work};
use crate::placement::Model;
use crate::placement::estimate;
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
    /// First endpoints to which no request may be sent now, since they limit their rate.
    pub closed: &'a [name::Endpoint],
    /// Whether an answer that begins late is accepted, since the request cannot wait any longer.
    pub accepts_late: bool,
    /// Whether the bounded number of prompt tokens that a pass prefills counts in the time to the first event.
    pub counts_passes: bool,
    /// The part of the chain that the request leaves free.
    pub headroom: Headroom,
}

impl Query<'_> {
    /// Returns the time within which the first event must be estimated to arrive.
    fn first_event_limit(&self) -> Duration {
        let part = if self.accepts_late { LATE_FIRST_EVENT_FACTOR } else { FIRST_EVENT_FRACTION };
        self.route.objective.mul_f64(part * self.headroom.usable())
    }

    /// Returns whether the request may run on `chain` in view of its earlier attempts.
    fn allows(&self, chain: &Chain) -> bool {
        let attempts = self.route.max_attempts as usize;
        let is_allowed = self.ran_at.len() < attempts || self.ran_at.contains(chain.head());
        is_allowed && self.avoid != Some(&chain.key) && !self.closed.contains(chain.head())
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
        let pass = model.pass_tokens();
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
    let has_hop_room = |hop: &Hop, usable: f64| {
        let bytes =
            query.work.tokens as f64 * f64::from(hop.layers.len()) * model.token_layer_bytes;
        let taken = used_bytes.get(&hop.endpoint).copied().unwrap_or_default();
        taken + bytes <= hop.free * MAX_ROOM_FRACTION * usable
    };
    let has_room = |chain: &Chain, tokens: u64, usable: f64| {
        if chain.is_shared {
            chain.hops.iter().all(|hop| has_hop_room(hop, usable))
        } else {
            tokens as f64 <= chain.room * MAX_ROOM_FRACTION * usable
        }
    };
    let crossing = Crossing::of(model, chains, in_flight, now);
    let prompt = query.work.prefill;
    let mut best: Option<(f64, &Chain)> = None;
    for chain in chains.iter().filter(|c| query.allows(c)) {
        let sum = in_flight.expected(&chain.key, now);
        // Nothing stays free on an empty chain: what fits into no other part of it would never run.
        let usable = if sum.requests == 0 { 1.0 } else { query.headroom.usable() };
        let (requests, tokens) = (sum.requests + 1, sum.tokens + query.work.tokens);
        let has_slot = f64::from(requests) <= f64::from(model.slots) * usable;
        if !has_slot || !has_room(chain, tokens, usable) {
            continue;
        }
        let factor = in_flight.slowdown_factor(&chain.key, now);
        let event = chain.event_time(model, requests, tokens).mul_f64(factor);
        // Events wait for the prompts that are transferred before them.
        let pause = event + chain.crossing_time(model, crossing.pass);
        let exceeds_pause =
            query.route.pause.is_some_and(|most| pause > most.mul_f64(MAX_PAUSE_FRACTION * usable));
        let crossing = crossing.all + prompt as f64 * chain.crossings() as f64;
        let mut prefill = chain.prefill_time(model, prompt, sum.prefill, crossing);
        if query.counts_passes {
            prefill = prefill.max(chain.passes_time(model, sum.prefill + prompt, event));
        }
        let first = event + prefill;
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
