//! Migration of slow generations to another chain.
//!
//! A degraded link or a throttled engine completes every step, only late, so the timeouts for
//! silence do not fire. It is detected by comparing the time between tokens with the estimate
//! from which the chain was chosen.

use std::time::Duration;

use crate::plan::Query;
use crate::request::Id;
use crate::retry::Reason;
use crate::time::{Instant, as_us};

use super::inflight::Generation;
use super::recovery::Failure;
use super::{Effect, Machine};

/// A token is slow if it takes at least this multiple of the expected time.
const SLOW_FACTOR: u32 = 4;

/// A token that takes less than this is never slow.
const MIN_SLOW: Duration = Duration::from_millis(100);

/// Consecutive slow tokens after which migration is considered. A single slow token may only have
/// been lost and retransmitted.
const SLOW_TOKENS: u32 = 2;

/// A single token that takes at least this long is enough: a retransmission is faster.
const VERY_SLOW: Duration = Duration::from_millis(600);

impl Generation {
    /// Records the time that a token took and returns whether it was slow.
    pub(super) fn record_token_time(&mut self, took: Duration) -> bool {
        let slow = took >= MIN_SLOW.max(self.token_time.saturating_mul(SLOW_FACTOR));
        let counts = if took >= VERY_SLOW { SLOW_TOKENS } else { 1 };
        self.slow_tokens = if slow { self.slow_tokens.saturating_add(counts) } else { 0 };
        slow
    }
}

impl Machine {
    /// Migrates a generation whose tokens take `took` each, if another chain is estimated to finish
    /// sooner although it has to run all positions again. Returns whether the generation moves.
    pub(super) fn migrate(
        &mut self,
        now: Instant,
        id: Id,
        took: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let random = self.rng.next_u64();
        let Some(generation) = self.generations.get(&id) else { return false };
        if generation.slow_tokens < SLOW_TOKENS {
            return false;
        }
        let left = generation.spec.max_tokens.saturating_sub(generation.answer.answer_tokens());
        let keep = generation.chain.iter().map(|stage| stage.endpoint.clone()).collect();
        let query = Query {
            prompt_tokens: generation.answer.length(),
            answer_tokens: self.expected_tokens(left, &generation.spec.model),
            time_left: Duration::MAX,
            prefixes: &[],
            avoid: &generation.failed,
            include: &keep,
            random,
        };
        let Ok(choice) = self.planner.choose(now, &generation.spec.model, &query) else {
            return false;
        };
        let tokens = u64::from(query.answer_tokens);
        let stay_us = tokens.saturating_mul(as_us(took));
        let move_us = choice.first_us.saturating_add(tokens.saturating_mul(choice.token_us));
        let left_out = generation.chain.iter().filter(|stage| !choice.chain.contains(stage));
        let slow: Vec<_> = left_out.map(|stage| stage.endpoint.clone()).collect();
        if slow.is_empty() || move_us >= stay_us || !self.migration_budget.take(now) {
            return false;
        }
        if let Some(generation) = self.generations.get_mut(&id) {
            generation.failed.extend(slow.iter().cloned());
        }
        let endpoint = slow.into_iter().next();
        self.fail(now, id, Failure { reason: Reason::Slow, refused: None, endpoint }, effects);
        true
    }
}
