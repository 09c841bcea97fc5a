//! Generations when something fails: retransmission, suspicion, lost hosts, new attempts.

use std::time::Duration;

use crate::explain::Fact;
use crate::message::{Broken, Fault, Message, Refuse};
use crate::recover::{Silence, Step};
use crate::request::{Id, Refusal, Refused};
use crate::retry::{self, Reason};
use crate::time::{Instant, as_us};
use crate::{name, revision};

use super::count::Counter;
use super::work::{Phase, Work};
use super::{Effect, Machine, send};

/// How long an endpoint that failed is avoided if there is another one.
const SUSPECT: Duration = Duration::from_secs(5);

/// How long an endpoint that refused for a passing reason is avoided.
const BUSY: Duration = Duration::from_millis(250);

/// How long a host that lost its connection has to be heard again.
const PROBE: Duration = Duration::from_millis(250);

/// How long nothing is sent to a host that is held to be dead.
const DEAD: Duration = Duration::from_secs(3);

/// Attempts without a new token after which a request is given up.
const MOST_RETRIES: u32 = 8;

/// Attempts without a new token that are made without a wait.
const PROMPT_RETRIES: u32 = 2;

/// Why an attempt failed.
pub(super) struct Failure {
    pub reason: Reason,
    pub refused: Option<Refused>,
    /// The endpoint that is held to be at fault.
    pub endpoint: Option<name::Endpoint>,
}

impl Failure {
    fn new(reason: Reason, endpoint: Option<name::Endpoint>) -> Self {
        Self { reason, refused: None, endpoint }
    }
}

impl Machine {
    /// A side refused to open a stage; nothing of this attempt ran there.
    pub(super) fn on_refuse(&mut self, now: Instant, refuse: Refuse, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get(&refuse.request) else { return };
        if work.answer.attempt() != refuse.attempt || matches!(work.phase, Phase::Waiting(_)) {
            return;
        }
        let Some(stage) = work.chain.get(usize::from(refuse.stage)) else { return };
        let endpoint = stage.endpoint.clone();
        self.heed(now, &endpoint, &refuse.refused);
        let reason = refuse.refused.reason;
        let retry_after_ms = refuse.refused.retry_after_ms;
        let last = matches!(reason, Refusal::Deadline | Refusal::Superseded);
        if last || !self.budget.take(now) {
            let Some(work) = self.works.remove(&refuse.request) else { return };
            let (reason, after) = match last {
                true => (reason, retry_after_ms),
                false => (Refusal::RetryBudget, Some(as_us(self.budget.wait()) / 1000)),
            };
            self.give_up(now, work, reason, after, effects);
            return;
        }
        let refused = Some(refuse.refused);
        let failure = Failure { reason: Reason::Refused, refused, endpoint: Some(endpoint) };
        self.fail(now, refuse.request, failure, effects);
    }

    /// Learns from a refusal where not to send the next request.
    pub(super) fn heed(&mut self, now: Instant, endpoint: &name::Endpoint, refused: &Refused) {
        match refused.reason {
            Refusal::Leaving => self.planner.close(now, endpoint),
            Refusal::Restarted => {
                self.terms.remove(endpoint);
            }
            Refusal::Fenced => {}
            _ => {
                let wait = refused.retry_after_ms.map_or(BUSY, Duration::from_millis);
                self.planner.suspect(endpoint, now + wait.min(SUSPECT));
            }
        }
    }

    /// A stage said that the attempt cannot go on.
    pub(super) fn on_broken(&mut self, now: Instant, broken: &Broken, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get(&broken.request) else { return };
        if work.answer.attempt() != broken.attempt || matches!(work.phase, Phase::Waiting(_)) {
            return;
        }
        let stage = usize::from(broken.stage);
        let at_fault = match broken.fault {
            Fault::Engine => work.chain.get(stage),
            Fault::Link => work.chain.get(stage + 1),
            Fault::Absent | Fault::Gap => None,
        };
        let endpoint = at_fault.map(|stage| stage.endpoint.clone());
        if broken.fault == Fault::Link {
            self.planner.cut(now, &work.chain, broken.stage);
        }
        if let Some(endpoint) = &endpoint {
            self.planner.suspect(endpoint, now + SUSPECT);
        }
        let failure = Failure::new(broken.fault.into(), endpoint);
        self.fail(now, broken.request, failure, effects);
    }

    /// A connection ended. It may only have gone silent, so the host gets a chance to answer over
    /// a new one; if that fails too, or takes too long, the host is held to be dead.
    pub(super) fn on_lost(&mut self, now: Instant, host: &name::Host, effects: &mut Vec<Effect>) {
        if self.doubts.contains_key(host) {
            self.on_dead(now, host, effects);
            return;
        }
        if self.lost.contains_key(host) {
            return;
        }
        self.doubts.insert(host.clone(), now);
        self.planner.lose(host, now + PROBE);
        let doubted = self.works.values().filter(|work| work.is_on(host));
        let mut opens: Vec<Effect> =
            doubted.flat_map(|work| self.opens(now, work, Some(host))).collect();
        effects.append(&mut opens);
        self.resend_calls(now, host, effects);
        // Opens a new connection even if nothing is in progress there.
        let address = self.planner.address(host);
        if address.is_some() {
            let number = revision::Message::Number(self.revision);
            let message = Message::Revision(number);
            effects.push(Effect::Send { host: host.clone(), address, message });
        }
    }

    /// A host was heard: it is not dead.
    pub(super) fn on_heard(&mut self, host: &name::Host) {
        if self.doubts.remove(host).is_some() | self.lost.remove(host).is_some() {
            self.planner.find(host);
        }
    }

    fn on_dead(&mut self, now: Instant, host: &name::Host, effects: &mut Vec<Effect>) {
        self.doubts.remove(host);
        self.lost.insert(host.clone(), now + DEAD);
        self.directory.on_lost(now, host);
        self.planner.lose(host, now + DEAD);
        let failed: Vec<(Id, Option<name::Endpoint>)> = self
            .works
            .values()
            .filter(|work| !matches!(work.phase, Phase::Waiting(_)) && work.is_on(host))
            .map(|work| (work.request, work.endpoint_on(host)))
            .collect();
        for (request, endpoint) in failed {
            self.fail(now, request, Failure::new(Reason::HostLost, endpoint), effects);
        }
        self.fail_calls(now, host, effects);
    }

    pub(super) fn tick_hosts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.lost.retain(|_, until| *until > now);
        let silent = self.doubts.iter().filter(|(_, since)| now.since(**since) >= PROBE);
        let silent: Vec<name::Host> = silent.map(|(host, _)| host.clone()).collect();
        for host in silent {
            self.on_dead(now, &host, effects);
        }
    }

    pub(super) fn tick_generations(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let due = self.works.values().filter_map(|work| Some((work.request, self.due(now, work)?)));
        let due: Vec<(Id, Due)> = due.collect();
        for (id, due) in due {
            match due {
                Due::Deadline => {
                    if let Some(work) = self.works.remove(&id) {
                        self.give_up(now, work, Refusal::Deadline, None, effects);
                    }
                }
                Due::Start => {
                    if let Some(work) = self.works.remove(&id) {
                        self.start(now, work, effects);
                    }
                }
                Due::Retransmit => self.retransmit(now, id, effects),
                Due::Suspect(stage) => self.suspect(now, id, stage, effects),
            }
        }
    }

    fn due(&self, now: Instant, work: &Work) -> Option<Due> {
        if work.deadline <= now {
            return Some(Due::Deadline);
        }
        let (silent, unsent) = (now.since(work.since), now.since(work.sent));
        let patient = unsent < work.patience.retransmit && silent < work.patience.suspect;
        if patient && !matches!(work.phase, Phase::Waiting(_)) {
            return None;
        }
        let stages: Vec<u16> = match &work.phase {
            Phase::Waiting(until) => return (*until <= now).then_some(Due::Start),
            Phase::Opening(waiting, _) => waiting.iter().copied().collect(),
            Phase::Running if !work.answer.awaits() => return None,
            Phase::Running => (0_u16..).take(work.chain.len()).collect(),
        };
        let heard = |stage: &u16| {
            let endpoint = work.chain.get(usize::from(*stage)).map(|stage| &stage.endpoint);
            endpoint.and_then(|name| self.heard.get(name)).copied().unwrap_or_default()
        };
        let heard: Vec<Instant> = stages.iter().map(heard).collect();
        let (since, sent, patience) = (work.since, work.sent, work.patience);
        match (Silence { since, sent, patience, heard: &heard }).judge(now) {
            Step::Wait => None,
            Step::Retransmit => Some(Due::Retransmit),
            Step::Suspect(index) => stages.get(usize::from(index)).map(|s| Due::Suspect(*s)),
        }
    }

    fn retransmit(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let attempt = work.answer.attempt();
        let silent_us = as_us(now.since(work.since));
        work.sent = now;
        if let Phase::Running = work.phase {
            // A feed in flight is given again, whatever the chunk.
            let feed = work.feed(1).map(Message::Feed);
            let effect = work.chain.first().zip(feed).map(|(stage, feed)| send(stage, feed));
            effects.extend(effect);
        }
        self.counters.add(Counter::Retransmitted, &work.ask.workspace);
        self.records.add(now, id, Fact::Retransmitted { attempt, silent_us });
        if let Some(work) = self.works.get(&id) {
            effects.extend(self.opens(now, work, None));
        }
    }

    /// Goes on without a stage that was silent for too long, if the budget allows it.
    fn suspect(&mut self, now: Instant, id: Id, stage: u16, effects: &mut Vec<Effect>) {
        if !self.budget.take(now) {
            let due =
                self.works.get(&id).is_some_and(|w| now.since(w.sent) >= w.patience.retransmit);
            if due {
                self.retransmit(now, id, effects);
            }
            return;
        }
        let Some(work) = self.works.get(&id) else { return };
        let endpoint = work.chain.get(usize::from(stage)).map(|stage| stage.endpoint.clone());
        if let Some(endpoint) = &endpoint {
            self.planner.suspect(endpoint, now + SUSPECT);
        }
        self.fail(now, id, Failure::new(Reason::Silent, endpoint), effects);
    }

    /// Gives an attempt up and starts the next one, at once or after a wait.
    pub(super) fn fail(
        &mut self,
        now: Instant,
        id: Id,
        failure: Failure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut work) = self.works.remove(&id) else { return };
        self.planner.finish(&work.chain);
        work.phase = Phase::Waiting(now);
        work.retries += 1;
        // A silent stage failed when the step was sent, not when that was noticed.
        let began = if failure.reason == Reason::Silent { work.since } else { now };
        work.fault_at.get_or_insert(began);
        work.failed.extend(failure.endpoint.clone());
        self.counters.add(Counter::Retried(failure.reason), &work.ask.workspace);
        let Failure { reason, refused, endpoint } = failure;
        let (attempt, request) = (work.answer.attempt(), work.request);
        self.records.add(now, request, Fact::Failed { attempt, reason, refused, endpoint });
        if work.retries > MOST_RETRIES {
            self.give_up(now, work, Refusal::EndpointFailed, None, effects);
            return;
        }
        if work.retries <= PROMPT_RETRIES {
            self.start(now, work, effects);
            return;
        }
        let wait = retry::backoff(work.retries - PROMPT_RETRIES, self.rng.next_u64());
        let ms = as_us(wait) / 1000;
        self.records.add(now, request, Fact::WaitsForRetry { ms });
        work.phase = Phase::Waiting(now + wait);
        self.works.insert(request, work);
    }
}

/// What is due for a generation.
enum Due {
    Deadline,
    Start,
    Retransmit,
    Suspect(u16),
}

impl Work {
    fn is_on(&self, host: &name::Host) -> bool {
        self.chain.iter().any(|stage| stage.host == *host)
    }

    fn endpoint_on(&self, host: &name::Host) -> Option<name::Endpoint> {
        let stage = self.chain.iter().find(|stage| stage.host == *host);
        stage.map(|stage| stage.endpoint.clone())
    }
}
