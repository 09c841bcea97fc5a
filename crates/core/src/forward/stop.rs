//! When a caller that a stopping entry turns away may come back.
//!
//! Load pattern: entries are restarted one after the other while callers keep their connections to
//! them. Callers come back over new connections, which the load balancer gives to the entries that it
//! knows to be ready. Some callers come back only once.

use std::time::Duration;

/// Time from the exit of a process until the next one is ready.
const RESTART_TIME: Duration = Duration::from_millis(900);

/// Time within which the load balancer notices that an entry is ready.
const READY_NOTICE_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time after which a caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Greatest random addition to the time to come back, so that callers do not all come at once.
const MAX_SPREAD: Duration = Duration::from_millis(100);

/// What decides when an entry gets new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The load balancer has not been told yet that the entry is ready.
    Starting,
    /// The load balancer gives it new connections.
    Ready,
    /// The process exits within this time.
    Stopping(Duration),
}

/// Returns the time after which an entry gets new connections.
pub fn ready_in(phase: Phase) -> Duration {
    match phase {
        Phase::Starting => READY_NOTICE_PERIOD,
        Phase::Ready => Duration::ZERO,
        Phase::Stopping(left) => left + RESTART_TIME + READY_NOTICE_PERIOD,
    }
}

/// Returns the time after which a caller may come back, of an entry that gets new connections in
/// `own` and whose first peer to get some does in `peer`, if there is one.
pub fn retry_after(own: Duration, peer: Option<Duration>, random: u64) -> Duration {
    let unit = (random >> 11) as f64 / (1_u64 << 53) as f64;
    let first = peer.map_or(own, |peer| peer.min(own));
    first + MIN_RETRY_AFTER + MAX_SPREAD.mul_f64(unit)
}
