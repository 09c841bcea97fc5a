//!
//! A request that an endpoint has begun cannot be refused any more, and is lost if the process exits before its
//! answer is complete. It is taken only if its answer ends before the exit, also if its endpoint, which
//! may be sound, is silent for a while.
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

/// Safety factor on the time that an answer takes.
const ANSWER_TIME_FACTOR: f64 = 1.25;

/// Time for which an answer may pause beyond its estimate. Callers leave streams that pause for longer.
const PAUSE_ALLOWANCE: Duration = Duration::from_secs(2);

/// Returns the time within which an answer that begins now ends, of a request with `left` until its deadline.
///
/// `estimate` is the longest time that the answer should take. Without one, only the deadline bounds it.
pub fn longest_answer(estimate: Option<Duration>, left: Duration) -> Duration {
    let with_pause = estimate.map(|time| time.mul_f64(ANSWER_TIME_FACTOR) + PAUSE_ALLOWANCE);
    let by_deadline = left.mul_f64(ANSWER_TIME_FACTOR);
    with_pause.map_or(by_deadline, |time| time.min(by_deadline))
}

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
