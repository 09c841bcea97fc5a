//! Text generation: runs the steps of a request's stage at a model engine.
//!
//! An entry opens a stage of a chain with [`Open`] and feeds tokens to the first one with [`Feed`].
//! Each stage runs its steps in batches and sends the output to the next stage as a [`Step`]; the
//! last stage answers the entry.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::Kind;
use crate::engine::{self, Batch, Input, Output, StepError};
use crate::ledger::Coverage;
use crate::message::{Broken, Fault, Feed, Message, Open, Refuse, Step};
use crate::name;
use crate::queue::Capacity;
use crate::request::{Attempt, Id, Ran, Refusal, Refused};
use crate::time::as_us;

use super::counter::Counter;
use super::dispatcher::Dispatcher;
use super::journal::Transition;
use super::sequence::{Done, Pending, Sequence, Slot};
use super::{Context, Effect};

/// Maximum number of stages in a chain.
const MAX_STAGES: usize = 64;

/// Maximum time that the prompt tokens of one batch may take, as a multiple of a decode step's.
const PROMPT_TIME_FACTOR: u32 = 4;

type Dispatchers = BTreeMap<name::Endpoint, Dispatcher>;

/// A step that has arrived from the entry or from the previous stage.
struct Arrival {
    request: Id,
    attempt: Attempt,
    stage: u16,
    pending: Pending,
}

/// Opens a stage for an attempt, or refuses it.
pub(super) fn open(
    dispatchers: &mut Dispatchers,
    cx: &mut Context,
    from: &name::Host,
    open: Open,
    superseded: bool,
) {
    let (request, attempt, stage) = (open.request, open.attempt, open.stage);
    let refused =
        match open.chain.get(usize::from(stage)).map(|own| dispatchers.get_mut(&own.endpoint)) {
            Some(Some(dispatcher)) => match dispatcher.open(cx, from, &open, superseded) {
                Ok(opened) => return cx.reply(from, opened),
                Err(refused) => {
                    let id = (request, attempt);
                    dispatcher.note_refusal(cx, id, &open.workspace, refused.clone());
                    refused
                }
            },
            Some(None) => {
                outcome_unknown(cx, Counter::Refused(Refusal::NotFound), Refusal::NotFound)
            }
            None => outcome_unknown(cx, Counter::Malformed, Refusal::Malformed),
        };
    cx.reply(from, Message::Refuse(Refuse { request, attempt, stage, refused }));
}

fn outcome_unknown(cx: &mut Context, counter: Counter, reason: Refusal) -> Refused {
    cx.count(counter);
    // An earlier process on this host may have served the endpoint and run the request.
    Refused { reason, ran: Ran::Unknown, retry_after_ms: None }
}

/// Accepts tokens from the entry for the first stage of a chain.
pub(super) fn feed(dispatchers: &mut Dispatchers, cx: &mut Context, from: &name::Host, feed: Feed) {
    let count = u32::try_from(feed.tokens.len()).unwrap_or(u32::MAX);
    let pending = Pending {
        position: feed.position,
        count,
        sample: feed.sample,
        input: Input::Tokens(feed.tokens),
        hops: Vec::new(),
        queued_at: cx.now,
        started_at: cx.now,
    };
    let (request, attempt) = (feed.request, feed.attempt);
    let Some(dispatcher) = find_dispatcher(dispatchers, request, 0) else {
        cx.count(Counter::Absent);
        let broken = Broken { request, attempt, stage: 0, fault: Fault::Absent };
        return cx.reply(from, Message::Broken(broken));
    };
    dispatcher.accept_step(cx, Arrival { request, attempt, stage: 0, pending });
}

/// Accepts activations from the previous stage.
pub(super) fn step(dispatchers: &mut Dispatchers, cx: &mut Context, from: &name::Host, step: Step) {
    let (request, attempt, stage) = (step.request, step.attempt, step.stage);
    // Without an open sequence the entry is not known, so no fault can be reported. The entry
    // recovers by its own timeouts.
    let Some(dispatcher) = find_dispatcher(dispatchers, request, stage) else {
        return cx.count(Counter::Absent);
    };
    let previous = dispatcher.sequences.get(&request).and_then(|sequence| {
        let previous = usize::from(stage).checked_sub(1)?;
        sequence.open.chain.get(previous)
    });
    if previous.is_none_or(|previous| previous.host != *from) {
        return cx.count(Counter::Foreign);
    }
    let Ok(data) = String::from_utf8(step.activation) else {
        return cx.count(Counter::Malformed);
    };
    let pending = Pending {
        position: step.position,
        count: step.count,
        sample: step.sample,
        input: Input::Activation { count: step.count, data },
        hops: step.hops,
        queued_at: cx.now,
        started_at: cx.now,
    };
    dispatcher.accept_step(cx, Arrival { request, attempt, stage, pending });
}

fn find_dispatcher(
    dispatchers: &mut Dispatchers,
    request: Id,
    stage: u16,
) -> Option<&mut Dispatcher> {
    dispatchers.values_mut().find(|dispatcher| {
        dispatcher.sequences.get(&request).is_some_and(|sequence| sequence.open.stage == stage)
    })
}

impl Dispatcher {
    fn open(
        &mut self,
        cx: &mut Context,
        from: &name::Host,
        open: &Open,
        superseded: bool,
    ) -> Result<Message, Refused> {
        let request = open.request;
        if let Some(sequence) = self.sequences.get_mut(&request) {
            if open.attempt < sequence.open.attempt {
                let ran = if sequence.started { Ran::Unknown } else { Ran::No };
                return Err(Refused { reason: Refusal::Fenced, ran, retry_after_ms: None });
            }
            if open.attempt > sequence.open.attempt {
                if !self.can_run(open) {
                    return Err(self.unrecorded_refusal(open.term, Refusal::Malformed));
                }
                self.queue.remove(request);
                if let Some(sequence) = self.sequences.get_mut(&request) {
                    sequence.begin_attempt(cx.now, open.clone());
                }
            }
        } else {
            self.admit(open, superseded)?;
            self.sequences.insert(request, Sequence::new(cx.now, from, open.clone()));
        }
        let Some(sequence) = self.sequences.get_mut(&request) else {
            return Err(self.unrecorded_refusal(open.term, Refusal::QueueFull));
        };
        sequence.orphaned_at = None;
        let (opened, held, attempt) =
            (sequence.opened_message(), sequence.held, sequence.open.attempt);
        let backlog = self.backlog.held();
        self.note(cx, request, attempt, Transition::Admitted { backlog, held });
        Ok(opened)
    }

    /// Admits a request that has no sequence here, or returns why it is refused.
    fn admit(&mut self, open: &Open, superseded: bool) -> Result<(), Refused> {
        if let Some((newest, started)) = self.ledger.newest_attempt(open.request) {
            if open.attempt <= newest {
                let ran = if started { Ran::Unknown } else { Ran::No };
                return Err(Refused { reason: Refusal::Fenced, ran, retry_after_ms: None });
            }
        }
        if self.ledger.coverage(open.term) == Coverage::Gone {
            return Err(self.unrecorded_refusal(open.term, Refusal::Restarted));
        }
        if !self.can_run(open) {
            return Err(self.unrecorded_refusal(open.term, Refusal::Malformed));
        }
        if let Some(reason) = self.refusal_reason(superseded, open.deadline_ms) {
            return Err(self.unrecorded_refusal(open.term, reason));
        }
        // Each open sequence needs room for a ledger record when it ends.
        let full = !self.ledger.has_room(self.sequences.len())
            || self.backlog.add(&open.workspace, open.tokens).is_err();
        if full { Err(self.unrecorded_refusal(open.term, Refusal::QueueFull)) } else { Ok(()) }
    }

    /// Returns whether the engine holds the stage that `open` names and the chain is valid.
    fn can_run(&self, open: &Open) -> bool {
        let Kind::Engine { model, first_layer, end_layer, .. } = &self.kind else { return false };
        let own = open.chain.get(usize::from(open.stage));
        let fits = own.is_some_and(|own| {
            own.endpoint == self.name && own.first == *first_layer && own.end == *end_layer
        });
        let contiguous = open.chain.windows(2).all(|pair| pair[0].end == pair[1].first);
        let within_limits = open.chain.len() <= MAX_STAGES && open.tokens > 0 && open.attempt > 0;
        fits && contiguous && within_limits && open.model == *model
    }

    /// Queues a step, answers a repeated one with the stored output, or reports a gap.
    fn accept_step(&mut self, cx: &mut Context, arrival: Arrival) {
        let Some(sequence) = self.sequences.get_mut(&arrival.request) else { return };
        let Arrival { attempt, stage, pending, .. } = arrival;
        if sequence.open.attempt != attempt || sequence.open.stage != stage {
            // Older attempts are fenced off. For a newer one the Open has not arrived yet.
            return cx.count(Counter::Stale);
        }
        sequence.orphaned_at = None;
        let position = pending.position;
        if let Some(done) = sequence.last.as_ref().filter(|done| done.position == position) {
            cx.out.push(done.effect.clone());
            return cx.count(Counter::Repeated);
        }
        if sequence.pending.is_some() {
            return cx.count(Counter::Stale);
        }
        if position < sequence.held {
            if sequence.last.is_some() {
                return cx.count(Counter::Stale);
            }
            // The first step of an attempt may start earlier than the positions held here, because
            // another stage of the chain holds fewer.
            sequence.held = position;
        }
        let end = u64::from(position) + u64::from(pending.count);
        if pending.count == 0 || end > u64::from(sequence.open.tokens) {
            return cx.count(Counter::Malformed);
        }
        if position > sequence.held {
            cx.count(Counter::Gap);
            let (entry, broken) = (sequence.entry.clone(), sequence.broken_message(Fault::Gap));
            return cx.reply(&entry, broken);
        }
        self.queue.push(sequence.queue_item(&pending));
        sequence.pending = Some(pending);
        sequence.resent = false;
        self.run_next_batch(cx);
    }

    /// Sends the next batch to the engine unless one is running.
    pub(super) fn run_next_batch(&mut self, cx: &mut Context) {
        if self.batch.is_some() || self.queue.is_empty() {
            return;
        }
        let Kind::Engine { batch, sequences, step_us, prompt_token_us, .. } = self.kind else {
            return;
        };
        // A step that cannot finish before its deadline must not take a place in the batch.
        for expired in self.queue.expire(cx.now + Duration::from_micros(u64::from(step_us))) {
            self.refuse_expired(cx, expired.request);
        }
        let held = self.sequences.values().filter(|sequence| sequence.started).count();
        let prompt_tokens = PROMPT_TIME_FACTOR
            .saturating_mul(step_us)
            .checked_div(prompt_token_us)
            .unwrap_or(u32::MAX);
        let new_sequences = sequences.saturating_sub(u32::try_from(held).unwrap_or(u32::MAX));
        let items = self.queue.take(Capacity { steps: batch.max(1), prompt_tokens, new_sequences });
        let size = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let (mut steps, mut slots) = (Vec::new(), Vec::new());
        for item in items {
            let request = item.request;
            self.note_start(cx, request, size);
            let Some(sequence) = self.sequences.get_mut(&request) else { continue };
            let Some(pending) = sequence.pending.as_mut() else { continue };
            sequence.started = true;
            pending.started_at = cx.now;
            let (position, count, attempt) =
                (pending.position, pending.count, sequence.open.attempt);
            slots.push(Slot { request, attempt, position, count });
            steps.push(engine::Step {
                sequence: sequence.engine_id.clone(),
                position,
                // The input is moved out, since a failed step is not run again in this attempt.
                input: std::mem::replace(&mut pending.input, Input::Tokens(Vec::new())),
                sample: pending.sample && sequence.is_last(),
                seed: sequence.open.seed,
                priority: sequence.open.priority,
            });
        }
        if !steps.is_empty() {
            self.batch = Some((slots, cx.now));
            let endpoint = self.name.clone();
            cx.out.push(Effect::Run { endpoint, batch: Batch { steps } });
        }
    }

    /// Records the start of a sequence and releases its tokens from the backlog.
    fn note_start(&mut self, cx: &mut Context, request: Id, batch: u32) {
        let Some(sequence) = self.sequences.get(&request).filter(|sequence| !sequence.started)
        else {
            return;
        };
        self.backlog.remove(&sequence.open.workspace, sequence.open.tokens);
        let queued_at = sequence.pending.as_ref().map_or(cx.now, |pending| pending.queued_at);
        let waited_us = as_us(cx.now.since(queued_at));
        self.note(cx, request, sequence.open.attempt, Transition::Started { waited_us, batch });
    }

    /// Handles the outcomes of the running batch; `None` means that the whole batch failed.
    pub(super) fn batch_finished(
        &mut self,
        cx: &mut Context,
        outcomes: Option<Vec<Result<Output, StepError>>>,
    ) {
        let Some((slots, at)) = self.batch.take() else { return };
        let outcomes = outcomes.filter(|outcomes| outcomes.len() == slots.len());
        if outcomes.is_none() {
            cx.count(Counter::EngineFailed);
            self.failed_at = Some(cx.now);
        }
        self.last_batch_us = u32::try_from(as_us(cx.now.since(at))).unwrap_or(u32::MAX);
        let size = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        let mut outcomes = outcomes.unwrap_or_default().into_iter();
        for slot in slots {
            self.step_finished(cx, slot, size, outcomes.next());
        }
        self.run_next_batch(cx);
    }

    fn step_finished(
        &mut self,
        cx: &mut Context,
        slot: Slot,
        batch: u32,
        outcome: Option<Result<Output, StepError>>,
    ) {
        let Some(sequence) = self.sequences.get_mut(&slot.request) else { return };
        if sequence.open.attempt != slot.attempt {
            return cx.count(Counter::Stale);
        }
        let Some(pending) = sequence.pending.take() else { return };
        let fault = match outcome {
            Some(Ok(output)) => match sequence.output_effect(cx.now, pending, batch, output) {
                Some(effect) => {
                    sequence.held = slot.position + slot.count;
                    sequence.last = Some(Done { position: slot.position, effect: effect.clone() });
                    return cx.out.push(effect);
                }
                None => Fault::Engine,
            },
            Some(Err(StepError::Gap)) => {
                // The engine has lost the sequence.
                sequence.held = 0;
                Fault::Gap
            }
            Some(Err(_)) | None => Fault::Engine,
        };
        let (entry, broken) = (sequence.entry.clone(), sequence.broken_message(fault));
        cx.count(Counter::StepFailed);
        cx.reply(&entry, broken);
        self.note(cx, slot.request, slot.attempt, Transition::Broken);
    }
}
