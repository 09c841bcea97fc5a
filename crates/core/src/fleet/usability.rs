//! Whether an endpoint may get work, from all that is known of it.

use std::time::Duration;

use super::{Endpoint, Incarnation, State, View};
use crate::name;
use crate::time::Instant;

impl View {
    /// Returns whether new work may be sent to an endpoint.
    ///
    /// It must be listed, neither unhealthy nor paused, want requests, and have been leaving for less
    /// than `grace`.
    pub fn is_usable(&self, id: &name::Endpoint, grace: Duration, now: Instant) -> bool {
        self.would_be_usable(id, grace, now) && !self.is_waiting(id, now)
    }

    /// Returns whether new work may be sent to an endpoint, but for its wait if there is one.
    fn would_be_usable(&self, id: &name::Endpoint, grace: Duration, now: Instant) -> bool {
        let Some(endpoint) = self.get(id) else {
            return false;
        };
        let since = self.leaving_since(endpoint);
        let is_drained = since.is_some_and(|since| now.since(since) >= grace);
        !is_drained && !self.is_unhealthy(id, now) && !self.pauses.is_paused(id, now)
    }

    fn leaving_since(&self, endpoint: &Endpoint) -> Option<Instant> {
        // Names are copied for a lookup only while some endpoint is leaving.
        if self.leaving.is_empty() { None } else { self.leaving.since(&endpoint.incarnation()) }
    }

    /// Records that an endpoint said that it is leaving, at `at`, and returns whether that is new.
    pub fn record_leaving(&mut self, incarnation: &Incarnation, at: Instant) -> bool {
        self.leaving.record(incarnation, true, at)
    }

    /// Returns the endpoints that said that they are leaving and are still listed, with the time since then
    /// in milliseconds.
    pub fn said_to_leave(&self, now: Instant) -> Vec<(Incarnation, u64)> {
        let is_listed = |i: &Incarnation| self.get(&i.endpoint).is_some_and(|e| e.born == i.born);
        let stated = self.leaving.stated(now).filter(|(incarnation, _)| is_listed(incarnation));
        stated.map(|(incarnation, age)| (incarnation.clone(), age.as_millis() as u64)).collect()
    }

    /// Records that an endpoint backs this entry off for `wait`, and returns whether it was not
    /// waiting before.
    pub fn record_wait(&mut self, incarnation: &Incarnation, wait: Duration, now: Instant) -> bool {
        self.waits.record(incarnation, wait, now)
    }

    /// Returns whether an endpoint is in back-off now.
    pub fn is_waiting(&self, id: &name::Endpoint, now: Instant) -> bool {
        let is_waiting = |e: &Endpoint| self.waits.is_waiting(&e.incarnation(), now);
        !self.waits.is_empty() && self.get(id).is_some_and(is_waiting)
    }

    /// Returns the endpoints that wait or have just waited, with the number of requests of this entry that
    /// may be in progress there.
    pub fn bounded_by_waits(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, u32)> {
        self.waits.bounded(now)
    }

    /// Returns when the first endpoint of a service wants requests again, if all that could get them wait.
    pub fn end_of_waits(
        &self,
        service: &name::Service,
        grace: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        for endpoint in self.of_service(service) {
            if self.would_be_usable(&endpoint.id, grace, now) {
                let end = self.waits.end(&endpoint.incarnation(), now)?;
                first = Some(first.map_or(end, |first| first.min(end)));
            }
        }
        first
    }

    /// Returns whether an endpoint is ready, not draining, and not unhealthy.
    pub fn is_ready(&self, id: &name::Endpoint, now: Instant) -> bool {
        let listed = self.get(id);
        listed.is_some_and(|e| self.stays(e)) && !self.is_unhealthy(id, now)
    }

    /// Returns whether an endpoint is not known to be leaving.
    fn stays(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == State::Ready && self.leaving_since(endpoint).is_none()
    }

    /// Returns whether an endpoint is listed as ready, so that it is not expected to end.
    pub fn is_expected_to_run(&self, incarnation: &Incarnation) -> bool {
        let listed = self.get(&incarnation.endpoint).filter(|e| e.born == incarnation.born);
        listed.is_some_and(|e| self.stays(e))
    }

    /// Returns whether an endpoint keeps its place in the plan: it is ready, or would be but for a brief
    /// silence.
    pub fn keeps_place(&self, id: &name::Endpoint, now: Instant) -> bool {
        let listed = self.get(id).filter(|e| self.stays(e));
        let is_silent = |e: &Endpoint| self.health.is_briefly_silent(id, e.born, now);
        listed.is_some_and(|e| self.is_ready(id, now) || is_silent(e))
    }

    /// Returns whether the set of usable endpoints stays the same until the next update.
    ///
    /// This is so if all unhealthy, paused, waiting and draining periods are over.
    pub fn has_no_pending_expiry(&self, grace: Duration, now: Instant) -> bool {
        let are_well = self.health.are_over(now) && self.pauses.are_over(now);
        are_well && self.waits.are_over(now) && self.leaving.are_past(grace, now)
    }
}
