//! Calls of plain services.
//!
//! A call that is not idempotent is sent to another endpoint only after the previous side has
//! proven that it did not run. Resending it to the same side is safe: the side deduplicates it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::contract;
use crate::explain::{Fact, Subject};
use crate::limit::Permit;
use crate::message::{Call, Message, Reply, Stage, Term, not_run};
use crate::name;
use crate::plan::{Choice, Query, Unplanned};
use crate::recover::Timeouts;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::retry::Reason;
use crate::time::Instant;

use super::admission::Spec;
use super::count::Counter;
use super::pending::{Due, Pending, Step};
use super::{Effect, Machine, Request, remaining_ms, send};

impl Machine {
    pub(super) fn on_call(
        &mut self,
        now: Instant,
        id: Id,
        spec: Request,
        effects: &mut Vec<Effect>,
    ) {
        let subject = Subject::Service(spec.service.clone());
        self.records.open(now, id, &spec.workspace, subject, self.revision);
        self.counters.add(Counter::Request, &spec.workspace);
        match self.validate_call(&spec) {
            Ok(()) => self.admit(now, id, Spec::Call(spec), effects),
            Err(reason) => self.refuse(now, id, &spec.workspace, not_run(reason, None), effects),
        }
    }

    /// Starts an admitted call. With an idempotency key, the key is claimed at its home first.
    pub(super) fn start_call(
        &mut self,
        now: Instant,
        (id, spec, permit, deadline): (Id, Request, Permit, Instant),
        service: &contract::ServiceLevel,
        effects: &mut Vec<Effect>,
    ) {
        let call = Call {
            request: id,
            attempt: 0,
            endpoint: "".into(),
            workspace: spec.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: remaining_ms(now, deadline),
            idempotent: self.is_idempotent(&spec),
            method: spec.method.clone(),
            path: spec.path.clone(),
            content_type: spec.content_type.clone(),
            body: spec.body.clone(),
            roster: permit.roster(),
            term: Term::default(),
        };
        let keyed = spec.key.is_some();
        let pending = Pending {
            spec,
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
            step_started: now,
            last_sent: now,
            timeouts: Timeouts::new(Duration::ZERO),
            claimed: false,
            may_have_run: false,
            left: None,
            failed: BTreeSet::new(),
            terms: BTreeMap::new(),
        };
        if keyed {
            self.claim(now, pending, effects);
        } else {
            self.assign(now, pending, effects);
        }
    }

    fn validate_call(&self, spec: &Request) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let contract = self.config.contracts.get(&spec.workspace).ok_or(Refusal::Unauthorized)?;
        let known = self.config.services.contains_key(&spec.service);
        if !known || !contract.services.contains(&spec.service) {
            return Err(Refusal::NotFound);
        }
        Ok(())
    }

    /// Chooses an endpoint and sends it the next attempt, or refuses the call. No earlier attempt of a
    /// call that is not idempotent may be in progress.
    pub(super) fn assign(&mut self, now: Instant, pending: Pending, effects: &mut Vec<Effect>) {
        let random = self.rng.next_u64();
        match self.find_endpoint(now, &pending, &pending.failed, random) {
            Ok(choice) => self.dispatch(now, pending, choice, effects),
            Err(unplanned) => {
                let refused = unplanned.refused.clone();
                self.records.add(now, pending.call.request, Fact::Unplanned(unplanned));
                self.refuse_or_return(now, pending, refused, effects);
            }
        }
    }

    /// Chooses an endpoint for the next attempt, one of `avoid` only if there is no other.
    pub(super) fn find_endpoint(
        &self,
        now: Instant,
        pending: &Pending,
        avoid: &BTreeSet<name::Endpoint>,
        random: u64,
    ) -> Result<Choice, Unplanned> {
        let query = Query {
            prompt_tokens: 0,
            answer_tokens: 1,
            time_left: pending.deadline.since(now),
            prefixes: &[],
            avoid,
            include: &BTreeSet::new(),
            random,
        };
        self.planner.choose_service(now, &pending.spec.service, &query)
    }

    /// Sends the next attempt to the chosen endpoint.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        mut pending: Pending,
        choice: Choice,
        effects: &mut Vec<Effect>,
    ) {
        let Some(stage) = choice.chain.first().cloned() else { return };
        pending.timeouts = Timeouts::new(Duration::from_micros(choice.first_us));
        let (id, attempt) = (pending.call.request, pending.call.attempt + 1);
        let degraded = self.degraded(now);
        self.records.add(now, id, Fact::Planned { attempt, choice, degraded });
        self.send_attempt(now, pending, stage, effects);
    }

    /// Sends the next attempt to the endpoint of `stage`.
    pub(super) fn send_attempt(
        &mut self,
        now: Instant,
        mut pending: Pending,
        stage: Stage,
        effects: &mut Vec<Effect>,
    ) {
        self.planner.record_dispatch(now, std::slice::from_ref(&stage), 0);
        pending.call.attempt += 1;
        pending.call.endpoint = stage.endpoint.clone();
        pending.call.deadline_ms = remaining_ms(now, pending.deadline);
        let latest = self.term(&stage);
        pending.call.term = match latest.boot {
            0 => pending.terms.get(&stage.endpoint).copied().unwrap_or_default(),
            _ => *pending.terms.entry(stage.endpoint.clone()).or_insert(latest),
        };
        pending.stage = stage;
        pending.step_started = now;
        pending.last_sent = now;
        pending.step = Step::Running;
        effects.push(send(&pending.stage, Message::Call(pending.call.clone())));
        self.calls.insert(pending.call.request, pending);
    }

    pub(super) fn on_reply(&mut self, now: Instant, reply: Reply, effects: &mut Vec<Effect>) {
        let Some(pending) = self.take_call(reply.request) else { return };
        if pending.call.attempt == reply.attempt {
            let took = now.since(pending.step_started);
            self.planner.observe_call(now, &pending.stage.endpoint, took);
        }
        self.answer_call(now, pending, reply.answer, effects);
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
                Due::Claim => self.resend_claim(now, id, effects),
                Due::Assign => {
                    if let Some(pending) = self.calls.remove(&id) {
                        self.assign(now, pending, effects);
                    }
                }
                Due::Resolve(until) => {
                    self.resolve(now, id, Refusal::Deadline, until, effects);
                }
                Due::FailOver if self.leave_endpoint(now, id, Reason::Silent, effects) => {}
                Due::FailOver | Due::Resend => {
                    let Some(pending) = self.calls.get_mut(&id) else { continue };
                    pending.last_sent = now;
                    effects.push(pending.message());
                    self.counters.add(Counter::Retransmitted, &pending.spec.workspace);
                }
            }
        }
    }

    /// Abandons the call of a caller that has left and keeps it from running if it has not
    /// started. With an idempotency key it continues: the caller may ask for the outcome again.
    pub(super) fn abandon_call(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let abandons = |pending: &Pending| pending.spec.key.is_none();
        if !self.calls.get(&id).is_some_and(abandons) {
            return;
        }
        let Some(pending) = self.take_call(id) else { return };
        if pending.is_assigned() {
            effects.push(send(&pending.stage, Message::Resolve(pending.resolve_request())));
        }
        let refused = Refused { ran: Ran::Unknown, ..not_run(Refusal::Cancelled, None) };
        self.record_refusal(now, id, &pending.spec.workspace, &refused);
        self.settle(now, pending.permit, 0, effects);
    }

    /// Removes a call from those in progress, and ends its attempt if it has one.
    pub(super) fn take_call(&mut self, id: Id) -> Option<Pending> {
        let pending = self.calls.remove(&id)?;
        if pending.is_assigned() {
            self.planner.record_finish(std::slice::from_ref(&pending.stage));
        }
        Some(pending)
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
