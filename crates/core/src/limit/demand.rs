//! An estimate of the load that arrives at this entry.

use crate::time::Instant;

/// Time constant of the exponential decay, in seconds.
const TIME_CONSTANT_S: f64 = 2.0;

/// Mean intervals between arrivals without any arrival after which demand counts as stopped.
const MAX_SILENT_INTERVALS: f64 = 8.0;

/// Estimated arrivals per time constant from which demand counts as steady.
const STEADY_ARRIVALS: f64 = 5.0;

/// Exponentially weighted arrival rates of requests and tokens.
#[derive(Clone, Debug)]
pub struct Demand {
    requests: f64,
    tokens: f64,
    at: Instant,
}

impl Demand {
    /// Creates an estimate of no demand.
    pub fn new(now: Instant) -> Self {
        Self { requests: 0.0, tokens: 0.0, at: now }
    }

    /// Counts one request of `tokens`.
    pub fn record(&mut self, now: Instant, tokens: u32) {
        let keep = self.decay(now);
        self.requests = self.requests * keep + 1.0 / TIME_CONSTANT_S;
        self.tokens = self.tokens * keep + f64::from(tokens) / TIME_CONSTANT_S;
        self.at = self.at.max(now);
    }

    /// Returns the estimated requests per second.
    pub fn requests(&self, now: Instant) -> f64 {
        if self.has_stopped(now) { 0.0 } else { self.requests * self.decay(now) }
    }

    /// Returns the estimated tokens per second.
    pub fn tokens(&self, now: Instant) -> f64 {
        if self.has_stopped(now) { 0.0 } else { self.tokens * self.decay(now) }
    }

    /// Returns whether enough requests arrive for the estimate to be more than chance.
    pub fn is_steady(&self, now: Instant) -> bool {
        self.requests(now) * TIME_CONSTANT_S >= STEADY_ARRIVALS
    }

    /// Returns whether arrivals have stopped for much longer than chance explains, as when a load
    /// balancer has moved to other entries.
    fn has_stopped(&self, now: Instant) -> bool {
        now.since(self.at).as_secs_f64() * self.requests > MAX_SILENT_INTERVALS
    }

    fn decay(&self, now: Instant) -> f64 {
        (-now.since(self.at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }
}
