//! Chains that can be used now, and the choice among them.
//!
//! Load pattern: demand near what the chains can hold, unevenly spread over entries and
//! availability zones. Each request goes where its answer is estimated to be complete first, and
//! only where the stage with the least room still has room for it; a sequence that is pushed out
//! of an engine's memory costs more than one that waits.

use std::net::SocketAddr;
use std::time::Duration;

use super::book::Book;
use crate::fleet::View;
use crate::placement::estimate::{self, Stage as Part};
use crate::placement::{Accelerator, Chain, Model, Plan, Range};
use crate::time::Instant;
use crate::{name, route};

/// Part of the room that is given out; the rest covers answers that grow longer than expected.
const ROOM_PART: f64 = 0.95;

/// Part of the longest allowed pause that an event may take by the estimate.
const PAUSE_PART: f64 = 0.7;

/// Estimated extra cost of a chain that starts in another availability zone, in milliseconds.
const FAR_MS: f64 = 60.0;

/// One stage as a request names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Hop {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its layers.
    pub layers: Range,
}

/// A chain all of whose stages hold their layers and take work.
#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    /// The stages in order; never empty.
    pub hops: Vec<Hop>,
    /// The availability zone of the first stage.
    pub zone: name::Zone,
    /// Tokens for which the stage with the least room has room.
    pub room: f64,
    accelerators: Vec<Accelerator>,
}

impl Lane {
    /// The first endpoint, by which work in progress is counted.
    pub fn head(&self) -> &name::Endpoint {
        &self.hops[0].endpoint
    }

    /// Whether the chain runs through an endpoint.
    pub fn uses(&self, endpoint: &name::Endpoint) -> bool {
        self.hops.iter().any(|h| h.endpoint == *endpoint)
    }

    /// Estimated time of one event with `requests` requests of `tokens` tokens in progress.
    pub fn event(&self, model: &Model, requests: u32, tokens: u64) -> Duration {
        let ms = estimate::token_ms(model, &self.parts(), f64::from(requests), tokens as f64);
        Duration::from_secs_f64(ms * f64::from(model.stride) / 1000.0)
    }

    fn parts(&self) -> Vec<Part<'_>> {
        let stages = self.hops.iter().zip(&self.accelerators);
        stages.map(|(h, accelerator)| Part { accelerator, layers: h.layers.len() }).collect()
    }
}

/// The chains of a plan that can be used now.
///
/// A chain may be used while a leaving stage has not been leaving for longer than `grace`.
pub fn open(
    model: &Model,
    chains: &[Chain],
    view: &View,
    grace: Duration,
    now: Instant,
) -> Vec<Lane> {
    chains.iter().filter_map(|chain| lane(model, chain, view, grace, now)).collect()
}

fn lane(model: &Model, chain: &Chain, view: &View, grace: Duration, now: Instant) -> Option<Lane> {
    let mut hops = vec![];
    let mut accelerators = vec![];
    for stage in &chain.stages {
        let endpoint = view.get(&stage.endpoint)?;
        let usable = view.is_usable(&stage.endpoint, grace, now);
        if !usable || !endpoint.layers.covers(stage.layers) {
            return None;
        }
        let accelerator = model.accelerators.get(endpoint.accelerator.as_ref()?)?;
        accelerators.push(accelerator.clone());
        let endpoint_id = endpoint.id.clone();
        hops.push(Hop { endpoint: endpoint_id, address: endpoint.address, layers: stage.layers });
    }
    let zone = view.get(&hops.first()?.endpoint)?.zone.clone();
    let mut lane = Lane { hops, zone, room: 0.0, accelerators };
    lane.room = estimate::room(model, &lane.parts());
    Some(lane)
}

/// Chains of the present plan, then those of earlier plans that can still be used.
pub fn all(
    model: &Model,
    service: &name::Service,
    plans: &[Plan],
    view: &View,
    grace: Duration,
    now: Instant,
) -> Vec<Lane> {
    let mut lanes: Vec<Lane> = vec![];
    for plan in plans {
        let chains = plan.services.get(service).map_or(&[][..], Vec::as_slice);
        for lane in open(model, chains, view, grace, now) {
            let overlaps = lanes.iter().any(|l| lane.hops.iter().any(|h| l.uses(&h.endpoint)));
            if !overlaps {
                lanes.push(lane);
            }
        }
    }
    lanes
}

/// What is asked of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The route.
    pub route: &'a route::Route,
    /// Tokens to reserve.
    pub tokens: u64,
    /// The entry's availability zone.
    pub zone: &'a name::Zone,
}

/// The chain on which the request is estimated to be complete first, among those with room.
pub fn choose<'a>(
    model: &Model,
    lanes: &'a [Lane],
    book: &Book,
    ask: &Ask<'_>,
    now: Instant,
) -> Option<&'a Lane> {
    let mut best: Option<(f64, &Lane)> = None;
    for lane in lanes {
        let sum = book.sum(lane.head(), now);
        let (requests, tokens) = (sum.requests + 1, sum.tokens + ask.tokens);
        if tokens as f64 > lane.room * ROOM_PART || requests > model.slots {
            continue;
        }
        let event = lane.event(model, requests, tokens);
        let late = ask.route.pause.is_some_and(|pause| event > pause.mul_f64(PAUSE_PART));
        if late && sum.requests > 0 {
            continue;
        }
        let far = if lane.zone == *ask.zone { 0.0 } else { FAR_MS };
        let events = model.usual_answer / f64::from(model.stride.max(1));
        let cost = event.as_secs_f64() * 1000.0 * events + far;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, lane));
        }
    }
    best.map(|(_, lane)| lane)
}
