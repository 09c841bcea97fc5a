//! Messages by which entries share the limits of contracts.

use oriole_macros::{data, key};

use crate::name;

/// The quantities that a contract bounds.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Concurrent requests.
    Slots,
}

/// A message between two entries.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender is short and asks for a loan.
    Ask(Ask),
    /// The lender's answer.
    Grant(Grant),
}

/// Asks for a part of the receiver's share.
#[data]
pub struct Ask {
    /// Number that the borrower never uses twice in one run.
    pub number: u64,
    /// Random number that the borrower drew when it started.
    pub boot: u32,
    /// Number of the roster that divides the shares.
    pub roster: u64,
    /// The workspace.
    pub workspace: name::Workspace,
    /// What is short.
    pub quantity: Quantity,
    /// How much is wanted, in millionths of the contract's bound.
    pub parts: u32,
}

/// Gives a part of the sender's share, or nothing.
#[data]
pub struct Grant {
    /// The number of the request for a loan.
    pub number: u64,
    /// The borrower's boot number.
    pub boot: u32,
    /// Number of the roster that divides the shares.
    pub roster: u64,
    /// The workspace.
    pub workspace: name::Workspace,
    /// What is lent.
    pub quantity: Quantity,
    /// How much, in millionths of the contract's bound; 0 if none can be spared.
    pub parts: u32,
    /// Milliseconds that the loan lasts, counted by the borrower from when it asked.
    pub life_ms: u32,
}
