//! Calls of plain services. A non-idempotent call runs at most once; a repeated call gets the stored
//! answer.

use std::collections::BTreeMap;

use crate::config::Kind;
use crate::ledger::{self, Verdict};
use crate::message::{Answer, Call, Message, Refuse, Reply, not_run};
use crate::name;
use crate::queue::{Capacity, Class, Item};
use crate::request::{Attempt, Id, Ran, Refusal, Refused};
use crate::time::{Instant, as_us};

use super::counter::Counter;
use super::dispatcher::Dispatcher;
use super::journal::Transition;
use super::{Context, Effect};

/// Largest answer that is forwarded, in bytes; a larger one may not fit into a frame of the wire
/// protocol.
const MAX_ANSWER_BYTES: usize = 7 * 1024 * 1024;

/// Bytes of a call's body that count as one token in the backlog.
const BYTES_PER_TOKEN: usize = 256;

/// A queued call.
pub(super) struct Waiting {
    call: Call,
    entry: name::Host,
    deadline: Instant,
    queued_at: Instant,
}

/// Accepts a call, or refuses it.
pub(super) fn call(
    dispatchers: &mut BTreeMap<name::Endpoint, Dispatcher>,
    cx: &mut Context,
    from: &name::Host,
    call: Call,
    superseded: bool,
) {
    match dispatchers.get_mut(&call.endpoint) {
        Some(dispatcher) => dispatcher.call(cx, from, call, superseded),
        None => {
            cx.count(Counter::Refused(Refusal::NotFound));
            // An earlier process on this host may have served the endpoint and run the call.
            let reason = Refusal::NotFound;
            let refused = Refused { reason, ran: Ran::Unknown, retry_after_ms: None };
            send_refusal(cx, from, (call.request, call.attempt), refused);
        }
    }
}

impl Dispatcher {
    fn call(&mut self, cx: &mut Context, from: &name::Host, call: Call, superseded: bool) {
        let id = (call.request, call.attempt);
        let unknown = |reason| Refused { reason, ran: Ran::Unknown, retry_after_ms: None };
        let verdict = self.ledger.admit(call.request, call.attempt, call.term, call.idempotent);
        let refused = match verdict {
            Verdict::Run => return self.enqueue(cx, from, call, superseded),
            Verdict::Attached => return self.attach(cx, from, call.request),
            Verdict::Done(Some(answer)) => {
                cx.count(Counter::Repeated);
                let (request, attempt) = id;
                return cx.reply(from, Message::Reply(Reply { request, attempt, answer }));
            }
            Verdict::Done(None) => unknown(Refusal::OutcomeUnknown),
            Verdict::Failed => unknown(Refusal::EndpointFailed),
            Verdict::Fenced { started: true } => unknown(Refusal::Fenced),
            Verdict::Fenced { started: false } => not_run(Refusal::Fenced, None),
            Verdict::Uncovered => unknown(Refusal::Restarted),
            Verdict::Unnamed => not_run(Refusal::Restarted, None),
            Verdict::Full => self.unrecorded_refusal(call.term, Refusal::QueueFull),
        };
        self.note_refusal(cx, id, &call.workspace, refused.clone());
        send_refusal(cx, from, id, refused);
    }

    /// Queues a call that the ledger has recorded as queued, or refuses it.
    fn enqueue(&mut self, cx: &mut Context, from: &name::Host, call: Call, superseded: bool) {
        let (request, attempt) = (call.request, call.attempt);
        let tokens = backlog_tokens(&call);
        let reason = match &self.kind {
            Kind::Engine { .. } => Some(Refusal::NotFound),
            Kind::Service { .. } => self.refusal_reason(superseded, call.deadline_ms),
        };
        let full = |_| Refusal::QueueFull;
        let admitted = match reason {
            Some(reason) => Err(reason),
            None => self.backlog.add(&call.workspace, tokens).map_err(full),
        };
        if let Err(reason) = admitted {
            self.ledger.refuse(request);
            let started = self.ledger.newest_attempt(request).is_none_or(|(_, started)| started);
            let ran =
                if started { Ran::Unknown } else { self.unrecorded_refusal(call.term, reason).ran };
            let refused = Refused { reason, ran, retry_after_ms: None };
            self.note_refusal(cx, (request, attempt), &call.workspace, refused.clone());
            return send_refusal(cx, from, (request, attempt), refused);
        }
        let backlog = self.backlog.held();
        self.note(cx, request, attempt, Transition::Admitted { backlog, held: 0 });
        let deadline = ledger::deadline(cx.now, call.deadline_ms);
        self.queue.push(Item {
            request,
            workspace: call.workspace.clone(),
            priority: call.priority,
            weight: call.weight,
            tokens,
            class: Class::Decode,
            deadline,
            queued_at: cx.now,
        });
        let waiting = Waiting { call, entry: from.clone(), deadline, queued_at: cx.now };
        self.waiting.insert(request, waiting);
        self.start_calls(cx);
    }

    /// Handles another copy or attempt of a call in progress: its sender gets the answer.
    fn attach(&mut self, cx: &mut Context, from: &name::Host, request: Id) {
        cx.count(Counter::Stale);
        if let Some(waiting) = self.waiting.get_mut(&request) {
            waiting.entry = from.clone();
        }
        if let Some(entry) = self.running.get_mut(&request) {
            *entry = from.clone();
        }
    }

    /// Starts queued calls up to the concurrency of the service.
    fn start_calls(&mut self, cx: &mut Context) {
        let Kind::Service { concurrency, .. } = self.kind else { return };
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let steps = concurrency.saturating_sub(running);
        for item in self.queue.take(Capacity { steps, prompt_tokens: 0, new_sequences: 0 }) {
            let Some(waiting) = self.waiting.remove(&item.request) else { continue };
            self.backlog.remove(&item.workspace, item.tokens);
            if !self.ledger.start(item.request) {
                continue;
            }
            let waited_us = as_us(cx.now.since(waiting.queued_at));
            let started = Transition::Started { waited_us, batch: 1 };
            self.note(cx, item.request, waiting.call.attempt, started);
            self.running.insert(item.request, waiting.entry);
            let limit = waiting.deadline.since(cx.now);
            cx.out.push(Effect::Call { call: waiting.call, limit });
        }
    }

    /// Handles the answer to a running call, or its failure.
    pub(super) fn call_finished(
        &mut self,
        cx: &mut Context,
        request: Id,
        answer: Result<Answer, Ran>,
    ) {
        let Some(entry) = self.running.remove(&request) else { return };
        let fits = |answer: &Answer| answer.body.len() <= MAX_ANSWER_BYTES;
        let answer = answer.and_then(|a| if fits(&a) { Ok(a) } else { Err(Ran::Unknown) });
        let attempt = self.ledger.finish(request, answer.clone());
        let attempt = attempt.unwrap_or_default();
        match answer {
            Ok(answer) => {
                self.note(cx, request, attempt, Transition::Answered { status: answer.status });
                cx.reply(&entry, Message::Reply(Reply { request, attempt, answer }));
            }
            Err(ran) => {
                cx.count(Counter::CallFailed);
                let started =
                    self.ledger.newest_attempt(request).is_none_or(|(_, started)| started);
                let ran = if started { Ran::Unknown } else { ran };
                let reason = Refusal::EndpointFailed;
                let refused = Refused { reason, ran, retry_after_ms: None };
                self.note(cx, request, attempt, Transition::Refused(refused.clone()));
                send_refusal(cx, &entry, (request, attempt), refused);
            }
        }
        self.start_calls(cx);
    }

    /// Refuses queued calls whose deadline has passed, and starts others.
    pub(super) fn expire_calls(&mut self, cx: &mut Context) {
        if matches!(self.kind, Kind::Engine { .. }) {
            return;
        }
        let expired: Vec<Id> =
            self.waiting.iter().filter(|(_, w)| w.deadline <= cx.now).map(|(id, _)| *id).collect();
        for request in expired {
            self.refuse_waiting(cx, request, None, Refusal::Deadline);
        }
        self.start_calls(cx);
    }

    /// Refuses a queued call, unless its attempt is later than `up_to`.
    pub(super) fn refuse_waiting(
        &mut self,
        cx: &mut Context,
        request: Id,
        up_to: Option<Attempt>,
        reason: Refusal,
    ) {
        let Some((attempt, started)) = self.ledger.newest_attempt(request) else { return };
        if up_to.is_some_and(|up_to| attempt > up_to) {
            return;
        }
        let Some(waiting) = self.remove_waiting(cx, request) else { return };
        let ran = if started {
            Ran::Unknown
        } else {
            self.unrecorded_refusal(waiting.call.term, reason).ran
        };
        let refused = Refused { reason, ran, retry_after_ms: None };
        self.note_refusal(cx, (request, attempt), &waiting.call.workspace, refused.clone());
        send_refusal(cx, &waiting.entry, (request, attempt), refused);
    }

    /// Removes a queued call, which then does not run under its present attempt.
    pub(super) fn remove_waiting(&mut self, cx: &mut Context, request: Id) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.queue.remove(request);
        self.backlog.remove(&waiting.call.workspace, backlog_tokens(&waiting.call));
        self.ledger.refuse(request);
        self.start_calls(cx);
        Some(waiting)
    }

    /// Sends the answer of a call again if it is still stored.
    pub(super) fn resend_answer(&mut self, cx: &mut Context, to: &name::Host, request: Id) {
        let Some((attempt, answer)) = self.ledger.answer(request) else { return };
        let answer = answer.clone();
        cx.count(Counter::Repeated);
        cx.reply(to, Message::Reply(Reply { request, attempt, answer }));
    }
}

/// Returns the size of a call in tokens, by which the backlog counts it.
fn backlog_tokens(call: &Call) -> u32 {
    u32::try_from(1 + call.body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

fn send_refusal(cx: &mut Context, to: &name::Host, id: (Id, Attempt), refused: Refused) {
    let (request, attempt) = id;
    cx.reply(to, Message::Refuse(Refuse { request, attempt, stage: 0, refused }));
}
