//! The ways in which work at an engine ends, or loses those that it works with.

use std::time::Duration;

use crate::message::{Fault, Message, Refuse};
use crate::name;
use crate::request::{Attempt, Id, Ran, Refusal, Refused};

use super::counter::Counter;
use super::dispatcher::Dispatcher;
use super::journal::Transition;
use super::{Context, Effect};

/// Time for which the work of an entry that is not connected is kept.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// A connection has ended: the work of an entry waits for it, and a step to the next stage
    /// is sent again once.
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

    /// Ends work whose deadline has passed or whose entry stays away.
    pub(super) fn expire_sequences(&mut self, cx: &mut Context) {
        let mut late = Vec::new();
        let mut orphans = Vec::new();
        for (request, sequence) in &self.sequences {
            if sequence.deadline <= cx.now {
                late.push(*request);
            } else if sequence.orphaned_at.is_some_and(|since| since + ORPHAN_TIMEOUT < cx.now) {
                orphans.push((*request, sequence.open.attempt));
            }
        }
        for request in late {
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

    /// Ends a request here and fences attempts up to `attempt` off.
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
