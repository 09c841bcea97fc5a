//! When the key-value service is called, so that the fleet stays within its budget.

use std::time::Duration;

use super::dice::Dice;
use super::{Role, Version};
use crate::time::Instant;

/// Reads a second of the head by all entries together, up to 33 entries.
const POLLS_PER_SECOND: u32 = 10;
const POLL_SHORTEST: Duration = Duration::from_secs(1);
const POLL_LONGEST: Duration = Duration::from_millis(3300);
const BACK_OFF_LONGEST: Duration = Duration::from_secs(5);

/// Spread of the first poll, for processes that restart together.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Time after which a call that was not answered counts as failed; above [`super::CALL_TIMEOUT`].
const CALL_DEADLINE: Duration = Duration::from_secs(4);

/// A side polls only if no peer with a revision was heard for this long.
const SIDE_SILENCE: Duration = Duration::from_secs(8);
const SIDE_POLL_SHORTEST: Duration = Duration::from_secs(5);
const SIDE_POLL_LONGEST: Duration = Duration::from_secs(10);

/// Most documents that are read in one call.
const READ_LIMIT: usize = 64;

/// The schedule of calls to the key-value service by one process.
pub(super) struct Service {
    role: Role,
    due: Instant,
    busy: Option<Instant>,
    failures: u32,
    batch: usize,
    /// Whether the last call was answered; `None` before the first.
    pub(super) up: Option<bool>,
    /// Whether it holds older contents than this process.
    pub(super) set_back: bool,
    /// Version of the head that was last read.
    pub(super) version: Option<Version>,
}

impl Service {
    pub(super) fn new(role: Role, now: Instant, dice: &mut Dice) -> Self {
        let due = now + dice.between(Duration::ZERO, START_SPREAD);
        let (busy, up, version) = (None, None, None);
        Self { role, due, busy, failures: 0, batch: READ_LIMIT, up, set_back: false, version }
    }

    /// The process's role.
    pub(super) fn role(&self) -> Role {
        self.role
    }

    /// Whether a call may be sent now.
    pub(super) fn idle(&self) -> bool {
        self.busy.is_none()
    }

    /// Whether the head is to be polled now. `heard` is when a peer was last heard.
    pub(super) fn poll_due(&self, now: Instant, heard: Instant) -> bool {
        self.idle() && now >= self.next_poll(heard)
    }

    fn next_poll(&self, heard: Instant) -> Instant {
        match self.role {
            Role::Entry => self.due,
            Role::Side => self.due.max(heard + SIDE_SILENCE),
        }
    }

    pub(super) fn called(&mut self, now: Instant) {
        self.busy = Some(now + CALL_DEADLINE);
    }

    /// Whether the call in progress has gone unanswered for too long.
    pub(super) fn overdue(&self, now: Instant) -> bool {
        self.busy.is_some_and(|deadline| now >= deadline)
    }

    /// Documents to read in the next call.
    pub(super) fn batch(&self) -> usize {
        self.batch
    }

    pub(super) fn answered(&mut self) {
        self.busy = None;
        self.up = Some(true);
        self.failures = 0;
        self.batch = (self.batch * 2).min(READ_LIMIT);
    }

    pub(super) fn failed(&mut self) {
        self.busy = None;
        self.up = Some(false);
        self.failures = self.failures.saturating_add(1);
        self.batch = (self.batch / 2).max(1);
    }

    /// Sets the time of the next poll.
    pub(super) fn schedule(&mut self, now: Instant, entries: usize, dice: &mut Dice) {
        let wait = match self.role {
            Role::Side => dice.between(SIDE_POLL_SHORTEST, SIDE_POLL_LONGEST),
            Role::Entry => {
                let longest = self.interval(entries);
                dice.between(longest / 2, longest)
            }
        };
        self.due = now + wait;
    }

    fn interval(&self, entries: usize) -> Duration {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let even = Duration::from_secs(1).saturating_mul(entries) / POLLS_PER_SECOND;
        let base = even.clamp(POLL_SHORTEST, POLL_LONGEST);
        let grown = base.saturating_mul(1 << self.failures.min(3));
        if self.failures == 0 { base } else { grown.min(BACK_OFF_LONGEST) }
    }

    /// When something is next to be done.
    pub(super) fn wake(&self, heard: Instant) -> Instant {
        self.busy.unwrap_or_else(|| self.next_poll(heard))
    }
}
