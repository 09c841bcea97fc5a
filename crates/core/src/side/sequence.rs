//! The state of one request's sequence at one engine.

use crate::engine::{Input, Output};
use crate::ledger;
use crate::message::{Broken, Fault, Hop, Message, Open, Opened, Step, Token};
use crate::name;
use crate::queue::{Class, Item};
use crate::request::{Attempt, Id, Position};
use crate::time::{Instant, as_us};

use super::Effect;

/// Largest engine output that is forwarded, in bytes; a larger one may not fit into a frame of the
/// wire protocol.
const MAX_OUTPUT_BYTES: usize = 7 * 1024 * 1024;

/// A request's stage at one engine, across its attempts.
pub(super) struct Sequence {
    pub(super) open: Open,
    pub(super) entry: name::Host,
    pub(super) deadline: Instant,
    /// The engine's name of the sequence. A request that is opened again after a cancellation gets
    /// a new name, so that a delayed release of the old sequence cannot free the new one.
    pub(super) engine_id: String,
    /// Number of positions that the engine holds for this attempt.
    pub(super) held: Position,
    /// Whether a step of any attempt was sent to the engine.
    pub(super) started: bool,
    /// The step that is queued or running.
    pub(super) pending: Option<Pending>,
    /// The step that ran last; its output answers repeated messages.
    pub(super) last: Option<Done>,
    /// Whether the last output was sent again after the connection to the next stage ended.
    pub(super) resent: bool,
    /// When the connection to the entry ended; `None` while it is connected.
    pub(super) orphaned_at: Option<Instant>,
}

/// A step that is queued or running.
pub(super) struct Pending {
    pub(super) position: Position,
    /// Number of positions to run.
    pub(super) count: u32,
    /// Whether the last stage samples a token after the last position.
    pub(super) sample: bool,
    pub(super) input: Input,
    /// Timings of the previous stages.
    pub(super) hops: Vec<Hop>,
    pub(super) queued_at: Instant,
    pub(super) started_at: Instant,
}

/// A step that ran, and the effect that sends its output.
pub(super) struct Done {
    pub(super) position: Position,
    pub(super) effect: Effect,
}

/// A step of the running batch.
#[derive(Clone, Copy)]
pub(super) struct Slot {
    pub(super) request: Id,
    pub(super) attempt: Attempt,
    pub(super) position: Position,
    pub(super) count: u32,
}

impl Sequence {
    pub(super) fn new(now: Instant, entry: &name::Host, open: Open) -> Self {
        Self {
            deadline: ledger::deadline(now, open.deadline_ms),
            engine_id: format!("{}-{}", open.request, open.attempt),
            open,
            entry: entry.clone(),
            held: 0,
            started: false,
            pending: None,
            last: None,
            resent: false,
            orphaned_at: None,
        }
    }

    /// Starts a newer attempt, which continues from the positions held.
    pub(super) fn begin_attempt(&mut self, now: Instant, open: Open) {
        self.deadline = ledger::deadline(now, open.deadline_ms);
        self.held = self.held.min(open.resume);
        self.open = open;
        self.pending = None;
        self.last = None;
        self.resent = false;
    }

    pub(super) fn is_last(&self) -> bool {
        usize::from(self.open.stage) + 1 == self.open.chain.len()
    }

    pub(super) fn opened_message(&self) -> Message {
        let (request, attempt, stage) = (self.open.request, self.open.attempt, self.open.stage);
        Message::Opened(Opened { request, attempt, stage, held: self.held })
    }

    pub(super) fn broken_message(&self, fault: Fault) -> Message {
        let (request, attempt, stage) = (self.open.request, self.open.attempt, self.open.stage);
        Message::Broken(Broken { request, attempt, stage, fault })
    }

    /// Returns the queue item of a step.
    pub(super) fn queue_item(&self, pending: &Pending) -> Item {
        let class = match (self.started, pending.count) {
            (false, _) if self.open.attempt > 1 => Class::Resume,
            (false, _) => Class::Start,
            (true, 1) => Class::Decode,
            (true, _) => Class::Prompt,
        };
        Item {
            request: self.open.request,
            workspace: self.open.workspace.clone(),
            priority: self.open.priority,
            weight: self.open.weight,
            tokens: pending.count,
            class,
            deadline: self.deadline,
            queued_at: pending.queued_at,
        }
    }

    /// Returns the host of the next stage if it has the last output and no newer step is pending.
    pub(super) fn next_host(&self) -> Option<&name::Host> {
        let sent = self.pending.is_none() && self.last.is_some();
        let next = self.open.chain.get(usize::from(self.open.stage) + 1);
        next.filter(|_| sent).map(|stage| &stage.host)
    }

    /// Returns the effect that sends a step's output to the next stage or, from the last stage, to
    /// the entry. Returns `None` if the output is too large or not of the kind the stage produces.
    pub(super) fn output_effect(
        &self,
        now: Instant,
        pending: Pending,
        batch: u32,
        output: Output,
    ) -> Option<Effect> {
        let mut hops = pending.hops.clone();
        hops.push(Hop {
            queue_us: elapsed_us(pending.started_at, pending.queued_at),
            run_us: elapsed_us(now, pending.started_at),
            batch,
        });
        let sampled = match output {
            Output::Activation(data) => return self.forward_effect(pending, data, hops),
            Output::Sample(sample) if pending.sample => Some(sample),
            Output::Nothing if !pending.sample => None,
            Output::Sample(_) | Output::Nothing => return None,
        };
        if !self.is_last() {
            return None;
        }
        let (request, attempt) = (self.open.request, self.open.attempt);
        let position = pending.position + pending.count;
        let message = Message::Token(Token { request, attempt, position, sampled, hops });
        Some(Effect::Send { host: self.entry.clone(), address: None, message })
    }

    fn forward_effect(&self, pending: Pending, data: String, hops: Vec<Hop>) -> Option<Effect> {
        let next = self.open.chain.get(usize::from(self.open.stage) + 1)?;
        if data.len() > MAX_OUTPUT_BYTES {
            return None;
        }
        let step = Step {
            request: self.open.request,
            attempt: self.open.attempt,
            stage: self.open.stage + 1,
            position: pending.position,
            count: pending.count,
            sample: pending.sample,
            // Engines exchange activations as text, which is forwarded unchanged.
            activation: data.into_bytes(),
            hops,
        };
        let (host, address) = (next.host.clone(), Some(next.address));
        Some(Effect::Send { host, address, message: Message::Step(step) })
    }
}

fn elapsed_us(now: Instant, since: Instant) -> u32 {
    u32::try_from(as_us(now.since(since))).unwrap_or(u32::MAX)
}
