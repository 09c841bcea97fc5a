//! The order in which requests wait for capacity.
//!
//! Load pattern: a burst that exceeds the capacity of the chains. Requests are ordered by
//! class; within a class, workspaces take turns, so that a busy workspace does not starve
//! the others; within a workspace, by arrival. A request waits only as long as its answer can
//! still begin in time, and is refused at once if it cannot, or if the queue is full.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::name;
use crate::time::Instant;

/// Fraction of a route's objective that a request may spend in the queue.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Maximum number of requests in one queue.
const MAX_WAITING: usize = 256;

/// Identifies a request in the queue.
pub type Ticket = u64;

/// Sort key of a request: headroom or priority, turn of its workspace, order of arrival.
type Position = (u16, u64, Ticket);

/// Requests that wait for capacity.
#[derive(Debug, Default)]
pub struct Queue {
    positions: BTreeMap<Position, Option<name::Workspace>>,
    position_of: BTreeMap<Ticket, Position>,
    served: BTreeMap<Option<name::Workspace>, u64>,
    next: Ticket,
}

impl Queue {
    /// Adds a request; lower values of `class` go first.
    ///
    /// If `limit` requests wait, the last one of a higher class leaves the queue for it. Returns `None` if there
    /// is none, or if the queue is full.
    pub fn push(
        &mut self,
        class: u16,
        workspace: Option<name::Workspace>,
        limit: usize,
    ) -> Option<Ticket> {
        if self.positions.len() >= limit.min(MAX_WAITING) {
            let last = self.positions.last_key_value().map(|(position, _)| *position)?;
            if last.0 <= class {
                return None;
            }
            self.remove(last.2, false);
        }
        let ticket = self.next;
        self.next += 1;
        let ahead = self.positions.values().filter(|w| **w == workspace).count() as u64;
        let floor = self.served.values().min().copied().unwrap_or_default();
        let turn = self.served.get(&workspace).copied().unwrap_or(floor) + ahead;
        let position = (class, turn, ticket);
        self.positions.insert(position, workspace);
        self.position_of.insert(ticket, position);
        Some(ticket)
    }

    /// Returns whether a request is in the queue: not after [`Queue::remove`], or when another one took its place.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.position_of.contains_key(&ticket)
    }

    /// Returns whether `ticket` is among the first `count` requests of the queue.
    pub fn is_among_first(&self, ticket: Ticket, count: usize) -> bool {
        self.positions.keys().take(count).any(|position| position.2 == ticket)
    }

    /// Returns the ticket at the head of the queue, or `None` if the queue is empty.
    pub fn first(&self) -> Option<Ticket> {
        self.positions.first_key_value().map(|(position, _)| position.2)
    }

    /// Returns whether a new request of `class` would be at the head of the queue.
    pub fn would_be_first(&self, class: u16) -> bool {
        self.positions.first_key_value().is_none_or(|(position, _)| position.0 > class)
    }

    /// Removes a request. `is_served` tells whether it was admitted, which takes a turn of its
    /// workspace.
    pub fn remove(&mut self, ticket: Ticket, is_served: bool) {
        let Some(position) = self.position_of.remove(&ticket) else {
            return;
        };
        let Some(workspace) = self.positions.remove(&position) else {
            return;
        };
        if is_served {
            *self.served.entry(workspace).or_default() += 1;
        }
        if self.positions.is_empty() {
            self.served.clear();
        }
    }

    /// Returns the number of requests in the queue.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}

/// Window over which departures are counted.
const DEPARTURE_PERIOD: Duration = Duration::from_secs(1);

/// Number of requests that may wait however few leave the queue. They find out when there is room again.
const MIN_LIMIT: usize = 2;

/// Requests of this entry that began lately, which tell how many of those that wait can begin in time.
///
/// Load pattern: more requests come than begin. Those that cannot begin in time are refused at once, rather
/// than after a wait.
#[derive(Debug, Default)]
pub struct Departures {
    times: VecDeque<Instant>,
    /// Whether any request has begun since the process started.
    has_any: bool,
}

impl Departures {
    /// Records that a request begins.
    pub fn record(&mut self, now: Instant) {
        self.forget_old(now);
        self.times.push_back(now);
        self.has_any = true;
    }

    /// Returns the number of requests that began in the last second.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.forget_old(now);
        self.times.len() as f64 / DEPARTURE_PERIOD.as_secs_f64()
    }

    /// Returns how many requests may wait if each waits `wait` at most.
    ///
    /// Any number until the first one begins: an entry that has started knows nothing of how many the chains can
    /// begin, and callers that come back after a restart of all entries come together.
    pub fn limit(&mut self, wait: Duration, now: Instant) -> usize {
        if !self.has_any {
            return usize::MAX;
        }
        let most = (self.per_second(now) * wait.as_secs_f64()).ceil();
        // The cast from float to integer saturates.
        (most as usize).max(MIN_LIMIT)
    }

    fn forget_old(&mut self, now: Instant) {
        while self.times.front().is_some_and(|at| now.since(*at) >= DEPARTURE_PERIOD) {
            self.times.pop_front();
        }
    }
}

/// Returns the time until which a request may wait for capacity.
///
/// It is a fraction of `objective` after `arrived`, but at most `deadline`.
pub fn wait_deadline(arrived: Instant, objective: Duration, deadline: Instant) -> Instant {
    (arrived + objective.mul_f64(MAX_WAIT_FRACTION)).min(deadline)
}

/// Window over which refusals are counted, as a measure of overload.
const REFUSAL_PERIOD: Duration = Duration::from_secs(3);

/// Shortest `retry-after` of a refused request, before the random spread.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Longest `retry-after`, before the spread; callers accept at most a third of the
/// time that they have left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(4500);

/// Refusals within [`REFUSAL_PERIOD`] that lengthen `retry-after` by one [`MIN_RETRY_AFTER`].
const REFUSALS_PER_STEP: f64 = 15.0;

/// Recent refusals, from which `retry-after` of the next one is derived.
///
/// Load pattern: demand exceeds capacity for some seconds, such as while a lost chain is replaced.
/// A caller that retries within that time is refused again and has no further attempt.
#[derive(Debug, Default)]
pub struct Refusals {
    times: VecDeque<Instant>,
}

impl Refusals {
    /// Records a refusal and returns its `retry-after`, spread by `random`.
    pub fn refuse(&mut self, now: Instant, random: u64) -> Duration {
        while self.times.front().is_some_and(|at| now.since(*at) > REFUSAL_PERIOD) {
            self.times.pop_front();
        }
        self.times.push_back(now);
        let steps = self.times.len() as f64 / REFUSALS_PER_STEP;
        let spread = (random >> 11) as f64 / (1_u64 << 53) as f64;
        let wait = MIN_RETRY_AFTER.mul_f64((1.0 + steps) * (1.0 + spread / 2.0));
        wait.min(MAX_RETRY_AFTER.mul_f64(1.0 + spread / 4.0))
    }
}
