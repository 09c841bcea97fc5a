//! Generations in progress.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::{
    Broken, Cancel, Fault, Feed, Message, Open, Opened, Refuse, Stage, Term, Token,
};
use crate::name;
use crate::request::{Attempt, Id, Position, Ran, Refusal, Refused};
use crate::time::{Instant, as_us};

use super::{Effect, Generate, Machine, Outcome, refuse, send};

/// How long a stage that failed is avoided.
const AVOID_MS: u64 = 5_000;

/// How long an unanswered message waits before it is sent again.
const RETRANSMIT_MS: u64 = 300;

/// Retransmissions before the attempt is given up.
const MAX_RETRANSMITS: u32 = 3;

/// Attempts at one request.
const MAX_ATTEMPTS: Attempt = 8;

/// One generation.
pub(super) struct Work {
    request: Id,
    ask: Generate,
    deadline: Instant,
    /// Prompt and delivered answer.
    tokens: Vec<u32>,
    delivered: u32,
    attempt: Attempt,
    chain: Vec<Stage>,
    phase: Phase,
    /// When the last message of this attempt was sent or answered.
    sent: Instant,
    retransmits: u32,
}

enum Phase {
    /// Stages that have not acknowledged yet.
    Opening(BTreeSet<u16>),
    /// The feed that is on its way.
    Running { position: Position, count: u32 },
}

impl Machine {
    pub(super) fn on_generate(
        &mut self,
        now: Instant,
        request: Id,
        ask: Generate,
        effects: &mut Vec<Effect>,
    ) {
        let Some(contract) = self.config.contracts.get(&ask.workspace) else {
            effects.push(refuse(request, Refusal::Unauthorized, None));
            return;
        };
        let service = &contract.service;
        let asked = ask.deadline.unwrap_or(service.default_deadline);
        let deadline = now + asked.min(service.longest_deadline);
        let tokens = ask.prompt.clone();
        let work = Work {
            request,
            ask,
            deadline,
            tokens,
            delivered: 0,
            attempt: 0,
            chain: Vec::new(),
            phase: Phase::Opening(BTreeSet::new()),
            sent: now,
            retransmits: 0,
        };
        self.works.insert(request, work);
        self.start(now, request, effects);
    }

    /// Starts the next attempt at a request, or refuses it.
    fn start(&mut self, now: Instant, request: Id, effects: &mut Vec<Effect>) {
        let Some(mut work) = self.works.remove(&request) else { return };
        effects.extend(work.cancel());
        if work.attempt >= MAX_ATTEMPTS {
            effects.push(work.give_up(Refusal::RetryBudget));
            return;
        }
        let Some(chain) = self.plan(now, &work.ask.model) else {
            effects.push(work.give_up(Refusal::NoChain));
            return;
        };
        work.attempt += 1;
        work.chain = chain;
        work.phase = Phase::Opening((0..work.stages()).collect());
        work.sent = now;
        work.retransmits = 0;
        effects.extend(self.opens(now, &work));
        self.works.insert(request, work);
    }

    /// The messages that open the stages which have not acknowledged.
    fn opens(&self, now: Instant, work: &Work) -> Vec<Effect> {
        let Phase::Opening(waiting) = &work.phase else { return Vec::new() };
        let service = self.config.contracts.get(&work.ask.workspace).map(|c| c.service.clone());
        let service = service.unwrap_or_default();
        let open = Open {
            request: work.request,
            attempt: work.attempt,
            stage: 0,
            chain: work.chain.clone(),
            model: work.ask.model.clone(),
            workspace: work.ask.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: as_us(work.deadline.since(now)) / 1000,
            resume: 0,
            tokens: work.most_tokens(),
            seed: work.request.seq,
            roster: 0,
            term: Term::default(),
        };
        let stages = work.chain.iter().zip(0_u16..).filter(|(_, index)| waiting.contains(index));
        stages
            .map(|(stage, index)| {
                let term = self.term(&stage.endpoint);
                send(stage, Message::Open(Open { stage: index, term, ..open.clone() }))
            })
            .collect()
    }

    pub(super) fn on_opened(&mut self, now: Instant, opened: &Opened, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&opened.request) else { return };
        if work.attempt != opened.attempt {
            return;
        }
        let Phase::Opening(waiting) = &mut work.phase else { return };
        waiting.remove(&opened.stage);
        if waiting.is_empty() {
            let chunk = self.config.models.get(&work.ask.model).map_or(1, |model| model.chunk);
            effects.extend(work.feed(now, 0, chunk));
        }
    }

    pub(super) fn on_token(&mut self, now: Instant, token: Token, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&token.request) else { return };
        let Phase::Running { position, count } = work.phase else { return };
        if work.attempt != token.attempt || token.position != position + count {
            return;
        }
        let chunk = self.config.models.get(&work.ask.model).map_or(1, |model| model.chunk);
        let Some(sample) = token.sampled else {
            effects.extend(work.feed(now, token.position, chunk));
            return;
        };
        if !sample.end {
            work.tokens.push(sample.token);
            work.delivered += 1;
            effects.push(Effect::Deliver { request: token.request, text: sample.text });
        }
        if sample.end || work.delivered >= work.ask.max_tokens {
            let ended = sample.end;
            if let Some(work) = self.works.remove(&token.request) {
                effects.extend(work.complete(ended));
            }
            return;
        }
        effects.extend(work.feed(now, token.position, chunk));
    }

    pub(super) fn on_refuse(&mut self, now: Instant, refuse: &Refuse, effects: &mut Vec<Effect>) {
        let (request, attempt, stage) = (refuse.request, refuse.attempt, refuse.stage);
        let broken = Broken { request, attempt, stage, fault: Fault::Engine };
        self.on_broken(now, &broken, effects);
    }

    /// Avoids the endpoint at fault and starts over without it.
    pub(super) fn on_broken(&mut self, now: Instant, broken: &Broken, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get(&broken.request) else { return };
        if work.attempt != broken.attempt {
            return;
        }
        let stage = usize::from(broken.stage);
        let at_fault = match broken.fault {
            Fault::Engine => work.chain.get(stage),
            Fault::Link => work.chain.get(stage + 1),
            Fault::Absent | Fault::Gap => None,
        };
        if let Some(stage) = at_fault {
            let until = now + Duration::from_millis(AVOID_MS);
            self.avoided.insert(stage.endpoint.clone(), until);
        }
        self.start(now, broken.request, effects);
    }

    pub(super) fn on_lost(&mut self, now: Instant, host: &name::Host, effects: &mut Vec<Effect>) {
        let until = now + Duration::from_millis(AVOID_MS);
        let mut failed = BTreeSet::new();
        for (request, work) in &self.works {
            for stage in work.chain.iter().filter(|stage| stage.host == *host) {
                self.avoided.insert(stage.endpoint.clone(), until);
                failed.insert(*request);
            }
        }
        for request in failed {
            self.start(now, request, effects);
        }
    }

    pub(super) fn tick_generations(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let overdue: Vec<Id> =
            self.works.values().filter(|w| w.deadline <= now).map(|w| w.request).collect();
        for request in overdue {
            if let Some(work) = self.works.remove(&request) {
                effects.extend(work.cancel());
                effects.push(work.give_up(Refusal::Deadline));
            }
        }
        let wait = Duration::from_millis(RETRANSMIT_MS);
        let silent: Vec<Id> =
            self.works.values().filter(|w| w.sent + wait <= now).map(|w| w.request).collect();
        for request in silent {
            self.retransmit(now, request, effects);
        }
    }

    fn retransmit(&mut self, now: Instant, request: Id, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&request) else { return };
        work.retransmits += 1;
        work.sent = now;
        if work.retransmits > MAX_RETRANSMITS {
            self.start(now, request, effects);
            return;
        }
        match work.phase {
            Phase::Running { position, count } => effects.extend(work.feed_again(position, count)),
            Phase::Opening(_) => {
                if let Some(work) = self.works.get(&request) {
                    effects.extend(self.opens(now, work));
                }
            }
        }
    }
}

impl Work {
    fn stages(&self) -> u16 {
        u16::try_from(self.chain.len()).unwrap_or(u16::MAX)
    }

    fn most_tokens(&self) -> u32 {
        count(&self.ask.prompt).saturating_add(self.ask.max_tokens)
    }

    /// Runs the tokens from `position` on, `chunk` at most.
    fn feed(&mut self, now: Instant, position: Position, chunk: u32) -> Option<Effect> {
        let left = count(&self.tokens).saturating_sub(position);
        let count = left.min(chunk.max(1));
        self.phase = Phase::Running { position, count };
        self.sent = now;
        self.retransmits = 0;
        self.feed_again(position, count)
    }

    fn feed_again(&self, position: Position, count: u32) -> Option<Effect> {
        let first = position as usize;
        let tokens = self.tokens.get(first..first + count as usize)?.to_vec();
        let sample = first + tokens.len() == self.tokens.len();
        let (request, attempt) = (self.request, self.attempt);
        let feed = Feed { request, attempt, position, tokens, sample };
        self.chain.first().map(|stage| send(stage, Message::Feed(feed)))
    }

    /// The messages that end this attempt at every stage.
    pub(super) fn cancel(&self) -> Vec<Effect> {
        let cancel = Cancel { request: self.request, attempt: self.attempt };
        self.chain.iter().map(|stage| send(stage, Message::Cancel(cancel.clone()))).collect()
    }

    fn complete(self, ended: bool) -> Vec<Effect> {
        let mut effects = self.cancel();
        let outcome =
            Outcome::Complete { prompt: count(&self.ask.prompt), answer: self.delivered, ended };
        effects.push(Effect::Finish { request: self.request, outcome });
        effects
    }

    /// Ends the request without a whole answer.
    fn give_up(&self, reason: Refusal) -> Effect {
        let ran = if self.attempt == 0 { Ran::No } else { Ran::Unknown };
        let refused = Refused { reason, ran, retry_after_ms: None };
        Effect::Finish { request: self.request, outcome: Outcome::Refused(refused) }
    }
}

fn count(tokens: &[u32]) -> u32 {
    u32::try_from(tokens.len()).unwrap_or(u32::MAX)
}
