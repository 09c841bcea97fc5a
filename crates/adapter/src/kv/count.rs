//! Counts of the calls to the key-value service.

use derive_more::Display;
use oriole_macros::{data, key};

/// The operation of a call.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Reads a key or a range of keys.
    #[display("range")]
    Range,
    /// Writes a key.
    #[display("put")]
    Put,
    /// Runs a transaction.
    #[display("txn")]
    Txn,
    /// Grants a lease.
    #[display("lease-grant")]
    LeaseGrant,
    /// Renews a lease.
    #[display("lease-keep-alive")]
    LeaseKeepAlive,
    /// Revokes a lease.
    #[display("lease-revoke")]
    LeaseRevoke,
    /// Opens or reads a stream of changes.
    #[display("watch")]
    Watch,
}

/// Calls of one operation since the client was created.
#[data]
#[derive(Copy, Default)]
pub struct Count {
    /// All calls, also those that failed before they were sent.
    pub calls: u64,
    /// Calls that failed and certainly had no effect.
    pub not_applied: u64,
    /// Calls that failed and may have taken effect.
    pub unknown: u64,
}
