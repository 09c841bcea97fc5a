//! When an entry asks another one for what it lacks.
//!
//! Load pattern: a change that reaches some of many entries first. All of them tell each one that
//! is behind at about the same time; if each sent the change unasked, the links of the slowest
//! entries would be full of copies for seconds.

use std::time::Duration;

use crate::time::Instant;

/// How long the store itself has to deliver a change before another entry is asked for it.
const STORE_GRACE: Duration = Duration::from_millis(150);

/// How long one entry has to answer before the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of being behind the other entries in one matter.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    since: Option<Instant>,
    asked: Option<Instant>,
}

impl Lag {
    /// Whether to ask the entry that was heard `now`, which is ahead if `is_ahead`.
    ///
    /// Entries that are not ahead say nothing about the others.
    pub fn should_ask(&mut self, is_ahead: bool, now: Instant) -> bool {
        if !is_ahead {
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_waiting = self.asked.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT);
        if is_waiting || now.since(since) < STORE_GRACE {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Notes that the matter has been brought up to date.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
