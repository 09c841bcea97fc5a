//! When a caller got events: the time to the first one and the longest pause after it.

use std::cell::Cell;
use std::time::Duration;

use oriole_core::time::Instant;

/// Times of one answer's events, whichever chains they came from.
#[derive(Debug, Default)]
pub struct Timing {
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    longest_pause: Cell<Duration>,
}

impl Timing {
    /// Counts an event that came `now`.
    pub fn record_event(&self, now: Instant) {
        if self.first.get().is_none() {
            self.first.set(Some(now));
        }
        if let Some(last) = self.last.replace(Some(now)) {
            self.longest_pause.set(self.longest_pause.get().max(now.since(last)));
        }
    }

    /// Time from `arrived` to the first event; zero without one.
    pub fn first_event_after(&self, arrived: Instant) -> Duration {
        self.first.get().map_or(Duration::ZERO, |first| first.since(arrived))
    }

    /// The longest time between two events.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}
