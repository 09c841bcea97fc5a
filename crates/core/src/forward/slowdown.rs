//! How much more slowly than estimated the events of a chain come.
//!
//! Load pattern: a chain with a slow stage, or with more work than the estimate foresees. What is
//! admitted must follow the pauses that callers see, or each new request makes all others late.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest period.
const NEWEST_WEIGHT: f64 = 0.35;

/// Time in which the factor of a chain without events comes half way back to 1.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Largest factor.
const MAX_FACTOR: f64 = 20.0;

/// Smallest factor.
const MIN_FACTOR: f64 = 0.5;

/// Silence of a chain that has requests but no stream yet, from which on it counts as pauses.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(900);

/// Events of one chain in the present period, and the factor so far.
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
    /// A gauge that has seen nothing.
    pub fn new(now: Instant) -> Self {
        let (pause_sum, event_count, streams) = (Duration::ZERO, 0, 0);
        Self { factor: 1.0, pause_sum, event_count, streams, last_event: now, period_start: now }
    }

    /// Notes that a request is on its way; `is_only` if there was none before it.
    pub fn request_sent(&mut self, is_only: bool, now: Instant) {
        if is_only {
            self.last_event = now;
        }
    }

    /// Counts the first event of a stream.
    pub fn begin_stream(&mut self, now: Instant) {
        self.streams += 1;
        self.last_event = now;
    }

    /// Ends a stream that [`Gauge::begin`] counted.
    pub fn finish_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Counts an event that came `pause` after the one before it in its stream.
    pub fn record_event(&mut self, pause: Duration, now: Instant) {
        self.pause_sum += pause;
        self.event_count += 1;
        self.last_event = now;
    }

    /// Ends a period in which an event was estimated to take `estimate`, with `requests` requests
    /// in progress.
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

    /// Time since the last event.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_event)
    }

    /// Streams in progress.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// The factor on estimated pauses.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
