//! Movement of shares between entries: throughput relative to the bound, also after failures, and
//! the correction of estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::limit::{Denial, Effect, Limiter, Settings};
use oriole_core::name::Workspace;
use oriole_core::request::Refusal;
use oriole_core::roster::{FULL_QUOTA, Roster};
use oriole_core::share::Quota;
use oriole_core::time::Instant;
use rand::RngExt;

use crate::contracts::{contract, limits};
use crate::world::{Work, World, host};

const US_PER_S: u64 = 1_000_000;
const MIN_THROUGHPUT: f64 = 0.95;
const MIN_THROUGHPUT_DISTURBED: f64 = 0.90;

fn workspace() -> Workspace {
    Workspace::from("gate-desk")
}

fn world(nodes: usize) -> World {
    let limits = limits(100.0, 100, 100_000.0, 100_000);
    let contract = contract(&workspace(), limits, Duration::from_secs(5));
    World::new(7, nodes, Settings::default(), vec![contract])
}

/// Offers `per_second` requests per second to the nodes that `pick` chooses. Returns the number of
/// admitted requests.
fn offer_load(
    world: &mut World,
    seconds: u64,
    per_second: u64,
    pick: impl Fn(u64) -> usize,
) -> f64 {
    let before = world.log.get(&workspace()).map_or(0, Vec::len);
    for i in 0..seconds * per_second {
        let run_us = world.rng.random_range(10_000..200_000);
        let work = Work { estimate: 500, used: 400, run_us };
        world.arrive(pick(i), &workspace(), work);
        let gap = world.rng.random_range(0..=2 * US_PER_S / per_second);
        world.advance(world.now + gap);
    }
    assert_eq!(world.check(), Ok(()));
    assert_eq!(world.check_sums(), Ok(()));
    (world.log.get(&workspace()).map_or(0, Vec::len) - before) as f64
}

/// With all load at one entry, the shares of the others must not stay unused.
#[test]
fn one_entry_uses_the_whole_bound() {
    let mut world = world(20);
    offer_load(&mut world, 5, 200, |_| 3);
    let admitted = offer_load(&mut world, 30, 200, |_| 3);
    assert!(admitted >= MIN_THROUGHPUT * 30.0 * 100.0, "{admitted}");
}

#[test]
fn all_entries_use_the_whole_bound() {
    let mut world = world(20);
    offer_load(&mut world, 5, 200, |i| i as usize % 20);
    let admitted = offer_load(&mut world, 30, 200, |i| i as usize % 20);
    assert!(admitted >= MIN_THROUGHPUT * 30.0 * 100.0, "{admitted}");
}

/// With a burst below the number of entries, most of them own no part of the rates and depend on
/// loans.
#[test]
fn a_small_contract_is_used_by_many_entries() {
    let limits = limits(5.0, 5, 10_000.0, 10_000);
    let contract = contract(&workspace(), limits, Duration::from_secs(5));
    let mut world = World::new(7, 20, Settings::default(), vec![contract]);
    offer_load(&mut world, 5, 10, |i| i as usize * 7 % 20);
    let admitted = offer_load(&mut world, 120, 10, |i| i as usize * 7 % 20);
    assert!(admitted >= MIN_THROUGHPUT * 120.0 * 5.0, "{admitted}");
}

#[test]
fn the_remaining_shares_are_used_while_one_entry_is_dead() {
    let mut world = world(20);
    offer_load(&mut world, 5, 200, |i| i as usize % 20);
    world.kill(4);
    let admitted = offer_load(&mut world, 60, 200, |i| i as usize % 4);
    assert!(admitted >= MIN_THROUGHPUT_DISTURBED * 60.0 * 100.0, "{admitted}");
}

#[test]
fn a_paused_entry_costs_little_throughput() {
    let mut world = world(20);
    offer_load(&mut world, 5, 200, |_| 3);
    world.pause(3);
    let during = offer_load(&mut world, 30, 200, |i| i as usize % 3);
    world.resume(3);
    let after = offer_load(&mut world, 30, 200, |_| 3);
    assert!(during + after >= MIN_THROUGHPUT_DISTURBED * 60.0 * 100.0, "{during} {after}");
}

/// The share of a dead entry is lost until a roster without it is in force.
#[test]
fn a_new_roster_redistributes_the_share_of_a_dead_entry() {
    let mut world = world(4);
    world.propagation_ms = 1000;
    world.kill(3);
    world.commit_roster((0..3).collect());
    offer_load(&mut world, 35, 200, |i| i as usize % 3);
    let admitted = offer_load(&mut world, 30, 200, |i| i as usize % 3);
    assert!(admitted >= MIN_THROUGHPUT * 30.0 * 100.0, "{admitted}");
}

/// The previous run may have lent quota. A restarted entry must not use its share before the others
/// have reported these loans.
#[test]
fn a_restarted_entry_regains_its_share_once_the_others_have_answered() {
    let mut world = world(4);
    offer_load(&mut world, 2, 200, |_| 0);
    world.kill(1);
    world.advance(world.now + 4 * US_PER_S);
    world.start(1);
    assert_eq!(world.own(1, &workspace()), Quota::default());
    world.advance(world.now + US_PER_S / 2);
    assert_eq!(world.own(1, &workspace()).requests, FULL_QUOTA / 4);
}

/// Entries that still use the old roster hold shares that leave nothing for the joining entry.
#[test]
fn a_joining_entry_uses_its_share_only_after_propagation() {
    let mut world = world(3);
    world.propagation_ms = 1000;
    world.commit_roster((0..4).collect());
    world.start(3);
    world.advance(world.now + 20 * US_PER_S);
    assert_eq!(world.own(3, &workspace()), Quota::default());
    world.advance(world.now + 15 * US_PER_S);
    assert_eq!(world.own(3, &workspace()).requests, FULL_QUOTA / 4);
}

fn single_entry(limits: oriole_core::contract::Limits) -> Limiter {
    let now = Instant::from_us(0);
    let mut limiter = Limiter::new(now, host(0), 1, Settings::default());
    let mut out: Vec<Effect> = Vec::new();
    let contract = contract(&workspace(), limits, Duration::from_secs(5));
    limiter.on_contracts(now, &BTreeMap::from([(workspace(), contract)]), &mut out);
    limiter.on_roster(now, Roster::first(BTreeMap::from([(host(0), 1)])), &mut out);
    limiter
}

#[test]
fn an_estimate_above_the_burst_is_never_admitted() {
    let mut limiter = single_entry(limits(10.0, 10, 1000.0, 1000));
    let mut out = Vec::new();
    let denial = limiter.admit(Instant::from_us(US_PER_S * 60), &workspace(), 1001, &mut out).err();
    let expected =
        Denial { refusal: Refusal::TokenRate, retry_after_ms: None, loan_pending: false };
    assert_eq!(denial, Some(expected));
    let other = Workspace::from("unknown");
    let denial = limiter.admit(Instant::from_us(US_PER_S * 60), &other, 1, &mut out).err();
    assert_eq!(denial.map(|d| d.refusal), Some(Refusal::NotFound));
}

#[test]
fn an_underestimate_becomes_a_debt() {
    let mut limiter = single_entry(limits(10.0, 10, 100.0, 1000));
    let mut out = Vec::new();
    let full = Instant::from_us(US_PER_S * 60);
    let permit = limiter.admit(full, &workspace(), 900, &mut out).unwrap();
    limiter.settle(full, permit, 1500, &mut out);
    let denial = limiter.admit(full, &workspace(), 0, &mut out).err();
    assert_eq!(denial.map(|d| d.refusal), Some(Refusal::TokenRate));
    let denial = denial.and_then(|d| d.retry_after_ms);
    assert!(denial.is_some_and(|ms| (5000..5100).contains(&ms)), "{denial:?}");
    assert!(limiter.admit(full + Duration::from_millis(5100), &workspace(), 0, &mut out).is_ok());
}

/// A refund on top of what the refill has already added would admit more than the bound.
#[test]
fn an_overestimate_is_refunded_once() {
    let mut limiter = single_entry(limits(10.0, 10, 100.0, 1000));
    let mut out = Vec::new();
    let full = Instant::from_us(US_PER_S * 60);
    let permit = limiter.admit(full, &workspace(), 1000, &mut out).unwrap();
    // The refill has added 400 tokens in four seconds, so at most 600 are refunded.
    limiter.settle(full + Duration::from_secs(4), permit, 0, &mut out);
    let view = limiter.view(full + Duration::from_secs(4), &workspace()).unwrap();
    assert!((999_000_000..=1_000_000_000).contains(&view.tokens), "{}", view.tokens);
    let half = limiter.admit(full + Duration::from_secs(4), &workspace(), 500, &mut out).unwrap();
    limiter.settle(full + Duration::from_secs(10), half, 0, &mut out);
    let view = limiter.view(full + Duration::from_secs(10), &workspace()).unwrap();
    assert_eq!(view.tokens, 1_000_000_000);
}

/// A refund of a charge before which the bucket was full again would count the same tokens twice.
#[test]
fn a_refund_excludes_what_was_refilled_since() {
    let mut limiter = single_entry(limits(10.0, 10, 100.0, 1000));
    let mut out = Vec::new();
    let full = Instant::from_us(US_PER_S * 60);
    let first = limiter.admit(full, &workspace(), 1000, &mut out).unwrap();
    let later = full + Duration::from_secs(11);
    let second = limiter.admit(later, &workspace(), 1000, &mut out).unwrap();
    // The bucket was full again at the second charge, so it had no room for a refund of the first.
    limiter.settle(later, first, 0, &mut out);
    assert_eq!(limiter.view(later, &workspace()).unwrap().tokens, 0);
    limiter.settle(later, second, 400, &mut out);
    assert_eq!(limiter.view(later, &workspace()).unwrap().tokens, 600_000_000);
}

/// Rounding must neither lose a part of the bound nor assign one twice.
#[test]
fn the_shares_of_a_roster_sum_to_the_whole_bound() {
    for nodes in 1..40 {
        let entries = (0..nodes).map(|n| (host(n), 1 + n as u32 % 5)).collect();
        let roster = Roster::first(entries);
        for (burst, tokens, concurrency) in [(1, 1, 1), (7, 100_000, 13), (500, 9_000_000, 999)] {
            let mut limits = limits(1.0, burst, 1.0, tokens);
            limits.concurrency = concurrency;
            let parts = (0..nodes).map(|n| roster.quota(&host(n), &workspace(), &limits));
            let sum = parts.fold(Quota::default(), Quota::plus);
            assert_eq!(sum, Quota { requests: FULL_QUOTA, tokens: FULL_QUOTA, slots: concurrency });
        }
    }
}
