//! What the decisions hand back: effects, permits, denials and views.

use derive_more::{Display, Error};
use oriole_macros::{data, key};

use crate::limit::Key;
use crate::name;
use crate::request::Refusal;
use crate::share::{Message, Quota};

/// Something that the caller of the decisions is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an entry. It may get lost.
    Send(name::Host, Message),
    /// A loan has come: requests of the workspace that were denied with [`Denial::loan_pending`] may be
    /// tried again now, by [`Limiter::retry`](super::Limiter::retry).
    Retry(name::Workspace),
}

/// Proof that a request was admitted; it is to be given to [`Limiter::settle`](super::Limiter::settle) when the request ends.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct Permit {
    pub(super) key: Key,
    pub(super) number: u64,
    pub(super) tokens: u32,
    pub(super) roster: u64,
}

impl Permit {
    /// Number of the roster under which the request was admitted.
    pub fn roster(&self) -> u64 {
        self.roster
    }

    /// Tokens that were charged.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

/// Why a request was not admitted.
#[key]
#[derive(Display, Error)]
#[display("{refusal}")]
pub struct Denial {
    /// The reason.
    pub refusal: Refusal,
    /// Milliseconds after which another try is useful; none if it never is.
    pub retry_after_ms: Option<u64>,
    /// Whether a loan has been asked for, so that waiting up to [`LOAN_WAIT_MS`](super::LOAN_WAIT_MS) for
    /// [`Effect::Retry`] may help.
    #[serde(rename = "asked")]
    pub loan_pending: bool,
}

/// What the entry holds of one workspace's bound, for status and explanations.
#[data]
#[derive(Copy)]
pub struct View {
    /// The share that it owns, less what a recent change withholds.
    pub own: Quota,
    /// Lent to others.
    pub lent: Quota,
    /// Own share, less lent, plus borrowed.
    pub held: Quota,
    /// Requests in the bucket, in millionths.
    pub requests: i64,
    /// Tokens in the bucket, in millionths; negative if estimates were too low.
    pub tokens: i64,
    /// Requests in progress.
    pub in_use: u32,
}
