//! Estimates that follow observations and decay to a baseline without them, and a small random
//! number generator.

use std::time::Duration;

use crate::time::Instant;

/// Fraction of the error that one observation corrects.
const GAIN: f64 = 0.5;

/// Observed time in excess of a baseline, in microseconds.
///
/// It decays exponentially without observations, so that a node or link that was slow once is
/// tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    us: f64,
    at: Instant,
}

impl Excess {
    /// Returns the excess at `now`, in microseconds.
    pub fn current_us(&self, now: Instant, half_life: Duration) -> f64 {
        if self.us == 0.0 {
            return 0.0;
        }
        let halvings = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.us * (-halvings).exp2()
    }

    /// Corrects the excess by a fraction of `error_us`, the observed minus the estimated time.
    pub fn correct(&mut self, now: Instant, half_life: Duration, error_us: f64) {
        let corrected = self.current_us(now, half_life) + GAIN * error_us;
        self.us = corrected.max(0.0);
        self.at = now;
    }
}

/// A deterministic random number generator (SplitMix64) with an explicit seed.
#[derive(Clone, Copy, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `bound`, which must not be 0.
    ///
    /// The bias is negligible for small bounds.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = bound as u128;
        ((u128::from(self.next_u64()) * bound) >> 64) as usize
    }

    /// Returns the next number of the sequence.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
