//! The state of one call of a plain service in progress.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::limit::Permit;
use crate::message::{Call, Message, Resolve, Stage, Term};
use crate::name;
use crate::recover::Timeouts;
use crate::request::Refusal;
use crate::time::Instant;

use super::{Effect, Request, send};

/// How long before the deadline a side is asked whether the call has run.
const RESOLVE_BEFORE_DEADLINE: Duration = Duration::from_millis(500);

/// Interval at which unanswered messages to a home or a side are resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Most attempts at one call.
pub(super) const MAX_ATTEMPTS: u32 = 6;

/// A call in progress.
pub(super) struct Pending {
    pub spec: Request,
    pub permit: Permit,
    pub call: Call,
    pub stage: Stage,
    pub deadline: Instant,
    pub step: Step,
    /// When the current step began.
    pub step_started: Instant,
    /// When the message of the current step was last sent.
    pub last_sent: Instant,
    pub timeouts: Timeouts,
    /// Whether the home of the idempotency key has allowed the call to run.
    pub claimed: bool,
    /// Whether an earlier attempt may have run, so that the call is never reported as not run.
    pub may_have_run: bool,
    /// The endpoint that an idempotent call left because it was silent, and that may still answer.
    pub left: Option<Stage>,
    /// Endpoints that have failed this call and that later attempts avoid.
    pub failed: BTreeSet<name::Endpoint>,
    /// The term under which the call was first sent to each endpoint. Later attempts keep it, so
    /// that a side which has restarted and lost the earlier attempt does not run the call again.
    pub terms: BTreeMap<name::Endpoint, Term>,
}

/// Step of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// The home of the idempotency key is asked whether the call may run.
    Claiming,
    /// The next attempt is made at this time.
    Waiting(Instant),
    /// The call was sent to a side.
    Running,
    /// The side is asked whether the call ran. If it is not answered by the given time, the call
    /// is refused with the given reason.
    Resolving(Refusal, Instant),
}

/// The next action for a call.
pub(super) enum Due {
    /// Ask the home of the idempotency key again whether the call may run.
    Claim,
    /// Make the next attempt.
    Assign,
    /// Refuse the call with this reason, since it stays unknown whether it ran.
    GiveUp(Refusal),
    /// Ask the side until the given time whether the call ran.
    Resolve(Instant),
    /// Make another attempt at another endpoint.
    FailOver,
    /// Send the message of the current step again.
    Resend,
}

impl Pending {
    /// Returns the action that is due at `now`, if any.
    pub fn due(&self, now: Instant) -> Option<Due> {
        let silent = now.since(self.last_sent);
        match self.step {
            Step::Claiming => (silent >= RESEND_INTERVAL).then_some(Due::Claim),
            Step::Waiting(until) => (until <= now).then_some(Due::Assign),
            Step::Resolving(reason, until) if until <= now => Some(Due::GiveUp(reason)),
            Step::Resolving(..) => (silent >= RESEND_INTERVAL).then_some(Due::Resend),
            Step::Running if self.deadline.since(now) <= RESOLVE_BEFORE_DEADLINE => {
                Some(Due::Resolve(self.deadline))
            }
            Step::Running if silent < self.timeouts.retransmit.max(RESEND_INTERVAL) => None,
            Step::Running => {
                let suspect = now.since(self.step_started) >= self.timeouts.suspect;
                let repeatable = self.call.idempotent && self.call.attempt < MAX_ATTEMPTS;
                Some(if suspect && repeatable { Due::FailOver } else { Due::Resend })
            }
        }
    }

    /// Returns whether the call has been sent to a side and has no outcome yet.
    pub fn is_assigned(&self) -> bool {
        matches!(self.step, Step::Running | Step::Resolving(..))
    }

    /// Returns whether the call is at a side on `host`.
    pub fn is_on(&self, host: &name::Host) -> bool {
        self.is_assigned() && self.stage.host == *host
    }

    /// Returns the message of the current step: the call, or the question whether it ran.
    pub fn message(&self) -> Effect {
        let message = match self.step {
            Step::Resolving(..) => Message::Resolve(self.resolve_request()),
            _ => Message::Call(self.call.clone()),
        };
        send(&self.stage, message)
    }

    pub fn resolve_request(&self) -> Resolve {
        let Call { request, attempt, term, .. } = self.call;
        Resolve { request, attempt, term }
    }
}
