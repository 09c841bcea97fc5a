//! The next plan when endpoints come, leave or fail.
//!
//! A chain with a lost stage is mended with endpoints of its availability zone that are in no chain.
//! If there are none, it stays as it is where other chains' endpoints hold the missing layers, so
//! that requests go through those, unless clearly more would be served otherwise; then, or where the
//! layers are nowhere, the chain of its zone that serves least is taken apart for it. What is left
//! over forms further chains. Stages that can stay do.

use std::collections::BTreeSet;

use super::build::{self, Besides};
use super::survey::Survey;
use super::{Candidate, Chain, Model, Range, Stage, estimate};
use crate::name;

/// Parts of a chain's room that a replacement may have, in the order in which they are tried.
const ROOM_PARTS: [f64; 3] = [1.0, 0.8, 0.6];

/// Further parts, for when all else has been tried: such a chain serves little.
const SMALL_ROOM_PARTS: [f64; 2] = [0.4, 0.2];

/// Least room of a replacement, in tokens.
const MIN_ROOM: f64 = 8_000.0;

/// Factor by which more must be served for other chains to be taken apart while a broken one can
/// go on through them: moving layers takes seconds in which neither serves.
const REBUILD_GAIN: f64 = 1.1;

/// Chains after `current` for the endpoints that are expected to stay.
pub fn revise(model: &Model, current: &[Chain], endpoints: &[Candidate]) -> Vec<Chain> {
    let survey = Survey::new(model, endpoints);
    let mut work = Work { model, survey, chains: current.to_vec(), bridged: BTreeSet::new() };
    work.chains.retain(|c| c.is_complete(model.layers));
    while let Some(broken) = work.broken() {
        work.mend(broken);
    }
    work.complete()
}

/// Where replacements may be.
#[derive(Clone, Copy, PartialEq)]
enum Reach {
    /// In the chain's availability zone, so that no further tokens pass between zones.
    Zone,
    /// Anywhere.
    Anywhere,
}

#[derive(Clone)]
struct Work<'a> {
    model: &'a Model,
    survey: Survey<'a>,
    chains: Vec<Chain>,
    /// First endpoints of broken chains that stay as they are.
    bridged: BTreeSet<name::Endpoint>,
}

impl<'a> Work<'a> {
    /// The chains, with further ones out of what is left over.
    fn complete(&self) -> Vec<Chain> {
        let free: Vec<Candidate> = self.free().into_iter().cloned().collect();
        let mut chains = self.chains.clone();
        chains.extend(build::chains(self.model, &free, self.besides()));
        chains
    }

    /// The broken chain that is worth most.
    fn broken(&self) -> Option<usize> {
        let is_open = |i: &usize| {
            let first = &self.chains[*i].stages[0].endpoint;
            !self.missing(*i).is_empty() && !self.bridged.contains(first)
        };
        let broken = (0..self.chains.len()).filter(is_open);
        broken.max_by(|&a, &b| self.value(a).total_cmp(&self.value(b)).then(b.cmp(&a)))
    }

    /// Fills the gaps of a chain, or leaves it as it is where other chains' endpoints hold what is
    /// missing and taking some of those apart would not serve clearly more.
    fn mend(&mut self, index: usize) {
        if self.fill(index, Reach::Zone, &ROOM_PARTS) {
            return;
        }
        let mut rebuilt = self.clone();
        rebuilt.rebuild(index);
        if self.is_bridged(index) {
            self.bridged.insert(self.chains[index].stages[0].endpoint.clone());
            let gain = rebuilt.total() / self.total().max(f64::MIN_POSITIVE);
            if gain < REBUILD_GAIN {
                return;
            }
        }
        *self = rebuilt;
    }

    /// What all chains would serve.
    fn total(&self) -> f64 {
        self.survey.total(&self.complete())
    }

    /// Fills the gaps of a chain, taking apart chains that serve less, or the chain itself.
    fn rebuild(&mut self, index: usize) {
        let mut index = index;
        while !self.fill(index, Reach::Zone, &ROOM_PARTS) {
            let Some(least) = self.least_below(index) else {
                let filled = self.fill(index, Reach::Anywhere, &ROOM_PARTS)
                    || self.fill(index, Reach::Zone, &SMALL_ROOM_PARTS)
                    || self.fill(index, Reach::Anywhere, &SMALL_ROOM_PARTS);
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

    /// Whether endpoints of the same availability zone in other chains hold what is missing.
    ///
    /// Such a chain goes on through them at once; moving layers would first take those away.
    fn is_bridged(&self, index: usize) -> bool {
        let zone = self.zone(index);
        let others = self.chains.iter().enumerate().filter(|(i, _)| *i != index);
        let stages = others.flat_map(|(_, chain)| &chain.stages);
        let near: Vec<Range> = stages
            .filter(|s| {
                self.survey.get(&s.endpoint).is_some_and(|c| Some(&c.zone) == zone.as_ref())
            })
            .map(|s| s.layers)
            .collect();
        let holds = |layer| near.iter().any(|r| r.first <= layer && layer < r.end);
        let mut missing = self.missing(index).into_iter().flat_map(|gap| gap.first..gap.end);
        missing.all(holds)
    }

    /// The chain with endpoints in the availability zone of the one at `index` that serves least, if
    /// it serves less than that one.
    fn least_below(&self, index: usize) -> Option<usize> {
        let zone = self.zone(index);
        let is_near = |i: &usize| {
            let zones = self.survey.zones(&self.chains[*i]);
            zone.as_ref().is_none_or(|zone| zones.contains_key(zone))
        };
        let others = (0..self.chains.len()).filter(|&i| i != index).filter(is_near);
        let least = others.min_by(|&a, &b| self.value(a).total_cmp(&self.value(b)))?;
        (self.value(least) < self.value(index)).then_some(least)
    }

    /// Replaces the missing stages by free endpoints; changes nothing if there are too few.
    fn fill(&mut self, index: usize, reach: Reach, parts: &[f64]) -> bool {
        let room = self.room(index);
        let zone = self.zone(index);
        let gaps = self.missing(index);
        for part in parts {
            let tokens = (room * part).max(MIN_ROOM);
            let mut free = self.free();
            if reach == Reach::Zone {
                free.retain(|c| Some(&c.zone) == zone.as_ref());
            }
            let mut stages = vec![];
            let filled = gaps.iter().all(|gap| {
                let filled = self.cover(*gap, tokens, zone.as_ref(), &mut free);
                filled.map(|new| stages.extend(new)).is_some()
            });
            if filled {
                self.replace(index, stages);
                return true;
            }
        }
        false
    }

    /// Stages for `gap` out of `free`, each with room for `tokens` tokens.
    ///
    /// Endpoints that hold most of what they are to hold come first: they need not load it.
    fn cover(
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
                let most = self.model.capacity(c.accelerator.memory, tokens);
                Range { first, end: (first + most).min(gap.end) }
            };
            let able = left.iter().enumerate().filter(|(_, c)| !part(c).is_empty());
            let (index, _) = able.min_by(|(_, a), (_, b)| {
                let held = |c: &Candidate| c.held.common(part(c)).len();
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

    fn replace(&mut self, index: usize, stages: Vec<Stage>) {
        let survey = &self.survey;
        let chain = &mut self.chains[index];
        chain.stages.retain(|s| survey.get(&s.endpoint).is_some());
        chain.stages.extend(stages);
        chain.stages.sort_by_key(|s| s.layers);
    }

    fn missing(&self, index: usize) -> Vec<Range> {
        self.survey.missing(&self.chains[index])
    }

    /// Endpoints that are in no chain.
    fn free(&self) -> Vec<&'a Candidate> {
        self.survey.free(&self.chains)
    }

    fn value(&self, index: usize) -> f64 {
        self.survey.throughput(&self.chains[index])
    }

    fn besides(&self) -> Besides {
        if self.chains.is_empty() {
            return Besides::Nothing;
        }
        let is_across = self.chains.iter().any(|c| self.survey.crossings(c) > 0);
        if is_across { Besides::Across } else { Besides::Within }
    }

    fn room(&self, index: usize) -> f64 {
        let room = estimate::room(self.model, &self.survey.parts(&self.chains[index]));
        if room.is_finite() { room } else { MIN_ROOM }
    }

    /// The availability zone in which most of the chain's stages are.
    fn zone(&self, index: usize) -> Option<name::Zone> {
        let counts = self.survey.zones(&self.chains[index]);
        counts.into_iter().max_by_key(|(_, n)| *n).map(|(zone, _)| zone.clone())
    }
}
