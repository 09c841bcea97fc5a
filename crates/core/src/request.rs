//! Identity of requests and the vocabulary of refusals.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use oriole_macros::{data, failure, key};
use sha2::{Digest, Sha256};

use crate::name;

/// Identifies one request for its whole life, on every process.
///
/// The text form names the entry host by a hash of its name, so that an operator's client can
/// find the process that holds the decision record.
#[key]
pub struct Id {
    /// First four bytes of the SHA-256 of the entry host's name.
    pub host: u32,
    /// Random number that the entry drew when it started.
    pub boot: u32,
    /// Sequence number within one run of the entry, starting at 1.
    pub seq: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:08x}-{:08x}-{:x}", self.host, self.boot, self.seq)
    }
}

/// A text that is not a request id.
#[failure]
#[display("a request id looks like req-<host>-<boot>-<sequence>, all hexadecimal")]
pub struct ParseError;

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.strip_prefix("req-").ok_or(ParseError)?.split('-');
        let mut part = || parts.next().ok_or(ParseError);
        let host = u32::from_str_radix(part()?, 16).map_err(|_| ParseError)?;
        let boot = u32::from_str_radix(part()?, 16).map_err(|_| ParseError)?;
        let seq = u64::from_str_radix(part()?, 16).map_err(|_| ParseError)?;
        match parts.next() {
            Some(_) => Err(ParseError),
            None => Ok(Self { host, boot, seq }),
        }
    }
}

/// The hash of a host's name that stands in [`Id::host`].
pub fn host_hash(host: &name::Host) -> u32 {
    let digest = Sha256::digest(host.as_str().as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Number of a try at running a request, starting at 1. A later one fences off earlier ones.
pub type Attempt = u32;

/// Index of a token in a sequence, prompt first, starting at 0.
pub type Position = u32;

/// Whether a refused request ran.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It is proven that no part of it took effect, and none will.
    #[display("no")]
    No,
    /// It may or may not have taken effect.
    #[display("unknown")]
    Unknown,
}

/// Why a request, or one attempt at it, was refused. Each has a counter.
#[key]
#[derive(Display, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The caller's key matches no workspace.
    #[display("unauthorized")]
    Unauthorized,
    /// The request could not be understood.
    #[display("malformed")]
    Malformed,
    /// The body or a header is larger than allowed.
    #[display("too-large")]
    TooLarge,
    /// No such model or service, or none that the contract allows.
    #[display("not-found")]
    NotFound,
    /// The contract's rate of requests is used up.
    #[display("request-rate")]
    RequestRate,
    /// The contract's rate of tokens is used up.
    #[display("token-rate")]
    TokenRate,
    /// The contract's number of concurrent requests is used up.
    #[display("concurrency")]
    Concurrency,
    /// The deadline cannot be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// No chain of endpoints covers the model now.
    #[display("no-chain")]
    NoChain,
    /// The endpoint is leaving.
    #[display("leaving")]
    Leaving,
    /// The endpoint's queue is full.
    #[display("queue-full")]
    QueueFull,
    /// A newer attempt or a tombstone fences this one off.
    #[display("fenced")]
    Fenced,
    /// The work was admitted under a superseded roster.
    #[display("superseded")]
    Superseded,
    /// The retry budget is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// The idempotency key is already in use by a request that still runs.
    #[display("key-in-use")]
    KeyInUse,
    /// The idempotency key was issued before its home took over.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The idempotency key's home cannot be reached.
    #[display("home-unreachable")]
    HomeUnreachable,
    /// The endpoint failed while it ran the request.
    #[display("endpoint-failed")]
    EndpointFailed,
    /// The caller went away.
    #[display("cancelled")]
    Cancelled,
    /// The side holds no records of the time at which the work was first sent to it.
    #[display("restarted")]
    Restarted,
    /// The idempotency key was used before for another request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The entry has no configuration yet.
    #[display("starting")]
    Starting,
    /// The entry is stopping.
    #[display("stopping")]
    Stopping,
}

/// The refusal as it is told to the caller.
#[data]
pub struct Refused {
    /// The reason.
    pub reason: Refusal,
    /// Whether the request ran.
    pub ran: Ran,
    /// Milliseconds after which another try is useful, if that is known.
    pub retry_after_ms: Option<u64>,
}
