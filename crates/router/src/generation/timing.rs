//! Times of the events of one response: time to the first event, and longest pause between two.

use std::cell::Cell;
use std::time::Duration;

use oriole_core::time::Instant;

/// Arrival times of the events of one response, over all its attempts.
#[derive(Debug, Default)]
pub struct Timing {
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    longest_pause: Cell<Duration>,
}

impl Timing {
    /// Records that events arrived at `now`.
    pub fn record_event(&self, now: Instant) {
        if self.first.get().is_none() {
            self.first.set(Some(now));
        }
        if let Some(last) = self.last.replace(Some(now)) {
            self.longest_pause.set(self.longest_pause.get().max(now.since(last)));
        }
    }

    /// Returns the time from `arrived` to the first event, or zero if there is none.
    pub fn first_event_after(&self, arrived: Instant) -> Duration {
        self.first.get().map_or(Duration::ZERO, |first| first.since(arrived))
    }

    /// Returns the longest time between two events, or zero if there are fewer than two.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}
