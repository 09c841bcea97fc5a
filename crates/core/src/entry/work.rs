//! One generation in progress.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::answer::Answer;
use crate::limit::Permit;
use crate::message::{Cancel, Feed, Message, Stage, Term};
use crate::name;
use crate::recover::Patience;
use crate::request::{Id, Position, Ran, Refusal, Refused};
use crate::time::Instant;

use super::{Effect, Generate, send};

/// One generation.
pub(super) struct Work {
    pub request: Id,
    pub ask: Generate,
    pub permit: Permit,
    pub deadline: Instant,
    pub answer: Answer,
    pub chain: Vec<Stage>,
    /// Terms of the stages' sides when the attempt was opened.
    pub terms: Vec<Term>,
    pub phase: Phase,
    /// When the step in progress was sent first, and last.
    pub since: Instant,
    pub sent: Instant,
    pub patience: Patience,
    /// The position from which the attempt runs.
    pub resume: Position,
    /// Endpoints that failed this request.
    pub failed: BTreeSet<name::Endpoint>,
    pub retries: u32,
    /// Time between tokens that the choice of the chain expected.
    pub token: Duration,
    /// Tokens in a row that took much longer.
    pub slow: u32,
    /// When the trouble began from which the request has not recovered yet.
    pub fault_at: Option<Instant>,
    /// Whether any token may have run.
    pub fed: bool,
    /// Whether the caller does not keep up.
    pub held: bool,
}

/// Where an attempt stands.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The next attempt starts then.
    Waiting(Instant),
    /// Stages that have not acknowledged yet, and the fewest positions that one holds.
    Opening(BTreeSet<u16>, Position),
    /// Fed.
    Running,
}

impl Generate {
    /// Tokens of prompt and answer that the request may use at most.
    pub(super) fn most_tokens(&self) -> u32 {
        let prompt = u32::try_from(self.prompt.len()).unwrap_or(u32::MAX);
        prompt.saturating_add(self.max_tokens)
    }
}

impl Work {
    /// The feed in flight, or the next one.
    pub(super) fn feed(&mut self, chunk: u32) -> Option<Feed> {
        let (request, attempt) = (self.request, self.answer.attempt());
        let (position, tokens, sample) = self.answer.next(chunk)?;
        Some(Feed { request, attempt, position, tokens: tokens.to_vec(), sample })
    }

    pub(super) fn cancel_at(&self, stage: &Stage) -> Effect {
        let (request, attempt) = (self.request, self.answer.attempt());
        send(stage, Message::Cancel(Cancel { request, attempt }))
    }

    /// Tokens that ran, as they are charged.
    pub(super) fn used(&self) -> u32 {
        if self.fed { self.answer.length() } else { 0 }
    }

    /// How a refusal is told: it ran unless no token was ever sent to a stage.
    pub(super) fn refused(&self, reason: Refusal, retry_after_ms: Option<u64>) -> Refused {
        let ran = if self.fed { Ran::Unknown } else { Ran::No };
        Refused { reason, ran, retry_after_ms }
    }
}
