//! One call of a plain service in progress.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::limit::Permit;
use crate::message::{Call, Message, Resolve, Stage, Term};
use crate::name;
use crate::recover::Patience;
use crate::request::Refusal;
use crate::time::Instant;

use super::{Effect, Request, send};

/// Time before the deadline at which a side is asked whether the call has run.
const RESOLVE: Duration = Duration::from_millis(500);

/// Interval at which a question to a side is repeated.
const REPEAT: Duration = Duration::from_millis(200);

/// Attempts at one call.
pub(super) const MOST_ATTEMPTS: u32 = 6;

/// One call.
pub(super) struct Pending {
    pub ask: Request,
    pub permit: Permit,
    pub call: Call,
    pub stage: Stage,
    pub deadline: Instant,
    pub step: Step,
    /// When the present step began, and when its message was sent last.
    pub placed: Instant,
    pub sent: Instant,
    pub patience: Patience,
    /// Whether the key's home let it run.
    pub claimed: bool,
    pub failed: BTreeSet<name::Endpoint>,
    /// Terms under which the call was first sent to each side. A later attempt keeps them, so
    /// that a side which has forgotten the earlier one does not run it again.
    pub terms: BTreeMap<name::Endpoint, Term>,
}

/// Where a call stands.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// The key's home is asked.
    Claiming,
    /// The next attempt is made then.
    Waiting(Instant),
    /// Sent to a side.
    Running,
    /// The side is asked whether it ran, for this reason, until then at most.
    Resolving(Refusal, Instant),
}

/// What is due for a call.
pub(super) enum Due {
    Claim,
    Place,
    GiveUp(Refusal),
    Resolve(Instant),
    Move,
    Resend,
}

impl Pending {
    pub fn due(&self, now: Instant) -> Option<Due> {
        let silent = now.since(self.sent);
        match self.step {
            Step::Claiming => (silent >= REPEAT).then_some(Due::Claim),
            Step::Waiting(until) => (until <= now).then_some(Due::Place),
            Step::Resolving(reason, until) if until <= now => Some(Due::GiveUp(reason)),
            Step::Resolving(..) => (silent >= REPEAT).then_some(Due::Resend),
            Step::Running if self.deadline.since(now) <= RESOLVE => {
                Some(Due::Resolve(self.deadline))
            }
            Step::Running if silent < self.patience.retransmit.max(REPEAT) => None,
            Step::Running => {
                let suspect = now.since(self.placed) >= self.patience.suspect;
                let moves = suspect && self.call.idempotent && self.call.attempt < MOST_ATTEMPTS;
                Some(if moves { Due::Move } else { Due::Resend })
            }
        }
    }

    /// Whether the call is at a side now.
    pub fn is_placed(&self) -> bool {
        matches!(self.step, Step::Running | Step::Resolving(..))
    }

    /// Whether the call is at a side on `host` now.
    pub fn is_on(&self, host: &name::Host) -> bool {
        self.is_placed() && self.stage.host == *host
    }

    /// The call, or the question whether it ran.
    pub fn message(&self) -> Effect {
        let message = match self.step {
            Step::Resolving(..) => Message::Resolve(self.question()),
            _ => Message::Call(self.call.clone()),
        };
        send(&self.stage, message)
    }

    pub fn question(&self) -> Resolve {
        let Call { request, attempt, term, .. } = self.call;
        Resolve { request, attempt, term }
    }
}
