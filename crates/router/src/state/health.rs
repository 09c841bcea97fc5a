//! Findings about endpoints that do not work or that refuse requests.

use std::time::Duration;

use oriole_core::fleet::{Cause, Incarnation};
use oriole_core::name;
use oriole_core::time::Instant;

use super::{Monitored, State};

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

    /// Records that another entry monitors an order to an endpoint for `period`; zero ends it.
    pub fn hear_order(&self, endpoint: name::Endpoint, period: Duration) {
        let now = self.now();
        let mut orders = self.peer_orders.borrow_mut();
        if period.is_zero() {
            orders.remove(&endpoint);
            return;
        }
        let until = now + period;
        let order = orders.entry(endpoint).or_insert(Monitored { since: now, until });
        if order.until < now {
            order.since = now;
        }
        order.until = until;
    }

    /// Returns for how long an endpoint has been carrying out an order, as far as this entry knows.
    pub fn order_time(&self, endpoint: &name::Endpoint, now: Instant) -> Duration {
        let of_peers = self.peer_orders.borrow();
        let of_peer = of_peers.get(endpoint).filter(|o| now < o.until).map(|o| o.since);
        let own = self.own_orders.borrow().get(endpoint).copied();
        own.into_iter().chain(of_peer).min().map_or(Duration::ZERO, |since| now.since(since))
    }
}
