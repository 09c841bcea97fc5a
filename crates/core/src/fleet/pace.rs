//! Which endpoints run more slowly than their kind of accelerator does.
//!
//! Load pattern: one stage of a chain runs at a fraction of its speed for some seconds. Every token of
//! the chain passes it, so that all its streams pause too long, while the other stages have time left.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Incarnation;
use crate::name;
use crate::time::Instant;

/// Pace, as a ratio of step times, from which an endpoint counts as slow.
const SLOW_PACE: f64 = 1.8;

/// Time for which a report counts. Slow endpoints are asked again before it ends.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Slowdown of a chain, as a ratio of observed to estimated pauses, from which its stages are asked
/// for their pace.
pub const SUSPICIOUS_SLOWDOWN: f64 = 1.5;

/// Paces that endpoints reported recently.
#[derive(Debug, Default)]
pub struct Paces {
    slow: BTreeMap<name::Endpoint, (u64, Instant)>,
}

impl Paces {
    /// Records a reported pace. Returns whether the endpoint became slow or ceased to be.
    pub fn record(&mut self, incarnation: &Incarnation, pace: f64, now: Instant) -> bool {
        let was_slow = self.is_slow(&incarnation.endpoint, incarnation.born, now);
        let is_slow = pace >= SLOW_PACE;
        if is_slow {
            self.slow.insert(incarnation.endpoint.clone(), (incarnation.born, now));
        } else {
            self.slow.remove(&incarnation.endpoint);
        }
        was_slow != is_slow
    }

    /// Returns whether the endpoint reported a slow pace recently and since its start `born`.
    pub fn is_slow(&self, id: &name::Endpoint, born: u64, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < REPORT_LIFETIME;
        self.slow.get(id).is_some_and(|(of, at)| *of == born && is_recent(*at))
    }
}
