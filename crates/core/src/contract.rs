//! The contract of one workspace.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_macros::data;

use crate::name;
use crate::units;

/// One workspace's contract: everything that it is entitled to and bounded by.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Contract {
    /// The workspace.
    pub workspace: name::Workspace,
    /// SHA-256 of each caller's key, as 64 hexadecimal digits.
    pub keys: BTreeSet<String>,
    /// Models that it may ask for.
    #[serde(default)]
    pub models: BTreeSet<name::Model>,
    /// Plain services that it may ask for.
    #[serde(default)]
    pub services: BTreeSet<name::Service>,
    /// Bounds.
    pub limits: Limits,
    /// Order among workspaces.
    #[serde(default)]
    pub service: Service,
}

/// Bounds of a contract, summed over all entries.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// Requests, such as `"20/s"`.
    pub requests: units::Rate,
    /// Requests that may come at once, on top of the rate.
    pub request_burst: u32,
    /// Tokens of prompt and answer, such as `"4000/s"`.
    pub tokens: units::Rate,
    /// Tokens that may come at once, on top of the rate.
    pub token_burst: u32,
    /// Requests in progress at once.
    pub concurrency: u32,
}

/// Order and time limits of a contract.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Service {
    /// Priority, 0 (lowest) to 7.
    pub priority: u8,
    /// Weight among workspaces of equal priority.
    pub weight: u32,
    /// Deadline of a request that names none, such as `"20s"`.
    #[serde(with = "units::duration")]
    pub default_deadline: Duration,
    /// The longest deadline that a request may name.
    #[serde(with = "units::duration")]
    pub longest_deadline: Duration,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            priority: 3,
            weight: 10,
            default_deadline: Duration::from_secs(30),
            longest_deadline: Duration::from_secs(120),
        }
    }
}
