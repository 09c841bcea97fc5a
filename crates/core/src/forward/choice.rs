//! The choice among the endpoints of a plain service.
//!
//! Load pattern: endpoints that fail or hang on a part of their requests while they look healthy.
//! Work goes to the endpoint with the least in progress for its slots; one that failed lately
//! counts as fuller, so that it gets less but is still tried.

use std::collections::BTreeMap;
use std::time::Duration;

use super::in_flight::Tracker;
use crate::fleet::Endpoint;
use crate::name;
use crate::time::Instant;

/// Time in which the weight of a failure halves.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Load that one fresh failure counts as, in parts of the endpoint's slots.
const FAILURE_LOAD: f64 = 0.5;

/// Most failures that count.
const MAX_FAILURES: f64 = 8.0;

/// Load in an endpoint of another availability zone that weighs as none in the same one.
const OTHER_ZONE_LOAD: f64 = 0.34;

/// Requests for each slot beyond which an endpoint gets no more.
const MAX_LOAD: f64 = 3.0;

/// Failures of late, by endpoint.
#[derive(Debug, Default)]
pub struct Failures {
    by_endpoint: BTreeMap<name::Endpoint, (f64, Instant)>,
}

impl Failures {
    /// Counts a failure.
    pub fn add(&mut self, endpoint: &name::Endpoint, now: Instant) {
        let count = (self.weight(endpoint, now) + 1.0).min(MAX_FAILURES);
        self.by_endpoint.insert(endpoint.clone(), (count, now));
    }

    /// Failures of late; older ones count less.
    pub fn weight(&self, endpoint: &name::Endpoint, now: Instant) -> f64 {
        let Some((count, at)) = self.by_endpoint.get(endpoint) else {
            return 0.0;
        };
        let halves = now.since(*at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        count * 0.5_f64.powf(halves)
    }
}

/// The endpoint that is to take the next request, if any has room.
///
/// Endpoints that have been tried are taken only if there is no other.
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
