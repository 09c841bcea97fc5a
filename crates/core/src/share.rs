//! Messages by which entries lend each other parts of a contract's limits.
//!
//! Field names are short on the wire, since most of these messages are a few dozen bytes.

use oriole_macros::data;

use crate::name;

/// A part of a contract's bounds.
#[data]
#[derive(Copy, Default, Eq)]
pub struct Quota {
    /// Millionths of the rate and burst of requests.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub requests: u32,
    /// Millionths of the rate and burst of tokens.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// Number of concurrent requests.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub slots: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl Quota {
    /// Combines the two quotas field by field with `f`.
    pub fn zip(self, other: Self, f: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            tokens: f(self.tokens, other.tokens),
            slots: f(self.slots, other.slots),
        }
    }

    /// Returns the sum of each field, saturating.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Returns the difference of each field, not below 0.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Returns the minimum of each field.
    pub fn min(self, other: Self) -> Self {
        self.zip(other, Ord::min)
    }

    /// Returns the maximum of each field.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, Ord::max)
    }

    /// Returns whether each field is at least the other's.
    pub fn covers(self, other: Self) -> bool {
        self.min(other) == other
    }

    /// Returns whether all fields are 0.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// Contents of token buckets that move with a loan, in millionths of a request or token.
#[data]
#[derive(Copy, Default, Eq)]
pub struct Levels {
    /// Contents of the request bucket.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Contents of the token bucket.
    #[serde(rename = "t")]
    pub tokens: u64,
}

/// A message between two entries.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender has started, or continues after a pause, and asks which loans it has given
    /// before.
    Hello(Hello),
    /// The answer to [`Message::Hello`].
    Welcome(Welcome),
    /// The sender asks for a loan or for the renewal of one.
    #[serde(rename = "ask")]
    Request(Request),
    /// The lender's answer.
    Grant(Grant),
    /// The borrower returns a loan, or slots of an ended one.
    Return(Return),
}

/// Announces that the sender has started or continues after a pause.
#[data]
pub struct Hello {
    /// Random number that the sender drew when it started.
    #[serde(rename = "b")]
    pub boot: u32,
}

/// Tells a starting entry what it must know before it uses its own share.
#[data]
pub struct Welcome {
    /// The boot number from the [`Hello`] that this answers.
    #[serde(rename = "b")]
    pub boot: u32,
    /// Number of the roster that the sender uses.
    #[serde(rename = "n")]
    pub roster: u64,
    /// Milliseconds since the sender received that roster.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Fingerprint of how the sender divides the contracts' bounds.
    #[serde(rename = "d")]
    pub fingerprint: u64,
    /// Milliseconds since the fingerprint changed; `None` if it has not changed in this run.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub changed_ms: Option<u64>,
    /// Whether the sender runs no more requests than its slots allow, in every workspace.
    #[serde(rename = "f")]
    pub within_slots: bool,
    /// Loans of the receiver's share that the sender still holds.
    #[serde(rename = "l")]
    pub loans: Vec<Loan>,
}

/// A loan that the sender of a [`Welcome`] holds.
#[data]
pub struct Loan {
    /// The lender's number of the loan.
    #[serde(rename = "n")]
    pub number: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// The quota that was lent, without later returns of slots.
    #[serde(rename = "t")]
    pub quota: Quota,
    /// Milliseconds until the loan expires.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Milliseconds after the expiry within which every request that used the loan ends.
    #[serde(rename = "h")]
    pub grace_ms: u32,
}

/// Asks for a loan of the receiver's share, or for the renewal of one.
#[data]
pub struct Request {
    /// Number of the request, which the borrower never uses twice, in this run or another.
    #[serde(rename = "n")]
    pub number: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// The least quota that is of use to the borrower.
    #[serde(rename = "l")]
    pub least: Quota,
    /// The quota that the borrower would use.
    #[serde(rename = "t")]
    pub want: Quota,
    /// The lender's number of the loan to renew; `None` for a new loan.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub renew: Option<u64>,
    /// Milliseconds after the expiry within which every request that used the loan ends.
    #[serde(rename = "h")]
    pub grace_ms: u32,
}

/// Answers a [`Request`] with a loan, or with an empty quota.
#[data]
pub struct Grant {
    /// The number of the [`Request`] that this answers.
    #[serde(rename = "n")]
    pub number: u64,
    /// The lender's number of the loan, never used twice.
    #[serde(rename = "i")]
    pub loan: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// Number of the lender's roster. A borrower with a newer roster does not use the loan.
    #[serde(rename = "o")]
    pub roster: u64,
    /// The quota that is lent; empty if the lender cannot spare any.
    #[serde(rename = "t")]
    pub quota: Quota,
    /// Contents of the lender's buckets that move with the loan.
    #[serde(rename = "v")]
    pub levels: Levels,
    /// Life of the loan in milliseconds, which the borrower counts from its request.
    #[serde(rename = "l")]
    pub life_ms: u32,
    /// Whether the loan is to be returned as soon as one request has used it, since the lender
    /// needs it itself.
    #[serde(rename = "f")]
    pub single_use: bool,
}

/// Returns a loan. Repeated messages about the same loan take effect once.
#[data]
pub struct Return {
    /// The lender's number of the loan.
    #[serde(rename = "n")]
    pub loan: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// Contents of the borrower's buckets that move back with the rates.
    #[serde(rename = "v")]
    pub levels: Levels,
    /// Total number of slots returned so far, of those that were lent.
    #[serde(rename = "s")]
    pub slots: u32,
}
