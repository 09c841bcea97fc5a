//! Monotonic time as the decisions see it.
//!
//! No function of this crate reads a clock: the present time is always an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

use oriole_macros::key;

/// A point on the process's monotonic clock, in microseconds since an arbitrary start.
#[key]
#[derive(Default)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// The instant `us` microseconds after the clock's start.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Microseconds since the clock's start.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, zero if `earlier` lies in the future.
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

/// Whole microseconds of `duration`, saturating at `u64::MAX`.
pub fn as_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
