//! One call of a plain service in progress.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::{Call, Message, Resolve, Stage};
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
    pub call: Call,
    pub stage: Stage,
    pub deadline: Instant,
    pub placed: Instant,
    pub sent: Instant,
    pub patience: Patience,
    pub failed: BTreeSet<name::Endpoint>,
    /// Asked since then whether it ran, for this reason, and until when at most.
    pub resolving: Option<Resolving>,
}

#[derive(Clone, Copy)]
pub(super) struct Resolving {
    pub reason: Refusal,
    pub until: Instant,
}

/// What is due for a call.
pub(super) enum Due {
    GiveUp(Refusal),
    Resolve(Instant),
    Move,
    Resend,
}

impl Pending {
    pub fn due(&self, now: Instant) -> Option<Due> {
        let silent = now.since(self.sent);
        if let Some(resolving) = self.resolving {
            if resolving.until <= now {
                return Some(Due::GiveUp(resolving.reason));
            }
            return (silent >= REPEAT).then_some(Due::Resend);
        }
        if self.deadline.since(now) <= RESOLVE {
            return Some(Due::Resolve(self.deadline));
        }
        if silent < self.patience.retransmit.max(REPEAT) {
            return None;
        }
        let suspect = now.since(self.placed) >= self.patience.suspect;
        let moves = suspect && self.call.idempotent && self.call.attempt < MOST_ATTEMPTS;
        Some(if moves { Due::Move } else { Due::Resend })
    }

    /// The call, or the question whether it ran.
    pub fn message(&self) -> Effect {
        let message = match self.resolving {
            Some(_) => Message::Resolve(self.question()),
            None => Message::Call(self.call.clone()),
        };
        send(&self.stage, message)
    }

    pub fn question(&self) -> Resolve {
        let Call { request, attempt, term, .. } = self.call;
        Resolve { request, attempt, term }
    }
}
