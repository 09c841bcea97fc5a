//! Resolves planned chains to chains that are usable now.
//!
//! Load pattern: stages are lost while their replacements still load. Requests go through other
//! endpoints that hold the same layers, if there are any.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Chain, Hop};
use crate::fleet::{Endpoint, View};
use crate::name;
use crate::placement::estimate::{Assignment, Cost};
use crate::placement::{Accelerator, Chain as PlannedChain, Model, Plan, Range};
use crate::time::Instant;

/// Resolves planned chains to chains that are usable now.
#[derive(Clone, Copy)]
pub struct Resolver<'a> {
    /// The model of the service.
    pub model: &'a Model,
    /// The service that the chains serve.
    pub service: &'a name::Service,
    /// State of the endpoints.
    pub view: &'a View,
    /// How long a draining endpoint still gets new work.
    pub grace: Duration,
    /// The current time.
    pub now: Instant,
}

impl Resolver<'_> {
    /// Returns a hop over endpoint `id`, or `None` if it is not usable or does not hold `layers`.
    fn hop(&self, id: &name::Endpoint, layers: Range) -> Option<(Hop, Accelerator)> {
        let endpoint = self.view.get(id)?;
        let usable = self.view.is_usable(id, self.grace, self.now);
        if !usable || !endpoint.layers.covers(layers) {
            return None;
        }
        let accelerator = self.model.accelerators.get(endpoint.accelerator.as_ref()?)?.clone();
        let held = f64::from(endpoint.layers.len()) * self.model.layer_bytes;
        let free = (accelerator.memory - held).max(0.0);
        let (address, zone) = (endpoint.address, endpoint.zone.clone());
        let born = endpoint.born;
        let hop = Hop { endpoint: id.clone(), born, address, zone, layers, free };
        Some((hop, accelerator))
    }

    /// Returns hops that reroute requests for the layers `gap` through any usable endpoints,
    /// including those of other chains.
    ///
    /// Prefers endpoints in `zone`, then those that cover more layers, then faster accelerators.
    /// Returns `None` if some layer has no usable endpoint.
    fn reroute(&self, gap: Range, zone: Option<&name::Zone>) -> Option<Vec<(Hop, Accelerator)>> {
        let mut hops = vec![];
        let mut first = gap.first;
        while first < gap.end {
            let step = Range { first, end: first + 1 };
            let end = |e: &Endpoint| e.layers.end.min(gap.end);
            let holders = self.view.of_service(self.service).filter(|e| e.layers.covers(step));
            let mut found: Vec<_> = holders
                .filter_map(|e| self.hop(&e.id, Range { first, end: end(e) }).map(|h| (e, h)))
                .collect();
            found.sort_by(|(a, (_, x)), (b, (_, y))| {
                let speed = x.step_factor.total_cmp(&y.step_factor);
                ((Some(&b.zone) == zone).cmp(&(Some(&a.zone) == zone)))
                    .then(end(b).cmp(&end(a)))
                    .then(speed)
                    .then_with(|| a.id.cmp(&b.id))
            });
            let (_, hop) = found.into_iter().next()?;
            first = hop.0.layers.end;
            hops.push(hop);
        }
        Some(hops)
    }

    /// Resolves a planned chain, replacing stages that are not usable.
    ///
    /// Returns `None` if a stage cannot be replaced.
    fn resolve(&self, planned: &PlannedChain) -> Option<Chain> {
        let key = planned.stages.first()?.endpoint.clone();
        let known = planned.stages.iter().find_map(|s| self.view.get(&s.endpoint))?;
        let zone = known.zone.clone();
        let mut all = vec![];
        for stage in &planned.stages {
            match self.hop(&stage.endpoint, stage.layers) {
                Some(hop) => all.push(hop),
                None => all.extend(self.reroute(stage.layers, Some(&zone))?),
            }
        }
        let mut endpoints = BTreeSet::new();
        // A chain must not use an endpoint twice.
        if !all.iter().all(|(hop, _)| endpoints.insert(hop.endpoint.clone())) {
            return None;
        }
        let parts: Vec<Assignment<'_>> = all
            .iter()
            .map(|(hop, accelerator)| Assignment { accelerator, layers: hop.layers.len() })
            .collect();
        let cost = Cost::of(self.model, &parts);
        let hops: Vec<Hop> = all.into_iter().map(|(hop, _)| hop).collect();
        let bytes = |h: &Hop| f64::from(h.layers.len()) * self.model.token_layer_bytes;
        let room = hops.iter().map(|h| h.free / bytes(h)).fold(f64::INFINITY, f64::min);
        Some(Chain { key, hops, zone, cost, room, is_shared: false })
    }
}

/// Returns the usable chains of `plans`, which start with the current plan.
///
/// A chain of an earlier plan is left out if a usable one has the same first endpoint.
pub fn usable(resolver: &Resolver<'_>, plans: &[Plan]) -> Vec<Chain> {
    let mut chains: Vec<Chain> = vec![];
    for plan in plans {
        let planned_chains = plan.services.get(resolver.service).map_or(&[][..], Vec::as_slice);
        for planned in planned_chains {
            let first = planned.stages.first().map(|s| &s.endpoint);
            if chains.iter().any(|c| Some(&c.key) == first) {
                continue;
            }
            chains.extend(resolver.resolve(planned));
        }
    }
    mark_shared(&mut chains);
    chains
}

/// Returns the keys of the chains that run on other stages than before.
pub fn with_other_stages<'a>(
    before: &'a [Chain],
    after: &'a [Chain],
) -> impl Iterator<Item = &'a name::Endpoint> {
    let differs =
        |chain: &&Chain| before.iter().any(|old| old.key == chain.key && old.hops != chain.hops);
    after.iter().filter(differs).map(|chain| &chain.key)
}

fn mark_shared(chains: &mut [Chain]) {
    let mut count: BTreeMap<name::Endpoint, usize> = BTreeMap::new();
    for hop in chains.iter().flat_map(|c| &c.hops) {
        *count.entry(hop.endpoint.clone()).or_default() += 1;
    }
    for chain in chains {
        chain.is_shared = chain.hops.iter().any(|h| count.get(&h.endpoint) > Some(&1));
    }
}
