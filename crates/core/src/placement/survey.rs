//! What the chains of a plan are expected to serve on the endpoints that there are.

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::{self, Stage as Part};
use super::{Candidate, Chain, Model, Range};
use crate::name;

/// Part of its throughput that a chain is taken to keep while it runs through endpoints of other
/// chains in place of lost ones: it shares their memory and their time.
const BRIDGED_PART: f64 = 0.3;

/// Endpoints by name, to look up what chains are made of.
#[derive(Clone, Debug)]
pub struct Survey<'a> {
    model: &'a Model,
    known: BTreeMap<&'a name::Endpoint, &'a Candidate>,
}

impl<'a> Survey<'a> {
    /// A survey of `endpoints`.
    pub fn new(model: &'a Model, endpoints: &'a [Candidate]) -> Self {
        Self { model, known: endpoints.iter().map(|e| (&e.endpoint, e)).collect() }
    }

    /// The endpoint of that name, if it is there.
    pub fn get(&self, endpoint: &name::Endpoint) -> Option<&'a Candidate> {
        self.known.get(endpoint).copied()
    }

    /// The stages of a chain that are there, for an estimate.
    pub fn parts(&self, chain: &Chain) -> Vec<Part<'a>> {
        let known = chain.stages.iter().filter_map(|s| Some((self.get(&s.endpoint)?, s.layers)));
        known.map(|(c, l)| Part { accelerator: &c.accelerator, layers: l.len() }).collect()
    }

    /// Layers of a chain whose endpoints are not there.
    pub fn missing(&self, chain: &Chain) -> Vec<Range> {
        let stages = chain.stages.iter();
        stages.filter(|s| self.get(&s.endpoint).is_none()).map(|s| s.layers).collect()
    }

    /// Passages between availability zones along a chain.
    pub fn crossings(&self, chain: &Chain) -> usize {
        let stages = chain.stages.iter();
        let zones: Vec<_> = stages.filter_map(|s| Some(&self.get(&s.endpoint)?.zone)).collect();
        zones.windows(2).filter(|pair| pair[0] != pair[1]).count()
    }

    /// Availability zones of a chain's stages, with the number of stages in each.
    pub fn zones(&self, chain: &Chain) -> BTreeMap<&'a name::Zone, usize> {
        let mut counts = BTreeMap::new();
        for candidate in chain.stages.iter().filter_map(|s| self.get(&s.endpoint)) {
            *counts.entry(&candidate.zone).or_default() += 1;
        }
        counts
    }

    /// Usual requests a second of a chain, as if the stages that are there were all.
    pub fn throughput(&self, chain: &Chain) -> f64 {
        estimate::throughput(self.model, &self.parts(chain), self.crossings(chain))
    }

    /// Usual requests a second of all chains; those with lost stages serve a part.
    pub fn total(&self, chains: &[Chain]) -> f64 {
        let value = |chain: &Chain| {
            let part = if self.missing(chain).is_empty() { 1.0 } else { BRIDGED_PART };
            part * self.throughput(chain)
        };
        chains.iter().map(value).sum()
    }

    /// Endpoints that are in no chain.
    pub fn free(&self, chains: &[Chain]) -> Vec<&'a Candidate> {
        let stages = chains.iter().flat_map(|c| &c.stages);
        let used: BTreeSet<&name::Endpoint> = stages.map(|s| &s.endpoint).collect();
        self.known.values().filter(|c| !used.contains(&c.endpoint)).copied().collect()
    }
}
