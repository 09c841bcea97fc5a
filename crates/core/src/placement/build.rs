//! Builds chains from endpoints that are in no chain.
//!
//! The target load is a steady demand that fills the memory of all accelerators. A few long chains
//! leave the most KV cache for requests, while chains of only fast accelerators finish requests
//! soonest. To balance the two, chains are laid out for several KV-cache capacities, and the
//! throughput estimate picks the best one.

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::{self, Assignment};
use super::{Candidate, Chain, Model, Range, Stage};
use crate::name;

/// KV-cache capacities of an endpoint for which chains are compared, in tokens.
const TOKEN_CAPACITIES: [f64; 12] = [
    30_000.0, 40_000.0, 50_000.0, 60_000.0, 70_000.0, 80_000.0, 90_000.0, 100_000.0, 120_000.0,
    150_000.0, 180_000.0, 220_000.0,
];

/// The chains that a service has before further ones are built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Existing {
    /// No chains.
    None,
    /// Chains of which each lies within one availability zone.
    WithinZones,
    /// Chains of which at least one spans availability zones.
    AcrossZones,
}

/// Maximum number of stages in a chain.
const MAX_STAGES: usize = 32;

/// Builds as many chains as the endpoints allow: first within availability zones, then across them.
///
/// Endpoints that are left over belong to no chain. If there are other chains, whether existing or
/// just built, some endpoints are reserved as spares that replace lost stages.
pub fn chains(model: &Model, endpoints: &[Candidate], existing: Existing) -> Vec<Chain> {
    let mut zones: BTreeMap<&name::Zone, Vec<&Candidate>> = BTreeMap::new();
    for endpoint in endpoints {
        zones.entry(&endpoint.zone).or_default().push(endpoint);
    }
    let mut chains = vec![];
    let mut rest = vec![];
    for mut free in zones.into_values() {
        while let Some(chain) = take_best_chain(model, &mut free) {
            chains.push(chain);
        }
        rest.extend(free);
    }
    if !chains.is_empty() || existing != Existing::None {
        reserve_spares(model, &mut rest, existing);
    }
    while let Some(chain) = take_best_chain(model, &mut rest) {
        chains.push(chain);
    }
    chains
}

/// Removes one endpoint per availability zone from `rest` as a spare, so that a lost stage can be
/// replaced without moving others.
///
/// Reserves fewer if the first chain across zones cannot be built without them. The spares are the
/// slowest endpoints, since these contribute least to a chain.
fn reserve_spares(model: &Model, rest: &mut Vec<&Candidate>, existing: Existing) {
    sort_by_speed(rest);
    let mut spares: Vec<usize> = vec![];
    for index in (0..rest.len()).rev() {
        if !spares.iter().any(|&s| rest[s].zone == rest[index].zone) {
            spares.push(index);
        }
    }
    if existing != Existing::AcrossZones {
        while !spares.is_empty()
            && assign_layers(model, &without(rest, &spares), TOKEN_CAPACITIES[0]).is_none()
        {
            spares.pop();
        }
    }
    *rest = without(rest, &spares);
}

fn without<'a>(all: &[&'a Candidate], indices: &[usize]) -> Vec<&'a Candidate> {
    let kept = all.iter().enumerate().filter(|(i, _)| !indices.contains(i));
    kept.map(|(_, candidate)| *candidate).collect()
}

/// Builds the chain with the highest estimated throughput and removes its endpoints from `free`.
///
/// Returns `None` if the endpoints cannot hold all layers.
fn take_best_chain(model: &Model, free: &mut Vec<&Candidate>) -> Option<Chain> {
    sort_by_speed(free);
    let mut best: Option<(f64, Vec<(usize, u32)>)> = None;
    for capacity in TOKEN_CAPACITIES {
        let Some(counts) = assign_layers(model, free, capacity) else {
            continue;
        };
        let assignments: Vec<Assignment<'_>> = counts
            .iter()
            .map(|&(i, layers)| Assignment { accelerator: &free[i].accelerator, layers })
            .collect();
        let throughput = estimate::throughput(model, &assignments, crossings(free, &counts));
        if best.as_ref().is_none_or(|(highest, _)| throughput > *highest) {
            best = Some((throughput, counts));
        }
    }
    let (_, counts) = best?;
    let chain = lay_out(free, &counts);
    let mut index = 0;
    free.retain(|_| {
        index += 1;
        !counts.iter().any(|&(i, _)| i + 1 == index)
    });
    Some(chain)
}

/// Sorts the fastest endpoints first, and equal ones by zone and name, so that all entries propose
/// the same chains.
fn sort_by_speed(free: &mut [&Candidate]) {
    free.sort_by(|a, b| {
        let speed = a.accelerator.step_factor.total_cmp(&b.accelerator.step_factor);
        speed.then_with(|| a.zone.cmp(&b.zone)).then_with(|| a.endpoint.cmp(&b.endpoint))
    });
}

/// Assigns all layers to endpoints in the order of `free`, with KV cache for `capacity` tokens on
/// each.
///
/// Returns the index of each endpoint with its number of layers, or `None` if the endpoints cannot
/// hold all layers.
fn assign_layers(model: &Model, free: &[&Candidate], capacity: f64) -> Option<Vec<(usize, u32)>> {
    let mut counts = vec![];
    let mut left = model.layers;
    for (i, endpoint) in free.iter().enumerate() {
        let layers = model.layer_capacity(endpoint.accelerator.memory, capacity).min(left);
        if layers == 0 {
            continue;
        }
        counts.push((i, layers));
        left -= layers;
        if left == 0 || counts.len() == MAX_STAGES {
            break;
        }
    }
    (left == 0).then_some(counts)
}

/// Counts the zone crossings of a chain that [`lay_out`] returns, where each zone is contiguous.
fn crossings(free: &[&Candidate], counts: &[(usize, u32)]) -> usize {
    let zones: BTreeSet<_> = counts.iter().map(|&(i, _)| &free[i].zone).collect();
    zones.len().saturating_sub(1)
}

/// Arranges endpoints into a chain, with those of one availability zone next to each other.
///
/// Those with the fewest layers come first: what a request crashes is the endpoint that begins to run it, and
/// the fewer layers that held, the sooner another one holds them.
fn lay_out(free: &[&Candidate], counts: &[(usize, u32)]) -> Chain {
    let mut counts = counts.to_vec();
    counts.sort_by(|a, b| {
        let zone = free[a.0].zone.cmp(&free[b.0].zone);
        zone.then(a.1.cmp(&b.1)).then(a.0.cmp(&b.0))
    });
    let mut first = 0;
    let mut stages = vec![];
    for (i, layers) in counts {
        let layers = Range { first, end: first + layers };
        first = layers.end;
        stages.push(Stage { endpoint: free[i].endpoint.clone(), layers });
    }
    Chain { stages }
}
