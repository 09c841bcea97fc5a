//! One endpoint: what waits there, what runs, and what is known of the rest.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::backlog::Backlog;
use crate::config::{self, Kind};
use crate::drain::{Cause, Drain};
use crate::ledger::{Coverage, Ledger};
use crate::message::{Load, Term, not_run};
use crate::name;
use crate::queue::Queue;
use crate::request::{Attempt, Id, Ran, Refusal, Refused};
use crate::time::Instant;

use super::counter::Counter;
use super::journal::{Note, Transition};
use super::sequence::{Sequence, Slot};
use super::{Context, Settings, service};

/// Time for which an engine that failed as a whole gets no new requests.
const ENGINE_FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// Prefixes held for the next report.
const MAX_PREFIXES_PER_REPORT: usize = 64;

/// State of one endpoint.
pub(super) struct Dispatcher {
    pub(super) name: name::Endpoint,
    pub(super) kind: Kind,
    pub(super) drain: Drain,
    /// Whether the configuration gives the endpoint to another host now.
    pub(super) removed: bool,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    pub(super) backlog: Backlog,
    /// Requests of an engine.
    pub(super) sequences: BTreeMap<Id, Sequence>,
    /// Steps of the batch that runs, and when it started.
    pub(super) batch: Option<(Vec<Slot>, Instant)>,
    pub(super) last_batch_us: u32,
    pub(super) failed_at: Option<Instant>,
    pub(super) free_tokens: u32,
    pub(super) stored_prefixes: Vec<u64>,
    /// Calls of a plain service that wait.
    pub(super) waiting: BTreeMap<Id, service::Waiting>,
    /// Calls that run, with the entries that wait for them.
    pub(super) running: BTreeMap<Id, name::Host>,
}

impl Dispatcher {
    pub(super) fn new(
        now: Instant,
        name: name::Endpoint,
        endpoint: &config::Endpoint,
        settings: &Settings,
    ) -> Self {
        let mut drain = Drain::default();
        drain.set(Cause::Configuration, endpoint.drain);
        Self {
            name,
            kind: endpoint.kind.clone(),
            drain,
            removed: false,
            ledger: Ledger::new(now, settings.boot, settings.ledger),
            queue: Queue::default(),
            backlog: Backlog::new(settings.queue_tokens),
            sequences: BTreeMap::new(),
            batch: None,
            last_batch_us: 0,
            failed_at: None,
            free_tokens: 0,
            stored_prefixes: Vec::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Takes in what the configuration says. With another stage the endpoint is closed until its
    /// orderer finds that the engine holds it ([`Cause::Order`]).
    pub(super) fn configure(&mut self, kind: &Kind) {
        if let (
            Kind::Engine { model, first_layer, end_layer, .. },
            Kind::Engine { model: old, first_layer: first, end_layer: end, .. },
        ) = (kind, &self.kind)
        {
            let same = model == old && first_layer == first && end_layer == end;
            self.drain.set(Cause::Order, !same || self.drain.has(Cause::Order));
        }
        self.kind = kind.clone();
    }

    /// Whether nothing is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.sequences.is_empty() && self.waiting.is_empty() && self.running.is_empty()
    }

    pub(super) fn load(&self) -> Load {
        let running = self.sequences.len() + self.waiting.len() + self.running.len();
        Load {
            endpoint: self.name.clone(),
            open: self.drain.is_open() && self.failed_at.is_none(),
            queued: u32::try_from(self.queue.tokens()).unwrap_or(u32::MAX),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            batch_us: self.last_batch_us,
            free: self.free_tokens,
            prefixes: self.stored_prefixes.clone(),
            term: self.ledger.term(),
        }
    }

    pub(super) fn record_observation(&mut self, free_tokens: u32, stored_prefixes: Vec<u64>) {
        self.free_tokens = free_tokens;
        self.stored_prefixes.extend(stored_prefixes);
        let excess = self.stored_prefixes.len().saturating_sub(MAX_PREFIXES_PER_REPORT);
        self.stored_prefixes.drain(..excess);
    }

    /// Why new work cannot be taken, if it cannot.
    pub(super) fn refusal_reason(&self, superseded: bool, deadline_ms: u64) -> Option<Refusal> {
        if !self.drain.is_open() {
            return Some(Refusal::Leaving);
        }
        if superseded {
            return Some(Refusal::Superseded);
        }
        if self.failed_at.is_some() {
            return Some(Refusal::EndpointFailed);
        }
        (deadline_ms == 0).then_some(Refusal::Deadline)
    }

    /// A refusal of work that is not recorded; it says "not run" only if the records reach back.
    pub(super) fn unrecorded_refusal(&self, term: Term, reason: Refusal) -> Refused {
        let covered = self.ledger.coverage(term) == Coverage::Full;
        let ran = if covered { Ran::No } else { Ran::Unknown };
        Refused { ran, ..not_run(reason, None) }
    }

    pub(super) fn tick(&mut self, cx: &mut Context) {
        if self.failed_at.is_some_and(|at| cx.now > at + ENGINE_FAILURE_PAUSE) {
            self.failed_at = None;
        }
        self.expire_sequences(cx);
        self.expire_calls(cx);
    }

    pub(super) fn note(&self, cx: &mut Context, request: Id, attempt: Attempt, what: Transition) {
        let endpoint = self.name.clone();
        cx.telemetry.journal.add(Note { at: cx.now, request, attempt, endpoint, what });
    }

    pub(super) fn note_refusal(
        &self,
        cx: &mut Context,
        (request, attempt): (Id, Attempt),
        workspace: &name::Workspace,
        refused: Refused,
    ) {
        cx.telemetry.counters.add(Counter::Refused(refused.reason), Some(workspace));
        self.note(cx, request, attempt, Transition::Refused(refused));
    }
}
