//! The search of a plan after a loss: its longest step, which holds the event loop, and all of it.
#![allow(missing_docs)]

#[path = "../tests/fleet_fixture/mod.rs"]
mod fleet_fixture;

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet_fixture::{candidate, model};
use oriole_core::placement::search::Search;
use oriole_core::placement::transition::Outlook;
use oriole_core::placement::{Candidate, Chain, revise};

/// Numbers of endpoints, in five zones.
const SIZES: [usize; 4] = [40, 123, 370, 750];

const OUTLOOK: Outlook = Outlook { demand: f64::INFINITY, calm: Duration::ZERO };

/// Returns the chains of endpoints that hold them, and the endpoints that are left after a loss.
fn after_loss(size: usize) -> (Vec<Chain>, Vec<Candidate>) {
    let kind = |number: usize| if number % 10 == 0 { 0 } else { 1 + number % 2 };
    let mut endpoints: Vec<Candidate> =
        (0..size).map(|number| candidate(number, number % 5, kind(number))).collect();
    let chains = revise::revise(&model(), &[], &endpoints);
    for endpoint in &mut endpoints {
        let stages = chains.iter().flat_map(|chain| &chain.stages);
        let layers = stages.filter(|s| s.endpoint == endpoint.endpoint).map(|s| s.layers).next();
        endpoint.held = layers.unwrap_or_default();
    }
    let lost = size / 10;
    endpoints.drain(..lost);
    (chains, endpoints)
}

fn search(criterion: &mut Criterion) {
    let model = model();
    let mut group = criterion.benchmark_group("search");
    group.sample_size(10);
    for size in SIZES {
        let (chains, endpoints) = after_loss(size);
        group.bench_function(BenchmarkId::new("begin", size), |b| {
            b.iter(|| black_box(Search::new(&model, &chains, &endpoints, OUTLOOK)));
        });
        group.bench_function(BenchmarkId::new("all", size), |b| {
            b.iter(|| {
                let mut search = Search::new(&model, &chains, &endpoints, OUTLOOK);
                while search.step() {}
                black_box(search.finish())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, search);
criterion_main!(benches);
