//! Requests in progress whose tokens come slowly move to another chain if that is worth it.
//!
//! A degraded link or a throttled engine lets every step through, only late, so that nothing is
//! ever silent for long. What tells is the time between tokens against what the choice expected.

use std::time::Duration;

use crate::plan::Query;
use crate::request::Id;
use crate::retry::Reason;
use crate::time::{Instant, as_us};

use super::recovery::Failure;
use super::work::Work;
use super::{Effect, Machine};

/// A token is slow from this multiple of the expected time on.
const SLOW_FACTOR: u32 = 4;

/// A token is not slow below this.
const SLOW_FLOOR: Duration = Duration::from_millis(100);

/// Slow tokens in a row after which a move is weighed. One may have been lost and sent again.
const SLOW_TOKENS: u32 = 2;

/// From this time on one token is enough: a loss is repaired sooner.
const SEVERE: Duration = Duration::from_millis(600);

impl Work {
    /// Notes the time that a token took; returns whether it was slow.
    pub(super) fn note(&mut self, took: Duration) -> bool {
        let slow = took >= SLOW_FLOOR.max(self.token.saturating_mul(SLOW_FACTOR));
        let counts = if took >= SEVERE { SLOW_TOKENS } else { 1 };
        self.slow = if slow { self.slow.saturating_add(counts) } else { 0 };
        slow
    }
}

impl Machine {
    /// Moves a request whose tokens take `took` each, if running it all again on another chain is
    /// estimated to be sooner over; returns whether it moves.
    pub(super) fn migrate(
        &mut self,
        now: Instant,
        id: Id,
        took: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let random = self.rng.next_u64();
        let Some(work) = self.works.get(&id) else { return false };
        if work.slow < SLOW_TOKENS {
            return false;
        }
        let left = work.ask.max_tokens.saturating_sub(work.answer.answered());
        let keep = work.chain.iter().map(|stage| stage.endpoint.clone()).collect();
        let query = Query {
            prompt_tokens: work.answer.length(),
            answer_tokens: self.expected(left, &work.ask.model),
            left: Duration::MAX,
            prefixes: &[],
            avoid: &work.failed,
            keep: &keep,
            random,
        };
        let Ok(choice) = self.planner.choose(now, &work.ask.model, &query) else { return false };
        let tokens = u64::from(query.answer_tokens);
        let stay_us = tokens.saturating_mul(as_us(took));
        let move_us = choice.first_us.saturating_add(tokens.saturating_mul(choice.token_us));
        let left_out = work.chain.iter().filter(|stage| !choice.chain.contains(stage));
        let slow: Vec<_> = left_out.map(|stage| stage.endpoint.clone()).collect();
        if slow.is_empty() || move_us >= stay_us || !self.moves.take(now) {
            return false;
        }
        if let Some(work) = self.works.get_mut(&id) {
            work.failed.extend(slow.iter().cloned());
        }
        let endpoint = slow.into_iter().next();
        self.fail(now, id, Failure { reason: Reason::Slow, refused: None, endpoint }, effects);
        true
    }
}
