//! Tests of layer placement: building and revising chains, and ordering layers.
#![allow(clippy::unwrap_used)] // test helpers may panic

mod fleet_fixture;

use std::collections::{BTreeMap, BTreeSet};

use fleet_fixture::{candidates, model, proptest_config};
use oriole_core::name;
use oriole_core::placement::build::Existing;
use oriole_core::placement::estimate::{self, Assignment};
use oriole_core::placement::inventory::Inventory;
use oriole_core::placement::{Candidate, Chain, Model, Range, build, order, revise};
use proptest::prelude::*;

/// Asserts that each chain is complete, and that no endpoint is used twice or exceeds its memory.
fn assert_valid(model: &Model, chains: &[Chain], endpoints: &[Candidate]) {
    let known: BTreeMap<_, _> = endpoints.iter().map(|e| (&e.endpoint, e)).collect();
    let mut used = BTreeSet::new();
    for chain in chains {
        assert!(chain.is_complete(model.layers), "{chain:?}");
        for stage in &chain.stages {
            assert!(used.insert(&stage.endpoint), "{} is used twice", stage.endpoint);
            let memory = known[&stage.endpoint].accelerator.memory;
            let need = f64::from(stage.layers.len()) * model.layer_bytes;
            assert!(need <= memory, "{stage:?} does not fit into {memory}");
        }
    }
}

/// Returns the chains without a lost stage.
fn intact(chains: &[Chain], endpoints: &[Candidate]) -> Vec<Chain> {
    let known: BTreeSet<_> = endpoints.iter().map(|e| &e.endpoint).collect();
    let is_intact = |c: &&Chain| c.stages.iter().all(|s| known.contains(&s.endpoint));
    chains.iter().filter(is_intact).cloned().collect()
}

/// Asserts that present endpoints hold every layer that a chain has lost.
fn assert_reroutable(chains: &[Chain], endpoints: &[Candidate]) {
    let known: BTreeSet<_> = endpoints.iter().map(|e| &e.endpoint).collect();
    let held: Vec<Range> = chains
        .iter()
        .flat_map(|c| &c.stages)
        .filter(|s| known.contains(&s.endpoint))
        .map(|s| s.layers)
        .collect();
    for stage in chains.iter().flat_map(|c| &c.stages) {
        for layer in stage.layers.first..stage.layers.end {
            assert!(held.iter().any(|r| r.first <= layer && layer < r.end), "{stage:?}");
        }
    }
}

proptest! {
    #![proptest_config(proptest_config(128))]

    #[test]
    fn chains_hold_every_layer_once(endpoints in candidates(0..60)) {
        let model = model();
        assert_valid(&model, &build::chains(&model, &endpoints, Existing::None), &endpoints);
    }

    /// A request that crashes endpoints crashes the first one of its chain: the one that is soonest replaced.
    #[test]
    fn a_chain_begins_with_its_smallest_stage(endpoints in candidates(8..60)) {
        let model = model();
        let zone = |name| endpoints.iter().find(|e| e.endpoint == name).map(|e| &e.zone);
        for chain in build::chains(&model, &endpoints, Existing::None) {
            let first = &chain.stages[0];
            let of_zone = chain.stages.iter().filter(|s| {
                zone(s.endpoint.clone()) == zone(first.endpoint.clone())
            });
            let least = of_zone.map(|s| s.layers.len()).min();
            prop_assert_eq!(Some(first.layers.len()), least);
        }
    }

    #[test]
    fn revised_plans_hold_every_layer_once(
        endpoints in candidates(20..60),
        lost in prop::collection::vec(prop::collection::vec(any::<prop::sample::Index>(), 0..4), 1..6),
    ) {
        let model = model();
        let mut present = endpoints;
        let mut chains = revise::revise(&model, &[], &present);
        for round in lost {
            for index in round {
                if !present.is_empty() {
                    let index = index.index(present.len());
                    present.remove(index);
                }
            }
            chains = revise::revise(&model, &chains, &present);
            assert_valid(&model, &intact(&chains, &present), &present);
            assert_reroutable(&chains, &present);
        }
    }

    #[test]
    fn a_plan_without_losses_stays(endpoints in candidates(10..60)) {
        let model = model();
        let first = revise::revise(&model, &[], &endpoints);
        prop_assert_eq!(&revise::revise(&model, &first, &endpoints), &first);
    }

    #[test]
    fn proposals_do_not_depend_on_the_order_of_endpoints(endpoints in candidates(10..60)) {
        let model = model();
        let mut other = endpoints.clone();
        other.reverse();
        prop_assert_eq!(build::chains(&model, &endpoints, Existing::None), build::chains(&model, &other, Existing::None));
    }

    /// Guards against orders that make an endpoint hold more than fits its memory (old and new
    /// layers together), and against orders that stop short of the planned layers.
    #[test]
    fn orders_lead_to_the_plan_within_memory(
        held in (0_u32..30, 0_u32..30),
        wanted in (0_u32..60, 1_u32..30),
        accelerator in 0_usize..3,
    ) {
        let model = model();
        let memory = fleet_fixture::accelerators()[accelerator].1.memory;
        let most = model.layer_capacity(memory, 0.0);
        let mut held = Range { first: held.0, end: held.0 + held.1.min(most) };
        let wanted = Range { first: wanted.0, end: wanted.0 + wanted.1.min(most) };
        for _ in 0..3 {
            let Some(next) = order::next(&model, memory, held, wanted) else {
                break;
            };
            let both = held.len() + next.len() - held.intersection(next).len();
            prop_assert!(f64::from(both) * model.layer_bytes <= memory);
            held = next;
        }
        prop_assert_eq!(held, wanted);
    }

    /// Guards against lost, late or repeated orders that leave an endpoint with the layers of an
    /// older plan or with more than fits its memory. An order is conditional on the number of
    /// orders accepted before it.
    #[test]
    fn late_and_lost_orders_still_lead_to_the_last_plan(
        plans in prop::collection::vec((0_u32..60, 1_u32..8), 1..6),
        deliveries in prop::collection::vec(0_u8..3, 40),
    ) {
        let model = model();
        let memory = fleet_fixture::accelerators()[1].1.memory;
        let most = model.layer_capacity(memory, 0.0);
        let mut engine = (Range::default(), 0_u64);
        let mut late: Vec<(Range, u64)> = vec![];
        let mut deliveries = deliveries.into_iter();
        let apply = |engine: &mut (Range, u64), order: Range, expected: u64| {
            if engine.1 == expected {
                *engine = (order, expected + 1);
            }
        };
        for (first, count) in plans {
            let wanted = Range { first, end: first + count.min(most) };
            for _ in 0..12 {
                let Some(next) = order::next(&model, memory, engine.0, wanted) else {
                    break;
                };
                match deliveries.next().unwrap_or_default() {
                    0 => {
                        let count = engine.1;
                        apply(&mut engine, next, count);
                    }
                    1 => late.push((next, engine.1)),
                    _ => {
                        for (order, expected) in late.drain(..) {
                            apply(&mut engine, order, expected);
                        }
                    }
                }
                prop_assert!(f64::from(engine.0.len()) * model.layer_bytes <= memory);
            }
            while let Some(next) = order::next(&model, memory, engine.0, wanted) {
                let count = engine.1;
                apply(&mut engine, next, count);
            }
            prop_assert_eq!(engine.0, wanted);
        }
    }
}

/// Guards against replacing a lost stage by moving other stages or by leaving the zone.
#[test]
fn a_lost_stage_is_replaced_in_its_zone_and_the_others_stay() {
    let model = model();
    let mut endpoints = fleet_fixture::site();
    let before = revise::revise(&model, &[], &endpoints);
    let lost = before[0].stages[2].endpoint.clone();
    let zone = endpoints.iter().find(|e| e.endpoint == lost).unwrap().zone.clone();
    endpoints.retain(|e| e.endpoint != lost);
    let after = revise::revise(&model, &before, &endpoints);
    assert_valid(&model, &after, &endpoints);
    let zones: BTreeSet<_> = after[0]
        .stages
        .iter()
        .map(|s| endpoints.iter().find(|e| e.endpoint == s.endpoint).unwrap().zone.clone())
        .collect();
    assert_eq!(zones, BTreeSet::from([zone]));
    for stage in before[0].stages.iter().filter(|s| s.endpoint != lost) {
        assert!(after[0].stages.contains(stage), "{stage:?} has moved");
    }
}

#[test]
fn each_zone_with_enough_memory_gets_a_chain_within_it() {
    let model = model();
    let endpoints = fleet_fixture::site();
    let chains = build::chains(&model, &endpoints, Existing::None);
    let within = |chain: &&Chain| {
        let zone = |s: &oriole_core::placement::Stage| {
            endpoints.iter().find(|e| e.endpoint == s.endpoint).map(|e| e.zone.clone())
        };
        chain.stages.iter().map(zone).collect::<BTreeSet<_>>().len() == 1
    };
    assert_eq!(chains.iter().filter(within).count(), 3);
}

#[test]
fn planned_chains_serve_more_than_equal_shares_would() {
    let model = model();
    let endpoints = fleet_fixture::site();
    let chains = build::chains(&model, &endpoints, Existing::None);
    let planned = Inventory::new(&model, &endpoints).total_throughput(&chains);
    // Baseline: one chain per zone, in which all endpoints of the zone hold equal shares.
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for endpoint in &endpoints {
        zones.entry(&endpoint.zone).or_default().push(endpoint);
    }
    let equal = zones.values().map(|zone| {
        let layers = model.layers.div_ceil(zone.len() as u32);
        let parts: Vec<_> =
            zone.iter().map(|e| Assignment { accelerator: &e.accelerator, layers }).collect();
        estimate::throughput(&model, &parts, 0)
    });
    assert!(planned > equal.sum::<f64>());
}

/// Guards against plans that, after the loss of one endpoint, leave its layers without a holder or
/// move stages of chains in zones that lost nothing.
#[test]
fn a_single_loss_moves_no_stage_of_the_other_zones_chains() {
    let model = model();
    let endpoints = fleet_fixture::site();
    let before = revise::revise(&model, &[], &endpoints);
    for lost in 0..endpoints.len() {
        let mut left = endpoints.clone();
        let removed = left.remove(lost);
        let after = revise::revise(&model, &before, &left);
        assert_valid(&model, &intact(&after, &left), &left);
        assert_reroutable(&after, &left);
        let of_others = before
            .iter()
            .take(3)
            .filter(|c| c.stages.iter().all(|s| s.endpoint != removed.endpoint));
        for chain in of_others {
            assert!(after.contains(chain), "{} moved {chain:?}", removed.endpoint);
        }
    }
}

#[test]
fn spares_replace_a_small_stage_without_moving_others() {
    let model = model();
    for (more, spares) in [(0, 0), (2, 3)] {
        let endpoints = fleet_fixture::site_with(more);
        let before = revise::revise(&model, &[], &endpoints);
        assert_eq!(before.len(), 4, "one chain across zones and one within each");
        let used: BTreeSet<_> =
            before.iter().flat_map(|c| &c.stages).map(|s| &s.endpoint).collect();
        let has_spare = |zone: &name::Zone| {
            endpoints.iter().any(|e| e.zone == *zone && !used.contains(&e.endpoint))
        };
        let zone_of = |chain: &Chain| {
            let first = &chain.stages[0].endpoint;
            endpoints.iter().find(|e| e.endpoint == *first).unwrap().zone.clone()
        };
        let with_spare: Vec<_> = before.iter().take(3).filter(|c| has_spare(&zone_of(c))).collect();
        assert_eq!(with_spare.len(), spares);
        for chain in with_spare {
            // The second stage of each zone's chain is a small accelerator.
            let lost = &chain.stages[1].endpoint;
            let left: Vec<_> = endpoints.iter().filter(|e| e.endpoint != *lost).cloned().collect();
            let after = revise::revise(&model, &before, &left);
            assert_valid(&model, &after, &left);
            let kept = before.iter().filter(|c| after.contains(c)).count();
            assert_eq!(kept, before.len() - 1, "losing {lost}");
        }
    }
}

/// Guards against rerouting requests of the best chain through endpoints of weak chains when its
/// zone has no large enough spare, which would leave most of its accelerators idle.
#[test]
fn losing_any_endpoint_keeps_most_of_the_throughput_of_a_new_plan() {
    let model = model();
    for endpoints in [fleet_fixture::site(), fleet_fixture::grown_site()] {
        let before = revise::revise(&model, &[], &endpoints);
        for lost in 0..endpoints.len() {
            let mut left = endpoints.clone();
            let removed = left.remove(lost);
            let inventory = Inventory::new(&model, &left);
            let after = inventory.total_throughput(&revise::revise(&model, &before, &left));
            let rebuilt = inventory.total_throughput(&revise::revise(&model, &[], &left));
            assert!(
                after >= 0.85 * rebuilt,
                "losing {}: {after:.1} of {rebuilt:.1}",
                removed.endpoint
            );
        }
    }
}

/// Guards against a watch that ends at a report whose layers lag behind, so that nobody tells the
/// other entries of the new ones.
#[test]
fn an_order_is_watched_until_its_layers_are_reported_although_the_endpoint_is_idle() {
    let ordered = Range { first: 50, end: 55 };
    let mut watch = order::Watch::new(ordered);
    assert!(!watch.record(Range::default(), false));
    assert!(!watch.record(Range::default(), true), "idle, and its layers are from before");
    assert!(watch.record(ordered, true));
    // An order that comes to nothing is not watched for long.
    let mut watch = order::Watch::new(ordered);
    assert_eq!((0..9).position(|_| watch.record(Range::default(), true)), Some(4));
}
