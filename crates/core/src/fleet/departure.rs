//! Endpoints that have left, whose registrations may come back with an older copy of the store.
//!
//! Nobody renews such a registration, so that it expires. One that does not is of an endpoint that runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Endpoint, Incarnation};
use crate::time::Instant;

/// Maximum number of endpoints that are remembered; those of the earliest eras are forgotten.
const MAX_ENTRIES: usize = 4096;

/// Heartbeats after which a registration that is not renewed has certainly expired, and its end has been
/// read.
const EXPIRY_HEARTBEATS: u32 = 4;

/// What is known of an endpoint that has left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Era of the store in which it was first missing.
    era: u64,
    /// Last heartbeat that it had registered.
    heartbeat: u64,
}

/// Endpoints that have left, and when the store last came back from a copy.
#[derive(Debug, Default)]
pub struct Departures {
    departed: BTreeMap<Incarnation, Departure>,
    restored_at: Option<Instant>,
}

impl Departures {
    /// Records that the store has come back from a copy, as a listing at `read_at` shows.
    pub fn record_restore(&mut self, read_at: Instant) {
        self.restored_at = Some(read_at);
    }

    /// Returns whether registrations of a listing that was read at `read_at` may be older than what was known
    /// before, where endpoints register every `heartbeat`.
    pub fn may_be_stale(&self, read_at: Instant, heartbeat: Duration) -> bool {
        self.restored_at.is_some_and(|at| read_at.since(at) < heartbeat * EXPIRY_HEARTBEATS)
    }

    /// Records that a registered endpoint is missing from a listing of `era`.
    pub fn record(&mut self, endpoint: &Endpoint, era: u64) {
        let departure = Departure { era, heartbeat: endpoint.heartbeat };
        self.departed.insert(endpoint.incarnation(), departure);
        if self.departed.len() > MAX_ENTRIES {
            let oldest = self.departed.iter().min_by_key(|(_, d)| d.era).map(|(i, _)| i.clone());
            oldest.map(|incarnation| self.departed.remove(&incarnation));
        }
    }

    /// Returns whether an endpoint has left in an era before `era`, and has not registered since.
    pub fn has_left(&self, endpoint: &Endpoint, era: u64) -> bool {
        // Names are copied for a lookup only while some endpoint has left.
        let departure = match self.departed.is_empty() {
            true => None,
            false => self.departed.get(&endpoint.incarnation()),
        };
        departure.is_some_and(|d| d.era < era && endpoint.heartbeat <= d.heartbeat)
    }

    /// Records that an endpoint is registered.
    pub fn record_return(&mut self, endpoint: &Endpoint) {
        if !self.departed.is_empty() {
            self.departed.remove(&endpoint.incarnation());
        }
    }
}

/// Returns whether `known` is a later registration of an endpoint than `listed`.
pub fn is_later(known: &Endpoint, listed: &Endpoint) -> bool {
    (known.born, known.heartbeat) > (listed.born, listed.heartbeat)
}
