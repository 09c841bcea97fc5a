//! This entry's share of a service's retry budget.
//!
//! The bound limits the retries of all entries together, in any sliding window. Each entry counts
//! its own requests for the part that is proportional to requests, and divides the fixed part by
//! the number of entries that may exist.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Fraction of the bound that is used; the margin allows for entries whose clocks and windows
/// differ.
const SAFE_FRACTION: f64 = 0.8;

/// Limit on the retries of all entries together.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window regardless of requests.
    pub fixed: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of one service in the current window.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Creates a budget without requests or retries.
    pub fn new(bound: Bound) -> Self {
        Self { bound, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Replaces the bound. Requests and retries already counted stay counted.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the share of one of `entries` entries.
    ///
    /// Returns false, and takes nothing, if the share is used up.
    pub fn try_take(&mut self, entries: usize, now: Instant) -> bool {
        self.expire(now);
        let share = self.bound.fixed / entries.max(1) as f64;
        let allowed = (share + self.bound.ratio * self.requests.len() as f64) * SAFE_FRACTION;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.bound.window) {
                times.pop_front();
            }
        }
    }
}
