//! This entry's share of the retries that a service may get.
//!
//! The bound holds for all entries together, in any window. Each entry counts its own requests
//! for the part that grows with them, and divides the fixed part by the entries that may exist.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Part of the bound that is used, since other entries' clocks and windows differ.
const SAFE_FRACTION: f64 = 0.8;

/// The bound, summed over all entries.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that are allowed without requests.
    pub fixed: f64,
    /// The window.
    pub window: Duration,
}

/// Requests and retries of one service in the last window.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// An unused budget.
    pub fn new(bound: Bound) -> Self {
        Self { bound, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Changes the bound from now on.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the share of one of `entries` entries allows it.
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
