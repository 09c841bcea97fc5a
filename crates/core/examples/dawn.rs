//! Compares the fairness of an engine's queue with first come, first served during a burst.
//!
//! All requests arrive within the first second, and one workspace sends far more than the others.
//! Prints for each workspace its share of the tokens run while all of them wait, and the time to
//! its first tokens.

use std::collections::BTreeMap;

use oriole_core::queue::{Capacity, Class, Item, Queue};
use oriole_core::request::Id;
use oriole_core::time::Instant;

const STEP_US: u64 = 4_000;
const PROMPT_TOKEN_US: u64 = 20;
const CHUNK_TOKENS: u32 = 512;
const CAPACITY: Capacity = Capacity { steps: 32, prompt_tokens: 800, new_sequences: 0 };
const MAX_SEQUENCES: u32 = 48;
const ARRIVALS_US: u64 = 1_000_000;

/// Name, weight and number of requests of each workspace.
const WORKSPACES: [(&str, u32, u64); 6] = [
    ("flood", 10, 2_000),
    ("large-a", 30, 300),
    ("large-b", 30, 300),
    ("small-a", 10, 60),
    ("small-b", 10, 60),
    ("small-c", 10, 60),
];
const PROMPT_TOKENS: u32 = 400;
const ANSWER_TOKENS: u32 = 100;

struct Sequence {
    owner: usize,
    arrived_us: u64,
    tokens_run: u32,
}

#[derive(Default)]
struct Outcome {
    /// Tokens run until the first workspace has no request waiting.
    tokens: u64,
    first_token_us: Vec<u64>,
}

fn main() {
    for (label, fair) in [("fair", true), ("first come, first served", false)] {
        let outcomes = run(fair);
        let total: u64 = outcomes.values().map(|o| o.tokens).sum();
        println!("{label}\n  {:10} weight  share %  first token p50 s  p95 s", "workspace");
        let weights: u32 = WORKSPACES.iter().map(|w| w.1).sum();
        for (owner, (name, weight, _)) in WORKSPACES.iter().enumerate() {
            let Some(outcome) = outcomes.get(&owner) else { continue };
            let share = 100.0 * outcome.tokens as f64 / total as f64;
            let entitled = 100.0 * f64::from(*weight) / f64::from(weights);
            let at = |q: f64| quantile(&outcome.first_token_us, q) as f64 / 1e6;
            println!(
                "  {name:10} {entitled:5.1}%  {share:6.1}  {:17.2}  {:5.2}",
                at(0.5),
                at(0.95)
            );
        }
    }
}

fn quantile(values: &[u64], q: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = ((sorted.len().max(1) - 1) as f64 * q) as usize;
    sorted.get(index).copied().unwrap_or(0)
}

fn run(fair: bool) -> BTreeMap<usize, Outcome> {
    let mut arrivals = Vec::new();
    for (owner, (_, _, requests)) in WORKSPACES.iter().enumerate() {
        arrivals.extend((0..*requests).map(|n| (n * ARRIVALS_US / requests, owner)));
    }
    arrivals.sort_unstable();
    let mut arrivals = arrivals.into_iter().peekable();
    let mut sequences: Vec<Sequence> = Vec::new();
    let mut outcomes: BTreeMap<usize, Outcome> = BTreeMap::new();
    let mut waiting = [0u64; WORKSPACES.len()];
    let (mut queue, mut now_us, mut running, mut all_wait) = (Queue::default(), 0, 0u32, true);
    loop {
        while let Some((arrived_us, owner)) = arrivals.next_if(|(at, _)| *at <= now_us) {
            sequences.push(Sequence { owner, arrived_us, tokens_run: 0 });
            waiting[owner] += 1;
            push(&mut queue, sequences.len() - 1, &sequences, (now_us, fair));
        }
        let new_sequences = MAX_SEQUENCES - running;
        let batch = queue.take(Capacity { new_sequences, ..CAPACITY });
        if batch.is_empty() {
            match arrivals.peek() {
                Some((at, _)) => now_us = *at,
                None => return outcomes,
            }
            continue;
        }
        let prompts: u64 = batch.iter().filter(|i| i.tokens > 1).map(|i| u64::from(i.tokens)).sum();
        now_us += STEP_US + prompts * PROMPT_TOKEN_US;
        for item in batch {
            let index = item.request.seq as usize;
            let sequence = &mut sequences[index];
            let outcome = outcomes.entry(sequence.owner).or_default();
            if sequence.tokens_run == 0 {
                running += 1;
                waiting[sequence.owner] -= 1;
                outcome.first_token_us.push(now_us - sequence.arrived_us);
            }
            // While requests still arrive, a workspace may have none waiting yet.
            all_wait &= now_us < ARRIVALS_US || waiting.iter().all(|n| *n > 0);
            if all_wait {
                outcome.tokens += u64::from(item.tokens);
            }
            sequence.tokens_run += item.tokens;
            if sequence.tokens_run < PROMPT_TOKENS + ANSWER_TOKENS {
                push(&mut queue, index, &sequences, (now_us, fair));
            } else {
                running -= 1;
            }
        }
    }
}

fn push(queue: &mut Queue, index: usize, sequences: &[Sequence], (now_us, fair): (u64, bool)) {
    let sequence = &sequences[index];
    let (name, weight, _) = WORKSPACES[sequence.owner];
    let left = PROMPT_TOKENS.saturating_sub(sequence.tokens_run);
    let class = match (sequence.tokens_run, left) {
        (0, _) => Class::Start,
        (_, 0) => Class::Decode,
        _ => Class::Prompt,
    };
    queue.push(Item {
        request: Id { host: 0, boot: 0, seq: index as u64 },
        workspace: if fair { name } else { "all" }.into(),
        priority: 3,
        weight: if fair { weight } else { 1 },
        tokens: left.clamp(1, CHUNK_TOKENS),
        class,
        deadline: Instant::from_us(u64::MAX),
        queued_at: Instant::from_us(now_us),
    });
}
