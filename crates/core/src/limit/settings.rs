//! Times by which loans and rosters are kept apart.

use std::time::Duration;

use oriole_macros::data;

/// Times by which loans and rosters are kept apart. All entries must agree on them.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds that a loan lasts unless it is renewed.
    pub loan_ms: u32,
    /// Milliseconds within which a new revision is in force on every reachable process.
    pub propagation_ms: u32,
    /// Milliseconds without any call after which the process counts as paused.
    pub stall_ms: u32,
    /// Most by which a monotonic clock may run fast or slow, in parts per million.
    pub drift_ppm: u32,
    /// Whether loans are given and asked for; without them the shares are static.
    pub lend: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self { loan_ms: 3000, propagation_ms: 17_000, stall_ms: 2000, drift_ppm: 500, lend: true }
    }
}

impl Settings {
    /// How long a borrower may use a loan, from when it asked.
    pub(super) fn loan_life(&self) -> Duration {
        Duration::from_millis(self.loan_ms.into())
    }

    /// A pause that is noticed.
    pub(super) fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms.into())
    }

    /// How long a new revision takes to every reachable process.
    pub(super) fn propagation(&self) -> Duration {
        self.with_clock_drift(Duration::from_millis(self.propagation_ms.into()))
    }

    /// `time` by the fastest clock, once it has passed by the slowest one.
    pub(super) fn with_clock_drift(&self, time: Duration) -> Duration {
        let slack = time.as_micros() * 3 * u128::from(self.drift_ppm) / 1_000_000;
        time + Duration::from_micros(u64::try_from(slack).unwrap_or(u64::MAX)) + ROUNDING_SLACK
    }

    /// How long a replaced share still bounds the present one.
    pub(super) fn overlap(&self) -> Duration {
        self.propagation()
            + self.with_clock_drift(self.loan_life())
            + self.with_clock_drift(self.stall())
    }
}

/// Covers the rounding of times to milliseconds in messages.
const ROUNDING_SLACK: Duration = Duration::from_millis(2);
