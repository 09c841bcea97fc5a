//! Failover of calls that a side refused.

use std::time::Duration;

use crate::explain::Fact;
use crate::message::Refuse;
use crate::request::{Ran, Refusal, Refused};
use crate::retry::Reason;
use crate::time::Instant;

use super::count::Counter;
use super::pending::{MAX_ATTEMPTS, Pending, Step};
use super::{Effect, Machine};

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
            self.refuse_or_return(now, pending, refused, effects);
            return;
        }
        if refused.reason == Refusal::Restarted && refused.ran == Ran::No {
            // The side sends a report with its term along with this refusal.
            pending.step = Step::Waiting(now + REPORT_WAIT);
            self.calls.insert(id, pending);
            return;
        }
        pending.may_have_run |= refused.ran == Ran::Unknown;
        pending.failed.insert(endpoint.clone());
        self.record_failure(now, &pending, Reason::Refused, Some(refused.clone()));
        self.retry_call(now, pending, refused, effects);
    }

    /// Makes another attempt of a call that is proven not to have run or is idempotent.
    pub(super) fn retry_call(
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
        self.refuse_or_return(now, pending, refused, effects);
    }

    /// Logs and counts a failed attempt.
    pub(super) fn record_failure(
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
