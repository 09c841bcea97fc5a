//! Open-loop arrivals with a fixed seed: arrival times do not depend on the answers.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Words from which prompts are drawn.
const WORDS: [&str; 16] = [
    "room",
    "four",
    "drifts",
    "at",
    "night",
    "gate",
    "seven",
    "needs",
    "an",
    "aisle",
    "chair",
    "before",
    "noon",
    "please",
    "summarise",
    "today",
];

/// A Poisson process: an iterator over arrival times, counted from the start.
#[derive(Clone, Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    per_second: f64,
    next: Duration,
}

impl Arrivals {
    /// Creates arrivals at a mean rate of `per_second`.
    pub fn new(per_second: f64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { random, per_second: per_second.max(1e-6), next: Duration::ZERO }
    }

    /// Draws a prompt of `words` words.
    pub fn prompt(&mut self, words: usize) -> String {
        let drawn = (0..words).map(|_| WORDS[self.random.random_range(0..WORDS.len())]);
        drawn.collect::<Vec<_>>().join(" ")
    }

    /// Draws an index below `len`; returns 0 if `len` is 0.
    pub fn index(&mut self, len: usize) -> usize {
        self.random.random_range(0..len.max(1))
    }

    /// Draws the seed of another generator.
    pub fn seed(&mut self) -> u64 {
        self.random.next_u64()
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let uniform: f64 = self.random.random();
        // `uniform` is below 1, so the logarithm is finite.
        let gap = -(1.0 - uniform).ln() / self.per_second;
        self.next += Duration::from_secs_f64(gap);
        Some(self.next)
    }
}
