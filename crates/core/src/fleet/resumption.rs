//! Whether the process was paused, and must learn what has changed before it acts.
//!
//! Load pattern: a host stands still or is starved for some seconds. Requests that wait in its sockets are
//! read first when it goes on, and would be sent by what held before: to endpoints that have left, or with
//! keys that have been withdrawn.

use std::time::Duration;

use crate::time::Instant;

/// Time between two ticks from which on the process was paused.
const MIN_PAUSE: Duration = Duration::from_millis(1500);

/// Longest time for which requests wait for a new listing, which the store may not give.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// The pauses of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resumption {
    /// When the process ran last, and the time of day then, in milliseconds.
    ticked_at: Option<(Instant, u64)>,
    resumed_at: Option<Instant>,
}

impl Resumption {
    /// Records that the process runs, which it does several times a second, at the time of day `unix_ms`.
    ///
    /// Returns the length of the pause that has just ended, if there was one. The steady clock does not
    /// count the time for which a host is suspended; a step of the time of day counts as a pause, too.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Option<Duration> {
        let gap = self.ticked_at.map(|(at, at_ms)| {
            now.since(at).max(Duration::from_millis(unix_ms.saturating_sub(at_ms)))
        });
        let pause = gap.filter(|gap| *gap >= MIN_PAUSE);
        self.ticked_at = Some((now, unix_ms));
        if pause.is_some() {
            self.resumed_at = Some(now);
        }
        pause
    }

    /// Returns whether requests wait, since the last listing, read at `listed_at`, is from before a pause.
    pub fn is_settling(&self, listed_at: Option<Instant>, now: Instant) -> bool {
        let Some(resumed_at) = self.resumed_at else {
            return false;
        };
        let is_new = listed_at.is_some_and(|at| at >= resumed_at);
        !is_new && now.since(resumed_at) < SETTLE_TIME
    }
}
