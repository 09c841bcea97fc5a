//! Results of the limiter: effects, permits, denials and views.

use derive_more::{Display, Error};
use oriole_macros::{data, key};

use crate::limit::Key;
use crate::name;
use crate::request::Refusal;
use crate::share::{Message, Quota};

/// An action that the caller of the limiter is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an entry. Delivery is not required.
    Send(name::Host, Message),
    /// A loan was received. Requests of the workspace that were denied with
    /// [`Denial::loan_pending`] may be attempted again now, by
    /// [`Limiter::retry`](super::Limiter::retry).
    Retry(name::Workspace),
}

/// Proof that a request was admitted. It is passed to [`Limiter::settle`](super::Limiter::settle)
/// when the request ends.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct Permit {
    pub(super) key: Key,
    pub(super) number: u64,
    pub(super) tokens: u32,
    pub(super) roster: u64,
}

impl Permit {
    /// Returns the number of the roster under which the request was admitted.
    pub fn roster(&self) -> u64 {
        self.roster
    }

    /// Returns the number of tokens that were charged.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

/// Why a request was not admitted.
#[key]
#[derive(Display, Error)]
#[display("{refusal}")]
pub struct Denial {
    /// The reason that is reported to the caller.
    pub refusal: Refusal,
    /// Milliseconds after which another attempt may succeed; `None` if it never can.
    pub retry_after_ms: Option<u64>,
    /// Whether a loan has been requested, so that waiting up to
    /// [`LOAN_WAIT_MS`](super::LOAN_WAIT_MS) for [`Effect::Retry`] may help.
    #[serde(rename = "asked")]
    pub loan_pending: bool,
}

/// What the entry holds of one workspace's bounds, for status and explanations.
#[data]
#[derive(Copy)]
pub struct View {
    /// The entry's own share, less what is withheld during startup or after a change.
    pub own: Quota,
    /// Quota lent to other entries.
    pub lent: Quota,
    /// Quota that requests here may use: own, less lent, plus borrowed.
    pub held: Quota,
    /// Level of the request bucket, in millionths of a request.
    pub requests: i64,
    /// Level of the token bucket, in millionths of a token; negative if estimates were too low.
    pub tokens: i64,
    /// Requests in progress.
    pub in_use: u32,
}
