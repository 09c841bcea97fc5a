//! How shares move between entries when nothing fails, and when one thing does.

use std::time::Duration;

use oriole_core::limit::Settings;
use oriole_core::name::Workspace;
use rand::RngExt;

use crate::world::{Work, World, contract, limits};

const S: u64 = 1_000_000;

fn desk() -> Workspace {
    Workspace::from("gate-desk")
}

fn world(nodes: usize) -> World {
    let terms = limits(100.0, 100, 100_000.0, 100_000);
    let contract = contract(&desk(), terms, Duration::from_secs(5));
    World::new(7, nodes, Settings::default(), vec![contract])
}

/// Offers `per_second` requests at the nodes that `pick` chooses. Returns how many were admitted.
fn drive(world: &mut World, seconds: u64, per_second: u64, pick: impl Fn(u64) -> usize) -> usize {
    let before = world.log.get(&desk()).map_or(0, Vec::len);
    for i in 0..seconds * per_second {
        let run_us = world.rng.random_range(10_000..200_000);
        let work = Work { estimate: 500, used: 400, run_us };
        world.arrive(pick(i), &desk(), work);
        world.advance(world.now + S / per_second);
    }
    assert_eq!(world.check(), Ok(()));
    world.log.get(&desk()).map_or(0, Vec::len) - before
}

#[test]
fn one_entry_uses_the_whole_bound() {
    let mut world = world(20);
    drive(&mut world, 5, 200, |_| 3);
    let admitted = drive(&mut world, 30, 200, |_| 3);
    assert!(admitted as f64 >= 0.95 * 30.0 * 100.0, "{admitted}");
}

#[test]
fn all_entries_use_the_whole_bound() {
    let mut world = world(20);
    drive(&mut world, 5, 200, |i| i as usize % 20);
    let admitted = drive(&mut world, 30, 200, |i| i as usize % 20);
    assert!(admitted as f64 >= 0.95 * 30.0 * 100.0, "{admitted}");
}
