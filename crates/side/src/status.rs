//! What operators are told over HTTP.

use oriole_core::drain::Cause;
use oriole_core::message::Load;
use oriole_core::name;
use oriole_core::request::Id;
use oriole_core::revision::Follower;
use oriole_core::revision::follower::Role;
use oriole_core::side::Machine;
use oriole_core::side::journal::Transition;
use oriole_core::status::{self, Readiness};
use oriole_core::time::{Instant, as_us};
use oriole_macros::data;

/// What a side does.
#[data]
pub struct Status {
    /// What every process tells; revision 0 stands for a configuration from a folder.
    #[serde(flatten)]
    pub process: status::Status,
    /// Whether nothing is in progress.
    pub idle: bool,
    /// Records and keys held.
    pub records: usize,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// One endpoint.
#[data]
pub struct Endpoint {
    /// Why it takes no new work; empty if it does.
    pub leaving: Vec<Cause>,
    /// Its load.
    pub load: Load,
}

impl Status {
    /// The status of a side now.
    pub fn of(machine: &Machine, host: &name::Host, follower: &Follower) -> Self {
        let causes = machine.drain_causes();
        let endpoints = machine.loads().into_iter().map(|load| {
            let leaving = causes.get(&load.endpoint).cloned().unwrap_or_default();
            Endpoint { leaving, load }
        });
        let endpoints: Vec<Endpoint> = endpoints.collect();
        let ready = if endpoints.is_empty() {
            Readiness::Starting
        } else if endpoints.iter().any(|endpoint| endpoint.load.open) {
            Readiness::Ready
        } else {
            Readiness::Leaving
        };
        let process = status::Status::new(host.clone(), Role::Side, ready, follower);
        Self { process, idle: machine.is_idle(), records: machine.record_count(), endpoints }
    }

    /// Whether any endpoint takes new work.
    pub fn is_ready(&self) -> bool {
        self.process.ready == Readiness::Ready
    }
}

/// One counter.
#[data]
pub struct Counter {
    /// What is counted.
    pub name: String,
    /// The workspace, where one is known.
    pub workspace: Option<name::Workspace>,
    /// How often since the process started.
    pub count: u64,
}

impl Counter {
    /// All counters of a side that are not 0.
    pub fn all(machine: &Machine) -> Vec<Self> {
        let all = machine.counters().iter().map(|(name, workspace, count)| Self {
            name: name.to_string(),
            workspace: workspace.cloned(),
            count,
        });
        all.collect()
    }
}

/// What happened to a request at this side, oldest first.
#[data]
pub struct Explanation {
    /// The request.
    pub request: Id,
    /// What happened.
    pub notes: Vec<Note>,
}

/// One thing that happened.
#[data]
pub struct Note {
    /// Milliseconds before now.
    pub ago_ms: u64,
    /// The attempt.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// What happened.
    pub what: Transition,
}

impl Explanation {
    /// What a side knows of `request`.
    pub fn of(machine: &Machine, now: Instant, request: Id) -> Self {
        let notes = machine.explain(request).into_iter().map(|note| Note {
            ago_ms: as_us(now.since(note.at)) / 1000,
            attempt: note.attempt,
            endpoint: note.endpoint,
            what: note.what,
        });
        Self { request, notes: notes.collect() }
    }
}
