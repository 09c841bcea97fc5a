//! Since when an entry may have missed a newer routing table.
//!
//! A watch tells of nothing while its connection is silent, so that waiting for it bounds nothing. An
//! entry therefore counts the time since it was last told which version is the newest, by the store or
//! by an entry that the store had just told, and asks by itself when that is too long ago.

use std::time::Duration;

use crate::time::Instant;

/// When the newest version was last known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// When the store last told this entry.
    by_store: Option<Instant>,
    /// When the store last told another entry that had no newer version.
    by_peer: Option<Instant>,
}

impl Freshness {
    /// Records that the store told this entry the newest version at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.by_store = self.by_store.max(Some(at));
    }

    /// Records that the store told another entry at `at` that `version` is the newest, while this one has
    /// version `own`.
    pub fn hear(&mut self, version: u64, own: u64, at: Instant) {
        if version <= own {
            self.by_peer = self.by_peer.max(Some(at));
        }
    }

    /// Returns the time since the store last told this entry, or `None` if it has not.
    ///
    /// Entries tell each other this age only, so that none takes back what it told itself.
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        self.by_store.map(|at| now.since(at))
    }

    /// Returns the time since this entry last knew the newest version, or `None` if it never has.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.by_store.max(self.by_peer).map(|at| now.since(at))
    }
}
