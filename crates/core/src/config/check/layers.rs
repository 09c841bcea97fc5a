//! Layer ranges: the endpoints of a model must form chains without gap.

use std::collections::{BTreeMap, BTreeSet};

use super::Part;
use crate::config::fault::{Fault, Reason};
use crate::config::{Config, Kind};
use crate::name;

/// One endpoint's range of layers, end exclusive.
struct Span<'a> {
    endpoint: &'a name::Endpoint,
    first: u16,
    end: u16,
}

/// Finds endpoints that no chain over all layers of their model can use.
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
    let from_start = reach(0, spans.iter().map(|s| (s.first, s.end)));
    let from_end = reach(layers, spans.iter().map(|s| (s.end, s.first)));
    for span in spans.iter().filter(|s| s.first < s.end && s.end <= layers) {
        let mut part = Part::new(faults, "endpoints", span.endpoint);
        if !from_start.contains(&span.first) {
            let allowed = format!("0, or a layer where a chain from 0 ends: {from_start:?}");
            part.fault("kind.engine.first-layer", Reason::Gap, span.first, allowed);
        }
        if !from_end.contains(&span.end) {
            let allowed = format!("{layers}, or a layer where a chain goes on: {from_end:?}");
            part.fault("kind.engine.end-layer", Reason::Gap, span.end, allowed);
        }
    }
}

/// The layers that can be reached from `start` along `steps`.
fn reach(start: u16, steps: impl Iterator<Item = (u16, u16)>) -> BTreeSet<u16> {
    let mut edges: BTreeMap<u16, BTreeSet<u16>> = BTreeMap::new();
    for (from, to) in steps {
        edges.entry(from).or_default().insert(to);
    }
    let mut reached = BTreeSet::from([start]);
    let mut open = vec![start];
    while let Some(at) = open.pop() {
        for next in edges.get(&at).into_iter().flatten() {
            if reached.insert(*next) {
                open.push(*next);
            }
        }
    }
    reached
}
