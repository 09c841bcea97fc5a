//! A bound on the connections of callers, and which of them gives way to a new one.

use slotmap::{SlotMap, new_key_type};

use crate::time::Instant;

new_key_type! {
    /// Identifies a connection.
    pub struct Key;
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request has been read completely since the given time.
    Waiting(Instant),
    /// A request is being served.
    Serving,
}

/// The result of admitting a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted(Key),
    /// It is admitted, and the other one must be closed, which no longer counts.
    InPlaceOf(Key, Key),
    /// All connections are serving requests.
    Full,
}

/// The open connections.
#[derive(Debug)]
pub struct Connections {
    max_count: usize,
    phases: SlotMap<Key, Phase>,
}

impl Connections {
    /// Allows `max_count` connections.
    pub fn new(max_count: usize) -> Self {
        Self { max_count, phases: SlotMap::with_key() }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.phases.len()
    }

    /// Returns whether a new connection takes the place of another one.
    pub fn is_full(&self) -> bool {
        self.phases.len() >= self.max_count
    }

    /// Admits a new connection. If there are too many, the one that has waited longest for a complete request
    /// gives way.
    pub fn admit(&mut self, now: Instant) -> Admission {
        let evicted = if self.is_full() { self.longest_waiting() } else { None };
        if evicted.is_none() && self.is_full() {
            return Admission::Full;
        }
        let key = self.phases.insert(Phase::Waiting(now));
        let Some(evicted) = evicted else {
            return Admission::Admitted(key);
        };
        self.phases.remove(evicted);
        Admission::InPlaceOf(key, evicted)
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, key: Key, phase: Phase) {
        if let Some(current) = self.phases.get_mut(key) {
            *current = phase;
        }
    }

    /// Records that a connection has ended.
    pub fn end(&mut self, key: Key) {
        self.phases.remove(key);
    }

    fn longest_waiting(&self) -> Option<Key> {
        let waiting = self.phases.iter().filter_map(|(key, phase)| match phase {
            Phase::Waiting(since) => Some((*since, key)),
            Phase::Serving => None,
        });
        waiting.min().map(|(_, key)| key)
    }
}
