//! What an endpoint is to be told next so that it comes to hold its part.

use super::{Model, Range};

/// The next layers to order, if any, for an endpoint with `memory` bytes that holds `held` and is
/// to hold `wanted`.
///
/// While it moves, an endpoint may hold what it had and what it gets. Where both do not fit, it
/// first gives up what it is not to keep.
pub fn next(model: &Model, memory: f64, held: Range, wanted: Range) -> Option<Range> {
    if held == wanted || (held.is_empty() && wanted.is_empty()) {
        return None;
    }
    let common = held.common(wanted);
    let both = held.len() + wanted.len() - common.len();
    if f64::from(both) * model.layer_bytes <= memory {
        return Some(wanted);
    }
    if common == held {
        // What is wanted does not fit by itself; ordering it would overload the endpoint.
        return None;
    }
    Some(if common.is_empty() { Range::default() } else { common })
}
