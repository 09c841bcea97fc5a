//! When callers that this entry refuses may come back.

use std::time::Duration;

use super::State;
use crate::serve::Request;
use crate::settings::Order;

impl State {
    /// Returns which requests go first while chains are full.
    pub fn admission_order(&self) -> Order {
        self.tunables.borrow().admission.order
    }

    /// Returns the time after which the caller of a request that found no room may come back, and remembers it.
    pub fn retry_after_refusal(&self, request: &Request) -> Duration {
        let now = self.now();
        let has_model = self.model(&request.service).is_some();
        let entries = self.entry_count() as f64;
        let mut inner = self.inner.borrow_mut();
        if !has_model || self.admission_order() == Order::Arrival {
            let refusals = inner.refusals.entry(request.service.clone()).or_default();
            return refusals.refuse(now, rand::random());
        }
        // Callers come to the entries alike, so that this one begins its part of all requests.
        let departures = inner.departures.entry(request.service.clone()).or_default();
        let begun_per_s = departures.per_second(now) * entries;
        let left = request.deadline.since(now);
        let fingerprint = request.fingerprint;
        let wait = inner.returns.wait(fingerprint, begun_per_s, left, rand::random(), now);
        inner.returns.record(fingerprint, now + wait, now);
        wait
    }
}
