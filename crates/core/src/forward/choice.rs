//! The choice among the endpoints of a plain service, which has no chains.
//!
//! Load pattern: endpoints that fail or hang on some of their requests while they look healthy.
//! Requests go to the endpoint with the least load per slot. Recent failures count as additional
//! load, so that a failing endpoint gets fewer requests but is still tried.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_macros::data;

use super::in_flight::Tracker;
use crate::fleet::Endpoint;
use crate::name;
use crate::time::Instant;

/// Half-life of the weight of a failure.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Time after which no weight of failures is left that matters.
const FORGET_TIME: Duration = Duration::from_secs(30);

/// Load per slot that one recent failure counts as.
const FAILURE_LOAD: f64 = 0.5;

/// Weight of failures from which on an endpoint is chosen only if no other one has capacity. An endpoint that breaks off
/// or spoils a few of its answers stays below.
const FAILING_WEIGHT: f64 = 3.0;

/// Upper bound on the weight of failures.
const MAX_FAILURES: f64 = 8.0;

/// Weight from which on the other entries are told.
const MIN_TOLD_WEIGHT: f64 = 1.0;

/// Most endpoints of which an entry tells the others at once.
const MAX_TOLD: usize = 64;

/// Load per slot that an endpoint in another availability zone counts as.
const OTHER_ZONE_LOAD: f64 = 0.34;

/// Requests per slot from which on an endpoint gets no more requests.
const MAX_LOAD: f64 = 3.0;

/// Recent failures by endpoint.
#[derive(Debug, Default)]
pub struct Failures {
    /// Failures of requests that were sent.
    sent: Weights,
    /// Requests that were not sent, since the endpoint could not be reached.
    unreached: Weights,
    /// What first stages sent to any entry that is no answer.
    no_answers: Weights,
    /// How often first stages sent this entry what is no answer since it was last told to the others.
    untold: BTreeMap<name::Endpoint, u32>,
}

/// What an entry tells the others of first stages that send what is no answer.
#[data]
#[derive(Default)]
pub struct Notice {
    /// How often they did so to the sender since its last message.
    pub new: BTreeMap<name::Endpoint, u32>,
    /// Weight of all such failures that the sender knows, to any entry.
    pub weights: BTreeMap<name::Endpoint, f64>,
}

impl Failures {
    /// Records that a request that was sent to `endpoint` failed.
    pub fn add(&mut self, endpoint: &name::Endpoint, now: Instant) {
        self.sent.add(endpoint, now);
    }

    /// Records that a request could not be sent to `endpoint`.
    pub fn add_unreached(&mut self, endpoint: &name::Endpoint, now: Instant) {
        self.unreached.add(endpoint, now);
    }

    /// Records that the first stage `endpoint` sent what is no answer.
    pub fn add_no_answer(&mut self, endpoint: &name::Endpoint, now: Instant) {
        self.no_answers.add(endpoint, now);
        if self.untold.len() < MAX_TOLD || self.untold.contains_key(endpoint) {
            *self.untold.entry(endpoint.clone()).or_default() += 1;
        }
    }

    /// Returns what all other entries are to be told now.
    pub fn tell(&mut self, now: Instant) -> Notice {
        Notice { new: std::mem::take(&mut self.untold), weights: self.told_weights(now) }
    }

    /// Returns what an entry is told that may know nothing yet.
    pub fn told_weights(&self, now: Instant) -> BTreeMap<name::Endpoint, f64> {
        let known = self.no_answers.by_endpoint.keys().map(|id| (id, self.no_answers.of(id, now)));
        let weighty = known.filter(|(_, weight)| *weight >= MIN_TOLD_WEIGHT).take(MAX_TOLD);
        weighty.map(|(id, weight)| (id.clone(), weight)).collect()
    }

    /// Records what another entry tells. Its new failures add up with those of this one, so that the failures of all
    /// entries count together.
    pub fn hear(&mut self, notice: &Notice, now: Instant) {
        for (endpoint, count) in notice.new.iter().take(MAX_TOLD) {
            (0..(*count).min(MAX_FAILURES as u32)).for_each(|_| self.no_answers.add(endpoint, now));
        }
        for (endpoint, weight) in notice.weights.iter().take(MAX_TOLD) {
            self.no_answers.raise(endpoint, *weight, now);
        }
    }

    /// Records that `endpoint` can be reached again, so that it gets its share of requests at once.
    pub fn reach(&mut self, endpoint: &name::Endpoint) {
        self.unreached.by_endpoint.remove(endpoint);
    }

    /// Returns the number of recent failures of `endpoint`, weighted by age.
    pub fn weight(&self, endpoint: &name::Endpoint, now: Instant) -> f64 {
        let all = [&self.sent, &self.unreached, &self.no_answers];
        all.into_iter().map(|weights| weights.of(endpoint, now)).sum::<f64>().min(MAX_FAILURES)
    }

    /// Returns the endpoints that fail so often that others are preferred.
    pub fn failing(&self, now: Instant) -> Vec<name::Endpoint> {
        let is_failing = |endpoint: &&name::Endpoint| self.weight(endpoint, now) >= FAILING_WEIGHT;
        let all = [&self.sent, &self.unreached, &self.no_answers];
        let endpoints = all.into_iter().flat_map(|weights| weights.by_endpoint.keys());
        endpoints.collect::<BTreeSet<_>>().into_iter().filter(is_failing).cloned().collect()
    }
}

/// Weights by endpoint, with exponential decay.
#[derive(Debug, Default)]
struct Weights {
    by_endpoint: BTreeMap<name::Endpoint, (f64, Instant)>,
}

impl Weights {
    fn add(&mut self, endpoint: &name::Endpoint, now: Instant) {
        let count = (self.of(endpoint, now) + 1.0).min(MAX_FAILURES);
        self.by_endpoint.retain(|_, (_, at)| now.since(*at) < FORGET_TIME);
        self.by_endpoint.insert(endpoint.clone(), (count, now));
    }

    /// Raises a weight that is lower than `least`, which another process tells.
    fn raise(&mut self, endpoint: &name::Endpoint, least: f64, now: Instant) {
        let least = least.min(MAX_FAILURES);
        if least > self.of(endpoint, now) {
            self.by_endpoint.insert(endpoint.clone(), (least, now));
        }
    }

    fn of(&self, endpoint: &name::Endpoint, now: Instant) -> f64 {
        let Some((count, at)) = self.by_endpoint.get(endpoint) else {
            return 0.0;
        };
        let halves = now.since(*at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        count * 0.5_f64.powf(halves)
    }
}

/// Picks the endpoint for the next request.
///
/// Endpoints in `tried` are picked only if there is no other. Returns `None` if no endpoint has
/// capacity left.
pub fn choose<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    in_flight: &Tracker,
    failures: &Failures,
    zone: &name::Zone,
    tried: &[name::Endpoint],
    now: Instant,
) -> Option<&'a Endpoint> {
    let mut best: Option<(bool, f64, &Endpoint)> = None;
    for endpoint in endpoints {
        let slots = f64::from(endpoint.slots.max(1));
        let load = f64::from(in_flight.sum(&endpoint.id, now).requests) / slots;
        if load >= MAX_LOAD {
            continue;
        }
        let zone_load = if endpoint.zone == *zone { 0.0 } else { OTHER_ZONE_LOAD };
        let cost = load + zone_load + failures.weight(&endpoint.id, now) * FAILURE_LOAD;
        let again = tried.contains(&endpoint.id);
        let is_better = best.is_none_or(|(a, c, _)| (again, cost) < (a, c));
        if is_better {
            best = Some((again, cost, endpoint));
        }
    }
    best.map(|(_, _, endpoint)| endpoint)
}
