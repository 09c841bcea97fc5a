//! The process's monotonic clock.

use oriole_core::time::{self, as_us};

/// A monotonic clock that starts with its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: std::time::Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> time::Instant {
        // One second ahead of zero, so that times shortly before the start can be expressed.
        time::Instant::from_us(as_us(self.start.elapsed()).saturating_add(1_000_000))
    }
}
