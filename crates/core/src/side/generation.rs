//! Generations: stages of chains at model engines.

use crate::config::Kind;
use crate::engine::{Batch, Input, Output, StepError};
use crate::message::{
    Broken, Cancel, Fault, Feed, Hop, Message, Open, Opened, Sample, Step, Token,
};
use crate::request::{Id, Position, Refusal};
use crate::time::{Instant, as_us};
use crate::{engine, name};

use super::{Effect, Gate, Machine, Slot, refuse, reply};

/// One request at one engine.
pub(super) struct Work {
    open: Open,
    entry: name::Host,
    /// Positions that the engine holds for this attempt.
    held: Position,
    pending: Option<Pending>,
    last: Option<Done>,
}

/// A step that waits or runs.
struct Pending {
    position: Position,
    count: u32,
    sample: bool,
    input: Input,
    hops: Vec<Hop>,
    since: Instant,
    started: Instant,
}

/// The step that ran last, kept to answer repetitions.
struct Done {
    position: Position,
    effect: Effect,
}

/// A step as it arrived, from the entry or from the stage before.
struct Arrival {
    request: Id,
    attempt: u32,
    pending: Pending,
}

impl Machine {
    pub(super) fn on_open(&mut self, from: &name::Host, open: Open, effects: &mut Vec<Effect>) {
        let Some(stage) = open.chain.get(usize::from(open.stage)) else {
            effects.push(refuse(from, &open, Refusal::Malformed));
            return;
        };
        let Some(gate) = self.gates.get_mut(&stage.endpoint) else {
            effects.push(refuse(from, &open, Refusal::NotFound));
            return;
        };
        effects.push(gate.open(from, open));
    }

    pub(super) fn on_feed(
        &mut self,
        now: Instant,
        from: &name::Host,
        feed: Feed,
        effects: &mut Vec<Effect>,
    ) {
        let count = u32::try_from(feed.tokens.len()).unwrap_or(u32::MAX);
        let input = Input::Tokens(feed.tokens);
        let pending = Pending::new(now, feed.position, count, feed.sample, input, Vec::new());
        let arrival = Arrival { request: feed.request, attempt: feed.attempt, pending };
        self.on_arrival(now, from, 0, arrival, effects);
    }

    pub(super) fn on_step(&mut self, now: Instant, step: Step, effects: &mut Vec<Effect>) {
        // The activation is text already: an engine's output is passed on as it came.
        let data = String::from_utf8_lossy(&step.activation).into_owned();
        let input = Input::Activation { count: step.count, data };
        let pending = Pending::new(now, step.position, step.count, step.sample, input, step.hops);
        let arrival = Arrival { request: step.request, attempt: step.attempt, pending };
        // Faults of a step are told to the entry that opened the work, not to the stage before.
        let Some(entry) = self.entry_of(arrival.request) else { return };
        self.on_arrival(now, &entry, step.stage, arrival, effects);
    }

    pub(super) fn on_cancel(&mut self, cancel: &Cancel, effects: &mut Vec<Effect>) {
        for (name, gate) in &mut self.gates {
            let ends = gate
                .works
                .get(&cancel.request)
                .is_some_and(|work| work.open.attempt <= cancel.attempt);
            if ends {
                gate.works.remove(&cancel.request);
                gate.queue.retain(|id| *id != cancel.request);
                effects.push(Effect::Release { endpoint: name.clone(), request: cancel.request });
            }
        }
    }

    pub(super) fn on_ran(
        &mut self,
        now: Instant,
        endpoint: &name::Endpoint,
        outcomes: Option<Vec<Result<Output, StepError>>>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(gate) = self.gates.get_mut(endpoint) else { return };
        let slots = std::mem::take(&mut gate.running);
        let took = now.since(gate.batch_at);
        gate.batch_us = u32::try_from(as_us(took)).unwrap_or(u32::MAX);
        let batch = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        let mut outcomes = outcomes.unwrap_or_default().into_iter();
        for slot in slots {
            let outcome = outcomes.next();
            effects.extend(gate.finish(now, slot, batch, outcome));
        }
        effects.extend(gate.next_batch(now, endpoint));
    }

    fn on_arrival(
        &mut self,
        now: Instant,
        entry: &name::Host,
        stage: u16,
        arrival: Arrival,
        effects: &mut Vec<Effect>,
    ) {
        let (request, attempt) = (arrival.request, arrival.attempt);
        let found = self.gates.iter_mut().find(|(_, gate)| {
            gate.works.get(&request).is_some_and(|work| work.open.stage == stage)
        });
        let Some((name, gate)) = found else {
            let fault = Fault::Absent;
            let broken = Broken { request, attempt, stage, fault };
            effects.push(reply(entry, Message::Broken(broken)));
            return;
        };
        effects.extend(gate.arrive(arrival));
        let name = name.clone();
        effects.extend(gate.next_batch(now, &name));
    }

    fn entry_of(&self, request: Id) -> Option<name::Host> {
        let mut works = self.gates.values().filter_map(|gate| gate.works.get(&request));
        works.next().map(|work| work.entry.clone())
    }
}

impl Pending {
    fn new(
        now: Instant,
        position: Position,
        count: u32,
        sample: bool,
        input: Input,
        hops: Vec<Hop>,
    ) -> Self {
        Self { position, count, sample, input, hops, since: now, started: now }
    }
}

impl Gate {
    fn open(&mut self, from: &name::Host, open: Open) -> Effect {
        let known = self.works.get(&open.request);
        if known.is_some_and(|work| work.open.attempt > open.attempt) {
            return refuse(from, &open, Refusal::Fenced);
        }
        if known.is_none() {
            if self.leaving {
                return refuse(from, &open, Refusal::Leaving);
            }
            let Kind::Engine { sequences, .. } = &self.kind else {
                return refuse(from, &open, Refusal::NotFound);
            };
            if self.works.len() >= *sequences as usize {
                return refuse(from, &open, Refusal::QueueFull);
            }
        }
        let same = known.is_some_and(|work| work.open.attempt == open.attempt);
        let held = match known {
            Some(work) if same => work.held,
            Some(work) => work.held.min(open.resume),
            None => 0,
        };
        let (request, attempt, stage) = (open.request, open.attempt, open.stage);
        if !same {
            self.queue.retain(|id| *id != request);
            let work = Work { open, entry: from.clone(), held, pending: None, last: None };
            self.works.insert(request, work);
        }
        reply(from, Message::Opened(Opened { request, attempt, stage, held }))
    }

    /// Takes a step in, answers a repetition from memory, or reports a gap.
    fn arrive(&mut self, arrival: Arrival) -> Option<Effect> {
        let work = self.works.get_mut(&arrival.request)?;
        if work.open.attempt != arrival.attempt {
            // An older attempt is fenced off; a newer one's Open is still on its way.
            return None;
        }
        let position = arrival.pending.position;
        if let Some(done) = work.last.as_ref().filter(|done| done.position == position) {
            return Some(done.effect.clone());
        }
        if work.pending.is_some() {
            return None;
        }
        if position != work.held {
            return Some(work.broken(Fault::Gap));
        }
        work.pending = Some(arrival.pending);
        self.queue.push_back(arrival.request);
        None
    }

    fn next_batch(&mut self, now: Instant, endpoint: &name::Endpoint) -> Option<Effect> {
        let Kind::Engine { batch: limit, .. } = &self.kind else { return None };
        if !self.running.is_empty() {
            return None;
        }
        let mut steps = Vec::new();
        while steps.len() < *limit as usize {
            let Some(request) = self.queue.pop_front() else { break };
            let Some(work) = self.works.get_mut(&request) else { continue };
            let Some(pending) = work.pending.as_mut() else { continue };
            pending.started = now;
            let (position, count) = (pending.position, pending.count);
            self.running.push(Slot { request, attempt: work.open.attempt, position, count });
            steps.push(engine::Step {
                sequence: request.to_string(),
                position,
                input: pending.input.clone(),
                sample: pending.sample && work.is_last(),
                seed: work.open.seed,
                priority: work.open.priority,
            });
        }
        if steps.is_empty() {
            return None;
        }
        self.batch_at = now;
        Some(Effect::Run { endpoint: endpoint.clone(), batch: Batch { steps } })
    }

    fn finish(
        &mut self,
        now: Instant,
        slot: Slot,
        batch: u32,
        outcome: Option<Result<Output, StepError>>,
    ) -> Option<Effect> {
        let work = self.works.get_mut(&slot.request)?;
        if work.open.attempt != slot.attempt {
            return None;
        }
        let pending = work.pending.take()?;
        let output = match outcome {
            Some(Ok(output)) => output,
            Some(Err(StepError::Gap)) => return Some(work.broken(Fault::Gap)),
            Some(Err(_)) | None => return Some(work.broken(Fault::Engine)),
        };
        work.held = slot.position + slot.count;
        let effect = work.output(now, pending, batch, output);
        work.last = Some(Done { position: slot.position, effect: effect.clone() });
        Some(effect)
    }
}

impl Work {
    fn is_last(&self) -> bool {
        usize::from(self.open.stage) + 1 == self.open.chain.len()
    }

    fn broken(&self, fault: Fault) -> Effect {
        let (request, attempt, stage) = (self.open.request, self.open.attempt, self.open.stage);
        reply(&self.entry, Message::Broken(Broken { request, attempt, stage, fault }))
    }

    /// The message that carries a step's output on.
    fn output(&self, now: Instant, pending: Pending, batch: u32, output: Output) -> Effect {
        let mut hops = pending.hops;
        hops.push(Hop {
            queue_us: micros(pending.started, pending.since),
            run_us: micros(now, pending.started),
            batch,
        });
        let (request, attempt) = (self.open.request, self.open.attempt);
        let sampled = match output {
            Output::Activation(data) => {
                let activation = data.into_bytes();
                return self.forward(
                    pending.position,
                    pending.count,
                    pending.sample,
                    activation,
                    hops,
                );
            }
            Output::Sample(sample) => Some(sample),
            Output::Nothing => None::<Sample>,
        };
        let position = pending.position + pending.count;
        let token = Token { request, attempt, position, sampled, hops };
        reply(&self.entry, Message::Token(token))
    }

    fn forward(
        &self,
        position: Position,
        count: u32,
        sample: bool,
        activation: Vec<u8>,
        hops: Vec<Hop>,
    ) -> Effect {
        let Some(next) = self.open.chain.get(usize::from(self.open.stage) + 1) else {
            // An engine without the last layer at the end of a chain.
            return self.broken(Fault::Engine);
        };
        let step = Step {
            request: self.open.request,
            attempt: self.open.attempt,
            stage: self.open.stage + 1,
            position,
            count,
            sample,
            activation,
            hops,
        };
        Effect::Send {
            host: next.host.clone(),
            address: Some(next.address),
            message: Message::Step(step),
        }
    }
}

fn micros(now: Instant, since: Instant) -> u32 {
    u32::try_from(as_us(now.since(since))).unwrap_or(u32::MAX)
}
