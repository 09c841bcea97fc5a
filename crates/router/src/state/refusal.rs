//! When callers that this entry refuses may come back.

use std::time::Duration;

use oriole_core::name;

use super::State;
use crate::serve::Request;
use crate::settings::Order;

impl State {
    /// Returns which requests to a service go first while its chains are full.
    ///
    /// Where its routes do not differ in priority, they do not compete, and go by arrival.
    pub fn admission_order(&self, service: &name::Service) -> Order {
        match self.inner.borrow().ranked_services.contains(service) {
            true => self.tunables.borrow().admission.order,
            false => Order::Arrival,
        }
    }

    /// Returns the time after which the caller of a request that found no room may come back, and remembers it.
    pub fn retry_after_refusal(&self, request: &Request) -> Duration {
        let now = self.now();
        let order = self.admission_order(&request.service);
        let entries = self.entry_count() as f64;
        let mut inner = self.inner.borrow_mut();
        if order == Order::Arrival {
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
