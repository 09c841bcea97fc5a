//! Ids of requests, and the reasons for which requests are refused.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use oriole_macros::{data, failure, key};
use sha2::{Digest, Sha256};

use crate::name;

/// Identifies a request on all processes, until it is finished.
///
/// The text form contains a hash of the entry host's name, so that an operator's client can find
/// the process that holds the decision record.
#[key]
pub struct Id {
    /// First four bytes of the SHA-256 of the entry host's name.
    pub host: u32,
    /// Random number that the entry chose at its start.
    pub boot: u32,
    /// Sequence number within one run of the entry, starting at 1.
    pub seq: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:08x}-{:08x}-{:x}", self.host, self.boot, self.seq)
    }
}

/// The text is not a request id.
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

/// Returns the hash of a host's name, as used in [`Id::host`].
pub fn host_hash(host: &name::Host) -> u32 {
    let digest = Sha256::digest(host.as_str().as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Number of an attempt to run a request, starting at 1. A later attempt fences off earlier ones.
pub type Attempt = u32;

/// Index of a token in a sequence, which is the prompt followed by the answer, starting at 0.
pub type Position = u32;

/// Whether a refused request ran.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// Certainly not: no part of the request took effect, and none will.
    #[display("no")]
    No,
    /// Unknown: the request may have taken effect.
    #[display("unknown")]
    Unknown,
}

/// Why a request, or one attempt at it, was refused. Each reason has a counter.
#[key]
#[derive(Display, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The caller's key matches no workspace.
    #[display("unauthorized")]
    Unauthorized,
    /// The request could not be parsed.
    #[display("malformed")]
    Malformed,
    /// The body or a header is larger than allowed.
    #[display("too-large")]
    TooLarge,
    /// There is no memory for the body.
    #[display("no-memory")]
    NoMemory,
    /// The model or service does not exist, or the contract does not allow it.
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
    /// No chain of usable endpoints covers all layers of the model.
    #[display("no-chain")]
    NoChain,
    /// The endpoint is draining.
    #[display("leaving")]
    Leaving,
    /// The endpoint's queue is full.
    #[display("queue-full")]
    QueueFull,
    /// A newer attempt or a tombstone fences off this attempt.
    #[display("fenced")]
    Fenced,
    /// The work was admitted under a superseded roster.
    #[display("superseded")]
    Superseded,
    /// The retry budget is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// Another request with the same idempotency key is still running.
    #[display("key-in-use")]
    KeyInUse,
    /// The home of the idempotency key, the side that records it, does not know whether a request
    /// with this key ran: the key was issued before this home took over, or the outcome is lost.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The home of the idempotency key cannot be reached.
    #[display("home-unreachable")]
    HomeUnreachable,
    /// The endpoint failed while it ran the request.
    #[display("endpoint-failed")]
    EndpointFailed,
    /// The caller closed the connection.
    #[display("cancelled")]
    Cancelled,
    /// The side has no records of the time at which the work was first sent to it.
    #[display("restarted")]
    Restarted,
    /// The idempotency key was used before with another service, method, path or body.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The entry has no configuration yet.
    #[display("starting")]
    Starting,
    /// The entry is stopping.
    #[display("stopping")]
    Stopping,
}

impl Refusal {
    /// Returns whether an attempt that a side refused for this reason is not retried elsewhere.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Deadline | Self::Superseded)
    }
}

/// A refusal, as returned to the caller.
#[data]
pub struct Refused {
    /// Why the request was refused.
    pub reason: Refusal,
    /// Whether the request ran.
    pub ran: Ran,
    /// Milliseconds after which the caller should retry, if known.
    pub retry_after_ms: Option<u64>,
}
