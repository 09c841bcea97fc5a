//! Failover of calls: refusals, lost hosts, and calls of which it is not known whether they ran.

use std::time::Duration;

use crate::explain::Fact;
use crate::message::{Refuse, Report, State};
use crate::name;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::retry::Reason;
use crate::time::Instant;

use super::count::Counter;
use super::pending::{MAX_ATTEMPTS, Pending, Step};
use super::recovery::SUSPECT_PERIOD;
use super::{Effect, Machine};

/// How long a lost side is asked whether a call ran, before the outcome is reported as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Wait for a report from a side whose current term is not known.
const REPORT_WAIT: Duration = Duration::from_millis(40);

impl Machine {
    /// Handles a side's refusal. A call that did not run there may run elsewhere.
    pub(super) fn on_call_refused(
        &mut self,
        now: Instant,
        refuse: Refuse,
        effects: &mut Vec<Effect>,
    ) {
        let id = refuse.request;
        let is_current = |pending: &Pending| pending.call.attempt == refuse.attempt;
        if !self.calls.get(&id).is_some_and(is_current) {
            return;
        }
        let Some(mut pending) = self.take_call(id) else { return };
        let endpoint = pending.stage.endpoint.clone();
        self.learn_from_refusal(now, &endpoint, &refuse.refused);
        let mut refused = refuse.refused;
        // A tombstone only proves that the call did not run; the caller gets the actual reason.
        if let (Step::Resolving(reason, _), Refusal::Fenced) = (pending.step, refused.reason) {
            refused.reason = reason;
        }
        let repeatable = refused.ran == Ran::No || pending.call.idempotent;
        if refused.reason.is_final() || !repeatable || pending.call.attempt >= MAX_ATTEMPTS {
            self.refuse_call(now, pending, refused, effects);
            return;
        }
        if refused.reason == Refusal::Restarted && refused.ran == Ran::No {
            // The side sends a report with its term along with this refusal.
            pending.step = Step::Waiting(now + REPORT_WAIT);
            self.calls.insert(id, pending);
            return;
        }
        pending.failed.insert(endpoint.clone());
        self.record_failure(now, &pending, Reason::Refused, Some(refused.clone()));
        self.retry_call(now, pending, refused, effects);
    }

    /// Makes another attempt of a call that is proven not to have run or is idempotent.
    fn retry_call(
        &mut self,
        now: Instant,
        pending: Pending,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        if self.retry_budget.take(now) {
            self.assign(now, pending, effects);
            return;
        }
        let retry_after_ms = Some(self.retry_budget.retry_after_ms());
        let refused = Refused { reason: Refusal::RetryBudget, retry_after_ms, ..refused };
        self.refuse_call(now, pending, refused, effects);
    }

    /// Handles the answer of a side that was asked whether a call ran.
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
            // The side has restarted: it will never know, and a lost answer cannot arrive.
            State::Unknown => Ran::Unknown,
            State::Started | State::Done => return,
        };
        let Some(pending) = self.take_call(id) else { return };
        let refused = Refused { reason, ran, retry_after_ms: None };
        if ran == Ran::No && reason != Refusal::Deadline {
            self.record_failure(now, &pending, Reason::HostLost, Some(refused.clone()));
            self.retry_call(now, pending, refused, effects);
            return;
        }
        self.refuse_call(now, pending, refused, effects);
    }

    /// Resends the calls whose message may have been lost with the connection to `host`.
    pub(super) fn resend_calls(
        &mut self,
        now: Instant,
        host: &name::Host,
        effects: &mut Vec<Effect>,
    ) {
        for pending in self.calls.values_mut().filter(|p| p.is_on(host)) {
            pending.last_sent = now;
            effects.push(pending.message());
        }
    }

    /// Fails the idempotent calls at a dead host over to other endpoints and resolves the others.
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
                self.fail_over(now, id, effects);
            } else {
                self.resolve(now, id, Refusal::EndpointFailed, now + RESOLVE_TIMEOUT, effects);
            }
        }
    }

    /// Abandons an attempt of an idempotent call and makes another.
    fn fail_over(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(mut pending) = self.take_call(id) else { return };
        self.suspect_endpoint(now, &mut pending, Reason::HostLost);
        let reason = Refusal::EndpointFailed;
        let refused = Refused { reason, ran: Ran::Unknown, retry_after_ms: None };
        if pending.call.attempt >= MAX_ATTEMPTS {
            self.refuse_call(now, pending, refused, effects);
            return;
        }
        self.retry_call(now, pending, refused, effects);
    }

    /// Avoids the endpoint of a failed attempt, for this call and for a while for others.
    pub(super) fn suspect_endpoint(&mut self, now: Instant, pending: &mut Pending, reason: Reason) {
        let endpoint = pending.stage.endpoint.clone();
        self.planner.mark_suspected(&endpoint, now + SUSPECT_PERIOD);
        pending.failed.insert(endpoint);
        self.record_failure(now, pending, reason, None);
    }

    /// Asks the side whether a call ran. This also keeps it from running if it has not started.
    pub(super) fn resolve(
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
        pending.last_sent = now;
        effects.push(pending.message());
    }

    fn record_failure(
        &mut self,
        now: Instant,
        pending: &Pending,
        reason: Reason,
        refused: Option<Refused>,
    ) {
        self.counters.add(Counter::Retried(reason), &pending.spec.workspace);
        let attempt = pending.call.attempt;
        let endpoint = Some(pending.stage.endpoint.clone());
        let fact = Fact::Failed { attempt, reason, refused, endpoint };
        self.records.add(now, pending.call.request, fact);
    }
}
