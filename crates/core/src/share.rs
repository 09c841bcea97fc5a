//! Messages by which entries share the limits of contracts.
//!
//! Field names are short on the wire, since most of these messages are a few dozen bytes.

use oriole_macros::data;

use crate::name;

/// An amount of a contract's bounds.
#[data]
#[derive(Copy, Default, Eq)]
pub struct Quota {
    /// Millionths of the rate and burst of requests.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub requests: u32,
    /// Millionths of the rate and burst of tokens.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// Concurrent requests, counted.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub slots: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl Quota {
    /// Applies `f` to each pair of amounts.
    pub fn zip(self, other: Self, f: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            tokens: f(self.tokens, other.tokens),
            slots: f(self.slots, other.slots),
        }
    }

    /// Each amount's sum.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Each amount's difference, not below 0.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Each amount's minimum.
    pub fn min(self, other: Self) -> Self {
        self.zip(other, Ord::min)
    }

    /// Each amount's maximum.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, Ord::max)
    }

    /// Whether each amount is at least the other's.
    pub fn covers(self, other: Self) -> bool {
        self.min(other) == other
    }

    /// Whether there is nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// Contents of token buckets that move with a loan, in millionths of a request or token.
#[data]
#[derive(Copy, Default, Eq)]
pub struct Levels {
    /// Of the bucket of requests.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Of the bucket of tokens.
    #[serde(rename = "t")]
    pub tokens: u64,
}

/// A message between two entries.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender has started and wants to know what it had lent before.
    Hello(Hello),
    /// The answer to [`Message::Hello`].
    Welcome(Welcome),
    /// The sender is short and asks for a loan, or for a loan to be renewed.
    #[serde(rename = "ask")]
    Request(Request),
    /// The lender's answer.
    Grant(Grant),
    /// The borrower gives a loan back before it expires.
    Return(Return),
}

/// Says that the sender has started.
#[data]
pub struct Hello {
    /// Random number that the sender drew when it started.
    #[serde(rename = "b")]
    pub boot: u32,
}

/// Tells a starting entry what it needs before it may use its own share.
#[data]
pub struct Welcome {
    /// The boot number of the entry that starts.
    #[serde(rename = "b")]
    pub boot: u32,
    /// Number of the roster that the sender uses.
    #[serde(rename = "n")]
    pub roster: u64,
    /// Milliseconds since the sender learned that roster.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Fingerprint of how the sender divides the contracts' bounds.
    #[serde(rename = "d")]
    pub fingerprint: u64,
    /// Milliseconds since that changed; none if it never has in this run.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub changed_ms: Option<u64>,
    /// Whether the sender runs no more requests than its share and loans allow.
    #[serde(rename = "f")]
    pub within_slots: bool,
    /// What the sender still holds of the receiver's share.
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
    /// What was lent at first.
    #[serde(rename = "t")]
    pub quota: Quota,
    /// Milliseconds until no more is admitted under it.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Milliseconds after that until its last request is over.
    #[serde(rename = "h")]
    pub grace_ms: u32,
}

/// Asks for a part of the receiver's share.
#[data]
pub struct Request {
    /// Number that the borrower never uses twice, in this run or another.
    #[serde(rename = "n")]
    pub number: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// The least that is of use.
    #[serde(rename = "l")]
    pub least: Quota,
    /// What is wanted.
    #[serde(rename = "t")]
    pub want: Quota,
    /// The lender's number of the loan that is to be renewed, if this is not about a new one.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub renew: Option<u64>,
    /// Milliseconds after the loan's end within which every request that used it is over.
    #[serde(rename = "h")]
    pub grace_ms: u32,
}

/// Gives a part of the sender's share, or nothing.
#[data]
pub struct Grant {
    /// The number of the [`Request`].
    #[serde(rename = "n")]
    pub number: u64,
    /// The lender's number of the loan, never used twice.
    #[serde(rename = "i")]
    pub loan: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// Number of the lender's roster. A borrower with a newer one does not use the loan.
    #[serde(rename = "o")]
    pub roster: u64,
    /// What is lent; empty if nothing can be spared.
    #[serde(rename = "t")]
    pub quota: Quota,
    /// Contents of the lender's buckets that come with it.
    #[serde(rename = "v")]
    pub levels: Levels,
    /// Milliseconds that the loan lasts, counted by the borrower from when it asked.
    #[serde(rename = "l")]
    pub life_ms: u32,
    /// Whether the lender itself needs it: it is to be returned as soon as it has been used.
    #[serde(rename = "f")]
    pub single_use: bool,
}

/// Gives a loan back. Repeated messages about the same loan have effect once.
#[data]
pub struct Return {
    /// The lender's number of the loan.
    #[serde(rename = "n")]
    pub loan: u64,
    /// The workspace.
    #[serde(rename = "w")]
    pub workspace: name::Workspace,
    /// Contents of the borrower's buckets that come with the rates.
    #[serde(rename = "v")]
    pub levels: Levels,
    /// Slots given back so far, of all that were lent.
    #[serde(rename = "s")]
    pub slots: u32,
}
