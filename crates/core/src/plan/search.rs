//! The shortest path through a model's layers over endpoints that compete.

use std::collections::BTreeMap;

use crate::config;
use crate::estimate::Rng;
use crate::membership::FULL_WEIGHT;
use crate::plan::node::Node;
use crate::plan::{ACTIVATION_BYTES, Key, Planner, Query};
use crate::time::{Instant, as_us};

/// Endpoints of one layer range that compete, besides those that cached the prompt.
const SAMPLES: usize = 3;

/// The endpoints of one model by layer range.
///
/// The ranges are ordered by first layer, so that each comes after all that it can follow.
#[derive(Clone, Debug)]
pub struct Graph {
    layers: u16,
    chunk: u32,
    ranges: BTreeMap<(u16, u16), Vec<Key>>,
}

/// The best path and what it was compared with.
#[derive(Clone, Debug)]
pub struct Path {
    /// The endpoints in layer order.
    pub keys: Vec<Key>,
    /// Estimated microseconds to the first token.
    pub first_us: f64,
    /// Estimated microseconds between tokens.
    pub token_us: f64,
    /// All endpoints that competed, with their cost without links.
    pub compared: Vec<(Key, f64)>,
}

/// An endpoint that competes.
struct Runner {
    key: Key,
    end: u16,
    /// Time to the first token, and between tokens, up to and with this stage.
    best: Option<(Cost, Option<usize>)>,
}

/// Time to the first token and between tokens, in microseconds.
#[derive(Clone, Copy, Default)]
struct Cost {
    first_us: f64,
    token_us: f64,
}

impl Cost {
    fn plus(self, first_us: f64, token_us: f64) -> Self {
        Self { first_us: self.first_us + first_us, token_us: self.token_us + token_us }
    }

    fn total_us(self, query: &Query<'_>) -> f64 {
        self.first_us + self.token_us * f64::from(query.answer_tokens.saturating_sub(1))
    }
}

impl Path {
    /// Estimated microseconds of the whole answer.
    pub fn total_us(&self, query: &Query<'_>) -> f64 {
        let cost = Cost { first_us: self.first_us, token_us: self.token_us };
        cost.total_us(query)
    }

    /// Whether the answer is expected before the deadline.
    pub fn meets(&self, query: &Query<'_>) -> bool {
        self.total_us(query) <= as_us(query.left) as f64
    }
}

impl Graph {
    /// A graph of a model without endpoints.
    pub fn new(model: &config::Model) -> Self {
        Self { layers: model.layers, chunk: model.chunk.max(1), ranges: BTreeMap::new() }
    }

    /// Adds an endpoint with the layers from `first` up to `end`; an empty range is left out.
    pub fn insert(&mut self, first: u16, end: u16, key: Key) {
        if first < end && end <= self.layers {
            self.ranges.entry((first, end)).or_default().push(key);
        }
    }

    /// Finds the cheapest chain. With `rng`, only random endpoints of each range compete.
    pub fn search(
        &self,
        planner: &Planner,
        now: Instant,
        query: &Query<'_>,
        mut rng: Option<&mut Rng>,
    ) -> Option<Path> {
        let mut runners: Vec<Runner> = Vec::with_capacity(self.ranges.len() * (SAMPLES + 1));
        let mut compared = Vec::with_capacity(self.ranges.len() * (SAMPLES + 1));
        for (&(first, end), members) in &self.ranges {
            for key in compete(planner, now, query, members, rng.as_deref_mut()) {
                let Some(node) = planner.nodes.get(key) else { continue };
                let own = self.own_cost(node, now, query);
                let best = self.extend(planner, now, query, (&runners, first, node, own));
                compared.push((key, own.total_us(query)));
                runners.push(Runner { key, end, best });
            }
        }
        let (cost, last) = self.finish(planner, now, query, &runners)?;
        let mut keys = Vec::new();
        let mut at = Some(last);
        while let Some(index) = at {
            keys.push(runners[index].key);
            at = runners[index].best.and_then(|(_, previous)| previous);
        }
        keys.reverse();
        Some(Path { keys, first_us: cost.first_us, token_us: cost.token_us, compared })
    }

    fn own_cost(&self, node: &Node, now: Instant, query: &Query<'_>) -> Cost {
        let tokens = query.prompt_tokens.saturating_sub(node.cached(query.prefixes)).max(1);
        let chunks = f64::from(tokens.div_ceil(self.chunk));
        Cost::default().plus(node.prompt_us(now, tokens, chunks), node.token_us(now))
    }

    /// The cheapest way to `node` over the runners that end where it begins.
    fn extend(
        &self,
        planner: &Planner,
        now: Instant,
        query: &Query<'_>,
        (runners, first, node, own): (&[Runner], u16, &Node, Cost),
    ) -> Option<(Cost, Option<usize>)> {
        let prompt = ACTIVATION_BYTES * f64::from(query.prompt_tokens);
        if first == 0 {
            let hop = planner.links.estimate(now, planner.origin, node.place, 0.0);
            return Some((own.plus(hop, hop), None));
        }
        let before = runners.iter().enumerate().filter(|(_, runner)| runner.end == first);
        let ways = before.filter_map(|(index, runner)| {
            let (cost, _) = runner.best?;
            let from = planner.nodes.get(runner.key)?.place;
            let first_us = planner.links.estimate(now, from, node.place, prompt);
            let token_us = planner.links.estimate(now, from, node.place, ACTIVATION_BYTES);
            let cost = cost.plus(own.first_us, own.token_us).plus(first_us, token_us);
            Some((cost, Some(index)))
        });
        ways.min_by(|(a, _), (b, _)| a.total_us(query).total_cmp(&b.total_us(query)))
    }

    fn finish(
        &self,
        planner: &Planner,
        now: Instant,
        query: &Query<'_>,
        runners: &[Runner],
    ) -> Option<(Cost, usize)> {
        let last = runners.iter().enumerate().filter(|(_, runner)| runner.end == self.layers);
        let ways = last.filter_map(|(index, runner)| {
            let (cost, _) = runner.best?;
            let from = planner.nodes.get(runner.key)?.place;
            let hop = planner.links.estimate(now, from, planner.origin, 0.0);
            Some((cost.plus(hop, hop), index))
        });
        ways.min_by(|(a, _), (b, _)| a.total_us(query).total_cmp(&b.total_us(query)))
    }
}

/// The endpoints among `members` that compete: random ones, the ones to keep, and the one that
/// is thought to have cached the most of the prompt.
fn compete(
    planner: &Planner,
    now: Instant,
    query: &Query<'_>,
    members: &[Key],
    rng: Option<&mut Rng>,
) -> Vec<Key> {
    let node = |key: &Key| planner.nodes.get(*key);
    let usable = |key: &&Key| node(key).is_some_and(|node| node.usable(now));
    let trusted = |key: &&Key| {
        let trust = |n: &Node| !n.suspected(now) && !query.avoid.contains(n.name());
        node(key).is_some_and(trust)
    };
    let all: Vec<Key> = members.iter().filter(usable).copied().collect();
    let mut usable: Vec<Key> = all.iter().filter(trusted).copied().collect();
    if usable.is_empty() {
        // A suspected endpoint is better than none.
        usable = all;
    }
    let Some(rng) = rng else { return usable };
    let mut drawn = |key: &Key| {
        let weight = node(key).map_or(FULL_WEIGHT, Node::weight);
        weight >= FULL_WEIGHT || rng.below(FULL_WEIGHT as usize) < weight as usize
    };
    let settled: Vec<Key> = usable.iter().filter(|key| drawn(key)).copied().collect();
    if !settled.is_empty() {
        usable = settled;
    }
    if usable.len() <= SAMPLES {
        return usable;
    }
    // The first places of a partial shuffle are the sample.
    for place in 0..SAMPLES {
        let other = place + rng.below(usable.len() - place);
        usable.swap(place, other);
    }
    let rest = usable.split_off(SAMPLES);
    let kept = rest.iter().filter(|key| node(key).is_some_and(|n| query.keep.contains(n.name())));
    let cached = |key: &&Key| node(key).map_or(0, |node| node.cached(query.prefixes));
    let best = rest.iter().max_by_key(cached).filter(|key| cached(key) > 0);
    let more: Vec<Key> = kept.chain(best).copied().collect();
    for key in more {
        if !usable.contains(&key) {
            usable.push(key);
        }
    }
    usable
}

/// The better of random endpoints of a plain service.
pub fn pick(
    planner: &Planner,
    now: Instant,
    query: &Query<'_>,
    members: &[Key],
    rng: &mut Rng,
) -> Option<Path> {
    let cost = |key: Key| {
        let node = planner.nodes.get(key)?;
        let there = planner.links.estimate(now, planner.origin, node.place, 0.0);
        let back = planner.links.estimate(now, node.place, planner.origin, 0.0);
        Some((key, node.token_us(now) + there + back))
    };
    let competing = compete(planner, now, query, members, Some(rng));
    let compared: Vec<(Key, f64)> = competing.into_iter().filter_map(cost).collect();
    let (key, first_us) = compared.iter().copied().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    Some(Path { keys: vec![key], first_us, token_us: 0.0, compared })
}
