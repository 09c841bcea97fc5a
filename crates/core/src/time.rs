//! Monotonic time.
//!
//! No function of this crate reads a clock. The present time is always an argument, so that
//! decisions are reproducible.

use std::ops::{Add, Sub};
use std::time::Duration;

use oriole_macros::key;

/// A point on the process's monotonic clock, in microseconds since an arbitrary start.
#[key]
#[derive(Default)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// Returns the instant `us` microseconds after the clock's start.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, zero if `earlier` is later than this instant.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(as_us(rhs)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(as_us(rhs)))
    }
}

/// Returns the whole microseconds of `duration`, saturating at `u64::MAX`.
pub fn as_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
