//! Which entries may use a part of what all of them share, such as the retry budget.
//!
//! Load pattern: entries end, are cut off and come back while retries are many. What an entry has used
//! counts for a window, so that it is counted among those that share after it is gone. One that is cut off
//! from the store uses its part for a window beyond its registration, and counts for two.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name;
use crate::time::Instant;

/// Windows for which an entry that is gone is counted.
const COUNTED_WINDOWS: u32 = 2;

/// When the other entries were there last, and until when they know of this one.
#[derive(Debug, Default)]
pub struct Presence {
    seen: BTreeMap<name::Host, Instant>,
    registered_until: Option<Instant>,
}

impl Presence {
    /// Records that an entry is registered or has sent gossip, and forgets those that are not counted any
    /// more with a window of `window`.
    pub fn record(&mut self, host: name::Host, window: Duration, now: Instant) {
        self.seen.retain(|_, at| now.since(*at) <= window * COUNTED_WINDOWS);
        self.seen.insert(host, now);
    }

    /// Records until when this entry is registered at least.
    pub fn record_registration(&mut self, until: Instant) {
        self.registered_until = Some(until);
    }

    /// Returns the number of entries that share, this one included: the `registered` ones, and those that
    /// were there lately.
    ///
    /// Returns `None` if others may soon not count this one, since its registration lapsed long ago.
    pub fn sharing<'a>(
        &'a self,
        registered: impl Iterator<Item = &'a name::Host>,
        window: Duration,
        now: Instant,
    ) -> Option<usize> {
        self.registered_until.filter(|until| now < *until + window)?;
        let is_counted = |at: &Instant| now.since(*at) <= window * COUNTED_WINDOWS;
        let recent = self.seen.iter().filter(|(_, at)| is_counted(at)).map(|(host, _)| host);
        let others: BTreeSet<_> = registered.chain(recent).collect();
        Some(others.len() + 1)
    }
}
