//! Measures how much slower than estimated a chain produces events.
//!
//! Load pattern: a chain with a slow stage, or with more work than the estimate accounts for.
//! Admission must follow the pauses that callers observe, or each new request delays all others.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest period in the moving average.
const NEWEST_WEIGHT: f64 = 0.35;

/// Half-life with which the factor of a chain without streams returns to 1.
const HALF_LIFE: Duration = Duration::from_secs(3);

const MAX_FACTOR: f64 = 20.0;
const MIN_FACTOR: f64 = 0.5;

/// Silence after which a chain with requests but no stream yet counts as slow.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(900);

/// Slowdown of one chain: a moving average, and the events of the current period.
#[derive(Clone, Debug)]
pub struct Meter {
    factor: f64,
    pause_sum: Duration,
    event_count: u32,
    streams: u32,
    last_event: Instant,
    period_start: Instant,
}

impl Meter {
    /// Creates a meter without observations, with a factor of 1.
    pub fn new(now: Instant) -> Self {
        let (pause_sum, event_count, streams) = (Duration::ZERO, 0, 0);
        Self { factor: 1.0, pause_sum, event_count, streams, last_event: now, period_start: now }
    }

    /// Records that a request was sent. If it is the only one in progress (`is_only`), silence
    /// is measured from now on.
    pub fn request_sent(&mut self, is_only: bool, now: Instant) {
        if is_only {
            self.last_event = now;
        }
    }

    /// Records the first event of a stream.
    pub fn begin_stream(&mut self, now: Instant) {
        self.streams += 1;
        self.last_event = now;
    }

    /// Ends a stream that [`Meter::begin_stream`] counted.
    pub fn finish_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Records an event that arrived `pause` after the previous one of its stream.
    pub fn record_event(&mut self, pause: Duration, now: Instant) {
        self.pause_sum += pause;
        self.event_count += 1;
        self.last_event = now;
    }

    /// Ends the current period and updates the factor.
    ///
    /// `estimate` is the estimated time between two events in this period, and `requests` the
    /// number of requests in progress.
    pub fn close_period(&mut self, estimate: Duration, requests: u32, now: Instant) {
        let passed = now.since(self.period_start);
        self.period_start = now;
        let silent = now.since(self.last_event);
        let limit = if self.streams > 0 { estimate * 2 } else { FIRST_EVENT_SILENCE };
        let observed = if self.event_count > 0 {
            Some(self.pause_sum / self.event_count)
        } else if requests > 0 && silent > limit {
            Some(silent)
        } else {
            None
        };
        (self.pause_sum, self.event_count) = (Duration::ZERO, 0);
        match observed {
            Some(pause) => {
                let factor = pause.as_secs_f64() / estimate.as_secs_f64().max(1e-6);
                let factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
                self.factor += (factor - self.factor) * NEWEST_WEIGHT;
            }
            None if self.streams == 0 => {
                let halves = passed.as_secs_f64() / HALF_LIFE.as_secs_f64();
                self.factor = 1.0 + (self.factor - 1.0) * 0.5_f64.powf(halves);
            }
            None => {}
        }
    }

    /// Discards all observations; streams in progress stay counted.
    pub fn reset(&mut self, now: Instant) {
        *self = Self { streams: self.streams, ..Self::new(now) };
    }

    /// Returns the time since the last event, or since the first request was sent.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_event)
    }

    /// Returns the number of streams in progress.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// Returns the ratio of observed to estimated pauses, averaged over recent periods.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
