//! Benchmarks of chain selection at the target size of the fleet: 750 engines and 20 models.

// `criterion_group!` generates a public function without a doc comment.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use oriole_core::config::{Config, Endpoint, Kind, Link, Model};
use oriole_core::message::{Hop, Load, Stage, Term};
use oriole_core::name;
use oriole_core::plan::{Planner, Query};
use oriole_core::time::Instant;

const ENGINES: u16 = 750;
const MODELS: u16 = 20;
const HOSTS: u16 = 370;
const ZONES: u16 = 9;
const NOW: Instant = Instant::from_us(1_000_000_000);

fn config() -> Config {
    let mut config = Config::default();
    for model in 0..MODELS {
        let settings = Model { layers: 48, context: 8192, chunk: 512, version: String::new() };
        config.models.insert(format!("m{model}").as_str().into(), settings);
    }
    for engine in 0..ENGINES {
        // Of each ten engines of a model, four form a chain of 4 stages and six one of 6 stages.
        let slot = (engine / MODELS) % 10;
        let (first_layer, end_layer) = match slot {
            0..4 => (slot * 12, slot * 12 + 12),
            _ => ((slot - 4) * 8, (slot - 4) * 8 + 8),
        };
        let kind = Kind::Engine {
            model: format!("m{}", engine % MODELS).as_str().into(),
            first_layer,
            end_layer,
            accelerator: String::new(),
            step_us: 2000 + u32::from(engine % 4) * 1000,
            prompt_token_us: 20,
            batch: 16,
            sequences: 64,
        };
        let endpoint = Endpoint {
            host: format!("h{}", engine % HOSTS).as_str().into(),
            side: ([127, 0, 0, 1], 1).into(),
            address: ([127, 0, 0, 1], 2).into(),
            zone: format!("z{}", engine % ZONES).as_str().into(),
            kind,
            checks_fencing: false,
            drain: false,
        };
        config.endpoints.insert(format!("e{engine}").as_str().into(), endpoint);
    }
    for from in 0..ZONES {
        for to in from + 1..ZONES {
            config.links.push(Link {
                from: format!("z{from}"),
                to: format!("z{to}"),
                latency: Duration::from_micros(300 + 20 * u64::from(from * to)),
                megabytes_per_second: 100,
            });
        }
    }
    config
}

fn planner() -> Planner {
    let mut planner = Planner::new("entry".into(), "z0".into());
    planner.configure(&config());
    for engine in 0..ENGINES {
        planner.record_load(NOW, &load(engine));
    }
    planner
}

fn load(engine: u16) -> Load {
    Load {
        endpoint: format!("e{engine}").as_str().into(),
        open: true,
        queued: u32::from(engine % 7) * 100,
        running: u32::from(engine % 13),
        batch_us: 2000,
        free: 0,
        prefixes: vec![u64::from(engine)],
        term: Term::default(),
    }
}

fn choose(planner: &Planner, random: u64) -> Vec<Stage> {
    let none: BTreeSet<name::Endpoint> = BTreeSet::new();
    let query = Query {
        prompt_tokens: 400,
        answer_tokens: 200,
        time_left: Duration::from_secs(60),
        prefixes: &[(3, 256), (4, 128)],
        avoid: &none,
        include: &none,
        random,
    };
    let model = format!("m{}", random % u64::from(MODELS)).as_str().into();
    planner.choose(NOW, &model, &query).map(|choice| choice.chain).unwrap_or_default()
}

fn bench(c: &mut Criterion) {
    let mut planner = planner();
    let mut random = 0;
    assert!(!choose(&planner, 0).is_empty());
    c.bench_function("choose a chain, 750 engines, 20 models", |b| {
        b.iter(|| {
            random += 1;
            black_box(choose(&planner, random))
        });
    });
    let chain = choose(&planner, 1);
    let hops = vec![Hop { queue_us: 100, run_us: 2000, batch: 4 }; chain.len()];
    c.bench_function("learn from one token's hops", |b| {
        b.iter(|| planner.observe_step(NOW, &chain, &hops, Duration::from_millis(20)));
    });
    let report = load(5);
    c.bench_function("take in a load report", |b| {
        b.iter(|| planner.record_load(NOW, &report));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
