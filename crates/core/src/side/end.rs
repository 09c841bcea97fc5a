//! The ways in which work at an engine ends, or loses those that it works with.

use std::time::Duration;

use crate::message::{Fault, Message, Refuse};
use crate::name;
use crate::request::{Attempt, Id, Ran, Refusal, Refused};

use super::count::Count;
use super::gate::Gate;
use super::journal::What;
use super::{Context, Effect};

/// Time for which the work of an entry that is not connected is kept.
const ORPHAN_PERIOD: Duration = Duration::from_secs(5);

impl Gate {
    /// A connection has ended: the work of an entry waits for it, and a step to the next stage
    /// is sent again once.
    pub(super) fn lost(&mut self, cx: &mut Context, host: &name::Host) {
        let mut broken = Vec::new();
        for work in self.works.values_mut() {
            if work.entry == *host {
                work.orphaned.get_or_insert(cx.now);
            }
            if work.next_host() != Some(host) {
                continue;
            }
            if let Some(done) = work.last.as_ref().filter(|_| !work.relinked) {
                cx.log.counters.add(Count::LinkRetried, None);
                cx.out.push(done.effect.clone());
                work.relinked = true;
            } else {
                broken.push((work.entry.clone(), work.open.request, work.open.attempt));
                cx.log.counters.add(Count::LinkLost, None);
                cx.reply(&work.entry, work.broken(Fault::Link));
            }
        }
        for (_, request, attempt) in broken {
            self.note(cx, request, attempt, What::Broken);
        }
    }

    /// Ends work whose deadline has passed or whose entry stays away.
    pub(super) fn tick_works(&mut self, cx: &mut Context) {
        let mut late = Vec::new();
        let mut orphans = Vec::new();
        for (request, work) in &self.works {
            if work.deadline <= cx.now {
                late.push(*request);
            } else if work.orphaned.is_some_and(|since| since + ORPHAN_PERIOD < cx.now) {
                orphans.push((*request, work.open.attempt));
            }
        }
        for request in late {
            self.refuse_late(cx, request);
        }
        for (request, attempt) in orphans {
            cx.count(Count::Orphaned);
            self.end(cx, request, attempt);
        }
        self.run_next(cx);
    }

    pub(super) fn refuse_late(&mut self, cx: &mut Context, request: Id) {
        let Some(work) = self.works.get(&request) else { return };
        let ran = if work.started { Ran::Unknown } else { Ran::No };
        let refused = Refused { reason: Refusal::Deadline, ran, retry_after_ms: None };
        let (attempt, stage) = (work.open.attempt, work.open.stage);
        let (entry, workspace) = (work.entry.clone(), work.open.workspace.clone());
        self.note_refused(cx, (request, attempt), &workspace, refused.clone());
        cx.reply(&entry, Message::Refuse(Refuse { request, attempt, stage, refused }));
        self.end(cx, request, attempt);
    }

    /// Ends a request here and fences attempts up to `attempt` off.
    pub(super) fn end(&mut self, cx: &mut Context, request: Id, attempt: Attempt) {
        let Some(work) = self.works.remove(&request) else { return };
        let (started, held) = (work.started, work.held);
        self.queue.remove(request);
        if started {
            let (endpoint, sequence) = (self.name.clone(), work.sequence);
            cx.out.push(Effect::Release { endpoint, sequence });
        } else {
            self.backlog.remove(&work.open.workspace, work.open.tokens);
        }
        let attempt = attempt.max(work.open.attempt);
        self.ledger.tombstone(request, attempt, started);
        self.note(cx, request, attempt, What::Ended { held });
    }
}
