//! Ends of sequences at an engine: by deadline, after a lost connection, or by cancellation.

use std::time::Duration;

use crate::message::{Fault, Message, Refuse};
use crate::name;
use crate::request::{Attempt, Id, Ran, Refusal, Refused};

use super::counter::Counter;
use super::dispatcher::Dispatcher;
use super::journal::Transition;
use super::{Context, Effect};

/// Time for which the sequences of a disconnected entry are kept.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Handles the end of the connection to `host`. Sequences of that entry are kept for
    /// [`ORPHAN_TIMEOUT`]. The last output to a next stage on `host` is sent again once; if the
    /// connection ends again, the entry is told that the link is broken.
    pub(super) fn on_disconnected(&mut self, cx: &mut Context, host: &name::Host) {
        let mut broken = Vec::new();
        for sequence in self.sequences.values_mut() {
            if sequence.entry == *host {
                sequence.orphaned_at.get_or_insert(cx.now);
            }
            if sequence.next_host() != Some(host) {
                continue;
            }
            if let Some(done) = sequence.last.as_ref().filter(|_| !sequence.resent) {
                cx.telemetry.counters.add(Counter::LinkRetried, None);
                cx.out.push(done.effect.clone());
                sequence.resent = true;
            } else {
                broken.push((sequence.entry.clone(), sequence.open.request, sequence.open.attempt));
                cx.telemetry.counters.add(Counter::LinkLost, None);
                cx.reply(&sequence.entry, sequence.broken_message(Fault::Link));
            }
        }
        for (_, request, attempt) in broken {
            self.note(cx, request, attempt, Transition::Broken);
        }
    }

    /// Ends sequences whose deadline has passed or whose entry has stayed disconnected for longer
    /// than [`ORPHAN_TIMEOUT`].
    pub(super) fn expire_sequences(&mut self, cx: &mut Context) {
        let mut expired = Vec::new();
        let mut orphans = Vec::new();
        for (request, sequence) in &self.sequences {
            if sequence.deadline <= cx.now {
                expired.push(*request);
            } else if sequence.orphaned_at.is_some_and(|since| since + ORPHAN_TIMEOUT < cx.now) {
                orphans.push((*request, sequence.open.attempt));
            }
        }
        for request in expired {
            self.refuse_expired(cx, request);
        }
        for (request, attempt) in orphans {
            cx.count(Counter::Orphaned);
            self.end_sequence(cx, request, attempt);
        }
        self.run_next_batch(cx);
    }

    pub(super) fn refuse_expired(&mut self, cx: &mut Context, request: Id) {
        let Some(sequence) = self.sequences.get(&request) else { return };
        let ran = if sequence.started { Ran::Unknown } else { Ran::No };
        let refused = Refused { reason: Refusal::Deadline, ran, retry_after_ms: None };
        let (attempt, stage) = (sequence.open.attempt, sequence.open.stage);
        let (entry, workspace) = (sequence.entry.clone(), sequence.open.workspace.clone());
        self.note_refusal(cx, (request, attempt), &workspace, refused.clone());
        cx.reply(&entry, Message::Refuse(Refuse { request, attempt, stage, refused }));
        self.end_sequence(cx, request, attempt);
    }

    /// Ends the sequence of a request and fences off its attempts up to `attempt`.
    pub(super) fn end_sequence(&mut self, cx: &mut Context, request: Id, attempt: Attempt) {
        let Some(sequence) = self.sequences.remove(&request) else { return };
        let (started, held) = (sequence.started, sequence.held);
        self.queue.remove(request);
        if started {
            let (endpoint, sequence) = (self.name.clone(), sequence.engine_id);
            cx.out.push(Effect::Release { endpoint, sequence });
        } else {
            self.backlog.remove(&sequence.open.workspace, sequence.open.tokens);
        }
        let attempt = attempt.max(sequence.open.attempt);
        self.ledger.tombstone(request, attempt, started);
        self.note(cx, request, attempt, Transition::Ended { held });
    }
}
