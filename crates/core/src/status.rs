//! The status that every process reports at `GET /v1/status`.

use derive_more::Display;
use oriole_macros::{data, key};

use crate::name;
use crate::revision::follower::{Availability, Counts, Role};
use crate::revision::{Follower, Hash};

/// Status of one process, reported as JSON.
#[data]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Host on which the process runs.
    pub host: name::Host,
    /// Role of the process.
    pub role: Role,
    /// Number of the configuration's revision in force, 0 if there is none.
    pub revision: u64,
    /// Hash of the head of that revision, absent if there is none.
    pub head: Option<Hash>,
    /// Whether the process accepts work.
    pub ready: Readiness,
    /// Availability of the key-value service, as observed by this process.
    pub kv: Availability,
    /// Counters of events while following revisions.
    #[serde(default)]
    pub counts: Counts,
}

/// Whether a process accepts work.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// The process has no configuration yet.
    #[display("starting")]
    Starting,
    /// The process accepts work.
    #[display("ready")]
    Ready,
    /// The process finishes its work in progress and accepts no new work.
    #[display("leaving")]
    Leaving,
}

impl Status {
    /// Creates the status of a process that follows revisions with `follower`.
    pub fn new(host: name::Host, role: Role, ready: Readiness, follower: &Follower) -> Self {
        Self {
            host,
            role,
            revision: follower.number(),
            head: follower.current().map(|current| current.hash),
            ready,
            kv: follower.availability(),
            counts: follower.counts(),
        }
    }
}
