//! Where a request stands among those that compete for chains.

use std::time::Duration;

use oriole_core::forward::headroom::Headroom;
use oriole_core::forward::returns::Standing;

use super::admission::Waiter;
use crate::metrics::Metrics;
use crate::serve::Request;
use crate::settings::Order;
use crate::state::Shared;

/// Number of requests at the head of a queue that try for capacity, so that one that finds no room does not hold
/// up those behind it.
const TRYING: usize = 3;

/// Where a request stands among those that compete for chains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rank {
    /// By priority and arrival.
    Arrival,
    /// By priority and whether it was refused before.
    Standing(Standing),
    /// It was in progress on a chain before, and goes before all others.
    Resumed,
}

impl Rank {
    /// Returns the rank of a request that begins to ask for a chain.
    pub(super) fn of(state: &Shared, request: &Request, is_resumed: bool) -> Self {
        if state.admission_order(&request.service) == Order::Arrival {
            return Self::Arrival;
        }
        if is_resumed {
            return Self::Resumed;
        }
        let now = state.now();
        let mut inner = state.inner.borrow_mut();
        let standing = inner.returns.standing(request.fingerprint, now);
        let demand = inner.demand.entry(request.service.clone()).or_default();
        demand.ask(request.priority, now);
        Metrics::count(&state.metrics.standings, standing.as_str());
        Self::Standing(standing)
    }

    /// Returns whether the request waits rather than begin late behind prompts that passes prefill in pieces.
    pub(super) fn counts_passes(self) -> bool {
        matches!(self, Self::Standing(_))
    }

    /// Returns whether an answer that begins late is accepted at the end of the wait.
    pub(super) fn may_begin_late(self) -> bool {
        !matches!(self, Self::Standing(_))
    }

    /// Returns the part of a chain that the request leaves free.
    pub(super) fn headroom(self, state: &Shared, request: &Request) -> Headroom {
        let Self::Standing(standing) = self else {
            return Headroom::NONE;
        };
        let inner = state.inner.borrow();
        let demand = inner.demand.get(&request.service);
        demand.map_or(Headroom::NONE, |d| d.headroom(request.priority, standing, state.now()))
    }

    /// Returns the class of the request in the queue; lower ones go first.
    pub(super) fn class(self, state: &Shared, request: &Request) -> u16 {
        match self {
            Self::Arrival => u16::from(request.priority),
            Self::Standing(_) => 1 + self.headroom(state, request).thousandths(),
            Self::Resumed => 0,
        }
    }

    /// Returns whether the request may try for capacity now.
    pub(super) fn may_try(
        self,
        state: &Shared,
        request: &Request,
        waiter: Option<&Waiter>,
    ) -> bool {
        let class = self.class(state, request);
        let inner = state.inner.borrow();
        let Some(queue) = inner.queues.get(&request.service) else {
            return true;
        };
        let trying = if self == Self::Arrival { 1 } else { TRYING };
        match waiter {
            Some(waiter) => queue.is_among_first(waiter.ticket, trying),
            None => queue.would_be_first(class) || queue.len() < trying,
        }
    }

    /// Returns how many requests may wait beside this one, which waits `left` at most.
    pub(super) fn queue_limit(self, state: &Shared, request: &Request, left: Duration) -> usize {
        let Self::Standing(_) = self else {
            return usize::MAX;
        };
        let now = state.now();
        let mut inner = state.inner.borrow_mut();
        let departures = inner.departures.entry(request.service.clone()).or_default();
        departures.limit(left, now)
    }

    /// Records that the request begins.
    pub(super) fn record_begin(self, state: &Shared, request: &Request) {
        let now = state.now();
        let mut inner = state.inner.borrow_mut();
        inner.departures.entry(request.service.clone()).or_default().record(now);
        if let Self::Standing(_) = self {
            inner.demand.entry(request.service.clone()).or_default().begin(request.priority, now);
        }
    }
}
