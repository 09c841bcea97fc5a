//! The retry budget, and the backoff between retries.

use std::time::Duration;

use derive_more::Display;
use oriole_macros::key;

use crate::message::Fault;
use crate::time::{Instant, as_us};

/// How fast a budget refills, and its size.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Retries that each request adds.
    pub ratio: f64,
    /// Most retries that the budget can hold.
    pub burst: f64,
    /// Retries that each second adds, whether or not there are requests.
    pub per_second: f64,
}

/// Rate of retries after refusals and timeouts.
pub const RETRY_RATE: Rate = Rate { ratio: 0.2, burst: 10.0, per_second: 1.0 };

/// Rate of migrations of slow generations. The burst is larger than for retries because a degraded
/// link slows many generations at once.
pub const MIGRATION_RATE: Rate = Rate { ratio: 0.2, burst: 64.0, per_second: 4.0 };

/// Upper bound of the first backoff.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Upper bound of any backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Why an attempt is replaced by another one. Each reason has a counter.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A side refused the attempt without running it.
    #[display("refused")]
    Refused,
    /// An engine or a plain service failed.
    #[display("engine")]
    Engine,
    /// A stage could not reach the next stage.
    #[display("link")]
    Link,
    /// A side no longer held the state of the attempt.
    #[display("absent")]
    Absent,
    /// A stage held fewer positions than the step required.
    #[display("gap")]
    Gap,
    /// A host became unreachable.
    #[display("host-lost")]
    HostLost,
    /// A stage or a side did not respond in time.
    #[display("silent")]
    Silent,
    /// Tokens came more slowly than another chain is estimated to produce them.
    #[display("slow")]
    Slow,
    /// No chain was found for a generation in progress.
    #[display("no-chain")]
    NoChain,
}

impl Reason {
    /// Returns whether the retry counts against the budget.
    ///
    /// A detected failure takes load away from the failed endpoint, so moving its requests adds
    /// no load, and every request in progress there must move. Refusals and timeouts may also
    /// come from overload, which retries would make worse.
    pub fn is_budgeted(self) -> bool {
        matches!(self, Self::Refused | Self::Silent)
    }
}

impl From<Fault> for Reason {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Engine => Self::Engine,
            Fault::Link => Self::Link,
            Fault::Absent => Self::Absent,
            Fault::Gap => Self::Gap,
        }
    }
}

/// Retry budget of one entry: a token bucket that is refilled by requests and by time.
///
/// It bounds the load that retries add during an outage to a fixed fraction of the requests,
/// however many of them fail.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    tokens: f64,
    last_refill: Instant,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(now: Instant, rate: Rate) -> Self {
        Self { rate, tokens: rate.burst, last_refill: now }
    }

    /// Adds the share of one admitted request to the budget.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.rate.ratio).min(self.rate.burst);
    }

    /// Takes one retry from the budget. Returns `false` if the budget is empty.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.since(self.last_refill).as_secs_f64();
        self.last_refill = self.last_refill.max(now);
        self.tokens = (self.tokens + elapsed * self.rate.per_second).min(self.rate.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the whole milliseconds until the next retry is possible.
    pub fn retry_after_ms(&self) -> u64 {
        let wait = Duration::from_secs_f64(((1.0 - self.tokens) / self.rate.per_second).max(0.0));
        as_us(wait) / 1000
    }
}

/// Returns the wait before retry number `retry`, counted from 0: exponential backoff with full
/// jitter from `random`, so that requests that fail together are not retried together.
pub fn backoff(retry: u32, random: u64) -> Duration {
    let max = FIRST_BACKOFF.saturating_mul(1 << retry.min(10)).min(MAX_BACKOFF);
    let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
    max.mul_f64(fraction)
}
