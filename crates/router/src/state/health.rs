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

    /// Records that what a first stage sent is no answer to a request.
    pub fn record_no_answer(&self, endpoint: &name::Endpoint) {
        self.inner.borrow_mut().failures.add_no_answer(endpoint, self.now());
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

    /// Records that a probe of a silent endpoint by this entry reached nobody, and returns whether that is a reason to
    /// suspect it, and not the link of this entry.
    pub fn record_unreachable(&self, incarnation: &Incarnation) -> bool {
        let (now, id) = (self.now(), &incarnation.endpoint);
        let was_unhealthy = self.is_unhealthy(id);
        let is_suspect = self.inner.borrow_mut().view.record_unreachable(incarnation, now);
        if !was_unhealthy && self.is_unhealthy(id) {
            log::warn!(endpoint = id.as_str(); "endpoint answers other entries only");
            self.metrics.unhealthy.inc();
            self.refresh();
            self.health_changed.notify_waiters();
        }
        is_suspect
    }

    /// Records that an endpoint answered this entry again, which makes it healthy if it was only silent.
    pub fn record_answer(&self, incarnation: &Incarnation) {
        let is_new = self.inner.borrow_mut().view.record_answer(incarnation, self.now());
        self.log_answer(incarnation, is_new);
    }

    /// Records that an endpoint answered the entry `to` again, which makes it healthy if it was only silent and if this
    /// entry reaches it, too, as far as is known.
    pub fn hear_answer(&self, incarnation: &Incarnation, to: &name::Host) {
        let now = self.now();
        let is_new = self.inner.borrow_mut().view.hear_answer(incarnation, to.clone(), now);
        self.log_answer(incarnation, is_new);
    }

    fn log_answer(&self, incarnation: &Incarnation, is_new: bool) {
        if is_new {
            log::info!(endpoint = incarnation.endpoint.as_str(); "endpoint answers again");
            self.inner.borrow_mut().failures.reach(&incarnation.endpoint);
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
