//! Intervals at which sides report the load of endpoints.
//!
//! Each entry receives the reports of all endpoints, so the interval grows with the number of
//! endpoints. Between reports, an entry updates its estimates from its own dispatches and from the
//! timings that arrive with tokens.

use std::time::Duration;

/// Size of one report on the wire, including a few prefix hints and its share of a frame.
pub const REPORT_BYTES: usize = 160;

/// Maximum rate of reports that an entry receives: half of the control traffic that a node is
/// allowed.
pub const REPORT_BUDGET_BYTES_PER_S: usize = 6_000;

/// Shortest report interval of an endpoint with work in progress.
const MIN_BUSY: Duration = Duration::from_secs(1);

/// Shortest report interval of an idle endpoint.
const MIN_IDLE: Duration = Duration::from_secs(5);

/// Shortest validity of a report.
const MIN_LIFETIME: Duration = Duration::from_secs(10);

/// Report intervals of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Intervals {
    /// Interval of an endpoint with work in progress.
    pub busy: Duration,
    /// Interval of an idle endpoint.
    pub idle: Duration,
    /// Shortest interval, used after a large change of load.
    pub min: Duration,
    /// Time for which a report is valid.
    pub lifetime: Duration,
}

impl Intervals {
    /// Computes the intervals of a deployment with this number of endpoints.
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
