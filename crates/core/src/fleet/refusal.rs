//! For how long endpoints that refuse requests get no new work.
//!
//! Load pattern: endpoints leave or give up layers while the store cannot tell. Every request that is
//! sent to one costs a retry, at each of many entries anew, until none has a retry left.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name;
use crate::time::Instant;

/// Pause after a refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of an endpoint that refuses again after each pause.
const MAX_PAUSE: Duration = Duration::from_millis(3200);

/// Time after a pause within which another refusal doubles the next one.
const RELAPSE_PERIOD: Duration = Duration::from_secs(1);

/// A pause of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    length: Duration,
}

/// Endpoints that refused requests recently.
#[derive(Debug, Default)]
pub struct Pauses {
    by_endpoint: BTreeMap<name::Endpoint, Pause>,
}

impl Pauses {
    /// Records a refusal, and returns whether a pause begins.
    ///
    /// Refusals within a pause do not lengthen it: they answer requests that were under way.
    pub fn record(&mut self, endpoint: &name::Endpoint, now: Instant) -> bool {
        let last = self.by_endpoint.get(endpoint);
        if last.is_some_and(|pause| now < pause.until) {
            return false;
        }
        let relapse = last.filter(|pause| now.since(pause.until) < RELAPSE_PERIOD);
        let length = relapse.map_or(FIRST_PAUSE, |pause| (pause.length * 2).min(MAX_PAUSE));
        self.by_endpoint.insert(endpoint.clone(), Pause { until: now + length, length });
        true
    }

    /// Returns whether an endpoint is paused.
    pub fn is_paused(&self, endpoint: &name::Endpoint, now: Instant) -> bool {
        self.by_endpoint.get(endpoint).is_some_and(|pause| now < pause.until)
    }

    /// Forgets the endpoints for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&name::Endpoint) -> bool) {
        self.by_endpoint.retain(|id, _| is_known(id));
    }

    /// Returns whether no pause is running.
    pub fn are_over(&self, now: Instant) -> bool {
        self.by_endpoint.values().all(|pause| now >= pause.until)
    }
}
