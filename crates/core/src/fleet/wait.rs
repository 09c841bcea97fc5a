//! For how long endpoints that turned requests away are in back-off.
//!
//! Load pattern: an endpoint in need turns requests away and names a time. Whatever reaches it before,
//! reports included, adds to its need, and so does all that has waited for the end of that time. So
//! nothing is sent to it meanwhile, and then few requests at first.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Incarnation;
use crate::time::Instant;

/// Longest wait that is heeded; a longer one counts as this.
pub const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Time after a wait in which the requests in progress may double once.
const RAMP_STEP: Duration = Duration::from_millis(250);

/// Time after a wait in which requests in progress are bounded.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Part of a wait, and the time beyond it, over which the return of callers is spread.
const SPREAD: (f64, Duration) = (0.25, Duration::from_millis(500));

/// What a refusal states about the time for which its endpoint is in back-off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// It names none.
    None,
    /// It names this one.
    For(Duration),
    /// What it says cannot be read, and counts as none.
    Unreadable,
}

/// The waits of all endpoints, with their ends.
#[derive(Debug, Default)]
pub struct Waits {
    until: BTreeMap<Incarnation, Instant>,
}

impl Waits {
    /// Records that an endpoint is in back-off for `wait`, and returns whether it was not waiting before.
    ///
    /// A shorter wait does not end a longer one.
    pub fn record(&mut self, incarnation: &Incarnation, wait: Duration, now: Instant) -> bool {
        self.until.retain(|_, until| now.since(*until) < RAMP_TIME);
        let is_new = !self.is_waiting(incarnation, now);
        let end = now + wait.min(MAX_WAIT);
        let until = self.until.entry(incarnation.clone()).or_insert(end);
        *until = end.max(*until);
        is_new
    }

    /// Returns when the wait of an endpoint ends, or `None` if it is not waiting.
    pub fn end(&self, incarnation: &Incarnation, now: Instant) -> Option<Instant> {
        self.until.get(incarnation).copied().filter(|until| now < *until)
    }

    /// Returns whether an endpoint is in back-off now.
    pub fn is_waiting(&self, incarnation: &Incarnation, now: Instant) -> bool {
        self.end(incarnation, now).is_some()
    }

    /// Returns how many requests of this entry may be in progress at an endpoint, or `None` if its waits do
    /// not bound them.
    pub fn most_requests(&self, incarnation: &Incarnation, now: Instant) -> Option<u32> {
        let until = self.until.get(incarnation)?;
        if now < *until {
            return Some(0);
        }
        let after = now.since(*until);
        let doublings = (after.as_millis() / RAMP_STEP.as_millis()) as u32;
        (after < RAMP_TIME).then(|| 1_u32.checked_shl(doublings).unwrap_or(u32::MAX))
    }

    /// Returns the endpoints whose requests in progress are bounded now.
    pub fn bounded(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, u32)> {
        self.until.keys().filter_map(move |id| Some((id, self.most_requests(id, now)?)))
    }

    /// Returns whether no endpoint waits or has just waited.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Returns whether no wait is running.
    pub fn are_over(&self, now: Instant) -> bool {
        self.until.values().all(|until| now >= *until)
    }
}

/// Returns the time after which a caller may come back if the first wait ends in `wait`, spread by
/// `random` so that callers do not come at once.
pub fn retry_after(wait: Duration, random: u64) -> Duration {
    let (part, beyond) = SPREAD;
    let spread = (random >> 11) as f64 / (1_u64 << 53) as f64;
    wait.mul_f64(1.0 + part * spread) + beyond.mul_f64(spread)
}
