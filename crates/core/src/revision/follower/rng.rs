//! Random choices, seeded with the random number that each event carries.

use std::time::Duration;

use crate::time::as_us;

/// A SplitMix64 generator: the seed determines the sequence, so that decisions are reproducible.
pub(super) struct Rng(u64);

impl Rng {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a duration between `low` and `high`, both included.
    pub(super) fn between(&mut self, low: Duration, high: Duration) -> Duration {
        let span = as_us(high.saturating_sub(low)).saturating_add(1);
        low + Duration::from_micros(self.next() % span)
    }

    /// Removes and returns a random one of `items`.
    pub(super) fn pick<T>(&mut self, items: &mut Vec<T>) -> Option<T> {
        if items.is_empty() {
            return None;
        }
        let index = self.next() % items.len() as u64;
        Some(items.swap_remove(usize::try_from(index).unwrap_or(0)))
    }
}
