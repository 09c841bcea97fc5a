//! An estimate of how much is asked for at this entry.

use crate::time::Instant;

const TIME_CONSTANT_S: f64 = 2.0;
const MAX_SILENT_INTERVALS: f64 = 8.0;
const STEADY_ARRIVALS: f64 = 5.0;

/// Exponentially weighted rates of requests and of tokens that arrive.
#[derive(Clone, Debug)]
pub struct Demand {
    requests: f64,
    tokens: f64,
    at: Instant,
}

impl Demand {
    /// No demand yet.
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

    /// Requests a second.
    pub fn requests(&self, now: Instant) -> f64 {
        if self.has_stopped(now) { 0.0 } else { self.requests * self.decay(now) }
    }

    /// Tokens a second.
    pub fn tokens(&self, now: Instant) -> f64 {
        if self.has_stopped(now) { 0.0 } else { self.tokens * self.decay(now) }
    }

    /// Whether enough arrives for the estimate to mean more than a chance coincidence.
    pub fn is_steady(&self, now: Instant) -> bool {
        self.requests(now) * TIME_CONSTANT_S >= STEADY_ARRIVALS
    }

    /// Whether nothing has come for much longer than chance explains, as when a balancer has
    /// turned to other entries.
    fn has_stopped(&self, now: Instant) -> bool {
        now.since(self.at).as_secs_f64() * self.requests > MAX_SILENT_INTERVALS
    }

    fn decay(&self, now: Instant) -> f64 {
        (-now.since(self.at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }
}
