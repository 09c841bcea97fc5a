//! The normal path of a generation: admit it, feed tokens to its chain, deliver the answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::answer::{Answer, Verdict};
use crate::explain::{Fact, Subject};
use crate::limit::Permit;
use crate::message::{Message, Sample, Token, not_run};
use crate::name;
use crate::recover::Timeouts;
use crate::request::{Id, Position, Refusal};
use crate::time::{Instant, as_us};

use super::admission::Spec;
use super::count::Counter;
use super::inflight::{Generation, Phase, Retries};
use super::{Effect, Generate, Machine, Outcome, send};

/// Fraction of `max_tokens` that an answer is expected to use before any answer was seen.
const INITIAL_LENGTH_RATIO: f64 = 0.5;

/// Weight of one answer in the moving average of that fraction.
const LENGTH_SMOOTHING: f64 = 0.05;

/// The planner observes one token in this many, to bound the processor time.
const OBSERVE_EVERY_TOKENS: Position = 8;

impl Machine {
    pub(super) fn on_generate(
        &mut self,
        now: Instant,
        request: Id,
        spec: Generate,
        effects: &mut Vec<Effect>,
    ) {
        let subject = Subject::Model(spec.model.clone());
        self.records.open(now, request, &spec.workspace, subject, self.revision);
        self.counters.add(Counter::Request, &spec.workspace);
        match self.validate_generation(&spec) {
            Ok(()) => self.admit(now, request, Spec::Generate(spec), effects),
            Err(reason) => {
                self.refuse(now, request, &spec.workspace, not_run(reason, None), effects);
            }
        }
    }

    /// Starts an admitted generation.
    pub(super) fn start_generation(
        &mut self,
        now: Instant,
        (request, spec, permit, deadline): (Id, Generate, Permit, Instant),
        effects: &mut Vec<Effect>,
    ) {
        let generation = Generation {
            request,
            permit,
            deadline,
            answer: Answer::new(spec.prompt.clone()),
            spec,
            chain: Vec::new(),
            terms: Vec::new(),
            phase: Phase::Waiting(now),
            step_started: now,
            last_sent: now,
            timeouts: Timeouts::new(Duration::ZERO),
            resume: 0,
            failed: BTreeSet::new(),
            retries: Retries::default(),
            token_time: Duration::ZERO,
            slow_tokens: 0,
            fault_at: None,
            started: false,
            paused: false,
        };
        self.start_attempt(now, generation, effects);
    }

    fn validate_generation(&self, spec: &Generate) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let contract = self.config.contracts.get(&spec.workspace).ok_or(Refusal::Unauthorized)?;
        let model = self.config.models.get(&spec.model).ok_or(Refusal::NotFound)?;
        if !contract.models.contains(&spec.model) {
            return Err(Refusal::NotFound);
        }
        if spec.prompt.is_empty() || spec.max_tokens == 0 {
            return Err(Refusal::Malformed);
        }
        if spec.max_total_tokens() > model.context {
            return Err(Refusal::TooLarge);
        }
        Ok(())
    }

    /// Sends the next tokens to the first stage, unless the caller reads too slowly.
    pub(super) fn feed(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get_mut(&id) else { return };
        if generation.paused || !matches!(generation.phase, Phase::Running) {
            return;
        }
        let chunk = self.config.models.get(&generation.spec.model).map_or(1, |model| model.chunk);
        let Some(feed) = generation.feed(chunk) else { return };
        let count = u32::try_from(feed.tokens.len()).unwrap_or(u32::MAX);
        let expected = self.planner.step_us(now, &generation.chain, count);
        generation.timeouts = Timeouts::new(Duration::from_micros(expected));
        generation.step_started = now;
        generation.last_sent = now;
        generation.started = true;
        effects.extend(generation.chain.first().map(|stage| send(stage, Message::Feed(feed))));
    }

    pub(super) fn on_token(&mut self, now: Instant, token: Token, effects: &mut Vec<Effect>) {
        let id = token.request;
        let Some(generation) = self.generations.get_mut(&id) else { return };
        let first = generation.fault_at.is_some() || generation.answer.answer_tokens() == 0;
        let ran = generation.answer.positions_run();
        let verdict = generation.answer.accept(&token);
        if verdict != Verdict::Taken {
            self.counters.add(Counter::Dropped(verdict), &generation.spec.workspace);
            return;
        }
        for stage in &generation.chain {
            self.last_progress.insert(stage.endpoint.clone(), now);
        }
        let took = now.since(generation.step_started);
        let slow = token.position - ran == 1 && generation.record_token_time(took);
        if token.position - ran == 1 && (slow || token.position % OBSERVE_EVERY_TOKENS == 0) {
            self.planner.observe_step(now, &generation.chain, &token.hops, took);
        }
        if let Some(sample) = token.sampled {
            let recovery_us = generation.fault_at.take().map(|at| as_us(now.since(at)));
            if first {
                let attempt = token.attempt;
                let (position, hops) = (token.position, token.hops);
                let fact = Fact::Token { attempt, position, recovery_us, hops };
                self.records.add(now, id, fact);
            }
            if self.deliver(id, sample, effects) {
                self.complete(now, id, effects);
                return;
            }
        }
        if !(slow && self.migrate(now, id, took, effects)) {
            self.feed(now, id, effects);
        }
    }

    /// Delivers a token; returns whether the answer is complete.
    fn deliver(&mut self, id: Id, sample: Sample, effects: &mut Vec<Effect>) -> bool {
        let Some(generation) = self.generations.get_mut(&id) else { return false };
        generation.retries = Retries::default();
        if !sample.end {
            self.counters.add(Counter::Token, &generation.spec.workspace);
            effects.push(Effect::Deliver { request: id, text: sample.text });
        }
        sample.end || generation.answer.answer_tokens() >= generation.spec.max_tokens
    }

    fn complete(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.remove(&id) else { return };
        self.release(&generation, effects);
        let (prompt, answer) =
            (generation.answer.prompt_tokens(), generation.answer.answer_tokens());
        let ratio = f64::from(answer) / f64::from(generation.spec.max_tokens.max(1));
        let mean =
            self.length_ratios.entry(generation.spec.model.clone()).or_insert(INITIAL_LENGTH_RATIO);
        *mean += LENGTH_SMOOTHING * (ratio - *mean);
        self.records.add(now, id, Fact::Answered { tokens: answer });
        self.counters.add(Counter::Answered, &generation.spec.workspace);
        let ended = answer < generation.spec.max_tokens;
        let outcome = Outcome::Complete { prompt, answer, ended };
        effects.push(Effect::Finish { request: id, outcome });
        self.settle(now, generation.permit, prompt.saturating_add(answer), effects);
    }

    /// Cancels the attempt at all stages.
    pub(super) fn release(&mut self, generation: &Generation, effects: &mut Vec<Effect>) {
        if !generation.is_waiting() {
            self.planner.record_finish(&generation.chain);
        }
        effects.extend(generation.chain.iter().map(|stage| generation.cancel_message(stage)));
    }

    /// Ends a generation before its answer is complete.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        generation: Generation,
        reason: Refusal,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        self.release(&generation, effects);
        let refused = generation.refused(reason, retry_after_ms);
        let used = generation.used();
        self.refuse(now, generation.request, &generation.spec.workspace, refused, effects);
        self.settle(now, generation.permit, used, effects);
    }

    pub(super) fn on_pause(&mut self, id: Id) {
        if let Some(generation) = self.generations.get_mut(&id) {
            generation.paused = true;
        }
    }

    pub(super) fn on_resume(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get_mut(&id) else { return };
        if std::mem::take(&mut generation.paused) && !generation.answer.has_feed_in_flight() {
            self.feed(now, id, effects);
        }
    }

    /// Returns the expected tokens of an answer that may have at most `max_tokens`.
    pub(super) fn expected_tokens(&self, max_tokens: u32, model: &name::Model) -> u32 {
        let ratio = self.length_ratios.get(model).copied().unwrap_or(INITIAL_LENGTH_RATIO);
        ((f64::from(max_tokens) * ratio) as u32).max(1)
    }
}
