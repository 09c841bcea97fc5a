//! Property test: no time window exceeds a contract's bound.
//!
//! Random sequences of load, pauses, crashes, restarts, roster and contract changes and message
//! faults could let two entries use the same part of a bound.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::contract::Limits;
use oriole_core::limit::Settings;
use oriole_core::name::Workspace;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;

use crate::contracts::{contract, limits};
use crate::world::{Network, Work, World};

const US_PER_MS: u64 = 1000;
const NODES: usize = 6;
const LONGEST_DEADLINE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Operation {
    /// Requests arrive for `ms` milliseconds at the nodes whose bits are set.
    Load {
        ms: u64,
        nodes: u8,
    },
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Roster(u8),
    /// The burst of the small contract changes, and with it the number of entries that own a part.
    Contract {
        burst: u32,
    },
    Network {
        loss: f64,
        duplication: f64,
        delay_ms: u64,
    },
}

fn operation() -> impl Strategy<Value = Operation> {
    let node = 0..NODES;
    prop_oneof![
        8 => (50u64..4000, any::<u8>()).prop_map(|(ms, nodes)| Operation::Load { ms, nodes }),
        1 => node.clone().prop_map(Operation::Pause),
        1 => node.clone().prop_map(Operation::Resume),
        1 => node.clone().prop_map(Operation::Kill),
        2 => node.prop_map(Operation::Start),
        1 => any::<u8>().prop_map(Operation::Roster),
        1 => (1u32..8).prop_map(|burst| Operation::Contract { burst }),
        1 => (0.0..0.5f64, 0.0..0.5f64, 1u64..4000)
            .prop_map(|(loss, duplication, delay_ms)| Operation::Network {
                loss,
                duplication,
                delay_ms,
            }),
    ]
}

fn members(bits: u8) -> BTreeSet<usize> {
    (0..NODES).filter(|n| bits & (1 << n) != 0).collect()
}

/// Short time limits, so that many loans and rosters begin and end in one case.
fn settings() -> Settings {
    Settings { loan_ms: 1500, propagation_ms: 1500, stall_ms: 300, drift_ppm: 2000, lend: true }
}

fn workspaces() -> Vec<(Workspace, Limits)> {
    let large = limits(60.0, 30, 30_000.0, 60_000);
    let small = limits(8.0, 3, 4000.0, 9000);
    let slots = Limits { concurrency: 5, ..limits(500.0, 500, 1e6, 1_000_000) };
    [("large", large), ("small", small), ("slots", slots)]
        .map(|(name, limits)| (Workspace::from(name), limits))
        .to_vec()
}

fn load(world: &mut World, ms: u64, nodes: u8) -> Result<(), String> {
    let end = world.now + ms * US_PER_MS;
    let nodes: Vec<usize> = members(nodes).into_iter().collect();
    while world.now < end {
        world.advance(world.now + 10 * US_PER_MS);
        world.check_sums()?;
        for (workspace, _) in workspaces() {
            let Some(node) = nodes.get(world.rng.random_range(0..nodes.len().max(1))) else {
                continue;
            };
            let estimate = world.rng.random_range(0..1500);
            let used = world.rng.random_range(0..=estimate);
            let run_us = world.rng.random_range(0..1900 * US_PER_MS);
            world.arrive(*node, &workspace, Work { estimate, used, run_us });
        }
    }
    Ok(())
}

fn apply(world: &mut World, operation: &Operation) -> Result<(), String> {
    match *operation {
        Operation::Load { ms, nodes } => return load(world, ms, nodes),
        Operation::Pause(node) => world.pause(node),
        Operation::Resume(node) => world.resume(node),
        Operation::Kill(node) => world.kill(node),
        Operation::Start(node) => world.start(node),
        Operation::Contract { burst } => {
            let bounds = limits(8.0, burst, 4000.0, burst * 4096);
            world.commit_contract(contract(&Workspace::from("small"), bounds, LONGEST_DEADLINE));
        }
        Operation::Roster(nodes) => world.commit_roster(members(nodes)),
        Operation::Network { loss, duplication, delay_ms } => {
            world.network = Network { loss, duplication, delay_us: 100..delay_ms * US_PER_MS };
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 64,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_exceeds_the_bound(
        seed in any::<u64>(),
        operations in prop::collection::vec(operation(), 10..50),
    ) {
        let contracts =
            workspaces().into_iter().map(|(w, l)| contract(&w, l, LONGEST_DEADLINE)).collect();
        let mut world = World::new(seed, NODES, settings(), contracts);
        for operation in &operations {
            prop_assert_eq!(apply(&mut world, operation), Ok(()));
        }
        prop_assert_eq!(world.check(), Ok(()));
    }
}
