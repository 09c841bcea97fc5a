//! Time limits for loans and for roster changes.

use std::time::Duration;

use oriole_macros::data;

/// Time limits for loans and for roster changes. All entries must use the same values.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// Life of a loan unless it is renewed, in milliseconds.
    pub loan_ms: u32,
    /// Time within which a new revision is in force on every reachable process, in milliseconds.
    pub propagation_ms: u32,
    /// Time without any call after which the process counts as paused, in milliseconds.
    pub stall_ms: u32,
    /// Maximum rate error of a monotonic clock, in parts per million.
    pub drift_ppm: u32,
    /// Whether entries lend and borrow; otherwise each keeps to its own share.
    pub lend: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self { loan_ms: 3000, propagation_ms: 17_000, stall_ms: 2000, drift_ppm: 500, lend: true }
    }
}

impl Settings {
    /// Returns how long a borrower may use a loan, counted from its request.
    pub(super) fn loan_life(&self) -> Duration {
        Duration::from_millis(self.loan_ms.into())
    }

    /// Returns the time without any call after which the process counts as paused.
    pub(super) fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms.into())
    }

    /// Returns the time within which a new revision reaches every reachable process, by any clock.
    pub(super) fn propagation(&self) -> Duration {
        self.with_clock_drift(Duration::from_millis(self.propagation_ms.into()))
    }

    /// Returns `time` extended by the clock drift: once it has passed on the fastest clock, `time`
    /// has passed on the slowest one.
    pub(super) fn with_clock_drift(&self, time: Duration) -> Duration {
        let slack = time.as_micros() * 3 * u128::from(self.drift_ppm) / 1_000_000;
        time + Duration::from_micros(u64::try_from(slack).unwrap_or(u64::MAX)) + ROUNDING_SLACK
    }

    /// Returns how long a replaced share still bounds the current one.
    pub(super) fn overlap(&self) -> Duration {
        self.propagation()
            + self.with_clock_drift(self.loan_life())
            + self.with_clock_drift(self.stall())
    }
}

/// Covers the rounding of times to milliseconds in messages.
const ROUNDING_SLACK: Duration = Duration::from_millis(2);
