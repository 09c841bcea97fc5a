//! Attempts of a generation: choose a chain, open its stages and wait until all are open.

use std::time::Duration;

use crate::explain::Fact;
use crate::message::{Message, Open, Opened, Stage, Term};
use crate::name;
use crate::plan::{Choice, Query, Unplanned};
use crate::recover::{Plan, Replacement, Strategy, Timeouts};
use crate::request::{Id, Position, Refused};
use crate::retry;
use crate::time::Instant;
use crate::token;

use super::count::Counter;
use super::inflight::{Generation, Phase};
use super::{Effect, Machine, remaining_ms, send};

/// Estimated tokens that an answer in progress still needs.
const REMAINING_TOKENS_ESTIMATE: u32 = 32;

/// Longest time that a generation in progress waits for a chain that covers the model.
const MAX_NO_CHAIN_WAIT: Duration = Duration::from_secs(5);

impl Machine {
    /// Starts the next attempt, or postpones or refuses the generation if no chain is found.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        mut generation: Generation,
        effects: &mut Vec<Effect>,
    ) {
        let choice = match self.choose_chain(now, &generation) {
            Ok(choice) => choice,
            Err(unplanned) => {
                let refused = unplanned.refused.clone();
                self.records.add(now, generation.request, Fact::Unplanned(unplanned));
                self.postpone(now, generation, refused, effects);
                return;
            }
        };
        let plan = generation.recovery_plan(&choice);
        let previous = generation.answer.attempt();
        let attempt = previous + 1;
        let dropped = generation.chain.iter().filter(|stage| !choice.chain.contains(stage));
        effects.extend(dropped.map(|stage| generation.cancel_message(stage)));
        generation.resume = plan.resume;
        generation.chain.clone_from(&choice.chain);
        generation.token_time = Duration::from_micros(choice.token_us);
        generation.slow_tokens = 0;
        let tokens = if plan.strategy == Strategy::Refill { generation.answer.length() } else { 1 };
        if previous > 0 {
            self.records.add(now, generation.request, Fact::Recovers { attempt, plan });
        }
        let degraded = self.degraded(now);
        self.records.add(now, generation.request, Fact::Planned { attempt, choice, degraded });
        self.planner.record_dispatch(now, &generation.chain, tokens);
        generation.answer.restart(attempt, generation.resume);
        self.open_stages(now, generation, effects);
    }

    /// Chooses the chain of the next attempt. Stages of the present chain are always compared.
    fn choose_chain(&mut self, now: Instant, generation: &Generation) -> Result<Choice, Unplanned> {
        let is_first = generation.answer.attempt() == 0;
        let present = generation.chain.iter().map(|stage| stage.endpoint.clone()).collect();
        let prefixes = token::prefix_hashes(&generation.spec.prompt);
        let query = Query {
            prompt_tokens: generation.answer.length(),
            answer_tokens: if is_first {
                self.expected_tokens(generation.spec.max_tokens, &generation.spec.model)
            } else {
                REMAINING_TOKENS_ESTIMATE
            },
            // An answer in progress continues even if it is expected to miss its deadline.
            time_left: if generation.started {
                Duration::MAX
            } else {
                generation.deadline.since(now)
            },
            prefixes: &prefixes,
            avoid: &generation.failed,
            include: &present,
            random: self.rng.next_u64(),
        };
        self.planner.choose(now, &generation.spec.model, &query)
    }

    /// Schedules another attempt if the generation is in progress, and refuses it otherwise.
    fn postpone(
        &mut self,
        now: Instant,
        mut generation: Generation,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        let since = *generation.retries.no_chain_since.get_or_insert(now);
        if !generation.started || now.since(since) >= MAX_NO_CHAIN_WAIT {
            self.give_up(now, generation, refused.reason, refused.retry_after_ms, effects);
            return;
        }
        self.counters.add(Counter::Retried(retry::Reason::NoChain), &generation.spec.workspace);
        generation.retries.count += 1;
        let wait = retry::backoff(generation.retries.count, self.rng.next_u64());
        generation.phase = Phase::Waiting(now + wait);
        self.generations.insert(generation.request, generation);
    }

    /// Opens all stages of the current attempt.
    fn open_stages(&mut self, now: Instant, mut generation: Generation, effects: &mut Vec<Effect>) {
        generation.terms = generation.chain.iter().map(|stage| self.term(stage)).collect();
        let stages = u16::try_from(generation.chain.len()).unwrap_or(u16::MAX);
        let unacknowledged = (0..stages).collect();
        generation.phase = Phase::Opening { unacknowledged, held: Position::MAX };
        generation.step_started = now;
        generation.last_sent = now;
        generation.timeouts = Timeouts::new(Duration::ZERO);
        effects.extend(self.open_messages(now, &generation, None));
        self.generations.insert(generation.request, generation);
    }

    /// Returns the messages that open the stages on `host`, or all unacknowledged ones if `None`.
    pub(super) fn open_messages(
        &self,
        now: Instant,
        generation: &Generation,
        host: Option<&name::Host>,
    ) -> Vec<Effect> {
        let contract = self.config.contracts.get(&generation.spec.workspace);
        let service = contract.map(|contract| contract.service.clone()).unwrap_or_default();
        let open = |index: u16, term: Term| Open {
            request: generation.request,
            attempt: generation.answer.attempt(),
            stage: index,
            chain: generation.chain.clone(),
            model: generation.spec.model.clone(),
            workspace: generation.spec.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: remaining_ms(now, generation.deadline),
            resume: generation.resume,
            tokens: generation.spec.max_total_tokens(),
            seed: generation.request.seq,
            roster: generation.permit.roster(),
            term,
        };
        let wanted = |index: u16, stage: &Stage| match (host, &generation.phase) {
            (Some(host), _) => stage.host == *host,
            (None, Phase::Opening { unacknowledged, .. }) => unacknowledged.contains(&index),
            (None, _) => false,
        };
        let stages = generation.chain.iter().zip(&generation.terms).zip(0_u16..);
        let stages = stages.filter(|((stage, _), index)| wanted(*index, stage));
        stages
            .map(|((stage, term), index)| send(stage, Message::Open(open(index, *term))))
            .collect()
    }

    /// Records that a stage is open, and feeds the first tokens once all are.
    pub(super) fn on_opened(&mut self, now: Instant, opened: &Opened, effects: &mut Vec<Effect>) {
        let Some(generation) = self.generations.get_mut(&opened.request) else { return };
        if generation.answer.attempt() != opened.attempt {
            return;
        }
        let Phase::Opening { unacknowledged, held } = &mut generation.phase else { return };
        if !unacknowledged.remove(&opened.stage) {
            return;
        }
        *held = opened.held.min(*held);
        let (all_open, held) = (unacknowledged.is_empty(), *held);
        if let Some(stage) = generation.chain.get(usize::from(opened.stage)) {
            self.last_progress.insert(stage.endpoint.clone(), now);
        }
        if !all_open {
            return;
        }
        if held < generation.resume {
            self.reopen_from(now, opened.request, held, effects);
            return;
        }
        generation.phase = Phase::Running;
        self.feed(now, opened.request, effects);
    }

    /// Opens the same chain with a new attempt that runs from an earlier position.
    fn reopen_from(&mut self, now: Instant, id: Id, position: Position, effects: &mut Vec<Effect>) {
        let Some(mut generation) = self.generations.remove(&id) else { return };
        generation.resume = position;
        generation.answer.restart(generation.answer.attempt() + 1, position);
        self.open_stages(now, generation, effects);
    }
}

impl Generation {
    /// Returns how the stages of the chosen chain get the KV cache.
    fn recovery_plan(&self, choice: &Choice) -> Plan {
        let replacement = Replacement {
            old: &self.chain,
            new: &choice.chain,
            ran: self.answer.positions_run(),
            refill_us: choice.first_us,
            export_rate: None,
        };
        replacement.plan()
    }
}
