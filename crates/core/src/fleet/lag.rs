//! Decides when an entry that is behind requests a change from a peer.
//!
//! Load pattern: a change reaches some of many entries first, and all of these announce it to each
//! entry that is behind at about the same time. If each of them sent the change unrequested, copies
//! would saturate the links of the slowest entries for seconds.

use std::time::Duration;

use crate::time::Instant;

/// Time that the store has to deliver a change before a peer is asked for it.
const STORE_GRACE: Duration = Duration::from_millis(150);

/// Time that a peer has to answer before the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Tracks how long this entry has been behind its peers on one topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    since: Option<Instant>,
    asked: Option<Instant>,
}

impl Lag {
    /// Returns whether to request the change from the peer whose message arrived `now`.
    ///
    /// `is_ahead` tells whether that peer is ahead. A peer that is not ahead says nothing about
    /// the others, so it does not reset the state.
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

    /// Resets the state, since this entry has caught up.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
