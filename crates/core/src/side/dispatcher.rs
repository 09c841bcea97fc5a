//! Admission, queue and state of one endpoint.
//!
//! [`Dispatcher`] holds what engines and plain services have in common. The modules `generation`,
//! `service`, `resolve` and `teardown` add the handling of their messages.

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

/// Time for which an engine gets no new requests after it failed a whole batch.
const ENGINE_FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// Maximum number of new prompt prefixes in a load report; the oldest are dropped.
const MAX_PREFIXES_PER_REPORT: usize = 64;

/// Dispatches the work of one endpoint.
pub(super) struct Dispatcher {
    pub(super) name: name::Endpoint,
    pub(super) kind: Kind,
    pub(super) drain: Drain,
    /// Whether the configuration no longer assigns the endpoint to this host. The dispatcher is
    /// dropped once it is idle.
    pub(super) removed: bool,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    pub(super) backlog: Backlog,
    /// Open sequences, if the endpoint is an engine.
    pub(super) sequences: BTreeMap<Id, Sequence>,
    /// Steps of the running batch, and when it started.
    pub(super) batch: Option<(Vec<Slot>, Instant)>,
    pub(super) last_batch_us: u32,
    pub(super) failed_at: Option<Instant>,
    pub(super) free_tokens: u32,
    pub(super) stored_prefixes: Vec<u64>,
    /// Queued calls, if the endpoint is a plain service.
    pub(super) waiting: BTreeMap<Id, service::Waiting>,
    /// Running calls, with the entries that get their answers.
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

    /// Applies the endpoint's configuration. If the stage changes, the endpoint drains
    /// ([`Cause::Order`]) until its reconciler finds that the engine holds the new stage.
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

    /// Returns whether nothing is queued or running.
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

    /// Returns why new work is refused, or `None` if it is accepted. `superseded` says whether the
    /// work was admitted under a roster that is no longer accepted.
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

    /// Returns a refusal of work that has no record. It says "not run" only if the records cover
    /// `term`; otherwise an earlier copy may have run.
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
