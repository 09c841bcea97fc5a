//! Random numbers of a seed, for series of faults that can be played again.

/// Random numbers of a seed.
pub struct Random(u64);

impl Random {
    /// Begins the numbers of `seed`.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next number, which is below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % end
    }
}
