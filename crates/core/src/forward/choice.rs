//! The choice among the endpoints of a plain service, which has no chains.
//!
//! Load pattern: endpoints that fail or hang on some of their requests while they look healthy.
//! Requests go to the endpoint with the least load per slot. Recent failures count as additional
//! load, so that a failing endpoint gets fewer requests but is still tried.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

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

    /// Records that `endpoint` can be reached again, so that it gets its share of requests at once.
    pub fn reach(&mut self, endpoint: &name::Endpoint) {
        self.unreached.by_endpoint.remove(endpoint);
    }

    /// Returns the number of recent failures of `endpoint`, weighted by age.
    pub fn weight(&self, endpoint: &name::Endpoint, now: Instant) -> f64 {
        let sum = self.sent.of(endpoint, now) + self.unreached.of(endpoint, now);
        sum.min(MAX_FAILURES)
    }

    /// Returns the endpoints that fail so often that others are preferred.
    pub fn failing(&self, now: Instant) -> Vec<name::Endpoint> {
        let is_failing = |endpoint: &&name::Endpoint| self.weight(endpoint, now) >= FAILING_WEIGHT;
        let all = self.sent.by_endpoint.keys().chain(self.unreached.by_endpoint.keys());
        all.collect::<BTreeSet<_>>().into_iter().filter(is_failing).cloned().collect()
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
