//! Recovery of generations: retransmission, suspected stages, lost hosts and new attempts.

use std::time::Duration;

use crate::explain::Fact;
use crate::message::{Broken, Fault, Message, Refuse};
use crate::recover::{Action, Outstanding};
use crate::request::{Id, Refusal, Refused};
use crate::retry::{self, Reason};
use crate::time::{Instant, as_us};
use crate::{name, revision};

use super::count::Counter;
use super::inflight::{Generation, Phase};
use super::lost::Loss;
use super::{Effect, Machine, send};

/// How long an endpoint that failed is avoided if there is another one.
pub(super) const SUSPECT_PERIOD: Duration = Duration::from_secs(5);

/// How long an endpoint is avoided after a temporary refusal that states no time to retry after.
const BUSY_PERIOD: Duration = Duration::from_millis(250);

/// How long a host whose connection ended may take to answer over a new one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long nothing is sent to a host that is considered dead.
const DEAD_PERIOD: Duration = Duration::from_secs(3);

/// Most failed attempts without a new token before a generation is refused, since its prompt may be
/// what engines fail at.
const MAX_RETRIES: u32 = 8;

/// Most attempts without a new token that are left because a stage is silent.
const MAX_SILENT_RETRIES: u32 = 8;

/// Attempts without a new token that are retried without backoff.
const IMMEDIATE_RETRIES: u32 = 2;

/// The failure of an attempt.
pub(super) struct Failure {
    pub reason: Reason,
    pub refused: Option<Refused>,
    /// The endpoint that is considered at fault, if any.
    pub endpoint: Option<name::Endpoint>,
}

impl Failure {
    fn new(reason: Reason, endpoint: Option<name::Endpoint>) -> Self {
        Self { reason, refused: None, endpoint }
    }
}

impl Machine {
    /// Handles the refusal of a side to open a stage. Nothing of this attempt ran there.
    pub(super) fn on_refuse(&mut self, now: Instant, refuse: Refuse, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get(&refuse.request) else { return };
        if generation.answer.attempt() != refuse.attempt || generation.is_waiting() {
            return;
        }
        let Some(stage) = generation.chain.get(usize::from(refuse.stage)) else { return };
        let endpoint = stage.endpoint.clone();
        self.learn_from_refusal(now, &endpoint, &refuse.refused);
        let (id, refused) = (refuse.request, refuse.refused);
        if refused.reason.is_final() {
            if let Some(generation) = self.generations.remove(&id) {
                self.give_up(now, generation, refused.reason, refused.retry_after_ms, effects);
            }
            return;
        }
        let refused = Some(refused);
        let failure = Failure { reason: Reason::Refused, refused, endpoint: Some(endpoint) };
        if self.retry_budget.take(now) {
            self.fail(now, id, failure, effects);
        } else {
            self.await_retry(now, id, failure, effects);
        }
    }

    /// Ends an attempt after which there is no retry. An answer in progress waits for one until its
    /// deadline; a generation that has not started is refused.
    fn await_retry(&mut self, now: Instant, id: Id, failure: Failure, effects: &mut Vec<Effect>) {
        let ms = self.retry_budget.retry_after_ms();
        let Some(generation) = self.generations.get(&id) else { return };
        if !generation.started {
            if let Some(generation) = self.generations.remove(&id) {
                self.give_up(now, generation, Refusal::RetryBudget, Some(ms), effects);
            }
            return;
        }
        if let Some(mut generation) = self.end_attempt(now, id, failure) {
            self.records.add(now, id, Fact::WaitsForRetry { ms });
            generation.phase = Phase::AwaitingRetry;
            self.generations.insert(id, generation);
        }
    }

    /// Updates what is known of an endpoint from its refusal, so that later requests avoid it.
    pub(super) fn learn_from_refusal(
        &mut self,
        now: Instant,
        endpoint: &name::Endpoint,
        refused: &Refused,
    ) {
        match refused.reason {
            Refusal::Leaving => self.planner.mark_closed(now, endpoint),
            Refusal::Restarted => {
                self.terms.remove(endpoint);
            }
            Refusal::Fenced => {}
            _ => {
                let wait = refused.retry_after_ms.map_or(BUSY_PERIOD, Duration::from_millis);
                self.planner.mark_suspected(endpoint, now + wait.min(SUSPECT_PERIOD));
            }
        }
    }

    /// Handles the report of a stage that the attempt cannot continue.
    pub(super) fn on_broken(&mut self, now: Instant, broken: &Broken, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get(&broken.request) else { return };
        if generation.answer.attempt() != broken.attempt || generation.is_waiting() {
            return;
        }
        let stage = usize::from(broken.stage);
        let at_fault = match broken.fault {
            Fault::Engine => generation.chain.get(stage),
            Fault::Link => generation.chain.get(stage + 1),
            Fault::Absent | Fault::Gap => None,
        };
        let endpoint = at_fault.map(|stage| stage.endpoint.clone());
        if broken.fault == Fault::Link {
            self.planner.record_link_failure(now, &generation.chain, broken.stage);
        }
        if let Some(endpoint) = &endpoint {
            self.planner.mark_suspected(endpoint, now + SUSPECT_PERIOD);
        }
        let failure = Failure::new(broken.fault.into(), endpoint);
        self.fail(now, broken.request, failure, effects);
    }

    /// Handles the end of a connection. The host itself may be alive, so it may answer over a new
    /// connection; if that one also ends or takes too long, the host is considered dead.
    pub(super) fn on_disconnected(
        &mut self,
        now: Instant,
        host: &name::Host,
        effects: &mut Vec<Effect>,
    ) {
        if self.probing.contains_key(host) {
            self.on_host_dead(now, host, Loss::Certain, effects);
            return;
        }
        if self.dead.contains_key(host) {
            return;
        }
        self.probing.insert(host.clone(), now);
        self.planner.mark_unreachable(host, now + PROBE_TIMEOUT);
        let affected = self.generations.values().filter(|generation| generation.is_on(host));
        let mut opens: Vec<Effect> = affected
            .flat_map(|generation| self.open_messages(now, generation, Some(host)))
            .collect();
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

    /// Records a sign of life: a host that sends or connects is not dead.
    pub(super) fn on_host_alive(&mut self, host: &name::Host) {
        if self.probing.remove(host).is_some() | self.dead.remove(host).is_some() {
            self.planner.mark_reachable(host);
        }
    }

    fn on_host_dead(
        &mut self,
        now: Instant,
        host: &name::Host,
        loss: Loss,
        effects: &mut Vec<Effect>,
    ) {
        self.probing.remove(host);
        self.dead.insert(host.clone(), now + DEAD_PERIOD);
        self.directory.on_unreachable(now, host);
        self.planner.mark_unreachable(host, now + DEAD_PERIOD);
        let failed: Vec<(Id, Option<name::Endpoint>)> = self
            .generations
            .values()
            .filter(|generation| !generation.is_waiting() && generation.is_on(host))
            .map(|generation| (generation.request, generation.endpoint_on(host)))
            .collect();
        for (request, endpoint) in failed {
            self.fail(now, request, Failure::new(Reason::HostLost, endpoint), effects);
        }
        self.fail_calls(now, host, loss, effects);
    }

    pub(super) fn tick_hosts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.dead.retain(|_, until| *until > now);
        let silent = self.probing.iter().filter(|(_, since)| now.since(**since) >= PROBE_TIMEOUT);
        let silent: Vec<name::Host> = silent.map(|(host, _)| host.clone()).collect();
        for host in silent {
            self.on_host_dead(now, &host, Loss::Silent, effects);
        }
    }

    pub(super) fn tick_generations(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let due = self
            .generations
            .values()
            .filter_map(|generation| Some((generation.request, self.due(now, generation)?)));
        let due: Vec<(Id, Due)> = due.collect();
        for (id, due) in due {
            match due {
                Due::Deadline => {
                    if let Some(generation) = self.generations.remove(&id) {
                        self.give_up(now, generation, Refusal::Deadline, None, effects);
                    }
                }
                Due::Retry if !self.retry_budget.take(now) => {}
                Due::Start | Due::Retry => {
                    if let Some(generation) = self.generations.remove(&id) {
                        self.start_attempt(now, generation, effects);
                    }
                }
                Due::Retransmit => self.retransmit(now, id, effects),
                Due::Suspect(stage) => self.suspect(now, id, stage, effects),
            }
        }
    }

    fn due(&self, now: Instant, generation: &Generation) -> Option<Due> {
        if generation.deadline <= now {
            return Some(Due::Deadline);
        }
        let (silent, since_sent) =
            (now.since(generation.step_started), now.since(generation.last_sent));
        let within_timeouts =
            since_sent < generation.timeouts.retransmit && silent < generation.timeouts.suspect;
        if within_timeouts && !generation.is_waiting() {
            return None;
        }
        let stages: Vec<u16> = match &generation.phase {
            Phase::Waiting(until) => return (*until <= now).then_some(Due::Start),
            Phase::AwaitingRetry => return Some(Due::Retry),
            Phase::Opening { unacknowledged, .. } => unacknowledged.iter().copied().collect(),
            Phase::Running if !generation.answer.has_feed_in_flight() => return None,
            Phase::Running => (0_u16..).take(generation.chain.len()).collect(),
        };
        let last_progress = |stage: &u16| {
            let endpoint = generation.chain.get(usize::from(*stage)).map(|stage| &stage.endpoint);
            endpoint.and_then(|name| self.last_progress.get(name)).copied().unwrap_or_default()
        };
        let last_progress: Vec<Instant> = stages.iter().map(last_progress).collect();
        let (step_started, last_sent, timeouts) =
            (generation.step_started, generation.last_sent, generation.timeouts);
        match (Outstanding { step_started, last_sent, timeouts, last_progress: &last_progress })
            .decide(now)
        {
            Action::Wait => None,
            Action::Retransmit => Some(Due::Retransmit),
            Action::Suspect(index) => stages.get(usize::from(index)).map(|s| Due::Suspect(*s)),
        }
    }

    fn retransmit(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get_mut(&id) else { return };
        let attempt = generation.answer.attempt();
        let silent_us = as_us(now.since(generation.step_started));
        generation.last_sent = now;
        if let Phase::Running = generation.phase {
            // The chunk size does not matter here: a feed in flight is returned unchanged.
            let feed = generation.feed(1).map(Message::Feed);
            let effect = generation.chain.first().zip(feed).map(|(stage, feed)| send(stage, feed));
            effects.extend(effect);
        }
        self.counters.add(Counter::Retransmitted, &generation.spec.workspace);
        self.records.add(now, id, Fact::Retransmitted { attempt, silent_us });
        if let Some(generation) = self.generations.get(&id) {
            effects.extend(self.open_messages(now, generation, None));
        }
    }

    /// Replaces a stage that was silent for too long, if the retry budget allows it. Otherwise the
    /// attempt goes on, since the stage may do so too.
    fn suspect(&mut self, now: Instant, id: Id, stage: u16, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get(&id) else { return };
        let may_leave = generation.retries.silent < MAX_SILENT_RETRIES;
        if !may_leave || !self.retry_budget.take(now) {
            if now.since(generation.last_sent) >= generation.timeouts.retransmit {
                self.retransmit(now, id, effects);
            }
            return;
        }
        let endpoint = generation.chain.get(usize::from(stage)).map(|stage| stage.endpoint.clone());
        if let Some(endpoint) = &endpoint {
            self.planner.mark_suspected(endpoint, now + SUSPECT_PERIOD);
        }
        self.fail(now, id, Failure::new(Reason::Silent, endpoint), effects);
    }

    /// Ends an attempt and takes its generation out of `generations`.
    fn end_attempt(&mut self, now: Instant, id: Id, failure: Failure) -> Option<Generation> {
        let mut generation = self.generations.remove(&id)?;
        self.planner.record_finish(&generation.chain);
        generation.phase = Phase::Waiting(now);
        generation.retries.record(failure.reason);
        // A silent stage failed when the step was sent, not when the timeout expired.
        let began = if failure.reason == Reason::Silent { generation.step_started } else { now };
        generation.fault_at.get_or_insert(began);
        generation.failed.extend(failure.endpoint.clone());
        self.counters.add(Counter::Retried(failure.reason), &generation.spec.workspace);
        let Failure { reason, refused, endpoint } = failure;
        let attempt = generation.answer.attempt();
        self.records.add(now, id, Fact::Failed { attempt, reason, refused, endpoint });
        Some(generation)
    }

    /// Ends an attempt and starts the next one, at once or after a backoff.
    pub(super) fn fail(
        &mut self,
        now: Instant,
        id: Id,
        failure: Failure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut generation) = self.end_attempt(now, id, failure) else { return };
        if generation.retries.failed > MAX_RETRIES {
            self.give_up(now, generation, Refusal::EndpointFailed, None, effects);
            return;
        }
        let retries = generation.retries.count;
        if retries <= IMMEDIATE_RETRIES {
            self.start_attempt(now, generation, effects);
            return;
        }
        let wait = retry::backoff(retries - IMMEDIATE_RETRIES, self.rng.next_u64());
        let ms = as_us(wait) / 1000;
        self.records.add(now, id, Fact::WaitsForRetry { ms });
        generation.phase = Phase::Waiting(now + wait);
        self.generations.insert(id, generation);
    }
}

/// The next action for a generation.
enum Due {
    /// Refuse it, since its deadline has passed.
    Deadline,
    /// Start the next attempt.
    Start,
    /// Start the next attempt if the retry budget allows it.
    Retry,
    /// Send the messages of the current step again.
    Retransmit,
    /// Replace the stage with this index.
    Suspect(u16),
}

impl Generation {
    fn is_on(&self, host: &name::Host) -> bool {
        self.chain.iter().any(|stage| stage.host == *host)
    }

    fn endpoint_on(&self, host: &name::Host) -> Option<name::Endpoint> {
        let stage = self.chain.iter().find(|stage| stage.host == *host);
        stage.map(|stage| stage.endpoint.clone())
    }
}
