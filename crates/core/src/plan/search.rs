//! Search for the cheapest chain: a shortest path through a model's layers over sampled endpoints.

use std::collections::BTreeMap;

use crate::config;
use crate::estimate::Rng;
use crate::membership::FULL_WEIGHT;
use crate::plan::node::Node;
use crate::plan::{ACTIVATION_BYTES, Key, Planner, Query};
use crate::time::{Instant, as_us};

/// Endpoints of one layer range that are sampled at random; those to include and the one with the
/// most of the prompt in its prefix cache are added.
const SAMPLE_SIZE: usize = 3;

/// The endpoints of one model by layer range.
///
/// Ranges are ordered by first layer, so that each comes after all of its possible predecessors.
#[derive(Clone, Debug)]
pub struct Graph {
    layers: u16,
    chunk: u32,
    ranges: BTreeMap<(u16, u16), Vec<Key>>,
}

/// The cheapest chain, and the endpoints among which it was found.
#[derive(Clone, Debug)]
pub struct Path {
    /// The endpoints in layer order.
    pub keys: Vec<Key>,
    /// Estimated microseconds to the first token.
    pub first_us: f64,
    /// Estimated microseconds between tokens.
    pub token_us: f64,
    /// All endpoints that were compared, with their cost in microseconds. The cost includes links
    /// for plain services, but not for engines.
    pub candidates: Vec<(Key, f64)>,
}

/// A sampled endpoint as a vertex of the search.
struct Vertex {
    key: Key,
    end: u16,
    /// Cost of the cheapest path up to and including this vertex, with the index of the previous
    /// vertex if there is one; `None` if no path leads here.
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
    /// Estimates the microseconds of the whole answer.
    pub fn total_us(&self, query: &Query<'_>) -> f64 {
        let cost = Cost { first_us: self.first_us, token_us: self.token_us };
        cost.total_us(query)
    }

    /// Returns whether the answer is expected before the deadline.
    pub fn meets_deadline(&self, query: &Query<'_>) -> bool {
        self.total_us(query) <= as_us(query.time_left) as f64
    }
}

impl Graph {
    /// Creates the graph of a model, without endpoints.
    pub fn new(model: &config::Model) -> Self {
        Self { layers: model.layers, chunk: model.chunk.max(1), ranges: BTreeMap::new() }
    }

    /// Adds an endpoint with the layers from `first` up to but excluding `end`; ignores ranges that
    /// are empty or exceed the model.
    pub fn insert(&mut self, first: u16, end: u16, key: Key) {
        if first < end && end <= self.layers {
            self.ranges.entry((first, end)).or_default().push(key);
        }
    }

    /// Finds the cheapest chain, among a random sample of each range's endpoints if `rng` is
    /// given.
    pub fn search(
        &self,
        planner: &Planner,
        now: Instant,
        query: &Query<'_>,
        mut rng: Option<&mut Rng>,
    ) -> Option<Path> {
        let mut vertices: Vec<Vertex> = Vec::with_capacity(self.ranges.len() * (SAMPLE_SIZE + 1));
        let mut candidates = Vec::with_capacity(self.ranges.len() * (SAMPLE_SIZE + 1));
        for (&(first, end), members) in &self.ranges {
            for key in sample(planner, now, query, members, rng.as_deref_mut()) {
                let Some(node) = planner.nodes.get(key) else { continue };
                let node_cost = self.node_cost(node, now, query);
                let best =
                    self.cheapest_to(planner, now, query, (&vertices, first, node, node_cost));
                candidates.push((key, node_cost.total_us(query)));
                vertices.push(Vertex { key, end, best });
            }
        }
        let (cost, last) = self.cheapest_end(planner, now, query, &vertices)?;
        let mut keys = Vec::new();
        let mut at = Some(last);
        while let Some(index) = at {
            keys.push(vertices[index].key);
            at = vertices[index].best.and_then(|(_, previous)| previous);
        }
        keys.reverse();
        Some(Path { keys, first_us: cost.first_us, token_us: cost.token_us, candidates })
    }

    /// Estimates the cost of a stage on `node`, without links.
    fn node_cost(&self, node: &Node, now: Instant, query: &Query<'_>) -> Cost {
        let tokens = query.prompt_tokens.saturating_sub(node.cached(query.prefixes)).max(1);
        let chunks = f64::from(tokens.div_ceil(self.chunk));
        Cost::default().plus(node.prompt_us(now, tokens, chunks), node.token_us(now))
    }

    /// Returns the cost of the cheapest path to `node`, whose range begins at layer `first`, with
    /// the index of the previous vertex.
    fn cheapest_to(
        &self,
        planner: &Planner,
        now: Instant,
        query: &Query<'_>,
        (vertices, first, node, node_cost): (&[Vertex], u16, &Node, Cost),
    ) -> Option<(Cost, Option<usize>)> {
        let prompt = ACTIVATION_BYTES * f64::from(query.prompt_tokens);
        if first == 0 {
            let link_us = planner.links.estimate(now, planner.origin, node.location, 0.0);
            return Some((node_cost.plus(link_us, link_us), None));
        }
        let before = vertices.iter().enumerate().filter(|(_, vertex)| vertex.end == first);
        let paths = before.filter_map(|(index, vertex)| {
            let (cost, _) = vertex.best?;
            let from = planner.nodes.get(vertex.key)?.location;
            let first_us = planner.links.estimate(now, from, node.location, prompt);
            let token_us = planner.links.estimate(now, from, node.location, ACTIVATION_BYTES);
            let cost = cost.plus(node_cost.first_us, node_cost.token_us).plus(first_us, token_us);
            Some((cost, Some(index)))
        });
        paths.min_by(|(a, _), (b, _)| a.total_us(query).total_cmp(&b.total_us(query)))
    }

    /// Returns the cost of the cheapest complete path, with the index of its last vertex.
    fn cheapest_end(
        &self,
        planner: &Planner,
        now: Instant,
        query: &Query<'_>,
        vertices: &[Vertex],
    ) -> Option<(Cost, usize)> {
        let last = vertices.iter().enumerate().filter(|(_, vertex)| vertex.end == self.layers);
        let paths = last.filter_map(|(index, vertex)| {
            let (cost, _) = vertex.best?;
            let from = planner.nodes.get(vertex.key)?.location;
            let link_us = planner.links.estimate(now, from, planner.origin, 0.0);
            Some((cost.plus(link_us, link_us), index))
        });
        paths.min_by(|(a, _), (b, _)| a.total_us(query).total_cmp(&b.total_us(query)))
    }
}

/// Returns the endpoints among `members` to be compared: a random sample, those to include, and the
/// one that has the most of the prompt in its prefix cache according to hints. Without `rng`,
/// returns all usable ones.
fn sample(
    planner: &Planner,
    now: Instant,
    query: &Query<'_>,
    members: &[Key],
    rng: Option<&mut Rng>,
) -> Vec<Key> {
    let node = |key: &Key| planner.nodes.get(*key);
    let usable = |key: &&Key| node(key).is_some_and(|node| node.is_usable(now));
    let preferred = |key: &&Key| {
        let is_preferred = |n: &Node| !n.is_suspected(now) && !query.avoid.contains(n.name());
        node(key).is_some_and(is_preferred)
    };
    let all: Vec<Key> = members.iter().filter(usable).copied().collect();
    let mut usable: Vec<Key> = all.iter().filter(preferred).copied().collect();
    if usable.is_empty() {
        // A suspected or avoided endpoint is better than none.
        usable = all;
    }
    let Some(rng) = rng else { return usable };
    let mut passes = |key: &Key| {
        let weight = node(key).map_or(FULL_WEIGHT, Node::weight);
        weight >= FULL_WEIGHT || rng.below(FULL_WEIGHT as usize) < weight as usize
    };
    let weighted: Vec<Key> = usable.iter().filter(|key| passes(key)).copied().collect();
    if !weighted.is_empty() {
        usable = weighted;
    }
    if usable.len() <= SAMPLE_SIZE {
        return usable;
    }
    // A partial Fisher-Yates shuffle moves the sample to the front.
    for index in 0..SAMPLE_SIZE {
        let other = index + rng.below(usable.len() - index);
        usable.swap(index, other);
    }
    let rest = usable.split_off(SAMPLE_SIZE);
    let included =
        rest.iter().filter(|key| node(key).is_some_and(|n| query.include.contains(n.name())));
    let cached = |key: &&Key| node(key).map_or(0, |node| node.cached(query.prefixes));
    let best = rest.iter().max_by_key(cached).filter(|key| cached(key) > 0);
    let more: Vec<Key> = included.chain(best).copied().collect();
    for key in more {
        if !usable.contains(&key) {
            usable.push(key);
        }
    }
    usable
}

/// Returns the cheapest of a random sample of a plain service's endpoints.
pub fn choose_service(
    planner: &Planner,
    now: Instant,
    query: &Query<'_>,
    members: &[Key],
    rng: &mut Rng,
) -> Option<Path> {
    let cost = |key: Key| {
        let node = planner.nodes.get(key)?;
        let there = planner.links.estimate(now, planner.origin, node.location, 0.0);
        let back = planner.links.estimate(now, node.location, planner.origin, 0.0);
        Some((key, node.token_us(now) + there + back))
    };
    let sampled = sample(planner, now, query, members, Some(rng));
    let candidates: Vec<(Key, f64)> = sampled.into_iter().filter_map(cost).collect();
    let (key, first_us) = candidates.iter().copied().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    Some(Path { keys: vec![key], first_us, token_us: 0.0, candidates })
}
