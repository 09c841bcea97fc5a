//! What every process tells about itself at `GET /v1/status`.

use derive_more::Display;
use oriole_macros::{data, key};

use crate::name;
use crate::revision::follower::{Availability, Counts, Role};
use crate::revision::{Follower, Hash};

/// The state of one process, as JSON.
#[data]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The process's host.
    pub host: name::Host,
    /// Its role.
    pub role: Role,
    /// Number of the revision in force, 0 if there is none.
    pub revision: u64,
    /// Hash of that revision's head.
    pub head: Option<Hash>,
    /// Whether it takes work.
    pub ready: Readiness,
    /// The key-value service as this process sees it.
    pub kv: Availability,
    /// What it met while following revisions.
    #[serde(default)]
    pub counts: Counts,
}

/// Whether a process takes work.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It has no configuration yet.
    #[display("starting")]
    Starting,
    /// It takes work.
    #[display("ready")]
    Ready,
    /// It finishes what is in progress and takes no new work.
    #[display("leaving")]
    Leaving,
}

impl Status {
    /// The status of a process that follows revisions with `follower`.
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
