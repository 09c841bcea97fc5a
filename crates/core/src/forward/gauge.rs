//! How much more slowly than estimated the events of a chain come.
//!
//! Load pattern: a chain with a slow stage, or with more work than the estimate foresees. What is
//! admitted must follow the pauses that callers see, or each new request makes all others late.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest period.
const NEWEST: f64 = 0.35;

/// Time in which the factor of a chain without events comes half way back to 1.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Largest factor.
const MAX_FACTOR: f64 = 20.0;

/// Smallest factor.
const MIN_FACTOR: f64 = 0.5;

/// Events of one chain in the present period, and the factor so far.
#[derive(Clone, Debug)]
pub struct Gauge {
    factor: f64,
    sum: Duration,
    count: u32,
    last: Instant,
    closed: Instant,
}

impl Gauge {
    /// A gauge that has seen nothing.
    pub fn new(now: Instant) -> Self {
        Self { factor: 1.0, sum: Duration::ZERO, count: 0, last: now, closed: now }
    }

    /// Counts an event that came `pause` after the one before it in its stream.
    pub fn event(&mut self, pause: Duration, now: Instant) {
        self.sum += pause;
        self.count += 1;
        self.last = now;
    }

    /// Ends a period in which an event was estimated to take `estimate`, with `streams` streams
    /// that have had their first event.
    pub fn close(&mut self, estimate: Duration, streams: u32, now: Instant) {
        let passed = now.since(self.closed);
        self.closed = now;
        let silent = now.since(self.last);
        let seen = if self.count > 0 {
            Some(self.sum / self.count)
        } else if streams > 0 && silent > estimate * 2 {
            Some(silent)
        } else {
            None
        };
        (self.sum, self.count) = (Duration::ZERO, 0);
        match seen {
            Some(pause) => {
                let factor = pause.as_secs_f64() / estimate.as_secs_f64().max(1e-6);
                let factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
                self.factor += (factor - self.factor) * NEWEST;
            }
            None if streams == 0 => {
                let halves = passed.as_secs_f64() / HALF_LIFE.as_secs_f64();
                self.factor = 1.0 + (self.factor - 1.0) * 0.5_f64.powf(halves);
            }
            None => {}
        }
    }

    /// Time since the last event.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last)
    }

    /// The factor on estimated pauses.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
