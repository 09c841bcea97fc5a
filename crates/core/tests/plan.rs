//! Tests of the selection of chains and endpoints.

#![allow(clippy::unwrap_used)] // test helpers may panic

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Kind, Model};
use oriole_core::membership::{Eligibility, FULL_WEIGHT};
use oriole_core::message::{Hop, Load, Term};
use oriole_core::name;
use oriole_core::plan::{Choice, Planner, Query, Unplanned};
use oriole_core::request::Refusal;
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Instant = Instant::from_us(1_000_000_000);
const NONE: &BTreeSet<name::Endpoint> = &BTreeSet::new();

fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

fn endpoint(index: usize, first_layer: u16, end_layer: u16) -> Endpoint {
    let kind = Kind::Engine {
        model: "m".into(),
        first_layer,
        end_layer,
        accelerator: String::new(),
        step_us: 2000,
        prompt_token_us: 20,
        batch: 8,
        sequences: 64,
    };
    Endpoint {
        host: format!("h{index}").as_str().into(),
        side: ([127, 0, 0, 1], 1).into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "z".into(),
        kind,
        checks_fencing: false,
        drain: false,
    }
}

fn planner(layers: u16, ranges: &[(u16, u16)]) -> Planner {
    let mut config = Config::default();
    let model = Model { layers, context: 4096, chunk: 512, version: String::new() };
    config.models.insert("m".into(), model);
    for (index, (first, end)) in ranges.iter().enumerate() {
        config.endpoints.insert(name(index), endpoint(index, *first, *end));
    }
    let mut planner = Planner::new("entry".into(), "z".into());
    planner.configure(&config);
    planner
}

fn name(index: usize) -> name::Endpoint {
    format!("e{index}").as_str().into()
}

fn query(random: u64) -> Query<'static> {
    let time_left = Duration::from_secs(60);
    let (prefixes, avoid, include) = (&[], NONE, NONE);
    Query { prompt_tokens: 100, answer_tokens: 50, time_left, prefixes, avoid, include, random }
}

fn choose(planner: &Planner, random: u64) -> Result<Choice, Unplanned> {
    planner.choose(NOW, &"m".into(), &query(random))
}

/// Returns whether some chain covers all layers, by exhaustive search.
fn is_coverable(layers: u16, ranges: &[(u16, u16)]) -> bool {
    let mut reached = BTreeSet::from([0]);
    for _ in 0..layers {
        let more: Vec<u16> =
            ranges.iter().filter(|(a, b)| a < b && reached.contains(a)).map(|r| r.1).collect();
        reached.extend(more);
    }
    reached.contains(&layers)
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn a_chain_covers_every_layer_once_or_there_is_none(
        layers in 1_u16..12,
        ranges in prop::collection::vec((0_u16..12, 0_u16..13), 0..40),
        closed in prop::collection::btree_set(0_usize..40, 0..20),
        random in any::<u64>(),
    ) {
        let mut planner = planner(layers, &ranges);
        for index in &closed {
            planner.set_eligibility(&name(*index), Eligibility::Leaving);
        }
        let open: Vec<(u16, u16)> = ranges
            .iter()
            .enumerate()
            .filter(|(index, range)| !closed.contains(index) && range.1 <= layers)
            .map(|(_, range)| *range)
            .collect();
        match choose(&planner, random) {
            Ok(choice) => {
                let mut next = 0;
                for stage in &choice.chain {
                    prop_assert_eq!(stage.first, next);
                    prop_assert!(stage.end > stage.first);
                    next = stage.end;
                    let index: usize = stage.endpoint.as_str()[1..].parse().unwrap();
                    prop_assert!(!closed.contains(&index));
                }
                prop_assert_eq!(next, layers);
            }
            Err(unplanned) => {
                prop_assert_eq!(unplanned.refused.reason, Refusal::NoChain);
                prop_assert!(!is_coverable(layers, &open));
            }
        }
    }
}

fn load(index: usize, running: u32) -> Load {
    let (queued, batch_us, free) = (running * 50, 2000, 0);
    let (prefixes, term) = (Vec::new(), Term::default());
    Load { endpoint: name(index), open: true, queued, running, batch_us, free, prefixes, term }
}

/// Guards against herding: 200 entries have the same stale report that one endpoint of ten is idle.
/// Only requests that draw it among their three samples may go there, which is 180 of 600 on
/// average; the bound of 225 is four standard deviations above.
#[test]
fn entries_do_not_herd_on_a_stale_report() {
    let mut counts: BTreeMap<name::Endpoint, u32> = BTreeMap::new();
    for entry in 0..200_u64 {
        let mut planner = planner(4, &[(0, 4); 10]);
        for index in 0..10 {
            planner.record_load(NOW, &load(index, if index == 0 { 0 } else { 6 }));
        }
        for request in 0..3_u64 {
            let choice = choose(&planner, entry * 1000 + request).unwrap();
            planner.record_dispatch(NOW, &choice.chain, 100);
            *counts.entry(choice.chain[0].endpoint.clone()).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most <= 225, "{counts:?}");
    assert_eq!(counts.len(), 10, "{counts:?}");
}

/// Guards against an entry that sends everything to the endpoint that was idle in the last report,
/// because it does not add its own dispatches since then.
#[test]
fn own_dispatches_correct_a_late_report() {
    let mut planner = planner(4, &[(0, 4); 3]);
    for index in 0..3 {
        planner.record_load(NOW, &load(index, if index == 0 { 0 } else { 6 }));
    }
    let mut first = 0;
    for request in 0..300 {
        let choice = choose(&planner, request).unwrap();
        planner.record_dispatch(NOW, &choice.chain, 100);
        first += u32::from(choice.chain[0].endpoint == name(0));
    }
    assert!((100..=110).contains(&first), "{first}");
}

/// Guards against using a link that has become slow, and against never using it again.
#[test]
fn a_degraded_link_is_routed_around_and_used_again_when_healed() {
    let mut planner = planner(4, &[(0, 2), (2, 4), (2, 4)]);
    let share = |planner: &Planner, now: Instant| {
        let chosen = (0..100).filter(|random| {
            let choice = planner.choose(now, &"m".into(), &query(*random)).unwrap();
            choice.chain[1].endpoint == name(1)
        });
        chosen.count()
    };
    let hops = [Hop { queue_us: 0, run_us: 2000, batch: 1 }; 2];
    let chosen = choose(&planner, 1).unwrap().chain;
    let mut chain = chosen.clone();
    chain[1] = planner.node(&name(1)).unwrap().stage.clone();
    for _ in 0..5 {
        planner.observe_step(NOW, &chain, &hops, Duration::from_millis(200));
    }
    assert_eq!(share(&planner, NOW), 0);
    assert!(!planner.degraded(NOW).is_empty());
    // The other chain is fast, so the excess remains with the link that only the slow chain uses.
    chain[1] = planner.node(&name(2)).unwrap().stage.clone();
    for _ in 0..20 {
        planner.observe_step(NOW, &chain, &hops, Duration::from_micros(4900));
    }
    let degraded = planner.degraded(NOW);
    assert!(degraded.iter().all(|link| link.from.as_str() == "h1" || link.to.as_str() == "h1"));
    // Without observations the excess decays, so that the link is tried again.
    let later = NOW + Duration::from_secs(120);
    assert!(planner.degraded(later).is_empty());
    for _ in 0..3 {
        chain[1] = planner.node(&name(1)).unwrap().stage.clone();
        planner.observe_step(later, &chain, &hops, Duration::from_micros(4900));
    }
    planner.record_dispatch(later, &chain[1..], 100);
    let used = share(&planner, later + Duration::from_secs(1));
    assert!(used > 0, "{used}");
}

#[test]
fn the_cached_prompt_and_the_faster_endpoint_are_preferred() {
    let mut planner = planner(4, &[(0, 4); 8]);
    planner.record_load(NOW, &Load { prefixes: vec![77], ..load(5, 0) });
    let cached = Query { prompt_tokens: 2000, prefixes: &[(77, 1900)], ..query(3) };
    let choice = planner.choose(NOW, &"m".into(), &cached).unwrap();
    assert_eq!(choice.chain[0].endpoint, name(5));
    // A long queue outweighs the hint.
    planner.record_load(NOW, &Load { queued: 50_000, ..load(5, 60) });
    let choice = planner.choose(NOW, &"m".into(), &cached).unwrap();
    assert_ne!(choice.chain[0].endpoint, name(5));
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_with_all_candidates() {
    let planner = planner(4, &[(0, 4); 8]);
    let short = Query { time_left: Duration::from_millis(50), ..query(3) };
    let unplanned = planner.choose(NOW, &"m".into(), &short).unwrap_err();
    assert_eq!(unplanned.refused.reason, Refusal::Deadline);
    assert!(unplanned.estimate_us.unwrap() > 50_000);
    // All endpoints are compared before the refusal.
    assert_eq!(unplanned.candidates.len(), 8);
}

#[test]
fn suspected_endpoints_are_used_only_if_there_are_no_others() {
    let mut planner = planner(4, &[(0, 4); 3]);
    for index in 0..2 {
        planner.mark_suspected(&name(index), NOW + Duration::from_secs(1));
    }
    assert_eq!(choose(&planner, 9).unwrap().chain[0].endpoint, name(2));
    planner.mark_suspected(&name(2), NOW + Duration::from_secs(1));
    assert!(choose(&planner, 9).is_ok());
    for index in 0..3 {
        planner
            .mark_unreachable(&format!("h{index}").as_str().into(), NOW + Duration::from_secs(1));
    }
    assert_eq!(choose(&planner, 9).unwrap_err().refused.reason, Refusal::NoChain);
}

/// Returns how many of 600 requests go to the first of ten equal endpoints if it has `eligibility`.
fn times_chosen(eligibility: Eligibility) -> u32 {
    let mut planner = planner(4, &[(0, 4); 10]);
    planner.set_eligibility(&name(0), eligibility);
    let chosen = |random| choose(&planner, random).unwrap().chain[0].endpoint == name(0);
    u32::try_from((0..600_u64).filter(|random| chosen(*random)).count()).unwrap()
}

/// Guards against a new host that gets full load at once. A tenth of an equal share is 6 of 600
/// requests; the bound is four standard deviations above.
#[test]
fn a_new_host_is_ramped_up_gradually() {
    let full = times_chosen(Eligibility::Open(FULL_WEIGHT));
    let first = times_chosen(Eligibility::Open(FULL_WEIGHT / 10));
    assert!(full > 20, "{full}");
    assert!(first <= 16, "{first}");
    assert!(first > 0);
    assert_eq!(times_chosen(Eligibility::Gone), 0);
}
