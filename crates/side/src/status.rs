//! Status, counters and explanations of a side, as operators get them in JSON.

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

/// The status of a side.
#[data]
pub struct Status {
    /// Status that all processes report. Revision 0 means a configuration from a folder, or none.
    #[serde(flatten)]
    pub process: status::Status,
    /// Whether no work is queued or in progress.
    pub idle: bool,
    /// Number of request records and idempotency keys in memory.
    pub records: usize,
    /// The endpoints of the host.
    pub endpoints: Vec<Endpoint>,
}

/// The status of one endpoint.
#[data]
pub struct Endpoint {
    /// Causes for which the endpoint is draining; empty if it takes new work.
    pub leaving: Vec<Cause>,
    /// Load and state of the endpoint.
    pub load: Load,
}

impl Status {
    /// Returns the present status of a side.
    pub fn new(machine: &Machine, host: &name::Host, follower: &Follower) -> Self {
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

    /// Returns whether any endpoint takes new work.
    pub fn is_ready(&self) -> bool {
        self.process.ready == Readiness::Ready
    }
}

/// One counter.
#[data]
pub struct Counter {
    /// Name of the counter.
    pub name: String,
    /// Workspace of the counted requests; `None` if they belong to none.
    pub workspace: Option<name::Workspace>,
    /// Number of events since the process started.
    pub count: u64,
}

impl Counter {
    /// Returns all counters of a side that are not 0.
    pub fn all(machine: &Machine) -> Vec<Self> {
        let all = machine.counters().iter().map(|(name, workspace, count)| Self {
            name: name.to_string(),
            workspace: workspace.cloned(),
            count,
        });
        all.collect()
    }
}

/// The events of a request at this side.
#[data]
pub struct Explanation {
    /// The request.
    pub request: Id,
    /// The events that the side still remembers, oldest first.
    pub notes: Vec<Note>,
}

/// An event in the life of a request.
#[data]
pub struct Note {
    /// Age of the event, in milliseconds.
    pub ago_ms: u64,
    /// The attempt.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The change of state.
    pub what: Transition,
}

impl Explanation {
    /// Returns the events of `request` that the side remembers; none if it does not know it.
    pub fn new(machine: &Machine, now: Instant, request: Id) -> Self {
        let notes = machine.explain(request).into_iter().map(|note| Note {
            ago_ms: as_us(now.since(note.at)) / 1000,
            attempt: note.attempt,
            endpoint: note.endpoint,
            what: note.what,
        });
        Self { request, notes: notes.collect() }
    }
}
