//! Findings about endpoints that do not work or that refuse requests.

use std::time::Duration;

use oriole_core::fleet::{Cause, Incarnation};
use oriole_core::name;

use super::State;

impl State {
    /// Marks an endpoint as unhealthy and returns whether it was healthy before.
    ///
    /// `age` is the time since the finding, and `reporter` the host that reported it.
    pub fn mark_unhealthy(
        &self,
        incarnation: &Incarnation,
        cause: Cause,
        age: Duration,
        reporter: &str,
    ) -> bool {
        let now = self.now();
        let is_new =
            self.inner.borrow_mut().view.mark_unhealthy(incarnation, cause, now - age, now);
        if is_new {
            log::warn!(
                endpoint = incarnation.endpoint.as_str(), word = reporter, cause:?;
                "endpoint does not work"
            );
            self.metrics.unhealthy.inc();
            self.refresh();
            self.health_changed.notify_waiters();
        }
        is_new
    }

    /// Records that what an endpoint sent is no answer to a request.
    pub fn record_no_answer(&self, endpoint: &name::Endpoint) {
        self.inner.borrow_mut().failures.add(endpoint, self.now());
    }

    /// Records that an endpoint did not answer the entry `by`.
    ///
    /// Returns whether this marks the endpoint as unhealthy, since enough entries agree.
    pub fn suspect(&self, incarnation: &Incarnation, by: &name::Host) -> bool {
        let (now, entries) = (self.now(), self.entry_count());
        let is_new = self.inner.borrow_mut().view.suspect(incarnation, by.clone(), entries, now);
        if is_new {
            log::warn!(
                endpoint = incarnation.endpoint.as_str(), entries;
                "endpoint answers nobody"
            );
            self.metrics.unhealthy.inc();
            self.refresh();
            self.health_changed.notify_waiters();
        }
        is_new
    }

    /// Records that an endpoint answered an entry again, which makes it healthy if it was only silent.
    pub fn record_answer(&self, incarnation: &Incarnation) {
        let is_new = self.inner.borrow_mut().view.record_answer(incarnation, self.now());
        if is_new {
            log::info!(endpoint = incarnation.endpoint.as_str(); "endpoint answers again");
            self.refresh();
            self.health_changed.notify_waiters();
        }
    }

    /// Sends no new work to an endpoint that refused a request, for a short period.
    pub fn pause(&self, endpoint: &name::Endpoint) {
        let now = self.now();
        let is_new = self.inner.borrow_mut().view.pause(endpoint, now);
        if is_new {
            self.refresh();
        }
    }

    /// Returns whether an endpoint is treated as unhealthy.
    pub fn is_unhealthy(&self, endpoint: &name::Endpoint) -> bool {
        self.unhealthy_cause(endpoint).is_some()
    }

    /// Returns how an endpoint was found to be unhealthy, or `None` if it is healthy.
    pub fn unhealthy_cause(&self, endpoint: &name::Endpoint) -> Option<Cause> {
        self.inner.borrow().view.unhealthy_cause(endpoint, self.now())
    }
}
