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
    let both = held.len() + wanted.len() - kept.len();
    if f64::from(both) * model.layer_bytes <= memory {
        return Some(wanted);
    }
    if kept == held {
        // `wanted` does not fit even alone; ordering it would exceed the endpoint's memory.
        return None;
    }
    Some(if kept.is_empty() { Range::default() } else { kept })
}
