//! The process's monotonic clock.

use std::time::Duration;

use oriole_core::time;

/// Time that a clock shows at its start, so that times before it can be represented: other processes
/// tell of events by their age.
const OFFSET: Duration = Duration::from_secs(2 * 24 * 3600);

/// A monotonic clock that starts when it is created. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts a clock, which then shows [`OFFSET`].
    pub fn start() -> Self {
        Self { start: std::time::Instant::now() }
    }

    /// Returns the present time.
    pub fn now(&self) -> time::Instant {
        time::Instant::default() + OFFSET + self.start.elapsed()
    }
}
