//! Load pattern: many attempts fail at once while entries end, start and are cut from each other. The
//! retries of all entries together stay within the users' bound.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod world;

use oriole_core::forward::budget::Bound;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use world::{Disturbance, WARM_UP, WINDOW, World, bound};

/// Ticks of a world after its warm-up.
const TICKS: usize = 300;

fn disturbance(hosts: usize) -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        4 => (0..hosts, 5_usize..40).prop_map(|(host, ticks)| Disturbance::Kill { host, ticks }),
        1 => (5_usize..40).prop_map(|ticks| Disturbance::KillAll { ticks }),
        1 => (0..hosts).prop_map(|host| Disturbance::Remove { host }),
        2 => (0..hosts, 20_usize..200)
            .prop_map(|(host, ticks)| Disturbance::CutFromStore { host, ticks }),
        1 => (20_usize..150).prop_map(|ticks| Disturbance::StoreDown { ticks }),
        2 => (0..hosts, 20_usize..200).prop_map(|(from, ticks)| Disturbance::Split { from, ticks }),
        1 => (20_usize..200).prop_map(|ticks| Disturbance::SplitWithoutStore { ticks }),
    ]
}

/// Disturbances with the ticks after the warm-up at which they come, in a world of some hosts.
fn disturbances() -> impl Strategy<Value = (usize, Vec<(usize, Disturbance)>)> {
    (2_usize..13).prop_flat_map(|hosts| {
        let events = prop::collection::vec((0..TICKS, disturbance(hosts)), 0..14);
        (Just(hosts), events)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    #[test]
    fn retries_of_all_entries_stay_within_the_bound_while_entries_end_start_and_are_cut_off(
        (hosts, mut events) in disturbances(),
        fixed in 20.0_f64..300.0,
        rates in prop::collection::vec(0_usize..8, TICKS / WINDOW * 2),
        delays in prop::collection::vec(0_usize..12, 16),
    ) {
        events.sort_by_key(|(tick, _)| *tick);
        let mut world = World::new(hosts, bound(fixed));
        world.run(WARM_UP, &[], 0, &delays);
        for tick in 0..TICKS {
            let now: Vec<Disturbance> =
                events.iter().filter(|(at, _)| *at == tick).map(|(_, d)| d.clone()).collect();
            world.run(1, &now, rates[tick / (WINDOW / 2)], &delays);
        }
        world.check();
    }
}

/// What the report showed: shares that entries had used before their end are used once more after it.
#[test]
fn entries_that_start_again_do_not_begin_a_new_share_of_retries() {
    let mut world = World::new(27, bound(238.0));
    world.run(WARM_UP, &[], 0, &[0]);
    for _ in 0..2 {
        world.run(10, &[], 0, &[0]);
        world.run(30, &[Disturbance::KillAll { ticks: 10 }], 0, &[0]);
    }
    world.check();
}

/// An entry that has just started, or whose peers' registrations have lapsed, divides by too few.
#[test]
fn shares_do_not_grow_while_what_others_took_still_counts() {
    let mut world = World::new(8, bound(200.0));
    world.run(WARM_UP, &[], 0, &[0]);
    let removed: Vec<Disturbance> = (0..6).map(|host| Disturbance::Remove { host }).collect();
    world.run(10, &[], 0, &[0]);
    world.run(80, &removed, 0, &[0]);
    world.check();
}

/// A retry that waits for capacity counts when it is sent, not when it was taken.
#[test]
fn retries_that_wait_for_capacity_do_not_come_beside_those_of_the_next_window() {
    let mut world = World::new(4, Bound { ratio: 0.0, ..bound(200.0) });
    world.run(WARM_UP, &[], 0, &[11]);
    world.run(WINDOW, &[], 0, &[11]);
    world.run(WINDOW, &[], 0, &[0]);
    world.check();
}
