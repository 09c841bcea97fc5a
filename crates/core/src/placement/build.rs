//! Chains out of endpoints that are in no chain.
//!
//! Load pattern: steady demand that fills the memory of all accelerators. Few large chains leave
//! the most room for requests, chains of fast accelerators finish requests soonest; the estimate
//! weighs both, for each size of room.

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::{self, Stage as Part};
use super::{Candidate, Chain, Model, Range, Stage};
use crate::name;

/// Rooms that are tried, in tokens for each endpoint.
const ROOMS: [f64; 12] = [
    30_000.0, 40_000.0, 50_000.0, 60_000.0, 70_000.0, 80_000.0, 90_000.0, 100_000.0, 120_000.0,
    150_000.0, 180_000.0, 220_000.0,
];

/// Chains that there are besides those to be built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Besides {
    /// None.
    Nothing,
    /// Some, each within an availability zone.
    Within,
    /// Some, of which one or more pass between availability zones.
    Across,
}

/// Most stages of a chain.
const MAX_STAGES: usize = 32;

/// Builds as many chains as the endpoints allow: first within availability zones, then across.
///
/// Endpoints that are left over belong to no chain. Where there are chains besides, some are set
/// aside to replace stages that are lost.
pub fn chains(model: &Model, endpoints: &[Candidate], besides: Besides) -> Vec<Chain> {
    let mut zones: BTreeMap<&name::Zone, Vec<&Candidate>> = BTreeMap::new();
    for endpoint in endpoints {
        zones.entry(&endpoint.zone).or_default().push(endpoint);
    }
    let mut chains = vec![];
    let mut rest = vec![];
    for mut free in zones.into_values() {
        while let Some(chain) = best(model, &mut free) {
            chains.push(chain);
        }
        rest.extend(free);
    }
    if !chains.is_empty() || besides != Besides::Nothing {
        set_aside(model, &mut rest, besides);
    }
    while let Some(chain) = best(model, &mut rest) {
        chains.push(chain);
    }
    chains
}

/// Takes one endpoint of each availability zone out of `rest`, so that a stage that is lost can be
/// replaced without moving others; fewer where the first chain across zones needs them.
///
/// The slowest are taken, since they add least to a chain.
fn set_aside(model: &Model, rest: &mut Vec<&Candidate>, besides: Besides) {
    sort(rest);
    let mut spares: Vec<usize> = vec![];
    for index in (0..rest.len()).rev() {
        if !spares.iter().any(|&s| rest[s].zone == rest[index].zone) {
            spares.push(index);
        }
    }
    if besides != Besides::Across {
        while !spares.is_empty() && cover(model, &without(rest, &spares), ROOMS[0]).is_none() {
            spares.pop();
        }
    }
    *rest = without(rest, &spares);
}

fn without<'a>(all: &[&'a Candidate], indices: &[usize]) -> Vec<&'a Candidate> {
    let kept = all.iter().enumerate().filter(|(i, _)| !indices.contains(i));
    kept.map(|(_, candidate)| *candidate).collect()
}

/// Takes the chain with the highest throughput out of `free`.
fn best(model: &Model, free: &mut Vec<&Candidate>) -> Option<Chain> {
    sort(free);
    let mut best: Option<(f64, Vec<(usize, u32)>)> = None;
    for room in ROOMS {
        let Some(parts) = cover(model, free, room) else {
            continue;
        };
        let stages: Vec<Part<'_>> = parts
            .iter()
            .map(|&(i, layers)| Part { accelerator: &free[i].accelerator, layers })
            .collect();
        let value = estimate::throughput(model, &stages, crossings(free, &parts));
        if best.as_ref().is_none_or(|(most, _)| value > *most) {
            best = Some((value, parts));
        }
    }
    let (_, parts) = best?;
    let chain = lay(free, &parts);
    let mut index = 0;
    free.retain(|_| {
        index += 1;
        !parts.iter().any(|&(i, _)| i + 1 == index)
    });
    Some(chain)
}

/// The fastest first; equal ones by identity, so that all entries propose the same.
fn sort(free: &mut [&Candidate]) {
    free.sort_by(|a, b| {
        let speed = a.accelerator.step_factor.total_cmp(&b.accelerator.step_factor);
        speed.then_with(|| a.zone.cmp(&b.zone)).then_with(|| a.endpoint.cmp(&b.endpoint))
    });
}

/// Endpoints, by index, and their numbers of layers that cover the model with `room` tokens each.
fn cover(model: &Model, free: &[&Candidate], room: f64) -> Option<Vec<(usize, u32)>> {
    let mut parts = vec![];
    let mut left = model.layers;
    for (i, endpoint) in free.iter().enumerate() {
        let layers = model.capacity(endpoint.accelerator.memory, room).min(left);
        if layers == 0 {
            continue;
        }
        parts.push((i, layers));
        left -= layers;
        if left == 0 || parts.len() == MAX_STAGES {
            break;
        }
    }
    (left == 0).then_some(parts)
}

/// Passages between availability zones of a chain that [`lay`] makes.
fn crossings(free: &[&Candidate], parts: &[(usize, u32)]) -> usize {
    let zones: BTreeSet<_> = parts.iter().map(|&(i, _)| &free[i].zone).collect();
    zones.len().saturating_sub(1)
}

/// Assigns layers in order, neighbours of one availability zone together.
fn lay(free: &[&Candidate], parts: &[(usize, u32)]) -> Chain {
    let mut parts = parts.to_vec();
    parts.sort_by(|a, b| free[a.0].zone.cmp(&free[b.0].zone).then(a.0.cmp(&b.0)));
    let mut first = 0;
    let mut stages = vec![];
    for (i, layers) in parts {
        let layers = Range { first, end: first + layers };
        first = layers.end;
        stages.push(Stage { endpoint: free[i].endpoint.clone(), layers });
    }
    Chain { stages }
}
