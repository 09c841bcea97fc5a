//! Cost of one admission and of one tick at 810 workspaces.
#![allow(missing_docs)] // criterion's macro generates a public function without docs

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use oriole_core::contract::Contract;
use oriole_core::limit::{Limiter, Settings};
use oriole_core::name::{Host, Workspace};
use oriole_core::roster::Roster;
use oriole_core::time::Instant;

#[path = "../tests/limit/contracts.rs"]
mod contracts;

const WORKSPACES: usize = 810;
const ENTRIES: usize = 20;
const STEP_US: u64 = 500;

fn workspace(i: usize) -> Workspace {
    Workspace::from(format!("workspace-{i:03}").as_str())
}

fn limiter(per_second: f64) -> Limiter {
    let now = Instant::from_us(0);
    let host = |i: usize| Host::from(format!("entry-{i:02}").as_str());
    let limits = contracts::limits(per_second, 1000, per_second * 1000.0, 10_000_000);
    let contracts: BTreeMap<Workspace, Contract> = (0..WORKSPACES)
        .map(workspace)
        .map(|w| (w.clone(), contracts::contract(&w, limits.clone(), Duration::from_secs(60))))
        .collect();
    let mut limiter = Limiter::new(now, host(0), 1, Settings::default());
    let mut out = Vec::new();
    limiter.on_contracts(now, &contracts, &mut out);
    let entries = (0..ENTRIES).map(|i| (host(i), 1)).collect();
    limiter.on_roster(now, Roster::first(entries), &mut out);
    let later = now + Duration::from_secs(300);
    limiter.tick(later, &mut out);
    limiter
}

fn admit(criterion: &mut Criterion) {
    let names: Vec<Workspace> = (0..WORKSPACES).map(workspace).collect();
    for (label, rate) in [("admitted", 1e9), ("denied", 0.001)] {
        let mut limiter = limiter(rate);
        let mut out = Vec::new();
        let mut now = Instant::from_us(301_000_000);
        let mut i = 0;
        criterion.bench_function(&format!("limit/admit and settle/{label}"), |b| {
            b.iter(|| {
                now = now + Duration::from_micros(STEP_US);
                i = (i + 7) % WORKSPACES;
                out.clear();
                if let Ok(permit) = limiter.admit(now, black_box(&names[i]), 500, &mut out) {
                    limiter.settle(now, permit, 400, &mut out);
                }
            });
        });
    }
}

fn tick(criterion: &mut Criterion) {
    let mut limiter = limiter(100.0);
    let mut out = Vec::new();
    let mut now = Instant::from_us(301_000_000);
    criterion.bench_function("limit/tick", |b| {
        b.iter(|| {
            now = now + Duration::from_millis(100);
            out.clear();
            limiter.tick(now, &mut out);
        });
    });
}

criterion_group!(benches, admit, tick);
criterion_main!(benches);
