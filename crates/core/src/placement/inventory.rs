//! The available endpoints by name, and the expected throughput of chains on them.

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::{self, Assignment};
use super::{Candidate, Chain, Model, Range};
use crate::name;

/// Share of its throughput that a chain is assumed to keep while its requests run through endpoints
/// of other chains in place of lost stages, because it shares their memory and compute time.
const REROUTED_FRACTION: f64 = 0.3;

/// The available endpoints by name, to look up the stages of chains.
#[derive(Clone, Debug)]
pub struct Inventory<'a> {
    model: &'a Model,
    by_name: BTreeMap<&'a name::Endpoint, &'a Candidate>,
}

impl<'a> Inventory<'a> {
    /// Creates an inventory of `endpoints`.
    pub fn new(model: &'a Model, endpoints: &'a [Candidate]) -> Self {
        Self { model, by_name: endpoints.iter().map(|e| (&e.endpoint, e)).collect() }
    }

    /// Returns the endpoint of that name, or `None` if it is not available.
    pub fn get(&self, endpoint: &name::Endpoint) -> Option<&'a Candidate> {
        self.by_name.get(endpoint).copied()
    }

    /// Takes an endpoint out.
    pub fn remove(&mut self, endpoint: &name::Endpoint) {
        self.by_name.remove(endpoint);
    }

    /// Returns the available stages of a chain as input of [`estimate`].
    pub fn assignments(&self, chain: &Chain) -> Vec<Assignment<'a>> {
        let present = chain.stages.iter().filter_map(|s| Some((self.get(&s.endpoint)?, s.layers)));
        present.map(|(c, l)| Assignment { accelerator: &c.accelerator, layers: l.len() }).collect()
    }

    /// Returns the layer ranges of a chain whose endpoints are not available.
    pub fn missing(&self, chain: &Chain) -> Vec<Range> {
        let stages = chain.stages.iter();
        stages.filter(|s| self.get(&s.endpoint).is_none()).map(|s| s.layers).collect()
    }

    /// Counts how often a chain passes from one availability zone to another.
    pub fn crossings(&self, chain: &Chain) -> usize {
        let stages = chain.stages.iter();
        let stage_zones: Vec<_> =
            stages.filter_map(|s| Some(&self.get(&s.endpoint)?.zone)).collect();
        stage_zones.windows(2).filter(|zones| zones[0] != zones[1]).count()
    }

    /// Counts the available stages of a chain in each availability zone.
    pub fn zones(&self, chain: &Chain) -> BTreeMap<&'a name::Zone, usize> {
        let mut counts = BTreeMap::new();
        for candidate in chain.stages.iter().filter_map(|s| self.get(&s.endpoint)) {
            *counts.entry(&candidate.zone).or_default() += 1;
        }
        counts
    }

    /// Estimates the mean-sized requests per second of a chain, ignoring unavailable stages.
    pub fn throughput(&self, chain: &Chain) -> f64 {
        estimate::throughput(self.model, &self.assignments(chain), self.crossings(chain))
    }

    /// Estimates the mean-sized requests per second of all chains together.
    ///
    /// Chains with unavailable stages count with a reduced throughput.
    pub fn total_throughput(&self, chains: &[Chain]) -> f64 {
        let throughput = |chain: &Chain| {
            let fraction = if self.missing(chain).is_empty() { 1.0 } else { REROUTED_FRACTION };
            fraction * self.throughput(chain)
        };
        chains.iter().map(throughput).sum()
    }

    /// Returns the available endpoints that are in none of `chains`, ordered by name.
    pub fn free(&self, chains: &[Chain]) -> Vec<&'a Candidate> {
        let stages = chains.iter().flat_map(|c| &c.stages);
        let used: BTreeSet<&name::Endpoint> = stages.map(|s| &s.endpoint).collect();
        self.by_name.values().filter(|c| !used.contains(&c.endpoint)).copied().collect()
    }
}
