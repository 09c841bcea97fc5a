//! The process's monotonic clock.

use oriole_core::time::{self, as_us};

/// A monotonic clock that starts when it is created. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts a clock, which then shows one second.
    pub fn start() -> Self {
        Self { start: std::time::Instant::now() }
    }

    /// Returns the present time.
    pub fn now(&self) -> time::Instant {
        // Not zero, so that times shortly before the start can be represented.
        time::Instant::from_us(as_us(self.start.elapsed()).saturating_add(1_000_000))
    }
}
