//! How shares move between entries: throughput over the bound, and what follows failures.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::limit::{Book, Denial, Effect, Settings};
use oriole_core::name::Workspace;
use oriole_core::request::Refusal;
use oriole_core::roster::{Roster, WHOLE};
use oriole_core::share::Terms;
use oriole_core::time::Instant;
use rand::RngExt;

use crate::terms::{contract, limits};
use crate::world::{Work, World, host};

const S: u64 = 1_000_000;
const TARGET: f64 = 0.95;
const TARGET_DISTURBED: f64 = 0.90;

fn desk() -> Workspace {
    Workspace::from("gate-desk")
}

fn world(nodes: usize) -> World {
    let terms = limits(100.0, 100, 100_000.0, 100_000);
    let contract = contract(&desk(), terms, Duration::from_secs(5));
    World::new(7, nodes, Settings::default(), vec![contract])
}

/// Offers `per_second` requests at the nodes that `pick` chooses. Returns how many were admitted.
fn drive(world: &mut World, seconds: u64, per_second: u64, pick: impl Fn(u64) -> usize) -> f64 {
    let before = world.log.get(&desk()).map_or(0, Vec::len);
    for i in 0..seconds * per_second {
        let run_us = world.rng.random_range(10_000..200_000);
        let work = Work { estimate: 500, used: 400, run_us };
        world.arrive(pick(i), &desk(), work);
        let gap = world.rng.random_range(0..=2 * S / per_second);
        world.advance(world.now + gap);
    }
    assert_eq!(world.check(), Ok(()));
    assert_eq!(world.check_sums(), Ok(()));
    (world.log.get(&desk()).map_or(0, Vec::len) - before) as f64
}

#[test]
fn one_entry_uses_the_whole_bound() {
    let mut world = world(20);
    drive(&mut world, 5, 200, |_| 3);
    let admitted = drive(&mut world, 30, 200, |_| 3);
    assert!(admitted >= TARGET * 30.0 * 100.0, "{admitted}");
}

#[test]
fn all_entries_use_the_whole_bound() {
    let mut world = world(20);
    drive(&mut world, 5, 200, |i| i as usize % 20);
    let admitted = drive(&mut world, 30, 200, |i| i as usize % 20);
    assert!(admitted >= TARGET * 30.0 * 100.0, "{admitted}");
}

#[test]
fn a_small_contract_is_used_by_many_entries() {
    let terms = limits(5.0, 5, 10_000.0, 10_000);
    let contract = contract(&desk(), terms, Duration::from_secs(5));
    let mut world = World::new(7, 20, Settings::default(), vec![contract]);
    drive(&mut world, 5, 10, |i| i as usize * 7 % 20);
    let admitted = drive(&mut world, 120, 10, |i| i as usize * 7 % 20);
    assert!(admitted >= TARGET * 120.0 * 5.0, "{admitted}");
}

#[test]
fn the_rest_is_used_while_one_of_many_is_dead() {
    let mut world = world(20);
    drive(&mut world, 5, 200, |i| i as usize % 20);
    world.kill(4);
    let admitted = drive(&mut world, 60, 200, |i| i as usize % 4);
    assert!(admitted >= TARGET_DISTURBED * 60.0 * 100.0, "{admitted}");
}

#[test]
fn a_pause_costs_little() {
    let mut world = world(20);
    drive(&mut world, 5, 200, |_| 3);
    world.pause(3);
    let during = drive(&mut world, 30, 200, |i| i as usize % 3);
    world.resume(3);
    let after = drive(&mut world, 30, 200, |_| 3);
    assert!(during + after >= TARGET_DISTURBED * 60.0 * 100.0, "{during} {after}");
}

#[test]
fn a_roster_without_the_dead_gives_their_share_to_the_others() {
    let mut world = world(4);
    world.spread_ms = 1000;
    world.kill(3);
    world.commit_roster((0..3).collect());
    drive(&mut world, 35, 200, |i| i as usize % 3);
    let admitted = drive(&mut world, 30, 200, |i| i as usize % 3);
    assert!(admitted >= TARGET * 30.0 * 100.0, "{admitted}");
}

#[test]
fn an_entry_that_restarts_has_its_share_as_soon_as_the_others_have_answered() {
    let mut world = world(4);
    drive(&mut world, 2, 200, |_| 0);
    world.kill(1);
    world.advance(world.now + 4 * S);
    world.start(1);
    assert_eq!(world.own(1, &desk()), Terms::default());
    world.advance(world.now + S / 2);
    assert_eq!(world.own(1, &desk()).requests, WHOLE / 4);
}

#[test]
fn an_entry_that_joins_waits_until_all_have_learned_of_it() {
    let mut world = world(3);
    world.spread_ms = 1000;
    world.commit_roster((0..4).collect());
    world.start(3);
    world.advance(world.now + 20 * S);
    assert_eq!(world.own(3, &desk()), Terms::default());
    world.advance(world.now + 15 * S);
    assert_eq!(world.own(3, &desk()).requests, WHOLE / 4);
}

fn single(terms: oriole_core::contract::Limits) -> Book {
    let now = Instant::from_us(0);
    let mut book = Book::new(now, host(0), 1, Settings::default());
    let mut out: Vec<Effect> = Vec::new();
    let contract = contract(&desk(), terms, Duration::from_secs(5));
    book.on_contracts(now, &BTreeMap::from([(desk(), contract)]), &mut out);
    book.on_roster(now, Roster::first(BTreeMap::from([(host(0), 1)])), &mut out);
    book
}

#[test]
fn an_estimate_above_the_burst_is_never_admitted() {
    let mut book = single(limits(10.0, 10, 1000.0, 1000));
    let mut out = Vec::new();
    let denial = book.admit(Instant::from_us(S * 60), &desk(), 1001, &mut out).err();
    let expected = Denial { refusal: Refusal::TokenRate, retry_after_ms: None, asked: false };
    assert_eq!(denial, Some(expected));
    let other = Workspace::from("unknown");
    let denial = book.admit(Instant::from_us(S * 60), &other, 1, &mut out).err();
    assert_eq!(denial.map(|d| d.refusal), Some(Refusal::NotFound));
}

#[test]
fn what_an_estimate_lacked_is_a_debt() {
    let mut book = single(limits(10.0, 10, 100.0, 1000));
    let mut out = Vec::new();
    let full = Instant::from_us(S * 60);
    let permit = book.admit(full, &desk(), 900, &mut out).unwrap();
    book.settle(full, permit, 1500, &mut out);
    let denial = book.admit(full, &desk(), 0, &mut out).err();
    assert_eq!(denial.map(|d| d.refusal), Some(Refusal::TokenRate));
    let denial = denial.and_then(|d| d.retry_after_ms);
    assert!(denial.is_some_and(|ms| (5000..5100).contains(&ms)), "{denial:?}");
    assert!(book.admit(full + Duration::from_millis(5100), &desk(), 0, &mut out).is_ok());
}

#[test]
fn what_an_estimate_had_too_much_comes_back_once() {
    let mut book = single(limits(10.0, 10, 100.0, 1000));
    let mut out = Vec::new();
    let full = Instant::from_us(S * 60);
    let permit = book.admit(full, &desk(), 1000, &mut out).unwrap();
    // Four seconds have refilled 400 already, so that only 600 can have been left unused.
    book.settle(full + Duration::from_secs(4), permit, 0, &mut out);
    let view = book.view(full + Duration::from_secs(4), &desk()).unwrap();
    assert!((999_000_000..=1_000_000_000).contains(&view.tokens), "{}", view.tokens);
    let half = book.admit(full + Duration::from_secs(4), &desk(), 500, &mut out).unwrap();
    book.settle(full + Duration::from_secs(10), half, 0, &mut out);
    let view = book.view(full + Duration::from_secs(10), &desk()).unwrap();
    assert_eq!(view.tokens, 1_000_000_000);
}

#[test]
fn what_the_refill_has_made_up_for_does_not_come_back() {
    let mut book = single(limits(10.0, 10, 100.0, 1000));
    let mut out = Vec::new();
    let full = Instant::from_us(S * 60);
    let first = book.admit(full, &desk(), 1000, &mut out).unwrap();
    let later = full + Duration::from_secs(11);
    let second = book.admit(later, &desk(), 1000, &mut out).unwrap();
    // Had the first cost nothing, the bucket would have been as full as it was for the second.
    book.settle(later, first, 0, &mut out);
    assert_eq!(book.view(later, &desk()).unwrap().tokens, 0);
    book.settle(later, second, 400, &mut out);
    assert_eq!(book.view(later, &desk()).unwrap().tokens, 600_000_000);
}

#[test]
fn the_parts_of_a_roster_sum_to_the_whole() {
    for nodes in 1..40 {
        let entries = (0..nodes).map(|n| (host(n), 1 + n as u32 % 5)).collect();
        let roster = Roster::first(entries);
        for (burst, tokens, concurrency) in [(1, 1, 1), (7, 100_000, 13), (500, 9_000_000, 999)] {
            let mut terms = limits(1.0, burst, 1.0, tokens);
            terms.concurrency = concurrency;
            let parts = (0..nodes).map(|n| roster.own(&host(n), &desk(), &terms));
            let sum = parts.fold(Terms::default(), Terms::plus);
            assert_eq!(sum, Terms { requests: WHOLE, tokens: WHOLE, slots: concurrency });
        }
    }
}
