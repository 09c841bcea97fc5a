//! The state of one generation in progress.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::answer::Answer;
use crate::limit::Permit;
use crate::message::{Cancel, Feed, Message, Stage, Term};
use crate::name;
use crate::recover::Timeouts;
use crate::request::{Id, Position, Ran, Refusal, Refused};
use crate::retry::Reason;
use crate::time::Instant;

use super::{Effect, Generate, send};

/// A generation in progress.
pub(super) struct Generation {
    pub request: Id,
    pub spec: Generate,
    pub permit: Permit,
    pub deadline: Instant,
    pub answer: Answer,
    pub chain: Vec<Stage>,
    /// Terms of the stages' sides when the attempt was opened.
    pub terms: Vec<Term>,
    pub phase: Phase,
    /// When the message of the current step was first sent.
    pub step_started: Instant,
    /// When the message of the current step was last sent.
    pub last_sent: Instant,
    pub timeouts: Timeouts,
    /// The position from which the current attempt runs.
    pub resume: Position,
    /// Endpoints that have failed this request and that later attempts avoid.
    pub failed: BTreeSet<name::Endpoint>,
    /// Attempts since the last token was delivered.
    pub retries: Retries,
    /// Time between tokens that was estimated when the chain was chosen.
    pub token_time: Duration,
    /// Consecutive slow tokens; a very slow one counts as several.
    pub slow_tokens: u32,
    /// When the fault began from which the request has not recovered yet.
    pub fault_at: Option<Instant>,
    /// Whether any token was sent to a stage.
    pub started: bool,
    /// Whether feeding is paused because the caller reads too slowly.
    pub paused: bool,
}

/// Attempts without a new token, by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Retries {
    /// All of them, and searches that found no chain.
    pub count: u32,
    /// Those that failed. Silence and refusals, after which a side may go on, are none.
    pub failed: u32,
    /// Those that were left because a stage was silent.
    pub silent: u32,
    /// When no chain was found for the first time.
    pub no_chain_since: Option<Instant>,
}

impl Retries {
    /// Records the end of an attempt.
    pub(super) fn record(&mut self, reason: Reason) {
        self.count += 1;
        match reason {
            Reason::Silent => self.silent += 1,
            Reason::Refused => {}
            _ => self.failed += 1,
        }
    }
}

/// Phase of an attempt.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The next attempt starts at this time.
    Waiting(Instant),
    /// The next attempt starts as soon as the retry budget allows it.
    AwaitingRetry,
    /// Some stages have not acknowledged yet that they are open.
    Opening {
        /// Indices of these stages.
        unacknowledged: BTreeSet<u16>,
        /// Fewest positions that any of the other stages holds.
        held: Position,
    },
    /// All stages are open.
    Running,
}

impl Generate {
    /// Returns the most tokens of prompt and answer that the request may use.
    pub(super) fn max_total_tokens(&self) -> u32 {
        let prompt = u32::try_from(self.prompt.len()).unwrap_or(u32::MAX);
        prompt.saturating_add(self.max_tokens)
    }
}

impl Generation {
    /// Returns whether there is no attempt in progress.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_) | Phase::AwaitingRetry)
    }

    /// Returns the feed in flight, or the next one; `None` if there is nothing to feed.
    pub(super) fn feed(&mut self, chunk: u32) -> Option<Feed> {
        let (request, attempt) = (self.request, self.answer.attempt());
        let (position, tokens, sample) = self.answer.next_feed(chunk)?;
        Some(Feed { request, attempt, position, tokens: tokens.to_vec(), sample })
    }

    pub(super) fn cancel_message(&self, stage: &Stage) -> Effect {
        let (request, attempt) = (self.request, self.answer.attempt());
        send(stage, Message::Cancel(Cancel { request, attempt }))
    }

    /// Returns the tokens to charge if the generation ends now.
    pub(super) fn used(&self) -> u32 {
        if self.started { self.answer.length() } else { 0 }
    }

    /// Returns the refusal for the caller. The request is reported as not run only if no token
    /// was ever sent to a stage.
    pub(super) fn refused(&self, reason: Refusal, retry_after_ms: Option<u64>) -> Refused {
        let ran = if self.started { Ran::Unknown } else { Ran::No };
        Refused { reason, ran, retry_after_ms }
    }
}
