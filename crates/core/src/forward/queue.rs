//! The order in which requests wait for room.
//!
//! Load pattern: a burst beyond what the chains can hold. Ranks go first; within a rank,
//! workspaces take turns, so that one that sends much does not keep the others out; within a
//! workspace, the order of arrival. A request waits only as long as its answer can still begin
//! in time, and is refused at once where too many wait already.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::name;
use crate::time::Instant;

/// Part of a route's objective that a request may wait for room.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Requests that wait at one entry.
const MAX_WAITING: usize = 256;

/// Identity of a waiting request.
pub type Ticket = u64;

/// A place in the order: rank, turns that the workspace has had, arrival.
type Position = (u8, u64, Ticket);

/// Requests that wait for room.
#[derive(Debug, Default)]
pub struct Queue {
    positions: BTreeMap<Position, Option<name::Workspace>>,
    position_of: BTreeMap<Ticket, Position>,
    served: BTreeMap<Option<name::Workspace>, u64>,
    next: Ticket,
}

impl Queue {
    /// Adds a request; none if too many wait.
    pub fn push(&mut self, rank: u8, workspace: Option<name::Workspace>) -> Option<Ticket> {
        if self.positions.len() >= MAX_WAITING {
            return None;
        }
        let ticket = self.next;
        self.next += 1;
        let ahead = self.positions.values().filter(|w| **w == workspace).count() as u64;
        let floor = self.served.values().min().copied().unwrap_or_default();
        let turn = self.served.get(&workspace).copied().unwrap_or(floor) + ahead;
        let position = (rank, turn, ticket);
        self.positions.insert(position, workspace);
        self.position_of.insert(ticket, position);
        Some(ticket)
    }

    /// Whether no request waits before `ticket`.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.positions.first_key_value().is_some_and(|(position, _)| position.2 == ticket)
    }

    /// The first ticket.
    pub fn first(&self) -> Option<Ticket> {
        self.positions.first_key_value().map(|(position, _)| position.2)
    }

    /// Whether a new request of `rank` would be first.
    pub fn would_be_first(&self, rank: u8) -> bool {
        self.positions.first_key_value().is_none_or(|(position, _)| position.0 > rank)
    }

    /// Removes a request; `served` if it got room.
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

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}

/// Until when a request that arrived at `arrived` may wait for room.
pub fn wait_deadline(arrived: Instant, objective: Duration, deadline: Instant) -> Instant {
    (arrived + objective.mul_f64(MAX_WAIT_FRACTION)).min(deadline)
}

/// Period in which refusals show how much more is asked for than can be served.
const REFUSAL_PERIOD: Duration = Duration::from_secs(3);

/// Shortest wait before a refused request comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Longest wait; callers heed no more than a third of the time that they have.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(4500);

/// Refusals in the period for each [`SHORTEST_RETURN`] by which requests come back later.
const REFUSALS_PER_STEP: f64 = 15.0;

/// Refusals of late, by which requests are told when to come back.
///
/// Load pattern: more is asked for than can be served for some seconds, such as while a lost chain
/// is replaced. A caller that comes back while that lasts is refused again and has no further try.
#[derive(Debug, Default)]
pub struct Refusals {
    times: VecDeque<Instant>,
}

impl Refusals {
    /// Counts a refusal; returns when its request is to come back, spread by `random`.
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
