//! Tests of the choice among whole plans and of the way to them.
#![allow(clippy::unwrap_used)] // test helpers may panic

mod fleet_fixture;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet_fixture::{candidates, model, proptest_config};
use oriole_core::placement::build::Existing;
use oriole_core::placement::inventory::Inventory;
use oriole_core::placement::transition::Outlook;
use oriole_core::placement::{
    Candidate, Chain, Model, Range, build, order, revise, schedule, search, transition,
};
use proptest::prelude::*;

/// Share of the throughput of a plan made from nothing that a plan reaches after losses and returns.
const RECOVERED: f64 = 0.95;

/// Demand that no plan meets, in trouble and after it.
const TROUBLE: Outlook = Outlook { demand: f64::INFINITY, calm: Duration::ZERO };
const CALM: Outlook = Outlook { demand: f64::INFINITY, calm: Duration::from_secs(300) };

/// Number of plans after which it has to reach it.
const MAX_PLANS: usize = 4;

/// Lets all endpoints hold what the plan assigns to them.
fn load(chains: &[Chain], endpoints: &mut [Candidate]) {
    for endpoint in endpoints {
        let stages = chains.iter().flat_map(|chain| &chain.stages);
        let assigned = stages.filter(|s| s.endpoint == endpoint.endpoint).map(|s| s.layers).next();
        endpoint.held = assigned.unwrap_or(endpoint.held);
    }
}

/// Asserts that each chain is complete, and that no endpoint is used twice or exceeds its memory.
fn assert_valid(model: &Model, chains: &[Chain], endpoints: &[Candidate]) {
    let known: BTreeMap<_, _> = endpoints.iter().map(|e| (&e.endpoint, e)).collect();
    let mut used = BTreeSet::new();
    for chain in chains {
        assert!(chain.is_complete(model.layers), "{chain:?}");
        for stage in chain.stages.iter().filter(|s| known.contains_key(&s.endpoint)) {
            assert!(used.insert(&stage.endpoint), "{} is used twice", stage.endpoint);
            let need = f64::from(stage.layers.len()) * model.layer_bytes;
            assert!(need <= known[&stage.endpoint].accelerator.memory, "{stage:?} does not fit");
        }
    }
}

/// Endpoints that come back after a crash are other ones, and empty.
fn returned(lost: &Candidate) -> Candidate {
    let name = format!("{}-again", lost.endpoint);
    Candidate { endpoint: name.as_str().into(), held: Range::default(), ..lost.clone() }
}

fn total(model: &Model, chains: &[Chain], endpoints: &[Candidate]) -> f64 {
    Inventory::new(model, endpoints).total_throughput(chains)
}

proptest! {
    #![proptest_config(proptest_config(96))]

    #[test]
    fn a_plan_is_worth_at_least_as_much_as_its_repair(
        endpoints in candidates(12..50),
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let model = model();
        let mut present = endpoints;
        let current = revise::revise(&model, &[], &present);
        load(&current, &mut present);
        for index in lost {
            let index = index.index(present.len());
            present.remove(index);
        }
        let inventory = Inventory::new(&model, &present);
        let chosen = search::next(&model, &current, &present, TROUBLE);
        assert_valid(&model, &chosen, &present);
        let value = |chains: &[Chain]| transition::value(&model, &inventory, &current, chains, TROUBLE);
        prop_assert!(value(&chosen) >= value(&revise::revise(&model, &current, &present)));
    }

    #[test]
    fn a_whole_plan_that_is_loaded_stays(endpoints in candidates(10..60)) {
        let model = model();
        let mut present = endpoints;
        let first = revise::revise(&model, &[], &present);
        load(&first, &mut present);
        prop_assert_eq!(&search::next(&model, &first, &present, CALM), &first);
    }

    /// A repaired plan is no dead end: with all endpoints back it comes near to what a new plan would reach.
    #[test]
    fn a_plan_recovers_from_losses_and_returns(
        endpoints in candidates(20..50),
        rounds in prop::collection::vec(prop::collection::vec(any::<prop::sample::Index>(), 1..5), 1..4),
    ) {
        let model = model();
        let mut present = endpoints;
        let mut chains = revise::revise(&model, &[], &present);
        load(&chains, &mut present);
        for round in rounds {
            let mut gone = vec![];
            for index in round {
                let index = index.index(present.len());
                gone.push(present.remove(index));
            }
            chains = search::next(&model, &chains, &present, TROUBLE);
            load(&chains, &mut present);
            present.extend(gone.iter().map(returned));
        }
        for _ in 0..MAX_PLANS {
            chains = search::next(&model, &chains, &present, CALM);
            load(&chains, &mut present);
        }
        let best = total(&model, &build::chains(&model, &present, Existing::None), &present);
        let reached = total(&model, &chains, &present);
        prop_assert!(reached >= RECOVERED * best, "{reached:.1} of {best:.1}");
    }

    /// Chains are ordered one after the other, never more endpoints than asked for, and all in the end.
    #[test]
    fn orders_follow_each_other_until_all_layers_are_held(
        endpoints in candidates(10..60),
        limit in 1..20_usize,
    ) {
        let model = model();
        let mut present = endpoints;
        let chains = revise::revise(&model, &[], &present);
        for _ in 0..200 {
            let inventory = Inventory::new(&model, &present);
            let due = schedule::due(&model, &inventory, &chains, limit);
            prop_assert!(due.len() <= limit);
            let Some((stage, layers)) = due.first() else {
                break;
            };
            let (endpoint, layers) = (stage.endpoint.clone(), *layers);
            let ordered = present.iter_mut().find(|e| e.endpoint == endpoint).unwrap();
            prop_assert_eq!(order::next(&model, ordered.accelerator.memory, ordered.held, stage.layers), Some(layers));
            ordered.held = layers;
        }
        for stage in chains.iter().flat_map(|chain| &chain.stages) {
            let holder = present.iter().find(|e| e.endpoint == stage.endpoint).unwrap();
            prop_assert_eq!(holder.held, stage.layers);
        }
    }
}
