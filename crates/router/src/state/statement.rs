//! What endpoints state about themselves in the heads of their answers.

use std::time::Duration;

use actix_http::ResponseHead;
use oriole_core::fleet::{Incarnation, Message, leaving, wait};
use oriole_core::name;
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Statements};

use super::{Shared, State, limit};
use crate::metrics::Metrics;
use crate::peers;

/// Maximum number of endpoints of which it is remembered that something they state was unreadable.
const MAX_UNREADABLE: usize = 1024;

impl State {
    /// Records that an endpoint said to the entry `source`, `age` ago, that it is leaving. Returns whether
    /// that is new.
    pub fn record_leaving(&self, incarnation: &Incarnation, age: Duration, source: &str) -> bool {
        let at = self.now() - age;
        let is_new = self.inner.borrow_mut().view.record_leaving(incarnation, at);
        if is_new {
            log::info!(endpoint = incarnation.endpoint.as_str(), source; "endpoint says it leaves");
            self.refresh();
        }
        is_new
    }

    /// Records that an endpoint backs this entry off for `wait`.
    pub fn record_wait(&self, incarnation: &Incarnation, wait: Duration) {
        let now = self.now();
        if self.inner.borrow_mut().view.record_wait(incarnation, wait, now) {
            let (endpoint, wait_ms) = (incarnation.endpoint.as_str(), wait.as_millis() as u64);
            log::info!(endpoint, wait_ms; "endpoint is in back-off");
            Metrics::count(&self.metrics.statements, "wait");
            self.refresh();
        }
    }

    /// Returns the time after which a caller may come back if all endpoints of a service are in back-off now.
    pub fn wait_of_all(&self, service: &name::Service) -> Option<Duration> {
        let now = self.now();
        let end = self.inner.borrow().view.end_of_waits(service, self.drain_grace(), now)?;
        Some(wait::retry_after(end.since(now), rand::random()))
    }

    /// Warns once for each run of an endpoint that it states something that cannot be read.
    fn warn_unreadable(&self, incarnation: &Incarnation, statement: &'static str) {
        Metrics::count(&self.metrics.statements, "unreadable");
        let mut warned = self.unreadable_statements.borrow_mut();
        if warned.len() >= MAX_UNREADABLE {
            warned.clear();
        }
        if warned.insert((incarnation.clone(), statement)) {
            let endpoint = incarnation.endpoint.as_str();
            log::warn!(endpoint, statement; "endpoint states something that cannot be read");
        }
    }
}

/// Records what the head of an answer to a request that was sent at `sent` states about its endpoint,
/// and tells the other entries.
pub fn record(state: &Shared, incarnation: &Incarnation, head: &ResponseHead, sent: Instant) {
    let statements = endpoint::statements(head);
    limit::record(state, incarnation, statements.limit, sent);
    record_own(state, incarnation, statements);
}

/// Records what the answer to a report or an order states about its endpoint.
///
/// A limit holds for callers' requests, and only answers to these tell that there is none.
pub fn record_own(state: &Shared, incarnation: &Incarnation, statements: Statements) {
    match statements.leaving {
        leaving::Statement::Stays => {}
        leaving::Statement::Leaves => {
            if state.record_leaving(incarnation, Duration::ZERO, state.host.as_str()) {
                Metrics::count(&state.metrics.statements, "leaving");
                peers::broadcast(state, &Message::Leaving(incarnation.clone()));
            }
        }
        leaving::Statement::Unreadable => state.warn_unreadable(incarnation, "leaving"),
    }
    match statements.wait {
        wait::Statement::None => {}
        wait::Statement::For(wait) => state.record_wait(incarnation, wait),
        wait::Statement::Unreadable => state.warn_unreadable(incarnation, "wait"),
    }
}
