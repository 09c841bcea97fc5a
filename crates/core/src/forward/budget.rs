//! This entry's share of a service's retry budget.
//!
//! The bound limits the retries of all entries together, in any sliding window. Each entry counts
//! its own requests for the part that is proportional to requests, and divides the fixed part by
//! the number of entries that may use it.
//!
//! Load pattern: endpoints crash while entries end and start. What a process took out of its share
//! is forgotten with it and still counts, so that the next one on its host gets little at first.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Fraction of the fixed part that entries use that have run for [`NEW_WINDOWS`].
const SETTLED_FRACTION: f64 = 0.8;

/// Fraction of the fixed part that new entries use: with [`SETTLED_FRACTION`], all entries may start
/// twice in a window.
const NEW_FRACTION: f64 = 0.1;

/// Fraction used of the part that is proportional to requests. Requests of the last window may be more by
/// a third than those of the windows by which the users count.
const RATIO_FRACTION: f64 = 0.75;

/// Windows after its start for which an entry is new: one in which what its predecessor took still
/// counts, and half of one in which others may not know of it.
const NEW_WINDOWS: f64 = 1.5;

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

/// What decides how much of the fixed part of a budget an entry may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Time since the process started.
    pub age: Duration,
    /// Number of entries that may use the fixed part, this one included; `None` while it is unknown.
    pub entries: Option<usize>,
}

/// Permission to send one attempt of a request, which only a [`Budget`] hands out.
#[derive(Debug)]
#[must_use]
pub struct Pass {
    /// When a retry was taken out of the share; `None` for the first attempt.
    taken_at: Option<Instant>,
}

/// Requests and retries of one service in the current window.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Bound {
    /// Returns how many retries of the fixed part an entry may send in a window.
    fn fixed_share(&self, standing: Standing) -> f64 {
        let Some(entries) = standing.entries else {
            return 0.0;
        };
        let is_new = standing.age < self.window.mul_f64(NEW_WINDOWS);
        let fraction = if is_new { NEW_FRACTION } else { SETTLED_FRACTION };
        self.fixed * fraction / entries.max(1) as f64
    }
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

    /// Records a caller's request, and returns the pass of its first attempt.
    pub fn record_request(&mut self, now: Instant) -> Pass {
        self.expire(now);
        self.requests.push_back(now);
        Pass { taken_at: None }
    }

    /// Takes one retry out of the share of an entry with this `standing`.
    ///
    /// Returns `None`, and takes nothing, if the share is used up.
    pub fn try_take(&mut self, standing: Standing, now: Instant) -> Option<Pass> {
        self.expire(now);
        let proportional = self.bound.ratio * RATIO_FRACTION * self.requests.len() as f64;
        let allowed = self.bound.fixed_share(standing) + proportional;
        if self.retries.len() as f64 + 1.0 > allowed {
            return None;
        }
        self.retries.push_back(now);
        Some(Pass { taken_at: Some(now) })
    }

    /// Records that an attempt is sent. A retry counts from now on, as it may have waited for capacity.
    pub fn spend(&mut self, pass: Pass, now: Instant) {
        let Some(taken_at) = pass.taken_at else {
            return;
        };
        if let Some(position) = self.retries.iter().rposition(|at| *at == taken_at) {
            self.retries.remove(position);
        }
        self.retries.push_back(now);
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.bound.window) {
                times.pop_front();
            }
        }
    }
}
