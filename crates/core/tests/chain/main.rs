//! An entry and several sides in a simulation. The network delays, duplicates, reorders and loses
//! messages, and sides and engines crash and restart.
//!
//! Each answer must equal that of a run without faults, no engine may run a position twice in one
//! attempt, and no call may run twice, or after it was reported as not run.

#![allow(clippy::unwrap_used)]

mod engine;
mod world;

use oriole_core::entry::Outcome;
use oriole_core::request::Ran;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{Faults, World};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases,
        ..ProptestConfig::default()
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let crash = (0usize..7, 0u64..1_500, 100u64..2_000, any::<bool>());
    (0u32..10, 0u32..20, 1u64..60, prop::collection::vec(crash, 0..3)).prop_map(
        |(lost_percent, duplicated_percent, max_delay_ms, crashes)| Faults {
            lost_percent,
            duplicated_percent,
            max_delay_ms,
            crashes,
        },
    )
}

/// Runs three generations and four calls under `faults` and checks their outcomes.
fn check(seed: u64, faults: Faults) -> Result<World, TestCaseError> {
    let mut world = World::new(seed, faults);
    let generations: Vec<_> = (0..3).map(|n| world.generate(n, 12)).collect();
    let calls: Vec<_> = (0..4).map(|_| world.call()).collect();
    for _ in 0..40 {
        if world.outcomes.len() < 7 {
            world.run(1_000);
        }
    }
    // Duplicates still arrive after the requests have ended, and must have no effect.
    world.run(5_500);
    prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    for (n, request) in generations.into_iter().enumerate() {
        let expected = engine::expected_answer(&world::prompt(n as u32), 12);
        let delivered = world.delivered.get(&request).cloned().unwrap_or_default();
        prop_assert!(expected.starts_with(&delivered), "{delivered:?} for {expected:?}");
        match world.outcomes.get(&request) {
            Some(Outcome::Complete { .. }) => prop_assert_eq!(&delivered, &expected),
            Some(Outcome::Refused(refused)) => {
                prop_assert!(refused.ran == Ran::Unknown || delivered.is_empty());
            }
            other => prop_assert!(false, "{other:?}"),
        }
    }
    for request in calls {
        let ran = world.calls.get(&request).copied().unwrap_or(0);
        prop_assert!(ran <= 1, "a call ran {ran} times");
        match world.outcomes.get(&request) {
            Some(Outcome::Answered(_)) => prop_assert_eq!(ran, 1),
            Some(Outcome::Refused(refused)) => prop_assert!(refused.ran != Ran::No || ran == 0),
            other => prop_assert!(false, "{other:?}"),
        }
    }
    Ok(world)
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn answers_are_exact_over_an_unreliable_network(seed in any::<u64>(), faults in faults()) {
        check(seed, faults)?;
    }

    /// If no message is lost and at most one side crashes, every generation completes.
    #[test]
    fn every_generation_completes_after_one_crash(
        seed in any::<u64>(),
        side in 0usize..6,
        at_ms in 0u64..1_500,
        engine in any::<bool>(),
    ) {
        let crashes = vec![(side, at_ms, 1_000, engine)];
        let world = check(
            seed,
            Faults { lost_percent: 0, duplicated_percent: 5, max_delay_ms: 3, crashes },
        )?;
        let complete = |o: &&Outcome| matches!(o, Outcome::Complete { .. });
        prop_assert_eq!(world.outcomes.values().filter(complete).count(), 3);
    }
}
