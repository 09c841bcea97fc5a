//! Messages about calls of plain services and their idempotency keys.
//!
//! The home of an idempotency key is the side that records which request used the key, and its
//! outcome.

use oriole_macros::data;

use crate::name;
use crate::request::{Attempt, Id, Refused};

use super::Term;

/// Calls a plain service.
#[data]
pub struct Call {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint that serves the call.
    pub endpoint: name::Endpoint,
    /// The workspace that is charged.
    pub workspace: name::Workspace,
    /// Priority of the contract, 0 (lowest) to 7.
    pub priority: u8,
    /// Weight of the contract among equal priorities.
    pub weight: u32,
    /// Milliseconds left until the deadline when this was sent.
    pub deadline_ms: u64,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Number of the roster under which the request was admitted.
    pub roster: u64,
    /// The side's term when this was first sent.
    pub term: Term,
}

/// The answer of a plain service.
#[data]
pub struct Reply {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The HTTP answer of the service.
    pub answer: Answer,
}

/// An HTTP answer.
#[data]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Asks a key's home whether a request may run.
#[data]
pub struct Claim {
    /// The request.
    pub request: Id,
    /// The workspace. Equal keys of different workspaces are different keys.
    pub workspace: name::Workspace,
    /// The idempotency key, a UUIDv7, which contains its time of issue.
    pub key: u128,
    /// First 16 bytes of the SHA-256 of service, method, path and body. A key may not be reused
    /// with others.
    pub digest: u128,
    /// Number of the roster from which the home was chosen.
    pub roster: u64,
}

/// The answer to a [`Claim`].
#[data]
pub struct Claimed {
    /// The request.
    pub request: Id,
    /// Whether the request may run.
    pub verdict: Verdict,
}

/// A home's verdict on a claim.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request may run, now and only under this request id.
    Run,
    /// The call has run under the given request id, with the given answer.
    Ran(Id, Answer),
    /// The request may not run.
    Refused(Refused),
}

/// The outcome of a claimed request.
#[data]
pub struct Settle {
    /// The request that held the claim.
    pub request: Id,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The idempotency key.
    pub key: u128,
    /// The answer, or why there is none. A refusal that proves that the request did not run frees
    /// the key.
    pub outcome: Result<Answer, Refused>,
}
