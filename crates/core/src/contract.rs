//! Contracts: the models, services and limits to which workspaces are entitled.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_macros::data;

use crate::name;
use crate::units;

/// The contract of one workspace.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Contract {
    /// The workspace that the contract applies to.
    pub workspace: name::Workspace,
    /// SHA-256 of each API key of the workspace, as 64 hexadecimal digits in lower case.
    pub keys: BTreeSet<String>,
    /// Models that the workspace may use.
    #[serde(default)]
    pub models: BTreeSet<name::Model>,
    /// Plain services that the workspace may call.
    #[serde(default)]
    pub services: BTreeSet<name::Service>,
    /// Limits on requests and tokens.
    pub limits: Limits,
    /// Priority and deadlines.
    #[serde(default)]
    pub service: ServiceLevel,
}

/// Limits of a contract, which apply to the sum over all entries.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// Rate of requests, such as `"20/s"`.
    pub requests: units::Rate,
    /// Requests that may arrive at once, on top of the rate.
    pub request_burst: u32,
    /// Rate of tokens (prompt and answer), such as `"4000/s"`.
    pub tokens: units::Rate,
    /// Tokens that may be used at once, on top of the rate; at least the longest sequence of the
    /// contract's models.
    pub token_burst: u32,
    /// Most requests in progress at once.
    pub concurrency: u32,
}

/// Priority and deadlines of a contract.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ServiceLevel {
    /// Priority among workspaces, from 0 (lowest) to 7.
    pub priority: u8,
    /// Weight of the workspace among those of equal priority.
    pub weight: u32,
    /// Deadline of a request that sets none, such as `"20s"`.
    #[serde(with = "units::duration")]
    pub default_deadline: Duration,
    /// Longest deadline that a request may set.
    #[serde(with = "units::duration")]
    pub longest_deadline: Duration,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self {
            priority: 3,
            weight: 10,
            default_deadline: Duration::from_secs(30),
            longest_deadline: Duration::from_secs(120),
        }
    }
}
