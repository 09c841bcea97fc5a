//! The schedule of calls to the key-value service, which bounds the load of all processes on it.

use std::time::Duration;

use super::rng::Rng;
use super::{Role, Version};
use crate::time::Instant;

/// Polls a second by all entries together at the longest interval, for 10 to 33 entries. With
/// more, [`POLL_INTERVAL_MAX`] applies and the rate grows with their number.
const POLLS_PER_SECOND: u32 = 10;
/// Bounds of the longest interval between two polls of one entry.
const POLL_INTERVAL_MIN: Duration = Duration::from_secs(1);
const POLL_INTERVAL_MAX: Duration = Duration::from_millis(3300);
/// Longest interval between two polls after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Longest random delay of the first poll, which spreads the polls of processes that restart
/// together.
const START_JITTER: Duration = Duration::from_secs(1);

/// Time after which an unanswered call counts as failed; longer than [`super::CALL_TIMEOUT`].
const CALL_EXPIRY: Duration = Duration::from_secs(4);

/// Time without a message from a peer that has a revision after which a side starts to poll.
const SIDE_POLL_SILENCE: Duration = Duration::from_secs(8);
/// Bounds of the random interval between two polls of a side.
const SIDE_POLL_INTERVAL_MIN: Duration = Duration::from_secs(5);
const SIDE_POLL_INTERVAL_MAX: Duration = Duration::from_secs(10);

/// Most documents in one call.
const READ_LIMIT_DOCUMENTS: usize = 64;

/// The calls of one process to the key-value service.
pub(super) struct Calls {
    role: Role,
    poll_at: Instant,
    /// When the call in progress counts as failed; `None` if there is none.
    deadline: Option<Instant>,
    /// Consecutive calls that failed.
    failures: u32,
    batch_size: usize,
    /// Whether the last call was answered; `None` before the first one ends.
    pub(super) reachable: Option<bool>,
    /// Whether the service holds older contents than the active revision.
    pub(super) set_back: bool,
    /// Version of the head that was read last.
    pub(super) version: Option<Version>,
}

impl Calls {
    pub(super) fn new(role: Role, now: Instant, rng: &mut Rng) -> Self {
        let poll_at = now + rng.between(Duration::ZERO, START_JITTER);
        let (deadline, reachable, version) = (None, None, None);
        Self {
            role,
            poll_at,
            deadline,
            failures: 0,
            batch_size: READ_LIMIT_DOCUMENTS,
            reachable,
            set_back: false,
            version,
        }
    }

    pub(super) fn role(&self) -> Role {
        self.role
    }

    /// Returns whether no call is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.deadline.is_none()
    }

    /// Returns whether the head is to be polled now. `last_heard` is when a peer that has a
    /// revision last announced it.
    pub(super) fn is_poll_due(&self, now: Instant, last_heard: Instant) -> bool {
        self.is_idle() && now >= self.next_poll(last_heard)
    }

    fn next_poll(&self, last_heard: Instant) -> Instant {
        match self.role {
            Role::Entry => self.poll_at,
            Role::Side => self.poll_at.max(last_heard + SIDE_POLL_SILENCE),
        }
    }

    pub(super) fn record_call(&mut self, now: Instant) {
        self.deadline = Some(now + CALL_EXPIRY);
    }

    /// Returns whether the call in progress has not been answered within [`CALL_EXPIRY`].
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }

    /// Returns the number of documents to read in the next call. It is halved after a failure and
    /// doubled after an answer.
    pub(super) fn batch_size(&self) -> usize {
        self.batch_size
    }

    pub(super) fn record_answer(&mut self) {
        self.deadline = None;
        self.reachable = Some(true);
        self.failures = 0;
        self.batch_size = (self.batch_size * 2).min(READ_LIMIT_DOCUMENTS);
    }

    pub(super) fn record_failure(&mut self) {
        self.deadline = None;
        self.reachable = Some(false);
        self.failures = self.failures.saturating_add(1);
        self.batch_size = (self.batch_size / 2).max(1);
    }

    /// Sets the time of the next poll. `entries` is the number of entries that share the rate.
    pub(super) fn schedule_poll(&mut self, now: Instant, entries: usize, rng: &mut Rng) {
        let wait = match self.role {
            Role::Side => rng.between(SIDE_POLL_INTERVAL_MIN, SIDE_POLL_INTERVAL_MAX),
            Role::Entry => {
                let longest = self.poll_interval(entries);
                rng.between(longest / 2, longest)
            }
        };
        self.poll_at = now + wait;
    }

    /// Returns the longest time until the next poll of an entry, with exponential backoff after
    /// failures.
    fn poll_interval(&self, entries: usize) -> Duration {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let even = Duration::from_secs(1).saturating_mul(entries) / POLLS_PER_SECOND;
        let base = even.clamp(POLL_INTERVAL_MIN, POLL_INTERVAL_MAX);
        let grown = base.saturating_mul(1 << self.failures.min(3));
        if self.failures == 0 { base } else { grown.min(BACKOFF_MAX) }
    }

    /// Returns when the call in progress expires or else the next poll is due.
    pub(super) fn wake(&self, last_heard: Instant) -> Instant {
        self.deadline.unwrap_or_else(|| self.next_poll(last_heard))
    }
}
