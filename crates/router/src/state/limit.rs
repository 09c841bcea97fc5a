//! Limits on the rate of requests that endpoints name, and the permits to send requests to them.

use std::time::Duration;

use oriole_core::fleet::{Incarnation, Message};
use oriole_core::forward::rate::{Notice, Reply, Statement};
use oriole_core::message;
use oriole_core::name;
use oriole_core::time::Instant;

use super::{Shared, State};
use crate::metrics::Metrics;
use crate::peers;

/// Time after its start in which an entry may not know those that grant permits before it.
const STARTUP_PERIOD: Duration = Duration::from_millis(2500);

/// Wait of an entry that asked one that does not grant permits for the endpoint.
const UNSETTLED_WAIT_MS: u64 = 200;

impl State {
    /// Returns the endpoints to which this entry may send no request now: for want of a permit, or since
    /// they want few after a wait and have these.
    pub fn closed_endpoints(&self) -> Vec<name::Endpoint> {
        let now = self.now();
        let inner = self.inner.borrow();
        let is_running = |limited: &Incarnation| {
            inner.view.get(&limited.endpoint).is_some_and(|e| e.born == limited.born)
        };
        let limited = inner.limits.limited().filter(is_running).map(|limited| limited.endpoint);
        let without_permit = limited.filter(|endpoint| !inner.permits.has(endpoint, now));
        let bounded = inner.view.bounded_by_waits(now);
        let full = bounded.filter(|(id, most)| inner.in_flight.own(&id.endpoint).requests >= *most);
        without_permit.chain(full.map(|(id, _)| id.endpoint.clone())).collect()
    }

    /// Uses the permit for a request to an endpoint, if it limits its rate.
    pub fn take_permit(&self, endpoint: &name::Endpoint) {
        let now = self.now();
        self.inner.borrow_mut().permits.take(endpoint, now);
    }

    /// Requests a permit for an endpoint, unless one has been requested or refused lately.
    pub fn request_permit(&self, endpoint: &name::Endpoint) {
        let now = self.now();
        let notice = {
            let mut inner = self.inner.borrow_mut();
            let born = inner.view.get(endpoint).map_or(0, |e| e.born);
            let incarnation = Incarnation { endpoint: endpoint.clone(), born };
            match inner.limits.notice(&incarnation, now) {
                Some(notice) if inner.permits.request(endpoint, now) => notice,
                _ => return,
            }
        };
        let granting = self.first_for(endpoint);
        if granting == self.host {
            let reply = self.grant_permit(&notice);
            self.receive_permit(endpoint, reply);
        } else if let Some(hub) = self.hub.borrow().as_ref() {
            hub.send(&granting, None, message::Message::Fleet(Message::PermitRequest(notice)));
        }
    }

    /// Answers the request of an entry for a permit, with the limit that this entry knows.
    pub fn grant_permit(&self, notice: &Notice) -> Reply {
        let (now, endpoint) = (self.now(), &notice.incarnation.endpoint);
        let is_settled = now.since(self.started) >= STARTUP_PERIOD;
        if !is_settled || self.first_for(endpoint) != self.host {
            return Reply::Refused(UNSETTLED_WAIT_MS);
        }
        let mut inner = self.inner.borrow_mut();
        match inner.limits.limit(&notice.incarnation).or(notice.rate) {
            Some(rate) => inner.permits.grant(endpoint, rate, now),
            None => Reply::Granted,
        }
    }

    /// Records the reply to a request for a permit, and wakes the requests that wait for it.
    pub fn receive_permit(&self, endpoint: &name::Endpoint, reply: Reply) {
        let now = self.now();
        self.inner.borrow_mut().permits.receive(endpoint, reply, now);
        let result = if reply == Reply::Granted { "granted" } else { "refused" };
        Metrics::count(&self.metrics.permits, result);
        self.capacity_changed.notify_waiters();
    }

    /// Returns the time between two probes of an endpoint by this entry, if it limits its rate.
    pub fn limited_probe_interval(&self, incarnation: &Incarnation) -> Option<Duration> {
        let rate = self.inner.borrow().limits.limit(incarnation)?;
        Some(oriole_core::forward::rate::probe_interval(rate, self.entry_count()))
    }

    /// Forgets the limits of endpoints that are not listed any more.
    pub fn forget_gone_endpoints(&self) {
        let mut inner = self.inner.borrow_mut();
        let super::Inner { view, limits, permits, .. } = &mut *inner;
        limits.retain(|id| view.get(id).is_some());
        permits.retain(|id| view.get(id).is_some());
    }

    /// Records a limit that another entry tells.
    pub fn hear_limit(&self, notice: &Notice, source: &name::Host) {
        let now = self.now();
        let is_new = self.inner.borrow_mut().limits.hear(notice, now);
        if is_new {
            self.log_limit(notice, source);
        }
    }

    fn log_limit(&self, notice: &Notice, source: &name::Host) {
        let (endpoint, rate) = (notice.incarnation.endpoint.as_str(), notice.rate);
        log::info!(endpoint, rate:?, source = source.as_str(); "limit of an endpoint");
        self.capacity_changed.notify_waiters();
    }
}

/// Records what an answer to a request that was sent at `sent` states about the limit of its endpoint,
/// and tells the other entries of a change.
pub fn record(state: &Shared, incarnation: &Incarnation, statement: Statement, sent: Instant) {
    let now = state.now();
    let notice = {
        let mut inner = state.inner.borrow_mut();
        if !inner.limits.record(incarnation, statement, sent, now) {
            return;
        }
        inner.limits.notice(incarnation, now)
    };
    if let Some(notice) = notice {
        state.log_limit(&notice, &state.host);
        peers::broadcast(state, &Message::Limit(notice));
    }
}
