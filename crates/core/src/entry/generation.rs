//! The normal path of a generation: open a chain, feed it tokens, deliver the answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::answer::{Answer, Verdict};
use crate::explain::{Fact, Subject};
use crate::limit::Permit;
use crate::message::{Message, Open, Opened, Sample, Stage, Term, Token, not_run};
use crate::name;
use crate::plan::Query;
use crate::recover::{Replacement, Strategy, Timeouts};
use crate::request::{Id, Position, Refusal, Refused};
use crate::retry;
use crate::time::{Instant, as_us};
use crate::token;

use super::admission::Spec;
use super::count::Counter;
use super::inflight::{Generation, Phase, Retries};
use super::{Effect, Generate, Machine, Outcome, remaining_ms, send};

/// Fraction of `max_tokens` that an answer is expected to use before any answer was seen.
const INITIAL_LENGTH_RATIO: f64 = 0.5;

/// Weight of one answer in the moving average of that fraction.
const LENGTH_SMOOTHING: f64 = 0.05;

/// Estimated tokens that an answer in progress still needs.
const REMAINING_TOKENS_ESTIMATE: u32 = 32;

/// The planner observes one token in this many, to bound the processor time.
const OBSERVE_EVERY_TOKENS: Position = 8;

/// Longest time that a generation in progress waits for a chain that covers the model.
const MAX_NO_CHAIN_WAIT: Duration = Duration::from_secs(5);

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

    /// Starts the next attempt, or postpones or refuses the generation if no chain is found.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        mut generation: Generation,
        effects: &mut Vec<Effect>,
    ) {
        let first = generation.answer.attempt() == 0;
        let keep = generation.chain.iter().map(|stage| stage.endpoint.clone()).collect();
        let prefixes = token::prefix_hashes(&generation.spec.prompt);
        let query = Query {
            prompt_tokens: generation.answer.length(),
            answer_tokens: if first {
                self.expected_tokens(generation.spec.max_tokens, &generation.spec.model)
            } else {
                REMAINING_TOKENS_ESTIMATE
            },
            // An answer in progress continues even if it is expected to miss its deadline.
            time_left: if generation.started {
                Duration::MAX
            } else {
                generation.deadline.since(now)
            },
            prefixes: &prefixes,
            avoid: &generation.failed,
            include: &keep,
            random: self.rng.next_u64(),
        };
        let choice = match self.planner.choose(now, &generation.spec.model, &query) {
            Ok(choice) => choice,
            Err(unplanned) => {
                let refused = unplanned.refused.clone();
                self.records.add(now, generation.request, Fact::Unplanned(unplanned));
                self.postpone(now, generation, refused, effects);
                return;
            }
        };
        let replacement = Replacement {
            old: &generation.chain,
            new: &choice.chain,
            ran: generation.answer.positions_run(),
            refill_us: choice.first_us,
            export_rate: None,
        };
        let plan = replacement.plan();
        let attempt = generation.answer.attempt() + 1;
        let dropped = generation.chain.iter().filter(|stage| !choice.chain.contains(stage));
        effects.extend(dropped.map(|stage| generation.cancel_message(stage)));
        generation.resume = plan.resume;
        generation.chain.clone_from(&choice.chain);
        generation.token_time = Duration::from_micros(choice.token_us);
        generation.slow_tokens = 0;
        let tokens = if plan.strategy == Strategy::Refill { generation.answer.length() } else { 1 };
        if !first {
            self.records.add(now, generation.request, Fact::Recovers { attempt, plan });
        }
        let degraded = self.degraded(now);
        self.records.add(now, generation.request, Fact::Planned { attempt, choice, degraded });
        self.planner.record_dispatch(now, &generation.chain, tokens);
        generation.answer.restart(attempt, generation.resume);
        self.open_stages(now, generation, effects);
    }

    /// Schedules another attempt if the generation is in progress, and refuses it otherwise.
    fn postpone(
        &mut self,
        now: Instant,
        mut generation: Generation,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        let since = *generation.retries.no_chain_since.get_or_insert(now);
        if !generation.started || now.since(since) >= MAX_NO_CHAIN_WAIT {
            self.give_up(now, generation, refused.reason, refused.retry_after_ms, effects);
            return;
        }
        self.counters.add(Counter::Retried(retry::Reason::NoChain), &generation.spec.workspace);
        generation.retries.count += 1;
        let wait = retry::backoff(generation.retries.count, self.rng.next_u64());
        generation.phase = Phase::Waiting(now + wait);
        self.generations.insert(generation.request, generation);
    }

    /// Opens all stages of the current attempt.
    pub(super) fn open_stages(
        &mut self,
        now: Instant,
        mut generation: Generation,
        effects: &mut Vec<Effect>,
    ) {
        generation.terms = generation.chain.iter().map(|stage| self.term(stage)).collect();
        let stages = u16::try_from(generation.chain.len()).unwrap_or(u16::MAX);
        generation.phase = Phase::Opening((0..stages).collect(), Position::MAX);
        generation.step_started = now;
        generation.last_sent = now;
        generation.timeouts = Timeouts::new(Duration::ZERO);
        effects.extend(self.open_messages(now, &generation, None));
        self.generations.insert(generation.request, generation);
    }

    /// Returns the messages that open the stages on `host`, or all unacknowledged ones if `None`.
    pub(super) fn open_messages(
        &self,
        now: Instant,
        generation: &Generation,
        host: Option<&name::Host>,
    ) -> Vec<Effect> {
        let contract = self.config.contracts.get(&generation.spec.workspace);
        let service = contract.map(|contract| contract.service.clone()).unwrap_or_default();
        let open = |index: u16, term: Term| Open {
            request: generation.request,
            attempt: generation.answer.attempt(),
            stage: index,
            chain: generation.chain.clone(),
            model: generation.spec.model.clone(),
            workspace: generation.spec.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: remaining_ms(now, generation.deadline),
            resume: generation.resume,
            tokens: generation.spec.max_total_tokens(),
            seed: generation.request.seq,
            roster: generation.permit.roster(),
            term,
        };
        let wanted = |index: u16, stage: &Stage| match (host, &generation.phase) {
            (Some(host), _) => stage.host == *host,
            (None, Phase::Opening(waiting, _)) => waiting.contains(&index),
            (None, _) => false,
        };
        let stages = generation.chain.iter().zip(&generation.terms).zip(0_u16..);
        let stages = stages.filter(|((stage, _), index)| wanted(*index, stage));
        stages
            .map(|((stage, term), index)| send(stage, Message::Open(open(index, *term))))
            .collect()
    }

    pub(super) fn on_opened(&mut self, now: Instant, opened: &Opened, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get_mut(&opened.request) else { return };
        if generation.answer.attempt() != opened.attempt {
            return;
        }
        let Phase::Opening(waiting, fewest) = &mut generation.phase else { return };
        if !waiting.remove(&opened.stage) {
            return;
        }
        *fewest = opened.held.min(*fewest);
        let (done, fewest) = (waiting.is_empty(), *fewest);
        if let Some(stage) = generation.chain.get(usize::from(opened.stage)) {
            self.last_progress.insert(stage.endpoint.clone(), now);
        }
        if !done {
            return;
        }
        if fewest < generation.resume {
            self.reopen_from(now, opened.request, fewest, effects);
            return;
        }
        generation.phase = Phase::Running;
        self.feed(now, opened.request, effects);
    }

    /// Opens the same chain with a new attempt that runs from an earlier position.
    fn reopen_from(&mut self, now: Instant, id: Id, position: Position, effects: &mut Vec<Effect>) {
        let Some(mut generation) = self.generations.remove(&id) else { return };
        generation.resume = position;
        generation.answer.restart(generation.answer.attempt() + 1, position);
        self.open_stages(now, generation, effects);
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
