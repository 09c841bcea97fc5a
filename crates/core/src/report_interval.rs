//! How often sides report the load of endpoints, by the size of the deployment.
//!
//! Each entry gets the reports of all endpoints, so their rate must fall as endpoints are added.
//! Between reports an entry corrects what it knows by its own dispatches and by the timings that
//! come with tokens.

use std::time::Duration;

/// Bytes of one report on the wire, with a few prefix hints and its part of a frame.
pub const REPORT_BYTES: usize = 160;

/// Bytes a second that an entry spends on reports at most, half of what a node may spend on
/// control.
pub const REPORT_BUDGET_BYTES_PER_S: usize = 6_000;

/// Least interval of reports of an endpoint in use.
const MIN_BUSY: Duration = Duration::from_secs(1);

/// Least interval of reports of an endpoint that is not in use.
const MIN_IDLE: Duration = Duration::from_secs(5);

/// Least time for which a report counts.
const MIN_LIFETIME: Duration = Duration::from_secs(10);

/// Intervals of reports in a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Intervals {
    /// Interval of an endpoint in use.
    pub busy: Duration,
    /// Interval of an endpoint that is not.
    pub idle: Duration,
    /// Least interval after a large change of load.
    pub min: Duration,
    /// Time for which a report counts.
    pub lifetime: Duration,
}

impl Intervals {
    /// The pace of a deployment with this number of endpoints.
    pub fn new(endpoints: usize) -> Self {
        let bytes = endpoints.saturating_mul(REPORT_BYTES);
        let round = Duration::from_secs_f64(bytes as f64 / REPORT_BUDGET_BYTES_PER_S as f64);
        let busy = round.max(MIN_BUSY);
        let idle = busy.max(MIN_IDLE);
        Self { busy, idle, min: busy / 2, lifetime: (idle * 3).max(MIN_LIFETIME) }
    }
}

impl Default for Intervals {
    fn default() -> Self {
        Self::new(0)
    }
}
