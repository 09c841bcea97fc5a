//! Chooses the next plan among whole ones.
//!
//! Load pattern: endpoints crash, leave and come back, empty, every few seconds. Repairs fill each gap from what
//! is free at that moment, so that after some of them chains are made of many short stages in several availability
//! zones, while endpoints that have come back are in no chain. Each repair is right for itself, and no further one
//! leads back.
//!
//! So the repaired plan is compared with plans in which a chain, all chains of a zone, or all chains are built
//! anew, each by what it serves over the next seconds less what the way there costs ([`transition`]). The plan in
//! force costs nothing, and stays unless another one is worth more.

use std::collections::{BTreeMap, BTreeSet};

use super::build::{self, Existing};
use super::inventory::Inventory;
use super::transition::{self, Outlook};
use super::{Candidate, Chain, Model, Range, Stage, revise};
use crate::name;

/// Ratio of the values of another plan and of the best one so far from which on the other one is taken. What is
/// worth less lies within the error of the estimates.
const MIN_GAIN: f64 = 1.03;

/// Number of times that the best plan so far is varied again.
const MAX_ROUNDS: usize = 3;

/// Returns the chains that replace `current`, given the endpoints that are expected to stay.
pub fn next(
    model: &Model,
    current: &[Chain],
    endpoints: &[Candidate],
    outlook: Outlook,
) -> Vec<Chain> {
    let mut search = Search::new(model, current, endpoints, outlook);
    while search.step() {}
    search.finish()
}

/// What a search has found so far, in requests that are completed within its horizon.
#[derive(Clone, Copy, Debug)]
pub struct Finding {
    /// Value of the best plan.
    pub best: f64,
    /// Value of the plan in force, as far as its endpoints are available.
    pub current: f64,
    /// Number of plans that have been compared.
    pub compared: usize,
}

/// A search, which can be carried out in steps.
#[derive(Debug)]
pub struct Search<'a> {
    model: &'a Model,
    current: &'a [Chain],
    endpoints: &'a [Candidate],
    outlook: Outlook,
    inventory: Inventory<'a>,
    best: (f64, Vec<Chain>),
    /// Sets of chains of the plan `base` that are still to be built anew.
    untried: Vec<BTreeSet<usize>>,
    base: Vec<Chain>,
    rounds: usize,
    compared: usize,
}

impl<'a> Search<'a> {
    /// Begins a search, with the local repairs of the current plan.
    pub fn new(
        model: &'a Model,
        current: &'a [Chain],
        endpoints: &'a [Candidate],
        outlook: Outlook,
    ) -> Self {
        let inventory = Inventory::new(model, endpoints);
        let value =
            |chains: &[Chain]| transition::value(model, &inventory, current, chains, outlook);
        let revised = revise::revise(model, current, endpoints);
        let patched = revise::patch(model, current, endpoints);
        let (of_revised, of_patched) = (value(&revised), value(&patched));
        let best =
            if of_patched > of_revised { (of_patched, patched) } else { (of_revised, revised) };
        let mut search = Self {
            model,
            current,
            endpoints,
            outlook,
            inventory,
            best,
            untried: vec![],
            base: vec![],
            rounds: 0,
            compared: 2,
        };
        search.begin_round();
        search
    }

    /// Tries one more plan, and returns whether there are others to try.
    pub fn step(&mut self) -> bool {
        let Some(rebuilt) = self.untried.pop() else {
            return self.rounds < MAX_ROUNDS && self.best.1 != self.base && self.begin_round();
        };
        self.compared += 1;
        let chains = self.rebuild(&rebuilt);
        let Self { model, inventory, current, outlook, .. } = self;
        let value = transition::value(model, inventory, current, &chains, *outlook);
        if value > self.best.0 * MIN_GAIN {
            self.best = (value, chains);
        }
        true
    }

    /// Returns what decides between the best plan and the one in force.
    pub fn finding(&self) -> Finding {
        let Self { model, inventory, current, outlook, compared, .. } = self;
        let of_current = transition::value(model, inventory, current, current, *outlook);
        Finding { best: self.best.0, current: of_current, compared: *compared }
    }

    /// Returns the best plan.
    pub fn finish(self) -> Vec<Chain> {
        self.best.1
    }

    /// Begins to vary the best plan so far. Returns true.
    fn begin_round(&mut self) -> bool {
        self.rounds += 1;
        self.base.clone_from(&self.best.1);
        let all: BTreeSet<usize> = (0..self.base.len()).collect();
        let zones: BTreeSet<&name::Zone> = self.endpoints.iter().map(|e| &e.zone).collect();
        let of_zone = |zone: &name::Zone| {
            let is_in = |i: &usize| self.inventory.zones(&self.base[*i]).contains_key(zone);
            all.iter().copied().filter(is_in).collect::<BTreeSet<usize>>()
        };
        let mut untried: BTreeSet<BTreeSet<usize>> = zones.into_iter().map(of_zone).collect();
        let is_broken = |i: &usize| !self.inventory.missing(&self.base[*i]).is_empty();
        let crosses = |i: &usize| self.inventory.crossings(&self.base[*i]) > 0;
        untried.insert(all.iter().copied().filter(|i| is_broken(i) || crosses(i)).collect());
        untried.extend(all.iter().map(|i| BTreeSet::from([*i])));
        untried.insert(all);
        untried.insert(BTreeSet::new());
        self.untried = untried.into_iter().collect();
        true
    }

    /// Builds some chains of the base anew, from their endpoints and those that are in no chain.
    fn rebuild(&self, rebuilt: &BTreeSet<usize>) -> Vec<Chain> {
        let is_kept = |(i, _): &(usize, &Chain)| !rebuilt.contains(i);
        let mut chains: Vec<Chain> =
            self.base.iter().enumerate().filter(is_kept).map(|(_, c)| c.clone()).collect();
        let free = self.inventory.free(&chains).into_iter().filter(|c| !c.is_slow);
        let free: Vec<Candidate> = free.cloned().collect();
        let existing = match chains.iter().map(|c| self.inventory.crossings(c)).max() {
            None => Existing::None,
            Some(0) => Existing::WithinZones,
            Some(_) => Existing::AcrossZones,
        };
        let built = build::chains(self.model, &free, existing);
        chains.extend(built.into_iter().map(|chain| self.keep_layers(chain)));
        chains
    }

    /// Orders the stages of a new chain such that endpoints keep layers that they hold. Those of one availability
    /// zone stay next to each other.
    fn keep_layers(&self, chain: Chain) -> Chain {
        let mut by_zone: BTreeMap<Option<&name::Zone>, Vec<Stage>> = BTreeMap::new();
        for stage in chain.stages {
            let zone = self.inventory.get(&stage.endpoint).map(|c| &c.zone);
            by_zone.entry(zone).or_default().push(stage);
        }
        let mut first = 0;
        let mut stages = vec![];
        for of_zone in by_zone.into_values() {
            for stage in self.in_order_of_held(of_zone, first) {
                let end = first + stage.layers.len();
                stages.push(Stage { layers: Range { first, end }, ..stage });
                first = end;
            }
        }
        Chain { stages }
    }

    /// Orders stages from layer `first` on such that each begins about where the layers that its endpoint holds
    /// do. Those of empty endpoints fill the gaps.
    fn in_order_of_held(&self, stages: Vec<Stage>, first: u32) -> Vec<Stage> {
        let held = |s: &Stage| self.inventory.get(&s.endpoint).map(|c| c.held).unwrap_or_default();
        let (mut holders, mut empty): (Vec<Stage>, Vec<Stage>) =
            stages.into_iter().partition(|stage| !held(stage).is_empty());
        holders.sort_by(|a, b| held(b).cmp(&held(a)).then_with(|| b.endpoint.cmp(&a.endpoint)));
        empty.reverse();
        let mut ordered = vec![];
        let mut next = first;
        loop {
            let is_gap = |empty: &Stage, holder: &Stage| {
                held(holder).first.saturating_sub(next) * 2 >= empty.layers.len()
            };
            let stage = match (empty.last(), holders.last()) {
                (Some(e), Some(h)) if is_gap(e, h) => empty.pop(),
                (_, Some(_)) => holders.pop(),
                (_, None) => empty.pop(),
            };
            let Some(stage) = stage else {
                return ordered;
            };
            next += stage.layers.len();
            ordered.push(stage);
        }
    }
}
