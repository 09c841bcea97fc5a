//! Guards against unfair queueing: shares that do not follow weights, priorities that starve, steps
//! that are lost or returned twice, and a workspace that fills the backlog.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_core::backlog::Backlog;
use oriole_core::queue::{Capacity, Class, Item, Queue, RESERVE_DIVISOR};
use oriole_core::request::Id;
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ONE_STEP: Capacity = Capacity { steps: 1, prompt_tokens: u32::MAX, new_sequences: u32::MAX };

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    }
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(ms * 1000)
}

fn item(seq: u64, workspace: &str, priority: u8, weight: u32, tokens: u32) -> Item {
    Item {
        request: Id { host: 1, boot: 1, seq },
        workspace: workspace.into(),
        priority,
        weight,
        tokens,
        class: Class::Prompt,
        deadline: at_ms(1_000_000),
        queued_at: at_ms(seq),
    }
}

fn class() -> impl Strategy<Value = Class> {
    prop::sample::select(vec![Class::Resume, Class::Decode, Class::Prompt, Class::Start])
}

proptest! {
    #![proptest_config(config())]

    /// While two workspaces have steps in the queue, their tokens divided by their weights differ
    /// by at most one step of each (the bound of start-time fair queueing).
    #[test]
    fn workspaces_share_by_weight(
        weights in prop::collection::vec(1u32..20, 2..5),
        tokens in prop::collection::vec(1u32..600, 200..400),
    ) {
        let mut queue = Queue::default();
        let names = ["a", "b", "c", "d"];
        for (seq, tokens) in (0u64..).zip(&tokens) {
            for (owner, weight) in weights.iter().enumerate() {
                let seq = seq * 10 + owner as u64;
                queue.push(item(seq, names[owner], 3, *weight, *tokens));
            }
        }
        let mut got: BTreeMap<String, f64> = BTreeMap::new();
        // No workspace runs out of steps earlier, since each has as many.
        for _ in 0..tokens.len() {
            for item in queue.take(ONE_STEP) {
                let share = f64::from(item.tokens) / f64::from(item.weight);
                *got.entry(item.workspace.to_string()).or_default() += share;
            }
            for (i, a) in weights.iter().enumerate() {
                for (j, b) in weights.iter().enumerate() {
                    let get = |k: usize| got.get(names[k]).copied().unwrap_or(0.0);
                    let bound = 600.0 / f64::from(*a) + 600.0 / f64::from(*b);
                    prop_assert!((get(i) - get(j)).abs() <= bound, "{weights:?} {got:?}");
                }
            }
        }
    }

    /// A lower priority is served after a higher one, but gets its reserve.
    #[test]
    fn higher_priorities_go_first_but_starve_none(high in 1u32..64, low in 1u32..64) {
        let mut queue = Queue::default();
        for seq in 0..2000 {
            queue.push(item(seq * 2, "high", 5, 1, high));
            queue.push(item(seq * 2 + 1, "low", 2, 1, low));
        }
        let (mut first, mut reserve) = (0u64, 0u64);
        for _ in 0..1500 {
            for item in queue.take(ONE_STEP) {
                let tokens = u64::from(item.tokens);
                *if item.priority == 5 { &mut first } else { &mut reserve } += tokens;
            }
        }
        prop_assert!(reserve * RESERVE_DIVISOR <= first);
        let (high, low) = (u64::from(high), u64::from(low));
        let slack = (high + low) * RESERVE_DIVISOR;
        prop_assert!(reserve * RESERVE_DIVISOR + slack >= first, "{reserve} {first}");
    }

    /// Each step leaves the queue once, in a batch, by removal or by expiry, and batches keep to
    /// their capacity.
    #[test]
    fn each_step_leaves_once_and_batches_keep_to_their_capacity(
        ops in prop::collection::vec(
            (0u8..8, 0u64..40, 0u8..4, 1u32..400, class(), 0u64..100), 1..200),
        capacity in (1u32..8, 1u32..600, 0u32..4),
    ) {
        let mut queue = Queue::default();
        let mut waiting: BTreeMap<Id, Item> = BTreeMap::new();
        for (op, seq, owner, tokens, class, deadline) in ops {
            let name = ["a", "b", "c", "d"][usize::from(owner)];
            let mut new = item(seq, name, owner * 3, u32::from(owner), tokens);
            new.class = class;
            new.deadline = at_ms(deadline);
            match op {
                0..=4 => {
                    queue.push(new.clone());
                    waiting.entry(new.request).or_insert(new);
                }
                5 => prop_assert_eq!(queue.remove(new.request), waiting.remove(&new.request)),
                6 => {
                    let gone: BTreeSet<Id> =
                        queue.expire(at_ms(deadline)).iter().map(|i| i.request).collect();
                    let late = waiting.values().filter(|i| i.deadline <= at_ms(deadline));
                    let expected: BTreeSet<Id> = late.map(|i| i.request).collect();
                    prop_assert_eq!(&gone, &expected);
                    waiting.retain(|id, _| !gone.contains(id));
                }
                _ => {
                    let (steps, prompt_tokens, new_sequences) = capacity;
                    let batch = queue.take(Capacity { steps, prompt_tokens, new_sequences });
                    let prompts: Vec<&Item> =
                        batch.iter().filter(|i| i.class != Class::Decode).collect();
                    let sum: u32 = prompts.iter().map(|i| i.tokens).sum();
                    let starts = prompts.iter().filter(|i| i.class != Class::Prompt).count();
                    prop_assert!(batch.len() <= steps as usize && starts <= new_sequences as usize);
                    prop_assert!(sum <= prompt_tokens || prompts.len() == 1);
                    for item in &batch {
                        prop_assert_eq!(waiting.remove(&item.request), Some(item.clone()));
                    }
                    let decode = waiting.values().any(|i| i.class == Class::Decode);
                    prop_assert!(!decode || batch.len() == steps as usize, "decode step left out");
                }
            }
            let tokens: u64 = waiting.values().map(|i| u64::from(i.tokens)).sum();
            prop_assert_eq!((queue.len(), queue.tokens()), (waiting.len(), tokens));
        }
    }

    /// A single workspace fills at most half of the backlog, so that another one still gets room.
    #[test]
    fn one_workspace_cannot_fill_the_backlog(tokens in prop::collection::vec(1u32..200, 1..300)) {
        let mut backlog = Backlog::new(10_000);
        for tokens in tokens {
            let _ = backlog.add(&"flood".into(), tokens);
        }
        prop_assert!(backlog.held() <= 5_000);
        prop_assert!(backlog.add(&"other".into(), 2_500).is_ok());
        backlog.remove(&"other".into(), 2_500);
        prop_assert!(backlog.held() <= 5_000);
    }
}

#[test]
fn an_unused_share_goes_to_others_and_gives_no_credit() {
    let mut queue = Queue::default();
    for seq in 0..100 {
        queue.push(item(seq, "busy", 3, 1, 10));
    }
    for _ in 0..50 {
        assert_eq!(queue.take(ONE_STEP).len(), 1);
    }
    for seq in 100..150 {
        queue.push(item(seq, "idle", 3, 1, 10));
    }
    let next: Vec<Item> = (0..20).flat_map(|_| queue.take(ONE_STEP)).collect();
    let from_idle = next.iter().filter(|item| item.workspace == "idle".into()).count();
    assert!(
        (9..=11).contains(&from_idle),
        "{from_idle} of 20 steps from the workspace that was idle"
    );
}

#[test]
fn a_recovered_sequence_goes_before_new_ones() {
    let mut queue = Queue::default();
    for seq in 0..10 {
        queue.push(Item { class: Class::Start, ..item(seq, "a", 3, 10, 10) });
    }
    let arrival = at_ms(50) + Duration::from_millis(1);
    queue.push(Item { class: Class::Resume, queued_at: arrival, ..item(50, "b", 3, 1, 10) });
    let capacity = Capacity { new_sequences: 1, ..ONE_STEP };
    assert_eq!(queue.take(capacity)[0].request.seq, 50);
}
