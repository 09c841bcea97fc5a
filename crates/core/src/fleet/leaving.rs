//! Which endpoints are leaving, by their registrations and by what they say in their answers.
//!
//! Holds for one run of an endpoint, and outlives listings that miss it or still show it as ready.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Incarnation;
use crate::time::Instant;

/// Maximum number of endpoints that are remembered; those that left longest ago are forgotten.
const MAX_ENTRIES: usize = 4096;

/// What an answer states about whether its endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// It says nothing of it, or that it stays.
    Stays,
    /// It is leaving.
    Leaves,
    /// What it says cannot be read, and changes nothing.
    Unreadable,
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The latest time at which it was not known to be leaving.
    since: Instant,
    /// Whether it said so itself.
    is_stated: bool,
}

/// Endpoints that are leaving.
#[derive(Debug, Default)]
pub struct Leaving {
    departures: BTreeMap<Incarnation, Departure>,
}

impl Leaving {
    /// Records that an endpoint is leaving, `is_stated` if it said so itself, and returns whether that is
    /// new. An earlier time replaces a later one.
    pub fn record(&mut self, incarnation: &Incarnation, is_stated: bool, since: Instant) -> bool {
        let is_new = !self.departures.contains_key(incarnation);
        let departure = self.departures.entry(incarnation.clone());
        let departure = departure.or_insert(Departure { since, is_stated });
        departure.since = departure.since.min(since);
        departure.is_stated |= is_stated;
        if self.departures.len() > MAX_ENTRIES {
            let oldest =
                self.departures.iter().min_by_key(|(_, d)| d.since).map(|(i, _)| i.clone());
            oldest.map(|incarnation| self.departures.remove(&incarnation));
        }
        is_new
    }

    /// Returns since when an endpoint has been leaving, or `None` if it is not known to.
    pub fn since(&self, incarnation: &Incarnation) -> Option<Instant> {
        self.departures.get(incarnation).map(|departure| departure.since)
    }

    /// Returns the endpoints that said so themselves, with the time since.
    pub fn stated(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Duration)> {
        let stated = self.departures.iter().filter(|(_, departure)| departure.is_stated);
        stated.map(move |(incarnation, departure)| (incarnation, now.since(departure.since)))
    }

    /// Returns whether no endpoint is known to be leaving.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Returns whether all that are leaving have been for `grace`.
    pub fn are_past(&self, grace: Duration, now: Instant) -> bool {
        self.departures.values().all(|departure| now.since(departure.since) >= grace)
    }
}
