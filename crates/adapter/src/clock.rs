//! The process's monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriole_core::time;

/// Time that a clock shows at its start, so that times before it can be represented: other processes
/// tell of events by their age.
const OFFSET: Duration = Duration::from_secs(2 * 24 * 3600);

/// Returns the time of day as Unix time in milliseconds; 0 before 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

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
