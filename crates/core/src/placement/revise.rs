//! Computes the next plan after endpoints join, leave or fail.
//!
//! Lost stages of a chain are replaced by endpoints of its availability zone that are in no chain.
//! If there are too few, the chain is rebuilt: the chains of its zone with the least throughput are
//! dissolved and their endpoints fill the gaps. There is one exception: if other chains' endpoints
//! in the same zone hold the missing layers, requests are rerouted through those and the chain
//! stays as it is, unless rebuilding gains enough throughput (`MIN_REBUILD_GAIN`). Slow stages are
//! replaced if the zone has enough other endpoints in no chain. Endpoints that are left over form
//! further chains. Stages stay where they are if possible, because moving layers takes seconds.

use std::collections::BTreeSet;

use super::build::{self, Existing};
use super::inventory::Inventory;
use super::{Candidate, Chain, Model, Range, Stage, estimate};
use crate::name;

/// KV-cache capacities of replacements as fractions of the chain's, in the order in which they are
/// tried.
const CAPACITY_FRACTIONS: [f64; 3] = [1.0, 0.8, 0.6];

/// Fractions that are tried last, because a chain with so little capacity has a low throughput.
const REDUCED_CAPACITY_FRACTIONS: [f64; 2] = [0.4, 0.2];

/// Least KV-cache capacity of a replacement, in tokens.
const MIN_CAPACITY_TOKENS: f64 = 8_000.0;

/// Least ratio of total throughput after and before a rebuild for which other chains are dissolved
/// although requests of the broken one can be rerouted through them: moving layers takes seconds in
/// which neither chain serves.
const MIN_REBUILD_GAIN: f64 = 1.1;

/// Returns the chains that replace `current`, given the endpoints that are expected to stay.
pub fn revise(model: &Model, current: &[Chain], endpoints: &[Candidate]) -> Vec<Chain> {
    let inventory = Inventory::new(model, endpoints);
    let mut draft = Draft { model, inventory, chains: current.to_vec(), rerouted: BTreeSet::new() };
    draft.chains.retain(|c| c.is_complete(model.layers));
    while let Some(broken) = draft.next_broken() {
        draft.repair(broken);
    }
    draft.replace_slow();
    draft.with_new_chains()
}

/// The endpoints among which replacements are searched.
#[derive(Clone, Copy, PartialEq)]
enum Scope {
    /// Those of the chain's availability zone, so that no additional traffic crosses zones.
    Zone,
    /// Those of all availability zones.
    Anywhere,
}

/// The plan while it is being revised.
#[derive(Clone)]
struct Draft<'a> {
    model: &'a Model,
    inventory: Inventory<'a>,
    chains: Vec<Chain>,
    /// First endpoints of broken chains that stay as they are, with requests rerouted.
    rerouted: BTreeSet<name::Endpoint>,
}

impl<'a> Draft<'a> {
    /// Returns the chains, with new ones built from the endpoints that are left over.
    fn with_new_chains(&self) -> Vec<Chain> {
        let free: Vec<Candidate> = self.free().into_iter().cloned().collect();
        let mut chains = self.chains.clone();
        chains.extend(build::chains(self.model, &free, self.existing()));
        chains
    }

    /// Returns the broken chain with the highest throughput that is still to be repaired.
    fn next_broken(&self) -> Option<usize> {
        let needs_repair = |i: &usize| {
            let first = &self.chains[*i].stages[0].endpoint;
            !self.missing(*i).is_empty() && !self.rerouted.contains(first)
        };
        let broken = (0..self.chains.len()).filter(needs_repair);
        broken.max_by(|&a, &b| self.throughput(a).total_cmp(&self.throughput(b)).then(b.cmp(&a)))
    }

    /// Fills the gaps of a chain, or leaves them if requests can be rerouted and a rebuild gains
    /// too little throughput.
    fn repair(&mut self, index: usize) {
        if self.fill_gaps(index, Scope::Zone, &CAPACITY_FRACTIONS) {
            return;
        }
        let mut rebuilt = self.clone();
        rebuilt.rebuild(index);
        if self.can_reroute(index) {
            self.rerouted.insert(self.chains[index].stages[0].endpoint.clone());
            let gain = rebuilt.total_throughput() / self.total_throughput().max(f64::MIN_POSITIVE);
            if gain < MIN_REBUILD_GAIN {
                return;
            }
        }
        *self = rebuilt;
    }

    /// Replaces slow stages by free endpoints of the chain's zone, where there are enough.
    ///
    /// Other chains are not touched for them: a slow stage still serves.
    fn replace_slow(&mut self) {
        for index in 0..self.chains.len() {
            if !self.missing(index).is_empty() {
                continue;
            }
            for endpoint in self.slow_endpoints(index) {
                let mut replaced = self.clone();
                replaced.inventory.remove(&endpoint);
                if replaced.fill_gaps(index, Scope::Zone, &CAPACITY_FRACTIONS) {
                    self.chains = replaced.chains;
                }
            }
        }
    }

    fn slow_endpoints(&self, index: usize) -> Vec<name::Endpoint> {
        let stages = self.chains[index].stages.iter();
        let slow = stages.filter(|s| self.inventory.get(&s.endpoint).is_some_and(|c| c.is_slow));
        slow.map(|s| s.endpoint.clone()).collect()
    }

    /// Estimates the throughput of all chains, including the new ones.
    fn total_throughput(&self) -> f64 {
        self.inventory.total_throughput(&self.with_new_chains())
    }

    /// Fills the gaps of a chain by dissolving chains of lower throughput; dissolves the chain
    /// itself if that is not enough.
    fn rebuild(&mut self, index: usize) {
        let mut index = index;
        while !self.fill_gaps(index, Scope::Zone, &CAPACITY_FRACTIONS) {
            let Some(least) = self.least_productive_below(index) else {
                let filled = self.fill_gaps(index, Scope::Anywhere, &CAPACITY_FRACTIONS)
                    || self.fill_gaps(index, Scope::Zone, &REDUCED_CAPACITY_FRACTIONS)
                    || self.fill_gaps(index, Scope::Anywhere, &REDUCED_CAPACITY_FRACTIONS);
                if !filled {
                    self.chains.remove(index);
                }
                return;
            };
            self.chains.remove(least);
            if least < index {
                index -= 1;
            }
        }
    }

    /// Returns whether endpoints of the same availability zone in other chains hold the missing
    /// layers.
    ///
    /// Requests of such a chain can run through them at once, whereas moving layers would first
    /// take these endpoints out of service.
    fn can_reroute(&self, index: usize) -> bool {
        let zone = self.zone(index);
        let others = self.chains.iter().enumerate().filter(|(i, _)| *i != index);
        let stages = others.flat_map(|(_, chain)| &chain.stages);
        let near: Vec<Range> = stages
            .filter(|s| {
                self.inventory.get(&s.endpoint).is_some_and(|c| Some(&c.zone) == zone.as_ref())
            })
            .map(|s| s.layers)
            .collect();
        let holds = |layer| near.iter().any(|r| r.first <= layer && layer < r.end);
        let mut missing = self.missing(index).into_iter().flat_map(|gap| gap.first..gap.end);
        missing.all(holds)
    }

    /// Returns the chain of lowest throughput among those with endpoints in the availability zone
    /// of the chain at `index`, or `None` if its throughput is not below that chain's.
    fn least_productive_below(&self, index: usize) -> Option<usize> {
        let zone = self.zone(index);
        let is_near = |i: &usize| {
            let zones = self.inventory.zones(&self.chains[*i]);
            zone.as_ref().is_none_or(|zone| zones.contains_key(zone))
        };
        let others = (0..self.chains.len()).filter(|&i| i != index).filter(is_near);
        let least = others.min_by(|&a, &b| self.throughput(a).total_cmp(&self.throughput(b)))?;
        (self.throughput(least) < self.throughput(index)).then_some(least)
    }

    /// Replaces the missing stages by free endpoints, and returns whether that succeeded.
    ///
    /// Changes nothing if there are too few free endpoints. `fractions` are those of the chain's
    /// KV-cache capacity that are tried in turn.
    fn fill_gaps(&mut self, index: usize, scope: Scope, fractions: &[f64]) -> bool {
        let capacity = self.token_capacity(index);
        let zone = self.zone(index);
        let gaps = self.missing(index);
        for fraction in fractions {
            let tokens = (capacity * fraction).max(MIN_CAPACITY_TOKENS);
            let mut free = self.free();
            if scope == Scope::Zone {
                free.retain(|c| Some(&c.zone) == zone.as_ref());
            }
            let mut stages = vec![];
            let filled = gaps.iter().all(|gap| {
                let filled = self.stages_for(*gap, tokens, zone.as_ref(), &mut free);
                filled.map(|new| stages.extend(new)).is_some()
            });
            if filled {
                self.replace(index, stages);
                return true;
            }
        }
        false
    }

    /// Takes endpoints out of `free` for the layers of `gap`, each with KV cache for `tokens`
    /// tokens.
    ///
    /// Prefers endpoints that already hold the most of their new layers, which saves loading them.
    /// Returns `None` and leaves `free` unchanged if the endpoints do not suffice.
    fn stages_for(
        &self,
        gap: Range,
        tokens: f64,
        zone: Option<&name::Zone>,
        free: &mut Vec<&'a Candidate>,
    ) -> Option<Vec<Stage>> {
        let mut left = free.clone();
        let mut stages = vec![];
        let mut first = gap.first;
        while first < gap.end {
            let part = |c: &Candidate| {
                let most = self.model.layer_capacity(c.accelerator.memory, tokens);
                Range { first, end: (first + most).min(gap.end) }
            };
            let able = left.iter().enumerate().filter(|(_, c)| !part(c).is_empty());
            let (index, _) = able.min_by(|(_, a), (_, b)| {
                let held = |c: &Candidate| c.held.intersection(part(c)).len();
                let far = |c: &Candidate| zone != Some(&c.zone);
                let speed = a.accelerator.step_factor.total_cmp(&b.accelerator.step_factor);
                (held(b).cmp(&held(a)))
                    .then(far(a).cmp(&far(b)))
                    .then(speed)
                    .then_with(|| a.endpoint.cmp(&b.endpoint))
            })?;
            let candidate = left.remove(index);
            let layers = part(candidate);
            first = layers.end;
            stages.push(Stage { endpoint: candidate.endpoint.clone(), layers });
        }
        *free = left;
        Some(stages)
    }

    /// Replaces the lost stages of a chain by `stages`.
    fn replace(&mut self, index: usize, stages: Vec<Stage>) {
        let inventory = &self.inventory;
        let chain = &mut self.chains[index];
        chain.stages.retain(|s| inventory.get(&s.endpoint).is_some());
        chain.stages.extend(stages);
        chain.stages.sort_by_key(|s| s.layers);
    }

    fn missing(&self, index: usize) -> Vec<Range> {
        self.inventory.missing(&self.chains[index])
    }

    /// Returns the endpoints that are in no chain and not slow.
    fn free(&self) -> Vec<&'a Candidate> {
        let mut free = self.inventory.free(&self.chains);
        free.retain(|c| !c.is_slow);
        free
    }

    fn throughput(&self, index: usize) -> f64 {
        self.inventory.throughput(&self.chains[index])
    }

    fn existing(&self) -> Existing {
        if self.chains.is_empty() {
            return Existing::None;
        }
        let is_across = self.chains.iter().any(|c| self.inventory.crossings(c) > 0);
        if is_across { Existing::AcrossZones } else { Existing::WithinZones }
    }

    fn token_capacity(&self, index: usize) -> f64 {
        let capacity =
            estimate::token_capacity(self.model, &self.inventory.assignments(&self.chains[index]));
        if capacity.is_finite() { capacity } else { MIN_CAPACITY_TOKENS }
    }

    /// Returns the availability zone with most of the chain's stages, or `None` if no stage is
    /// available.
    fn zone(&self, index: usize) -> Option<name::Zone> {
        let counts = self.inventory.zones(&self.chains[index]);
        counts.into_iter().max_by_key(|(_, n)| *n).map(|(zone, _)| zone.clone())
    }
}
