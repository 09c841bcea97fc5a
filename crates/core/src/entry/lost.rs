//! Calls at sides that are silent or lost.
//!
//! A side that is silent may go on and answer, so silence alone ends no call. A side that is lost
//! is asked whether a call ran there, unless the call is idempotent.

use std::time::Duration;

use crate::explain::Fact;
use crate::message::{Report, State};
use crate::name;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::retry::Reason;
use crate::time::Instant;

use super::pending::{MAX_ATTEMPTS, Pending, Step};
use super::recovery::SUSPECT_PERIOD;
use super::{Effect, Machine};

/// How long a side that is certainly lost is asked whether a call ran, before the outcome is reported
/// as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How a host was lost.
#[derive(Clone, Copy, Debug)]
pub(super) enum Loss {
    /// Its connections end at once, so what was sent over them is lost.
    Certain,
    /// It does not answer, but may go on.
    Silent,
}

impl Machine {
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
            State::Started | State::Done => {
                self.keep_running(now, id, reason);
                return;
            }
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

    /// Waits for the answer of a call that its side, which was taken for lost, has reported to run.
    ///
    /// The call is resent as before, which is safe: the side either still has its record or refuses
    /// it by its term. A call that is resolved because of its deadline stays so.
    fn keep_running(&mut self, now: Instant, id: Id, reason: Refusal) {
        let Some(pending) = self.calls.get_mut(&id) else { return };
        if reason != Refusal::Deadline {
            pending.step = Step::Running;
            pending.last_sent = now;
        }
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

    /// Handles the loss of a host. Idempotent calls there move to other endpoints, the others are
    /// resolved.
    pub(super) fn fail_calls(
        &mut self,
        now: Instant,
        host: &name::Host,
        loss: Loss,
        effects: &mut Vec<Effect>,
    ) {
        let on_host = self.calls.iter().filter(|(_, pending)| pending.is_on(host));
        let failed: Vec<(Id, bool, Instant)> =
            on_host.map(|(id, pending)| (*id, pending.call.idempotent, pending.deadline)).collect();
        if let Loss::Certain = loss {
            let has_left =
                |pending: &Pending| pending.left.as_ref().is_some_and(|s| s.host == *host);
            self.calls.values_mut().filter(|p| has_left(p)).for_each(|p| p.left = None);
        }
        let reason = Refusal::EndpointFailed;
        for (id, idempotent, deadline) in failed {
            match (idempotent, loss) {
                (true, Loss::Certain) => self.fail_over(now, id, effects),
                (true, Loss::Silent) => {
                    self.leave_endpoint(now, id, Reason::HostLost, effects);
                }
                (false, Loss::Certain) => {
                    self.resolve(now, id, reason, now + RESOLVE_TIMEOUT, effects);
                }
                // No other side may run it, and this one may still answer.
                (false, Loss::Silent) => self.resolve(now, id, reason, deadline, effects),
            }
        }
    }

    /// Moves an idempotent call from a silent endpoint to another one. Returns whether it moved.
    ///
    /// The call stays where it is unless there are both another endpoint and a retry for it, since
    /// the silent side may still answer.
    pub(super) fn leave_endpoint(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let random = self.rng.next_u64();
        let Some(pending) = self.calls.get(&id) else { return false };
        if pending.call.attempt >= MAX_ATTEMPTS {
            return false;
        }
        let mut avoid = pending.failed.clone();
        avoid.insert(pending.stage.endpoint.clone());
        let Ok(choice) = self.find_endpoint(now, pending, &avoid, random) else { return false };
        let is_other = choice.chain.iter().all(|s| s.endpoint != pending.stage.endpoint);
        if !is_other || !self.retry_budget.take(now) {
            return false;
        }
        let Some(mut pending) = self.take_call(id) else { return false };
        self.suspect_endpoint(now, &mut pending, reason);
        pending.left = Some(pending.stage.clone());
        self.dispatch(now, pending, choice, effects);
        true
    }

    /// Refuses a call, unless it has left a silent endpoint, which may still answer: it returns there.
    pub(super) fn refuse_or_return(
        &mut self,
        now: Instant,
        mut pending: Pending,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        let left = pending.left.take().filter(|stage| stage.endpoint != pending.stage.endpoint);
        match left {
            Some(stage) => self.send_attempt(now, pending, stage, effects),
            None => self.refuse_call(now, pending, refused, effects),
        }
    }

    /// Abandons an attempt of an idempotent call that is certainly lost and makes another.
    fn fail_over(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(mut pending) = self.take_call(id) else { return };
        self.suspect_endpoint(now, &mut pending, Reason::HostLost);
        let reason = Refusal::EndpointFailed;
        let refused = Refused { reason, ran: Ran::Unknown, retry_after_ms: None };
        if pending.call.attempt >= MAX_ATTEMPTS {
            self.refuse_or_return(now, pending, refused, effects);
            return;
        }
        self.retry_call(now, pending, refused, effects);
    }

    /// Avoids the endpoint of an attempt whose outcome is unknown, for this call and for a while for
    /// others.
    fn suspect_endpoint(&mut self, now: Instant, pending: &mut Pending, reason: Reason) {
        let endpoint = pending.stage.endpoint.clone();
        self.planner.mark_suspected(&endpoint, now + SUSPECT_PERIOD);
        pending.failed.insert(endpoint);
        pending.may_have_run = true;
        self.record_failure(now, pending, reason, None);
    }

    /// Asks the side until `until` whether a call ran. This also keeps it from running if it has not
    /// started.
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
        if let Step::Resolving(_, earlier) = &mut pending.step {
            *earlier = until.min(*earlier);
        } else {
            pending.step = Step::Resolving(reason, until);
            let attempt = pending.call.attempt;
            self.records.add(now, id, Fact::Resolving { attempt });
        }
        pending.last_sent = now;
        effects.push(pending.message());
    }
}
