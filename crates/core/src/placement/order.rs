//! Steps by which an endpoint gets from the layers that it holds to those that the plan assigns.

use super::{Model, Range};

/// Returns the layers to order next from an endpoint with `memory` bytes that holds `held` and is
/// to hold `wanted`, or `None` if there is nothing to order or `wanted` does not fit.
///
/// While an order is carried out, an endpoint may hold its old and its new layers at once. If both
/// do not fit, it first drops the layers that are not in `wanted`.
pub fn next(model: &Model, memory: f64, held: Range, wanted: Range) -> Option<Range> {
    if held == wanted || (held.is_empty() && wanted.is_empty()) {
        return None;
    }
    let kept = held.intersection(wanted);
    let both = (held.len() - kept.len()).saturating_add(wanted.len());
    if f64::from(both) * model.layer_bytes <= memory {
        return Some(wanted);
    }
    if kept == held {
        // `wanted` does not fit even alone; ordering it would exceed the endpoint's memory.
        return None;
    }
    Some(if kept.is_empty() { Range::default() } else { kept })
}

/// Idle reports in a row after which an endpoint is taken not to load what was ordered. The layers in a
/// report may be older than the rest of it.
const MAX_IDLE_REPORTS: u32 = 5;

/// Watches by an endpoint's reports whether an order has been carried out.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    ordered: Range,
    idle_reports: u32,
}

impl Watch {
    /// Begins to watch an order to hold `ordered`.
    pub fn new(ordered: Range) -> Self {
        Self { ordered, idle_reports: 0 }
    }

    /// Records a report by which the endpoint holds `held` and, if `is_idle`, carries nothing out.
    ///
    /// Returns whether the order is settled: the endpoint holds what was ordered, or it has been idle
    /// for long enough.
    pub fn record(&mut self, held: Range, is_idle: bool) -> bool {
        self.idle_reports = if is_idle { self.idle_reports + 1 } else { 0 };
        is_idle && (held == self.ordered || self.idle_reports >= MAX_IDLE_REPORTS)
    }
}
