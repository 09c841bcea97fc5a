//! Which endpoints are ordered next to hold other layers.
//!
//! Load pattern: after losses many endpoints are to hold other layers. They load them from a store of weights
//! whose rate all share, and an endpoint that gives layers up serves no chain meanwhile. If all begin at once, no
//! chain serves before nearly all of them are ready. So the chains follow each other, the ones first that serve
//! most for what they still load, and only as many endpoints at a time as keep the store busy.

use super::inventory::Inventory;
use super::{Chain, Model, Range, Stage, order};

/// Endpoints that are ordered at a time, as a multiple of the loads that the store carries at full rate: some are
/// about to begin or to end.
const ENDPOINTS_PER_LOAD: usize = 2;

/// Returns the number of endpoints that may be on their way to other layers at a time.
pub fn limit(model: &Model) -> usize {
    (model.loads_at_once as usize).saturating_mul(ENDPOINTS_PER_LOAD)
}

/// Returns the next order to each endpoint in `inventory` that is to get one now, at most `limit` in all.
pub fn due<'a>(
    model: &Model,
    inventory: &Inventory<'_>,
    chains: &'a [Chain],
    limit: usize,
) -> Vec<(&'a Stage, Range)> {
    let mut by_cost: Vec<(f64, &Chain)> =
        chains.iter().map(|chain| (cost(inventory, chain), chain)).collect();
    by_cost.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let stages = by_cost.into_iter().flat_map(|(_, chain)| &chain.stages);
    let next = stages.filter_map(|stage| {
        let candidate = inventory.get(&stage.endpoint)?;
        let memory = candidate.accelerator.memory;
        Some((stage, order::next(model, memory, candidate.held, stage.layers)?))
    });
    next.take(limit).collect()
}

/// Returns the layers that a chain still has to load, by its throughput. Infinite if stages are not available.
pub(super) fn cost(inventory: &Inventory<'_>, chain: &Chain) -> f64 {
    if !inventory.missing(chain).is_empty() {
        return f64::INFINITY;
    }
    let lacking = chain.stages.iter().filter_map(|stage| {
        let held = inventory.get(&stage.endpoint)?.held;
        Some(stage.layers.len() - held.intersection(stage.layers).len())
    });
    f64::from(lacking.sum::<u32>()) / inventory.throughput(chain).max(f64::MIN_POSITIVE)
}
