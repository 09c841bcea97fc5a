//! Calls of plain services in progress.
//!
//! A call that may not be repeated goes to another endpoint only after the side before has proven
//! that it did not run. Sending it again to the same side is safe, since that side knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::contract;
use crate::explain::{Fact, Subject};
use crate::limit::Permit;
use crate::message::{Call, Message, Refuse, Reply, Report, Stage, State, Term, not_run};
use crate::name;
use crate::plan::Query;
use crate::recover::Patience;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::retry::Reason;
use crate::time::{Instant, as_us};

use super::admission::Ask;
use super::count::Counter;
use super::pending::{Due, MOST_ATTEMPTS, Pending, Step};
use super::{Effect, Machine, Request, left_ms, send};

/// How long a side that was lost is asked whether a call ran, before that is given up.
const UNKNOWN: Duration = Duration::from_millis(1500);

/// Wait for the report of a side whose term is not known yet.
const REPORT_WAIT: Duration = Duration::from_millis(40);

/// How long an endpoint that failed a call is avoided.
const SUSPECT: Duration = Duration::from_secs(5);

impl Machine {
    pub(super) fn on_call(
        &mut self,
        now: Instant,
        id: Id,
        ask: Request,
        effects: &mut Vec<Effect>,
    ) {
        let subject = Subject::Service(ask.service.clone());
        self.records.open(now, id, &ask.workspace, subject, self.revision);
        self.counters.add(Counter::Request, &ask.workspace);
        match self.check_call(&ask) {
            Ok(()) => self.admit(now, id, Ask::Call(ask), effects),
            Err(reason) => self.refuse(now, id, &ask.workspace, not_run(reason, None), effects),
        }
    }

    /// Starts an admitted call: with an idempotency key, its home is asked first.
    pub(super) fn run_call(
        &mut self,
        now: Instant,
        (id, ask, permit, deadline): (Id, Request, Permit, Instant),
        service: &contract::ServiceLevel,
        effects: &mut Vec<Effect>,
    ) {
        let call = Call {
            request: id,
            attempt: 0,
            endpoint: "".into(),
            workspace: ask.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: left_ms(now, deadline),
            idempotent: self.is_idempotent(&ask),
            method: ask.method.clone(),
            path: ask.path.clone(),
            content_type: ask.content_type.clone(),
            body: ask.body.clone(),
            roster: permit.roster(),
            term: Term::default(),
        };
        let keyed = ask.key.is_some();
        let pending = Pending {
            ask,
            permit,
            call,
            stage: Stage {
                endpoint: "".into(),
                host: "".into(),
                address: ([0, 0, 0, 0], 0).into(),
                first: 0,
                end: 0,
            },
            deadline,
            step: Step::Waiting(now),
            placed: now,
            sent: now,
            patience: Patience::new(Duration::ZERO),
            claimed: false,
            failed: BTreeSet::new(),
            terms: BTreeMap::new(),
        };
        if keyed {
            self.claim(now, pending, effects);
        } else {
            self.place(now, pending, effects);
        }
    }

    fn check_call(&self, ask: &Request) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let contract = self.config.contracts.get(&ask.workspace).ok_or(Refusal::Unauthorized)?;
        let known = self.config.services.contains_key(&ask.service);
        if !known || !contract.services.contains(&ask.service) {
            return Err(Refusal::NotFound);
        }
        Ok(())
    }

    /// Sends the next attempt at a call, or refuses it; nothing of it may be running.
    pub(super) fn place(&mut self, now: Instant, mut pending: Pending, effects: &mut Vec<Effect>) {
        let id = pending.call.request;
        let query = Query {
            prompt_tokens: 0,
            answer_tokens: 1,
            left: pending.deadline.since(now),
            prefixes: &[],
            avoid: &pending.failed,
            keep: &BTreeSet::new(),
            random: self.draw.number(),
        };
        let choice = match self.planner.choose_service(now, &pending.ask.service, &query) {
            Ok(choice) => choice,
            Err(unplanned) => {
                let refused = unplanned.refused.clone();
                self.records.add(now, id, Fact::Unplanned(unplanned));
                self.refuse_call(now, pending, refused, effects);
                return;
            }
        };
        let Some(stage) = choice.chain.first().cloned() else { return };
        self.planner.dispatch(now, &choice.chain, 0);
        pending.call.attempt += 1;
        pending.call.endpoint = stage.endpoint.clone();
        pending.call.deadline_ms = left_ms(now, pending.deadline);
        let latest = self.term(&stage);
        pending.call.term = match latest.boot {
            0 => pending.terms.get(&stage.endpoint).copied().unwrap_or_default(),
            _ => *pending.terms.entry(stage.endpoint.clone()).or_insert(latest),
        };
        pending.patience = Patience::new(Duration::from_micros(choice.first_us));
        pending.stage = stage;
        pending.placed = now;
        pending.sent = now;
        pending.step = Step::Running;
        let attempt = pending.call.attempt;
        let degraded = self.degraded(now);
        self.records.add(now, id, Fact::Planned { attempt, choice, degraded });
        effects.push(send(&pending.stage, Message::Call(pending.call.clone())));
        self.calls.insert(id, pending);
    }

    pub(super) fn on_reply(&mut self, now: Instant, reply: Reply, effects: &mut Vec<Effect>) {
        let Some(pending) = self.take_call(reply.request) else { return };
        if pending.call.attempt == reply.attempt {
            let took = now.since(pending.placed);
            self.planner.observe_call(now, &pending.stage.endpoint, took);
        }
        self.answer_call(now, pending, reply.answer, effects);
    }

    /// A side refused a call: if it did not run there, it may run elsewhere.
    pub(super) fn on_call_refused(
        &mut self,
        now: Instant,
        refuse: Refuse,
        effects: &mut Vec<Effect>,
    ) {
        let id = refuse.request;
        let current = |pending: &Pending| pending.call.attempt == refuse.attempt;
        if !self.calls.get(&id).is_some_and(current) {
            return;
        }
        let Some(mut pending) = self.take_call(id) else { return };
        let endpoint = pending.stage.endpoint.clone();
        self.heed(now, &endpoint, &refuse.refused);
        let mut refused = refuse.refused;
        // What was asked for is told; the tombstone that proves it is only the means.
        if let (Step::Resolving(reason, _), Refusal::Fenced) = (pending.step, refused.reason) {
            refused.reason = reason;
        }
        let repeatable = refused.ran == Ran::No || pending.call.idempotent;
        let last = matches!(refused.reason, Refusal::Deadline | Refusal::Superseded);
        if last || !repeatable || pending.call.attempt >= MOST_ATTEMPTS {
            self.refuse_call(now, pending, refused, effects);
            return;
        }
        if refused.reason == Refusal::Restarted && refused.ran == Ran::No {
            // The side's report with its term is on its way.
            pending.step = Step::Waiting(now + REPORT_WAIT);
            self.calls.insert(id, pending);
            return;
        }
        pending.failed.insert(endpoint.clone());
        self.note_failure(now, &pending, Reason::Refused, Some(refused.clone()));
        self.again(now, pending, refused, effects);
    }

    /// Makes another attempt at a call that certainly did not run or may be repeated.
    fn again(
        &mut self,
        now: Instant,
        pending: Pending,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        if self.budget.take(now) {
            self.place(now, pending, effects);
            return;
        }
        let retry_after_ms = Some(as_us(self.budget.wait()) / 1000);
        let refused = Refused { reason: Refusal::RetryBudget, retry_after_ms, ..refused };
        self.refuse_call(now, pending, refused, effects);
    }

    /// A side says whether a call ran.
    pub(super) fn on_report(&mut self, now: Instant, report: &Report, effects: &mut Vec<Effect>) {
        let id = report.request;
        let Some(pending) = self.calls.get(&id) else { return };
        if pending.call.attempt != report.attempt {
            return;
        }
        let Step::Resolving(reason, _) = pending.step else { return };
        self.records.add(now, id, Fact::Resolved(report.state));
        let ran = match report.state {
            State::Refused => Ran::No,
            // A restarted side will never know; an answer that was lost with it cannot come.
            State::Unknown => Ran::Unknown,
            State::Started | State::Done => return,
        };
        let Some(pending) = self.take_call(id) else { return };
        let refused = Refused { reason, ran, retry_after_ms: None };
        if ran == Ran::No && reason != Refusal::Deadline {
            self.note_failure(now, &pending, Reason::HostLost, Some(refused.clone()));
            self.again(now, pending, refused, effects);
            return;
        }
        self.refuse_call(now, pending, refused, effects);
    }

    /// Sends the calls again whose message a lost connection may have held.
    pub(super) fn resend_calls(
        &mut self,
        now: Instant,
        host: &name::Host,
        effects: &mut Vec<Effect>,
    ) {
        for pending in self.calls.values_mut().filter(|p| p.is_on(host)) {
            pending.sent = now;
            effects.push(pending.message());
        }
    }

    /// Moves the calls at a dead host elsewhere, if they may be repeated.
    pub(super) fn fail_calls(
        &mut self,
        now: Instant,
        host: &name::Host,
        effects: &mut Vec<Effect>,
    ) {
        let on_host = self.calls.iter().filter(|(_, pending)| pending.is_on(host));
        let failed: Vec<Id> = on_host.map(|(id, _)| *id).collect();
        for id in failed {
            if self.calls.get(&id).is_some_and(|pending| pending.call.idempotent) {
                self.move_call(now, id, effects);
            } else {
                self.resolve(now, id, Refusal::EndpointFailed, now + UNKNOWN, effects);
            }
        }
    }

    /// Gives an attempt at an idempotent call up and makes another.
    fn move_call(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(mut pending) = self.take_call(id) else { return };
        self.blame(now, &mut pending, Reason::HostLost);
        let reason = Refusal::EndpointFailed;
        let refused = Refused { reason, ran: Ran::Unknown, retry_after_ms: None };
        if pending.call.attempt >= MOST_ATTEMPTS {
            self.refuse_call(now, pending, refused, effects);
            return;
        }
        self.again(now, pending, refused, effects);
    }

    /// Holds the endpoint of an attempt to be at fault.
    fn blame(&mut self, now: Instant, pending: &mut Pending, reason: Reason) {
        let endpoint = pending.stage.endpoint.clone();
        self.planner.suspect(&endpoint, now + SUSPECT);
        pending.failed.insert(endpoint);
        self.note_failure(now, pending, reason, None);
    }

    /// Asks the side whether a call ran, which also keeps it from running if it did not.
    fn resolve(
        &mut self,
        now: Instant,
        id: Id,
        reason: Refusal,
        until: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.calls.get_mut(&id) else { return };
        let until = until.min(pending.deadline);
        if !matches!(pending.step, Step::Resolving(..)) {
            pending.step = Step::Resolving(reason, until);
            let attempt = pending.call.attempt;
            self.records.add(now, id, Fact::Resolving { attempt });
        }
        pending.sent = now;
        effects.push(pending.message());
    }

    pub(super) fn tick_calls(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let due: Vec<(Id, Due)> =
            self.calls.iter().filter_map(|(id, p)| Some((*id, p.due(now)?))).collect();
        for (id, due) in due {
            match due {
                Due::GiveUp(reason) => {
                    let Some(pending) = self.take_call(id) else { continue };
                    let refused = Refused { ran: Ran::Unknown, ..not_run(reason, None) };
                    self.refuse_call(now, pending, refused, effects);
                }
                Due::Claim => self.claim_again(now, id, effects),
                Due::Place => {
                    if let Some(pending) = self.calls.remove(&id) {
                        self.place(now, pending, effects);
                    }
                }
                Due::Resolve(until) => {
                    self.resolve(now, id, Refusal::Deadline, until, effects);
                }
                Due::Move if self.budget.take(now) => {
                    let Some(mut pending) = self.take_call(id) else { continue };
                    self.blame(now, &mut pending, Reason::Silent);
                    self.place(now, pending, effects);
                }
                Due::Move | Due::Resend => {
                    let Some(pending) = self.calls.get_mut(&id) else { continue };
                    pending.sent = now;
                    effects.push(pending.message());
                    self.counters.add(Counter::Retransmitted, &pending.ask.workspace);
                }
            }
        }
    }

    /// The caller of a call went away: it is kept from running if it has not started. With an
    /// idempotency key it goes on, for the caller will ask for the outcome again.
    pub(super) fn abandon_call(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let abandons = |pending: &Pending| pending.ask.key.is_none();
        if !self.calls.get(&id).is_some_and(abandons) {
            return;
        }
        let Some(pending) = self.take_call(id) else { return };
        if pending.is_placed() {
            effects.push(send(&pending.stage, Message::Resolve(pending.question())));
        }
        let refused = Refused { ran: Ran::Unknown, ..not_run(Refusal::Cancelled, None) };
        self.note_refusal(now, id, &pending.ask.workspace, &refused);
        self.settle(now, pending.permit, 0, effects);
    }

    fn take_call(&mut self, id: Id) -> Option<Pending> {
        let pending = self.calls.remove(&id)?;
        if pending.is_placed() {
            self.planner.finish(std::slice::from_ref(&pending.stage));
        }
        Some(pending)
    }

    fn note_failure(
        &mut self,
        now: Instant,
        pending: &Pending,
        reason: Reason,
        refused: Option<Refused>,
    ) {
        self.counters.add(Counter::Retried(reason), &pending.ask.workspace);
        let attempt = pending.call.attempt;
        let endpoint = Some(pending.stage.endpoint.clone());
        let fact = Fact::Failed { attempt, reason, refused, endpoint };
        self.records.add(now, pending.call.request, fact);
    }

    fn is_idempotent(&self, request: &Request) -> bool {
        let service = self.config.services.get(&request.service);
        !service.is_some_and(|service| {
            service.non_idempotent.iter().any(|route| {
                route.method == request.method && request.path.starts_with(&route.path)
            })
        })
    }
}
