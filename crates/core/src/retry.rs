//! The budget for retries and the wait before each.

use std::time::Duration;

use derive_more::Display;
use oriole_macros::key;

use crate::message::Fault;
use crate::time::Instant;

/// How fast a budget fills.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Retries that each request adds.
    pub ratio: f64,
    /// Most retries that are saved up.
    pub burst: f64,
    /// Retries a second that are allowed without requests.
    pub per_second: f64,
}

/// Retries after refusals and silence.
pub const RETRIES: Rate = Rate { ratio: 0.2, burst: 10.0, per_second: 1.0 };

/// Moves of slow requests in progress; a link that degrades slows many at once.
pub const MOVES: Rate = Rate { ratio: 0.2, burst: 64.0, per_second: 4.0 };

/// The first wait.
const BACKOFF: Duration = Duration::from_millis(20);

/// The longest wait.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// Why an attempt is given up and another is made. Each has a counter.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A side refused it as not run.
    #[display("refused")]
    Refused,
    /// An engine or a plain service failed.
    #[display("engine")]
    Engine,
    /// A stage could not reach the next one.
    #[display("link")]
    Link,
    /// A side no longer held the attempt.
    #[display("absent")]
    Absent,
    /// A stage held fewer positions than expected.
    #[display("gap")]
    Gap,
    /// A host could not be reached any more.
    #[display("host-lost")]
    HostLost,
    /// No outcome came in time.
    #[display("silent")]
    Silent,
    /// Tokens came much more slowly than another chain is estimated to bring them.
    #[display("slow")]
    Slow,
    /// No chain could be found for a request in progress.
    #[display("no-chain")]
    NoChain,
}

impl Reason {
    /// Whether the retry counts against the budget.
    ///
    /// A death that shows takes work away from the endpoint that died, so that moving the work
    /// adds no load, and each request in progress must move. Refusals and silence also come from
    /// overload, which retries would make worse.
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

/// Retries that one entry may still make: a token bucket that requests fill.
///
/// In an outage each entry adds at most a fixed part to its load, however many requests fail.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    tokens: f64,
    filled: Instant,
}

impl Budget {
    /// A full budget.
    pub fn new(now: Instant, rate: Rate) -> Self {
        Self { rate, tokens: rate.burst, filled: now }
    }

    /// Counts a request that was admitted.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + self.rate.ratio).min(self.rate.burst);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * self.rate.per_second).min(self.rate.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// When the next retry will be possible.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / self.rate.per_second).max(0.0))
    }
}

/// The wait before the retry number `retry`, counted from 0: exponential, with full jitter by
/// `random`, so that requests that failed together do not come back together.
pub fn backoff(retry: u32, random: u64) -> Duration {
    let ceiling = BACKOFF.saturating_mul(1 << retry.min(10)).min(LONGEST_BACKOFF);
    let part = (random >> 11) as f64 / (1_u64 << 53) as f64;
    ceiling.mul_f64(part)
}
