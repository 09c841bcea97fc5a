//! Estimates that follow observations and return to a baseline without them.

use std::time::Duration;

use crate::time::Instant;

/// Part of an error that one observation corrects.
const GAIN: f64 = 0.5;

/// Time over a baseline, in microseconds.
///
/// It halves with each half-life that passes without an observation, so that what was slow once
/// is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    us: f64,
    at: Instant,
}

impl Excess {
    /// The excess at `now`, in microseconds.
    pub fn current_us(&self, now: Instant, half_life: Duration) -> f64 {
        if self.us == 0.0 {
            return 0.0;
        }
        let halvings = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.us * (-halvings).exp2()
    }

    /// Corrects the excess by a part of `error_us`, observed minus estimated time.
    pub fn correct(&mut self, now: Instant, half_life: Duration, error_us: f64) {
        let corrected = self.current_us(now, half_life) + GAIN * error_us;
        self.us = corrected.max(0.0);
        self.at = now;
    }
}

/// A source of random numbers that starts from one that was passed in (SplitMix64).
#[derive(Clone, Copy, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Starts from `random`.
    pub fn new(random: u64) -> Self {
        Self(random)
    }

    /// A number below `bound`, which must not be 0; the bias is negligible for small bounds.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = bound as u128;
        ((u128::from(self.next_u64()) * bound) >> 64) as usize
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
