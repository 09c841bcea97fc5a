//! Generations: stages of chains at model engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::Kind;
use crate::engine::{self, Batch, Input, Output, StepError};
use crate::ledger::Coverage;
use crate::message::{Broken, Fault, Feed, Message, Open, Refuse, Step};
use crate::name;
use crate::queue::Room;
use crate::request::{Attempt, Id, Ran, Refusal, Refused};
use crate::time::as_us;

use super::count::Count;
use super::gate::Gate;
use super::journal::What;
use super::work::{Done, Pending, Slot, Work};
use super::{Context, Effect};

/// Stages of a chain at most.
const MAX_STAGES: usize = 64;

/// How many times as long as a decode step a batch may take for its prompt tokens.
const PROMPT_STRETCH: u32 = 4;

type Gates = BTreeMap<name::Endpoint, Gate>;

/// A step as it arrived, from the entry or from the stage before.
struct Arrival {
    request: Id,
    attempt: Attempt,
    stage: u16,
    pending: Pending,
}

/// Prepares a stage.
pub(super) fn open(
    gates: &mut Gates,
    cx: &mut Context,
    from: &name::Host,
    open: Open,
    superseded: bool,
) {
    let (request, attempt, stage) = (open.request, open.attempt, open.stage);
    let refused = match open.chain.get(usize::from(stage)).map(|own| gates.get_mut(&own.endpoint)) {
        Some(Some(gate)) => match gate.open(cx, from, &open, superseded) {
            Ok(opened) => return cx.reply(from, opened),
            Err(refused) => {
                let id = (request, attempt);
                gate.note_refused(cx, id, &open.workspace, refused.clone());
                refused
            }
        },
        Some(None) => refuse_unknown(cx, Count::Refused(Refusal::NotFound), Refusal::NotFound),
        None => refuse_unknown(cx, Count::Malformed, Refusal::Malformed),
    };
    cx.reply(from, Message::Refuse(Refuse { request, attempt, stage, refused }));
}

fn refuse_unknown(cx: &mut Context, count: Count, reason: Refusal) -> Refused {
    cx.count(count);
    // Another process may have served the endpoint here before.
    Refused { reason, ran: Ran::Unknown, retry_after_ms: None }
}

/// Takes tokens from the entry.
pub(super) fn feed(gates: &mut Gates, cx: &mut Context, from: &name::Host, feed: Feed) {
    let count = u32::try_from(feed.tokens.len()).unwrap_or(u32::MAX);
    let pending = Pending {
        position: feed.position,
        count,
        sample: feed.sample,
        input: Input::Tokens(feed.tokens),
        hops: Vec::new(),
        since: cx.now,
        started: cx.now,
    };
    let (request, attempt) = (feed.request, feed.attempt);
    let Some(gate) = find(gates, request, 0) else {
        cx.count(Count::Absent);
        let broken = Broken { request, attempt, stage: 0, fault: Fault::Absent };
        return cx.reply(from, Message::Broken(broken));
    };
    gate.arrive(cx, Arrival { request, attempt, stage: 0, pending });
}

/// Takes activations from the stage before.
pub(super) fn step(gates: &mut Gates, cx: &mut Context, from: &name::Host, step: Step) {
    let (request, attempt, stage) = (step.request, step.attempt, step.stage);
    // Without the work nobody is known to tell; the entry sends again, and asks.
    let Some(gate) = find(gates, request, stage) else { return cx.count(Count::Absent) };
    let before = gate.works.get(&request).and_then(|work| {
        let before = usize::from(stage).checked_sub(1)?;
        work.open.chain.get(before)
    });
    if before.is_none_or(|before| before.host != *from) {
        return cx.count(Count::Foreign);
    }
    let Ok(data) = String::from_utf8(step.activation) else {
        return cx.count(Count::Malformed);
    };
    let pending = Pending {
        position: step.position,
        count: step.count,
        sample: step.sample,
        input: Input::Activation { count: step.count, data },
        hops: step.hops,
        since: cx.now,
        started: cx.now,
    };
    gate.arrive(cx, Arrival { request, attempt, stage, pending });
}

fn find(gates: &mut Gates, request: Id, stage: u16) -> Option<&mut Gate> {
    gates.values_mut().find(|gate| gate.works.get(&request).is_some_and(|w| w.open.stage == stage))
}

impl Gate {
    fn open(
        &mut self,
        cx: &mut Context,
        from: &name::Host,
        open: &Open,
        superseded: bool,
    ) -> Result<Message, Refused> {
        let request = open.request;
        if let Some(work) = self.works.get_mut(&request) {
            if open.attempt < work.open.attempt {
                let ran = if work.started { Ran::Unknown } else { Ran::No };
                return Err(Refused { reason: Refusal::Fenced, ran, retry_after_ms: None });
            }
            if open.attempt > work.open.attempt {
                if !self.accepts(open) {
                    return Err(self.refused(open.term, Refusal::Malformed));
                }
                self.queue.remove(request);
                if let Some(work) = self.works.get_mut(&request) {
                    work.advance(cx.now, open.clone());
                }
            }
        } else {
            self.admit(open, superseded)?;
            self.works.insert(request, Work::new(cx.now, from, open.clone()));
        }
        let Some(work) = self.works.get_mut(&request) else {
            return Err(self.refused(open.term, Refusal::QueueFull));
        };
        work.orphaned = None;
        let (opened, held, attempt) = (work.opened(), work.held, work.open.attempt);
        let backlog = self.backlog.held();
        self.note(cx, request, attempt, What::Admitted { backlog, held });
        Ok(opened)
    }

    /// Lets a request in that has no work here.
    fn admit(&mut self, open: &Open, superseded: bool) -> Result<(), Refused> {
        if let Some((newest, started)) = self.ledger.newest(open.request) {
            if open.attempt <= newest {
                let ran = if started { Ran::Unknown } else { Ran::No };
                return Err(Refused { reason: Refusal::Fenced, ran, retry_after_ms: None });
            }
        }
        if self.ledger.coverage(open.term) == Coverage::Gone {
            return Err(self.refused(open.term, Refusal::Restarted));
        }
        if !self.accepts(open) {
            return Err(self.refused(open.term, Refusal::Malformed));
        }
        if let Some(reason) = self.refusal(superseded, open.deadline_ms) {
            return Err(self.refused(open.term, reason));
        }
        // Each work needs a record when it ends.
        let full = !self.ledger.has_room(self.works.len())
            || self.backlog.add(&open.workspace, open.tokens).is_err();
        if full { Err(self.refused(open.term, Refusal::QueueFull)) } else { Ok(()) }
    }

    /// Whether the stage is one that the engine can run.
    fn accepts(&self, open: &Open) -> bool {
        let Kind::Engine { model, first_layer, end_layer, .. } = &self.kind else { return false };
        let own = open.chain.get(usize::from(open.stage));
        let fits = own.is_some_and(|own| {
            own.endpoint == self.name && own.first == *first_layer && own.end == *end_layer
        });
        let whole = open.chain.windows(2).all(|pair| pair[0].end == pair[1].first);
        let sized = open.chain.len() <= MAX_STAGES && open.tokens > 0 && open.attempt > 0;
        fits && whole && sized && open.model == *model
    }

    /// Takes a step in, answers a repetition from memory, or reports a gap.
    fn arrive(&mut self, cx: &mut Context, arrival: Arrival) {
        let Some(work) = self.works.get_mut(&arrival.request) else { return };
        let Arrival { attempt, stage, pending, .. } = arrival;
        if work.open.attempt != attempt || work.open.stage != stage {
            // An older attempt is fenced off; a newer one's Open is still on its way.
            return cx.count(Count::Stale);
        }
        work.orphaned = None;
        let position = pending.position;
        if let Some(done) = work.last.as_ref().filter(|done| done.position == position) {
            cx.out.push(done.effect.clone());
            return cx.count(Count::Repeated);
        }
        if work.pending.is_some() {
            return cx.count(Count::Stale);
        }
        if position < work.held {
            if work.last.is_some() {
                return cx.count(Count::Stale);
            }
            // The first step of an attempt may go back further, for a stage that holds less.
            work.held = position;
        }
        let end = u64::from(position) + u64::from(pending.count);
        if pending.count == 0 || end > u64::from(work.open.tokens) {
            return cx.count(Count::Malformed);
        }
        if position > work.held {
            cx.count(Count::Gap);
            let (entry, broken) = (work.entry.clone(), work.broken(Fault::Gap));
            return cx.reply(&entry, broken);
        }
        self.queue.push(work.item(&pending));
        work.pending = Some(pending);
        work.relinked = false;
        self.run_next(cx);
    }

    /// Hands the next batch to the engine if it is free.
    pub(super) fn run_next(&mut self, cx: &mut Context) {
        if self.batch.is_some() || self.queue.is_empty() {
            return;
        }
        let Kind::Engine { batch, sequences, step_us, prompt_token_us, .. } = self.kind else {
            return;
        };
        // Nothing that cannot be finished in time takes a place in the batch.
        for late in self.queue.expire(cx.now + Duration::from_micros(u64::from(step_us))) {
            self.refuse_late(cx, late.request);
        }
        let held = self.works.values().filter(|work| work.started).count();
        let prompt_tokens =
            PROMPT_STRETCH.saturating_mul(step_us).checked_div(prompt_token_us).unwrap_or(u32::MAX);
        let starts = sequences.saturating_sub(u32::try_from(held).unwrap_or(u32::MAX));
        let items = self.queue.take(Room { steps: batch.max(1), prompt_tokens, starts });
        let size = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let (mut steps, mut slots) = (Vec::new(), Vec::new());
        for item in items {
            let request = item.request;
            self.note_start(cx, request, size);
            let Some(work) = self.works.get_mut(&request) else { continue };
            let Some(pending) = work.pending.as_mut() else { continue };
            work.started = true;
            pending.started = cx.now;
            let (position, count, attempt) = (pending.position, pending.count, work.open.attempt);
            slots.push(Slot { request, attempt, position, count });
            steps.push(engine::Step {
                sequence: work.sequence.clone(),
                position,
                // The engine gets it once; a failure breaks the attempt.
                input: std::mem::replace(&mut pending.input, Input::Tokens(Vec::new())),
                sample: pending.sample && work.is_last(),
                seed: work.open.seed,
                priority: work.open.priority,
            });
        }
        if !steps.is_empty() {
            self.batch = Some((slots, cx.now));
            let endpoint = self.name.clone();
            cx.out.push(Effect::Run { endpoint, batch: Batch { steps } });
        }
    }

    /// Notes the first step of a request and frees its place in the backlog.
    fn note_start(&mut self, cx: &mut Context, request: Id, batch: u32) {
        let Some(work) = self.works.get(&request).filter(|work| !work.started) else { return };
        self.backlog.remove(&work.open.workspace, work.open.tokens);
        let since = work.pending.as_ref().map_or(cx.now, |pending| pending.since);
        let waited_us = as_us(cx.now.since(since));
        self.note(cx, request, work.open.attempt, What::Started { waited_us, batch });
    }

    /// The engine has run the batch, or failed as a whole.
    pub(super) fn ran(
        &mut self,
        cx: &mut Context,
        outcomes: Option<Vec<Result<Output, StepError>>>,
    ) {
        let Some((slots, at)) = self.batch.take() else { return };
        let outcomes = outcomes.filter(|outcomes| outcomes.len() == slots.len());
        if outcomes.is_none() {
            cx.count(Count::EngineFailed);
            self.failed_at = Some(cx.now);
        }
        self.batch_us = u32::try_from(as_us(cx.now.since(at))).unwrap_or(u32::MAX);
        let size = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        let mut outcomes = outcomes.unwrap_or_default().into_iter();
        for slot in slots {
            self.finish(cx, slot, size, outcomes.next());
        }
        self.run_next(cx);
    }

    fn finish(
        &mut self,
        cx: &mut Context,
        slot: Slot,
        batch: u32,
        outcome: Option<Result<Output, StepError>>,
    ) {
        let Some(work) = self.works.get_mut(&slot.request) else { return };
        if work.open.attempt != slot.attempt {
            return cx.count(Count::Stale);
        }
        let Some(pending) = work.pending.take() else { return };
        let fault = match outcome {
            Some(Ok(output)) => match work.output(cx.now, pending, batch, output) {
                Some(effect) => {
                    work.held = slot.position + slot.count;
                    work.last = Some(Done { position: slot.position, effect: effect.clone() });
                    return cx.out.push(effect);
                }
                None => Fault::Engine,
            },
            Some(Err(StepError::Gap)) => {
                // The engine has lost the sequence.
                work.held = 0;
                Fault::Gap
            }
            Some(Err(_)) | None => Fault::Engine,
        };
        let (entry, broken) = (work.entry.clone(), work.broken(fault));
        cx.count(Count::StepFailed);
        cx.reply(&entry, broken);
        self.note(cx, slot.request, slot.attempt, What::Broken);
    }
}
