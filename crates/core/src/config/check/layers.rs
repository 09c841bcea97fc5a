//! Checks of layer ranges: every endpoint of a model must be part of a chain without gaps.

use std::collections::{BTreeMap, BTreeSet};

use super::Checker;
use crate::config::fault::{Fault, Reason};
use crate::config::{Config, Kind};
use crate::name;

/// The range of layers that one endpoint holds, without `end`.
struct Span<'a> {
    endpoint: &'a name::Endpoint,
    first: u16,
    end: u16,
}

/// Finds endpoints that cannot be part of any chain over all layers of their model.
pub(super) fn run(config: &Config, faults: &mut Vec<Fault>) {
    let mut spans: BTreeMap<&name::Model, Vec<Span<'_>>> = BTreeMap::new();
    for (endpoint, settings) in &config.endpoints {
        if let Kind::Engine { model, first_layer, end_layer, .. } = &settings.kind {
            let span = Span { endpoint, first: *first_layer, end: *end_layer };
            spans.entry(model).or_default().push(span);
        }
    }
    for (model, spans) in spans {
        if let Some(known) = config.models.get(model) {
            check(&spans, known.layers, faults);
        }
    }
}

fn check(spans: &[Span<'_>], layers: u16, faults: &mut Vec<Fault>) {
    let from_start = reachable(0, spans.iter().map(|s| (s.first, s.end)));
    let from_end = reachable(layers, spans.iter().map(|s| (s.end, s.first)));
    for span in spans.iter().filter(|s| s.first < s.end && s.end <= layers) {
        let mut checker = Checker::new(faults, "endpoints", span.endpoint);
        if !from_start.contains(&span.first) {
            let allowed =
                format!("0, or a layer up to which a chain from 0 exists: {from_start:?}");
            checker.fault("kind.engine.first-layer", Reason::Gap, span.first, allowed);
        }
        if !from_end.contains(&span.end) {
            let allowed =
                format!("{layers}, or a layer from which a chain to {layers} exists: {from_end:?}");
            checker.fault("kind.engine.end-layer", Reason::Gap, span.end, allowed);
        }
    }
}

/// Returns the layers that can be reached from `start` along `steps`, `start` included.
fn reachable(start: u16, steps: impl Iterator<Item = (u16, u16)>) -> BTreeSet<u16> {
    let mut edges: BTreeMap<u16, BTreeSet<u16>> = BTreeMap::new();
    for (from, to) in steps {
        edges.entry(from).or_default().insert(to);
    }
    let mut reached = BTreeSet::from([start]);
    let mut pending = vec![start];
    while let Some(at) = pending.pop() {
        for next in edges.get(&at).into_iter().flatten() {
            if reached.insert(*next) {
                pending.push(*next);
            }
        }
    }
    reached
}
