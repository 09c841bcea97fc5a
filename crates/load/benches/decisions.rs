//! Benchmarks single decisions at deployment sizes up to the one that operators expect within two
//! years.
// Benchmarks fail by panicking, and the macros of `criterion` generate items without docs.
#![allow(clippy::unwrap_used, missing_docs)]

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use oriole_core::config::Config;
use oriole_core::entry::{Event, Generate, Machine};
use oriole_core::message::{Hop, Load, Message, Step, Term};
use oriole_core::name;
use oriole_core::request::{Id, host_hash};
use oriole_core::time::Instant;
use oriole_load::synthetic::{self, Size};
use oriole_wire::frame::{self, Frame};

const START: Instant = Instant::from_us(10_000_000);

/// Generates a deployment with this many endpoints and a proportionate number of entries.
fn config(endpoints: usize) -> Config {
    let entries = (endpoints / 20).max(2);
    synthetic::config(Size { endpoints, entries, workspaces: 810 })
}

fn host() -> name::Host {
    "entry-00".into()
}

/// Creates the only entry of a deployment, which admits requests without loans from peers.
fn single_entry(config: &Config) -> Machine {
    receive_loads(Machine::new(config.clone(), 1), config)
}

/// Creates one of several entries of a deployment.
fn entry_with_peers(config: &Config) -> Machine {
    receive_loads(Machine::new(config.clone(), 1).on_host(START, &host(), 1), config)
}

/// Passes a load report of each endpoint to an entry.
fn receive_loads(mut machine: Machine, config: &Config) -> Machine {
    for (endpoint, settings) in &config.endpoints {
        let load = Load {
            endpoint: endpoint.clone(),
            open: true,
            queued: 10,
            running: 3,
            batch_us: 4000,
            free: 100_000,
            prefixes: Vec::new(),
            term: Term::default(),
        };
        let from = settings.host.clone();
        machine.handle(START, Event::Message { from, message: Message::Load(load) });
    }
    machine
}

fn generate() -> Generate {
    Generate {
        workspace: "workspace-007".into(),
        model: "synthetic".into(),
        prompt: (0..200).collect(),
        max_tokens: 100,
        deadline: Some(Duration::from_secs(20)),
    }
}

fn admit_and_plan(c: &mut Criterion) {
    for endpoints in [40, 200, 750] {
        let mut machine = single_entry(&config(endpoints));
        let host = host_hash(&host());
        let (mut seq, mut now) = (0, START);
        c.bench_function(&format!("admit and plan a generation, {endpoints} endpoints"), |b| {
            b.iter(|| {
                seq += 1;
                now = now + Duration::from_millis(20);
                let id = Id { host, boot: 1, seq };
                let effects = machine.handle(now, Event::Generate(id, generate()));
                // One message to each of the two stages shows that the request was planned.
                assert_eq!(effects.len(), 2);
                black_box(machine.handle(now, Event::CallerLeft(id)));
            });
        });
    }
}

fn tick(c: &mut Criterion) {
    for endpoints in [40, 200, 750] {
        let mut machine = entry_with_peers(&config(endpoints));
        let mut now = START;
        c.bench_function(&format!("tick of an idle entry, {endpoints} endpoints"), |b| {
            b.iter(|| {
                now = now + Duration::from_millis(50);
                black_box(machine.handle(now, Event::Tick));
            });
        });
    }
}

fn frames(c: &mut Criterion) {
    let step = |count: u32| {
        Frame::Batch(vec![Message::Step(Step {
            request: Id { host: 1, boot: 1, seq: 1 },
            attempt: 1,
            stage: 1,
            position: 100,
            count,
            sample: true,
            activation: vec![7; count as usize * 8],
            hops: vec![Hop { queue_us: 10, run_us: 4000, batch: 8 }; 2],
        })])
    };
    for count in [1, 256] {
        let frame = step(count);
        let bytes = frame::encode(&frame).unwrap();
        c.bench_function(&format!("encode a step of {count} positions"), |b| {
            b.iter(|| frame::encode(black_box(&frame)));
        });
        c.bench_function(&format!("decode a step of {count} positions"), |b| {
            b.iter(|| frame::decode(black_box(&bytes)));
        });
    }
}

criterion_group!(decisions, admit_and_plan, tick, frames);
criterion_main!(decisions);
