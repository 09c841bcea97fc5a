//! Counts of calls to the key-value service.

use derive_more::Display;
use oriole_macros::{data, key};

/// Kinds of calls.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Reads keys.
    #[display("range")]
    Range,
    /// Writes a key.
    #[display("put")]
    Put,
    /// Compares, then reads or writes.
    #[display("txn")]
    Txn,
    /// Grants a lease.
    #[display("lease-grant")]
    LeaseGrant,
    /// Keeps a lease alive.
    #[display("lease-keep-alive")]
    LeaseKeepAlive,
    /// Revokes a lease.
    #[display("lease-revoke")]
    LeaseRevoke,
    /// Waits for changes of a key.
    #[display("watch")]
    Watch,
}

/// Calls of one kind since the process started.
#[data]
#[derive(Copy, Default)]
pub struct Count {
    /// Calls that were sent.
    pub calls: u64,
    /// Those that failed and were certainly not applied.
    pub not_applied: u64,
    /// Those that failed and may have been applied.
    pub unknown: u64,
}
