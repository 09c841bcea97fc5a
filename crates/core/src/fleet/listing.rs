//! How a new listing of the registrations changes what a process knows.

use std::time::Duration;

use super::{Endpoint, Listing, State, View, departure, recovery};
use crate::time::Instant;

/// After a short gap between listings leases have expired if at least one of so many endpoints is
/// missing. Among many entries listings come that late also without an outage, and endpoints that left
/// are missing.
const ENDPOINTS_PER_EXPIRED_LEASE: usize = 6;

/// Number of heartbeats after a report from which on a registration is certainly newer.
const NEWER_BY_HEARTBEATS: u64 = 2;

/// What a listing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// Nothing, since it is older than the one before.
    Ignored,
    /// No endpoint differs.
    Unchanged,
    /// An endpoint differs.
    Changed,
}

impl View {
    /// Replaces the listing by one that was read at `read_at`.
    ///
    /// Ignores listings of an earlier position. After an outage of the store, endpoints that are
    /// missing from the new listing are kept for a while, so that they can register again. After the store
    /// has come back from a copy, what is known to be newer than the copy stays.
    pub fn update_listing(&mut self, mut listing: Listing, read_at: Instant) -> Update {
        if listing.position < self.listing.position {
            return Update::Ignored;
        }
        let sign = self.outage_sign(&listing);
        self.recovery.record(self.listed_at, read_at, sign);
        if sign == recovery::Sign::Restored {
            self.departures.record_restore(read_at);
        }
        if self.departures.may_be_stale(read_at, self.heartbeat) {
            self.keep_newer(&mut listing);
        }
        // An endpoint that is seen draining now may have begun right after the listing before.
        let previous = self.listed_at.unwrap_or_default();
        if self.listed_at.is_none_or(|at| at < read_at) {
            self.listed_at = Some(read_at);
        }
        self.unregistered.clear();
        if self.recovery.keeps_missing(read_at) {
            self.keep_missing(&mut listing);
        }
        for endpoint in listing.endpoints.values_mut() {
            self.apply_report(endpoint);
        }
        self.record_departures(&listing);
        let endpoints = &listing.endpoints;
        self.reports.retain(|id, _| endpoints.contains_key(id));
        self.pauses.retain(|id| endpoints.contains_key(id));
        for endpoint in endpoints.values().filter(|e| e.state == State::Draining) {
            self.leaving.record(&endpoint.incarnation(), false, previous.min(read_at));
        }
        let changed = self.listing.endpoints != listing.endpoints;
        self.listing = listing;
        if changed { Update::Changed } else { Update::Unchanged }
    }

    /// Records that another entry has had listings for `unbroken` without a gap.
    ///
    /// If the store was there in the last gap between this entry's listings, endpoints that have been
    /// missing since have left. Returns whether there are any.
    pub fn hear_unbroken(&mut self, unbroken: Duration, now: Instant) -> bool {
        if !self.recovery.hear(unbroken, now) || self.unregistered.is_empty() {
            return false;
        }
        for id in std::mem::take(&mut self.unregistered) {
            if let Some(endpoint) = self.listing.endpoints.remove(&id) {
                self.departures.record(&endpoint, self.listing.position.era());
            }
            self.reports.remove(&id);
        }
        true
    }

    /// Returns for how long listings have come without a gap in which the store may have been away.
    pub fn unbroken(&self, now: Instant) -> Duration {
        self.recovery.unbroken(self.listed_at, now)
    }

    /// Keeps endpoints that a listing misses, since they may register again.
    fn keep_missing(&mut self, listing: &mut Listing) {
        for (id, endpoint) in &self.listing.endpoints {
            if !listing.endpoints.contains_key(id) {
                listing.endpoints.insert(id.clone(), endpoint.clone());
                self.unregistered.insert(id.clone());
            }
        }
    }

    /// Puts what is known to be newer in place of what a listing of an older copy of the store tells:
    /// endpoints that have left stay away, and later registrations stay.
    fn keep_newer(&self, listing: &mut Listing) {
        let era = listing.position.era();
        listing.endpoints.retain(|_, endpoint| !self.departures.has_left(endpoint, era));
        for (id, endpoint) in &mut listing.endpoints {
            let known = self.listing.endpoints.get(id);
            if let Some(known) = known.filter(|known| departure::is_later(known, endpoint)) {
                *endpoint = known.clone();
            }
        }
    }

    /// Records which known endpoints have left, since a listing misses them, and which have come back.
    fn record_departures(&mut self, listing: &Listing) {
        let era = listing.position.era();
        for (id, endpoint) in &self.listing.endpoints {
            if !listing.endpoints.contains_key(id) {
                self.departures.record(endpoint, era);
            }
        }
        for (id, endpoint) in &listing.endpoints {
            if !self.listing.endpoints.contains_key(id) {
                self.departures.record_return(endpoint);
            }
        }
    }

    /// Returns what a listing tells of an outage since the one before.
    fn outage_sign(&self, listing: &Listing) -> recovery::Sign {
        if self.is_restored(listing) {
            return recovery::Sign::Restored;
        }
        let known = &self.listing.endpoints;
        let missing = known.keys().filter(|id| !listing.endpoints.contains_key(*id)).count();
        let has_lost_many = missing * ENDPOINTS_PER_EXPIRED_LEASE > known.len();
        if has_lost_many { recovery::Sign::LostMany } else { recovery::Sign::None }
    }

    /// Returns whether the store has come back from a copy since the listing before.
    fn is_restored(&self, listing: &Listing) -> bool {
        self.listed_at.is_some() && self.listing.position.era() < listing.position.era()
    }

    /// Overrides a registration by a report that the endpoint sent after writing it.
    fn apply_report(&self, endpoint: &mut Endpoint) {
        let Some(report) = self.reports.get(&endpoint.id) else {
            return;
        };
        if report.born != endpoint.born {
            return;
        }
        endpoint.orders = report.orders;
        if endpoint.heartbeat < report.heartbeat.saturating_add(NEWER_BY_HEARTBEATS) {
            endpoint.layers = report.layers;
        }
    }
}
