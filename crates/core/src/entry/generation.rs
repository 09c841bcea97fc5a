//! Generations while all goes well: opened, fed token by token, delivered, complete.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::answer::{Answer, Verdict};
use crate::explain::{Fact, Subject};
use crate::limit::Permit;
use crate::message::{Message, Open, Opened, Sample, Stage, Term, Token, not_run};
use crate::name;
use crate::plan::Query;
use crate::recover::{Change, Patience, Way};
use crate::request::{Id, Position, Refusal, Refused};
use crate::retry;
use crate::time::Instant;
use crate::token;

use super::admission::Ask;
use super::count::Counter;
use super::work::{Phase, Work};
use super::{Effect, Generate, Machine, Outcome, left_ms, send};

/// Part of the allowed answer length that an answer is expected to use before any was seen.
const EXPECTED_LENGTH: f64 = 0.5;

/// Weight of one answer in the expectation.
const LENGTH_WEIGHT: f64 = 0.05;

/// Estimated tokens of the answer, in the plan of a request in progress.
const REST_TOKENS: u32 = 32;

/// The timing of one token in so many is learned from, to bound the processor time.
const LEARN_EVERY: Position = 8;

/// Longest wait for a chain that covers the model, for a request in progress.
const NO_CHAIN_WAIT: Duration = Duration::from_secs(5);

impl Machine {
    pub(super) fn on_generate(
        &mut self,
        now: Instant,
        request: Id,
        ask: Generate,
        effects: &mut Vec<Effect>,
    ) {
        let subject = Subject::Model(ask.model.clone());
        self.records.open(now, request, &ask.workspace, subject, self.revision);
        self.counters.add(Counter::Request, &ask.workspace);
        match self.check(&ask) {
            Ok(()) => self.admit(now, request, Ask::Generate(ask), effects),
            Err(reason) => {
                self.refuse(now, request, &ask.workspace, not_run(reason, None), effects);
            }
        }
    }

    /// Starts an admitted generation.
    pub(super) fn run(
        &mut self,
        now: Instant,
        (request, ask, permit, deadline): (Id, Generate, Permit, Instant),
        effects: &mut Vec<Effect>,
    ) {
        let work = Work {
            request,
            permit,
            deadline,
            answer: Answer::new(ask.prompt.clone()),
            ask,
            chain: Vec::new(),
            terms: Vec::new(),
            phase: Phase::Waiting(now),
            since: now,
            sent: now,
            patience: Patience::new(Duration::ZERO),
            resume: 0,
            failed: BTreeSet::new(),
            retries: 0,
            token: Duration::ZERO,
            slow: 0,
            fault_at: None,
            fed: false,
            held: false,
        };
        self.start(now, work, effects);
    }

    fn check(&self, ask: &Generate) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let contract = self.config.contracts.get(&ask.workspace).ok_or(Refusal::Unauthorized)?;
        let model = self.config.models.get(&ask.model).ok_or(Refusal::NotFound)?;
        if !contract.models.contains(&ask.model) {
            return Err(Refusal::NotFound);
        }
        if ask.prompt.is_empty() || ask.max_tokens == 0 {
            return Err(Refusal::Malformed);
        }
        if ask.most_tokens() > model.context {
            return Err(Refusal::TooLarge);
        }
        Ok(())
    }

    /// Starts the next attempt, or ends the request if there can be none.
    pub(super) fn start(&mut self, now: Instant, mut work: Work, effects: &mut Vec<Effect>) {
        let first = work.answer.attempt() == 0;
        let keep = work.chain.iter().map(|stage| stage.endpoint.clone()).collect();
        let prefixes = token::prefixes(&work.ask.prompt);
        let query = Query {
            prompt_tokens: work.answer.length(),
            answer_tokens: if first {
                self.expected(work.ask.max_tokens, &work.ask.model)
            } else {
                REST_TOKENS
            },
            // An answer in progress goes on even if it is expected to be late.
            left: if work.fed { Duration::MAX } else { work.deadline.since(now) },
            prefixes: &prefixes,
            avoid: &work.failed,
            keep: &keep,
            random: self.rng.next_u64(),
        };
        let choice = match self.planner.choose(now, &work.ask.model, &query) {
            Ok(choice) => choice,
            Err(unplanned) => {
                let refused = unplanned.refused.clone();
                self.records.add(now, work.request, Fact::Unplanned(unplanned));
                self.postpone(now, work, refused, effects);
                return;
            }
        };
        let change = Change {
            old: &work.chain,
            new: &choice.chain,
            ran: work.answer.ran(),
            refill_us: choice.first_us,
            export: None,
        };
        let plan = change.weigh();
        let attempt = work.answer.attempt() + 1;
        let left = work.chain.iter().filter(|stage| !choice.chain.contains(stage));
        effects.extend(left.map(|stage| work.cancel_at(stage)));
        work.resume = plan.resume;
        work.chain.clone_from(&choice.chain);
        work.token = Duration::from_micros(choice.token_us);
        work.slow = 0;
        let run_again = if plan.way == Way::Refill { work.answer.length() } else { 1 };
        if !first {
            self.records.add(now, work.request, Fact::Recovers { attempt, plan });
        }
        let degraded = self.degraded(now);
        self.records.add(now, work.request, Fact::Planned { attempt, choice, degraded });
        self.planner.dispatch(now, &work.chain, run_again);
        work.answer.restart(attempt, work.resume);
        self.open(now, work, effects);
    }

    /// Waits for a chain if the request is in progress, refuses it otherwise.
    fn postpone(
        &mut self,
        now: Instant,
        mut work: Work,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        let waited = work.fault_at.map_or(Duration::ZERO, |at| now.since(at));
        if !work.fed || waited >= NO_CHAIN_WAIT {
            self.give_up(now, work, refused.reason, refused.retry_after_ms, effects);
            return;
        }
        self.counters.add(Counter::Retried(retry::Reason::NoChain), &work.ask.workspace);
        work.retries += 1;
        let wait = retry::backoff(work.retries, self.rng.next_u64());
        work.phase = Phase::Waiting(now + wait);
        self.works.insert(work.request, work);
    }

    /// Opens all stages of the present attempt.
    pub(super) fn open(&mut self, now: Instant, mut work: Work, effects: &mut Vec<Effect>) {
        work.terms = work.chain.iter().map(|stage| self.term(stage)).collect();
        let stages = u16::try_from(work.chain.len()).unwrap_or(u16::MAX);
        work.phase = Phase::Opening((0..stages).collect(), Position::MAX);
        work.since = now;
        work.sent = now;
        work.patience = Patience::new(Duration::ZERO);
        effects.extend(self.opens(now, &work, None));
        self.works.insert(work.request, work);
    }

    /// The messages that open stages: those that have not acknowledged, or those on one host.
    pub(super) fn opens(
        &self,
        now: Instant,
        work: &Work,
        host: Option<&name::Host>,
    ) -> Vec<Effect> {
        let contract = self.config.contracts.get(&work.ask.workspace);
        let service = contract.map(|contract| contract.service.clone()).unwrap_or_default();
        let open = |index: u16, term: Term| Open {
            request: work.request,
            attempt: work.answer.attempt(),
            stage: index,
            chain: work.chain.clone(),
            model: work.ask.model.clone(),
            workspace: work.ask.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: left_ms(now, work.deadline),
            resume: work.resume,
            tokens: work.ask.most_tokens(),
            seed: work.request.seq,
            roster: work.permit.roster(),
            term,
        };
        let wanted = |index: u16, stage: &Stage| match (host, &work.phase) {
            (Some(host), _) => stage.host == *host,
            (None, Phase::Opening(waiting, _)) => waiting.contains(&index),
            (None, _) => false,
        };
        let stages = work.chain.iter().zip(&work.terms).zip(0_u16..);
        let stages = stages.filter(|((stage, _), index)| wanted(*index, stage));
        stages
            .map(|((stage, term), index)| send(stage, Message::Open(open(index, *term))))
            .collect()
    }

    pub(super) fn on_opened(&mut self, now: Instant, opened: &Opened, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&opened.request) else { return };
        if work.answer.attempt() != opened.attempt {
            return;
        }
        let Phase::Opening(waiting, fewest) = &mut work.phase else { return };
        if !waiting.remove(&opened.stage) {
            return;
        }
        *fewest = opened.held.min(*fewest);
        let (done, fewest) = (waiting.is_empty(), *fewest);
        if let Some(stage) = work.chain.get(usize::from(opened.stage)) {
            self.heard.insert(stage.endpoint.clone(), now);
        }
        if !done {
            return;
        }
        if fewest < work.resume {
            self.reopen(now, opened.request, fewest, effects);
            return;
        }
        work.phase = Phase::Running;
        self.feed(now, opened.request, effects);
    }

    /// Opens the same chain again, to run from an earlier position.
    fn reopen(&mut self, now: Instant, id: Id, position: Position, effects: &mut Vec<Effect>) {
        let Some(mut work) = self.works.remove(&id) else { return };
        work.resume = position;
        work.answer.restart(work.answer.attempt() + 1, position);
        self.open(now, work, effects);
    }

    /// Sends the next tokens to the first stage, unless the caller does not keep up.
    pub(super) fn feed(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&id) else { return };
        if work.held || !matches!(work.phase, Phase::Running) {
            return;
        }
        let chunk = self.config.models.get(&work.ask.model).map_or(1, |model| model.chunk);
        let Some(feed) = work.feed(chunk) else { return };
        let count = u32::try_from(feed.tokens.len()).unwrap_or(u32::MAX);
        let expected = self.planner.step_us(now, &work.chain, count);
        work.patience = Patience::new(Duration::from_micros(expected));
        work.since = now;
        work.sent = now;
        work.fed = true;
        effects.extend(work.chain.first().map(|stage| send(stage, Message::Feed(feed))));
    }

    pub(super) fn on_token(&mut self, now: Instant, token: Token, effects: &mut Vec<Effect>) {
        let id = token.request;
        let Some(work) = self.works.get_mut(&id) else { return };
        let first = work.fault_at.is_some() || work.answer.answered() == 0;
        let started = work.answer.ran();
        let verdict = work.answer.take(&token);
        if verdict != Verdict::Taken {
            self.counters.add(Counter::Dropped(verdict), &work.ask.workspace);
            return;
        }
        for stage in &work.chain {
            self.heard.insert(stage.endpoint.clone(), now);
        }
        let took = now.since(work.since);
        let slow = token.position - started == 1 && work.note(took);
        if token.position - started == 1 && (slow || token.position % LEARN_EVERY == 0) {
            self.planner.observe(now, &work.chain, &token.hops, took);
        }
        if let Some(sample) = token.sampled {
            let recovery_us = work.fault_at.take().map(|at| crate::time::as_us(now.since(at)));
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
        let Some(work) = self.works.get_mut(&id) else { return false };
        work.retries = 0;
        if !sample.end {
            self.counters.add(Counter::Token, &work.ask.workspace);
            effects.push(Effect::Deliver { request: id, text: sample.text });
        }
        sample.end || work.answer.answered() >= work.ask.max_tokens
    }

    fn complete(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.remove(&id) else { return };
        self.release(&work, effects);
        let (prompt, answer) = (work.answer.prompt(), work.answer.answered());
        let used = f64::from(answer) / f64::from(work.ask.max_tokens.max(1));
        let length = self.lengths.entry(work.ask.model.clone()).or_insert(EXPECTED_LENGTH);
        *length += LENGTH_WEIGHT * (used - *length);
        self.records.add(now, id, Fact::Answered { tokens: answer });
        self.counters.add(Counter::Answered, &work.ask.workspace);
        let ended = answer < work.ask.max_tokens;
        let outcome = Outcome::Complete { prompt, answer, ended };
        effects.push(Effect::Finish { request: id, outcome });
        self.settle(now, work.permit, prompt.saturating_add(answer), effects);
    }

    /// Frees what the request holds at the stages.
    pub(super) fn release(&mut self, work: &Work, effects: &mut Vec<Effect>) {
        if !matches!(work.phase, Phase::Waiting(_)) {
            self.planner.finish(&work.chain);
        }
        effects.extend(work.chain.iter().map(|stage| work.cancel_at(stage)));
    }

    /// Ends a request without a whole answer.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        work: Work,
        reason: Refusal,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        self.release(&work, effects);
        let refused = work.refused(reason, retry_after_ms);
        let used = work.used();
        self.refuse(now, work.request, &work.ask.workspace, refused, effects);
        self.settle(now, work.permit, used, effects);
    }

    pub(super) fn on_hold(&mut self, id: Id) {
        if let Some(work) = self.works.get_mut(&id) {
            work.held = true;
        }
    }

    pub(super) fn on_resume(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&id) else { return };
        if std::mem::take(&mut work.held) && !work.answer.awaits() {
            self.feed(now, id, effects);
        }
    }

    /// Tokens that are expected of an answer that may have `most`.
    pub(super) fn expected(&self, most: u32, model: &name::Model) -> u32 {
        let part = self.lengths.get(model).copied().unwrap_or(EXPECTED_LENGTH);
        ((f64::from(most) * part) as u32).max(1)
    }
}
