//! Measures throughput relative to a contract's bound, and the message traffic of sharing limits.
//!
//! `cargo run --release -p oriole-core --example limit_bound` prints the table of
//! `docs/design/limits.md`. Everything is simulated from a fixed seed: two runs print the same.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::contract::{Contract, Limits};
use oriole_core::limit::baseline::{Central, without_loans};
use oriole_core::limit::{Permit, Settings};
use oriole_core::name::Workspace;
use oriole_core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[path = "../tests/limit/contracts.rs"]
mod contracts;
#[path = "../tests/limit/model.rs"]
mod model;
#[path = "../tests/limit/node.rs"]
mod node;
#[path = "../tests/limit/world.rs"]
mod world;

use contracts::{contract, limits};
use world::{Work, World};

const US_PER_S: u64 = 1_000_000;
const SEED: u64 = 20_261_203;
const WARM_UP_S: u64 = 10;
const MEASURED_S: u64 = 60;
const OVERLOAD_FACTOR: f64 = 2.0;
const PROPAGATION_MS: u64 = 1000;
const WORKSPACES: u64 = 810;
const FLEET_REQUESTS_PER_S: u64 = 2000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Skewed,
    Even,
    Killed,
    Restarted,
    Replaced,
    Paused,
    Changed,
}

const CASES: [Case; 7] = [
    Case::Skewed,
    Case::Even,
    Case::Killed,
    Case::Restarted,
    Case::Replaced,
    Case::Paused,
    Case::Changed,
];

fn gate_desk(limits: Limits) -> Contract {
    contract(&Workspace::from("gate-desk"), limits, Duration::from_secs(5))
}

fn work(rng: &mut ChaCha8Rng, tokens: u32) -> Work {
    let estimate = rng.random_range(tokens / 2..=tokens * 3 / 2);
    let used = rng.random_range(estimate / 2..=estimate);
    Work { estimate, used, run_us: rng.random_range(US_PER_S / 20..US_PER_S) }
}

/// Applies the fault or change that the case has `at` seconds into the measurement. Faults hit the
/// last node.
fn disturb(world: &mut World, case: Case, limits: &Limits, nodes: usize, at: u64) {
    let last = nodes - 1;
    match (case, at) {
        (Case::Killed | Case::Restarted | Case::Replaced, 5) => world.kill(last),
        (Case::Replaced, 8) => world.commit_roster((0..last).collect::<BTreeSet<_>>()),
        (Case::Restarted, 15) => world.start(last),
        (Case::Paused, 5) => world.pause(last),
        (Case::Paused, 25) => world.resume(last),
        (Case::Changed, 30) => {
            let request_burst = limits.request_burst * 2;
            let token_burst = limits.token_burst * 2;
            world.commit_contract(gate_desk(Limits {
                request_burst,
                token_burst,
                ..limits.clone()
            }));
        }
        _ => {}
    }
}

/// Returns the node that gets a request. The load balancer needs one second to stop sending to a
/// dead or paused node.
fn target(case: Case, nodes: usize, at: u64, i: u64) -> usize {
    let pick = i as usize % nodes;
    let is_out = match case {
        Case::Skewed => return 0,
        Case::Even | Case::Changed => false,
        Case::Killed | Case::Replaced => at > 5,
        Case::Restarted => (6..16).contains(&at),
        Case::Paused => (6..26).contains(&at),
    };
    if is_out && pick == nodes - 1 { i as usize / nodes % (nodes - 1) } else { pick }
}

/// Returns admitted requests over those that the bound allows, and messages per node and second.
fn measure(settings: Settings, limits: &Limits, nodes: usize, case: Case) -> (f64, f64) {
    let contract = gate_desk(limits.clone());
    let workspace = contract.workspace.clone();
    let mut world = World::new(SEED, nodes, settings, vec![contract]);
    world.propagation_ms = PROPAGATION_MS;
    let rate = limits.requests.per_second();
    let gap = (US_PER_S as f64 / (rate * OVERLOAD_FACTOR)) as u64;
    let mut i = 0;
    for second in 0..WARM_UP_S + MEASURED_S {
        let at = second.saturating_sub(WARM_UP_S);
        if second >= WARM_UP_S {
            disturb(&mut world, case, limits, nodes, at);
        }
        while world.now < (second + 1) * US_PER_S {
            let work = work(&mut world.rng, 500);
            // Random gaps and nodes keep the requests from going round the nodes in step with the
            // refill, which would hide effects of sharing.
            let jitter = world.rng.random_range(0..=gap * 2);
            let shift = world.rng.random_range(0..nodes as u64);
            world.arrive(target(case, nodes, at, i + shift), &workspace, work);
            i += 1;
            assert_eq!(world.check_sums(), Ok(()));
            world.advance(world.now + jitter);
        }
    }
    assert_eq!(world.check(), Ok(()));
    assert!(World::own(&mut world, 0, &workspace).requests <= 1_000_000);
    let log = world.log.get(&workspace).map_or(&[][..], |l| l.as_slice());
    let counted = log.iter().filter(|a| a.at >= WARM_UP_S * US_PER_S).count();
    let messages = world.figures.messages as f64 / nodes as f64 / (world.now / US_PER_S) as f64;
    (counted as f64 / (rate * MEASURED_S as f64), messages)
}

/// Like [`measure`], for one central limiter. The faults hit its host.
fn measure_central(limits: &Limits, case: Case) -> f64 {
    let contract = gate_desk(limits.clone());
    let workspace = contract.workspace.clone();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let start = Instant::from_us(0);
    let mut central = Central::new(start, &[(workspace.clone(), contract)].into());
    let mut running: Vec<(u64, Permit, u32)> = Vec::new();
    let rate = limits.requests.per_second();
    let gap = (US_PER_S as f64 / (rate * OVERLOAD_FACTOR)) as u64;
    let (mut now, mut counted) = (0, 0);
    while now < (WARM_UP_S + MEASURED_S) * US_PER_S {
        now += rng.random_range(0..=gap * 2);
        let (done, rest) = running.into_iter().partition(|(end, _, _)| *end <= now);
        running = rest;
        for (_, permit, used) in done {
            central.settle(Instant::from_us(now), permit, used);
        }
        let at = (now / US_PER_S).saturating_sub(WARM_UP_S);
        let is_out = match case {
            Case::Skewed | Case::Even | Case::Changed => false,
            Case::Killed | Case::Replaced => at >= 5,
            Case::Restarted => (5..15).contains(&at),
            Case::Paused => (5..25).contains(&at),
        };
        let work = work(&mut rng, 500);
        if is_out {
            continue;
        }
        if let Ok(permit) = central.admit(Instant::from_us(now), &workspace, work.estimate) {
            running.push((now + work.run_us, permit, work.used));
            counted += u64::from(now >= WARM_UP_S * US_PER_S);
        }
    }
    counted as f64 / (rate * MEASURED_S as f64)
}

/// Returns contract `i` of a fleet whose largest workspace has about 80 times the rate of the
/// smallest.
fn fleet_contract(i: u64, sum: f64, load: f64) -> Contract {
    let share = 1.0 / (i + 10) as f64 / sum;
    let rate = FLEET_REQUESTS_PER_S as f64 * share / load;
    let burst = (rate * 10.0).max(5.0) as u32;
    let limits = limits(rate, burst, rate * 2000.0, burst * 2000);
    contract(&Workspace::from(format!("w{i:03}").as_str()), limits, Duration::from_secs(60))
}

/// Measures at full fleet size what sharing costs each node, and how many requests are refused
/// below the bound.
fn fleet(nodes: usize, load: f64) {
    let sum: f64 = (0..WORKSPACES).map(|i| 1.0 / (i + 10) as f64).sum();
    let contracts: Vec<_> = (0..WORKSPACES).map(|i| fleet_contract(i, sum, load)).collect();
    let mut world = World::new(SEED, nodes, Settings::default(), contracts.clone());
    let seconds = 60;
    let mut before = (0, 0, 0, 0);
    for request in 0..FLEET_REQUESTS_PER_S * seconds {
        if request == FLEET_REQUESTS_PER_S * 20 {
            let admitted = world.log.values().map(Vec::len).sum::<usize>() as u64;
            let f = &world.figures;
            before = (f.messages, f.bytes, f.offered, admitted);
        }
        let mut at = world.rng.random_range(0.0..sum);
        let pick = contracts.iter().enumerate().position(|(i, _)| {
            at -= 1.0 / (i + 10) as f64;
            at <= 0.0
        });
        let workspace = contracts[pick.unwrap_or(0)].workspace.clone();
        let node = world.rng.random_range(0..nodes);
        let work = work(&mut world.rng, 1000);
        world.arrive(node, &workspace, work);
        world.advance(world.now + US_PER_S / FLEET_REQUESTS_PER_S);
    }
    assert_eq!(world.check(), Ok(()));
    let admitted = world.log.values().map(Vec::len).sum::<usize>() as u64;
    let f = &world.figures;
    let each = |now: u64, then: u64| (now - then) as f64 / nodes as f64 / (seconds - 20) as f64;
    println!(
        "fleet: {WORKSPACES} workspaces, {FLEET_REQUESTS_PER_S} requests/s at {load} of the \
         bounds, {nodes} entries: {:.1} messages/s and {:.0} bytes/s sent a node, {:.2} % refused",
        each(f.messages, before.0),
        each(f.bytes, before.1),
        100.0 - 100.0 * (admitted - before.3) as f64 / (f.offered - before.2) as f64,
    );
}

fn main() {
    let sizes = [
        ("large 50/s burst 50", limits(50.0, 50, 100_000.0, 100_000)),
        ("small 5/s burst 5", limits(5.0, 5, 10_000.0, 10_000)),
    ];
    println!("throughput over bound, offered {OVERLOAD_FACTOR} times the bound, {MEASURED_S} s");
    println!("contract             nodes case      loans  static central  messages/s a node");
    for (name, limits) in &sizes {
        for nodes in [4, 20] {
            for case in CASES {
                let (loans, messages) = measure(Settings::default(), limits, nodes, case);
                let (fixed, _) = measure(without_loans(), limits, nodes, case);
                let central = measure_central(limits, case);
                println!(
                    "{name:20} {nodes:5} {:9} {loans:6.3} {fixed:7.3} {central:7.3} {messages:8.1}",
                    format!("{case:?}").to_lowercase()
                );
            }
        }
    }
    for nodes in [4, 20] {
        fleet(nodes, 0.6);
        fleet(nodes, 1.5);
    }
}
