//! Whether endpoints that are missing from a listing may register again.
//!
//! While the store is away registrations expire. The endpoints register again soon after its return, so
//! those that are missing from the first listing then are used for a while longer. So are those that are
//! missing from an older copy with which the store comes back. An entry that was cut off by itself sees
//! the same gap between its listings, but endpoints that are missing have left.

use std::time::Duration;

use crate::time::Instant;

/// Time between two listings above which registrations may have expired in between.
const OUTAGE_GAP: Duration = Duration::from_secs(2);

/// Time between two listings that no entry sees without an outage.
const LONG_OUTAGE_GAP: Duration = Duration::from_secs(4);

/// Time after an outage of the store within which endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2300);

/// What a listing tells of an outage before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Nothing but the time since the listing before.
    None,
    /// So many endpoints are missing that registrations have expired.
    LostMany,
    /// The store has come back from a copy.
    Restored,
}

/// Times of the listings, as far as they tell of outages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    /// Until when missing endpoints may register again.
    until: Option<Instant>,
    /// Time of the listing before the gap after which `until` was set.
    gap_began: Option<Instant>,
    /// Time of the first listing, before which there may have been an outage, too.
    first: Option<Instant>,
    /// Time of the first listing since the last gap.
    unbroken_since: Option<Instant>,
}

impl Recovery {
    /// Records a listing that was read at `read_at`, after one that was read at `previous`.
    pub fn record(&mut self, previous: Option<Instant>, read_at: Instant, sign: Sign) {
        self.first.get_or_insert(read_at);
        let gap = previous.map_or(Duration::ZERO, |at| read_at.since(at));
        if gap > OUTAGE_GAP || sign == Sign::Restored || self.unbroken_since.is_none() {
            self.unbroken_since = Some(read_at);
        }
        if sign == Sign::Restored {
            self.until = Some(read_at + REREGISTRATION_PERIOD);
            // No entry saw the store without this outage.
            self.gap_began = None;
        } else if gap > LONG_OUTAGE_GAP || gap > OUTAGE_GAP && sign == Sign::LostMany {
            self.until = Some(read_at + REREGISTRATION_PERIOD);
            self.gap_began = previous;
        }
    }

    /// Records that another entry has had listings for `unbroken` without a gap.
    ///
    /// Returns whether this shows that the store was not away in the last gap of this entry.
    pub fn hear(&mut self, unbroken: Duration, now: Instant) -> bool {
        let was_there = self.gap_began.is_some_and(|began| now.since(began) <= unbroken);
        if was_there {
            self.until = None;
            self.gap_began = None;
        }
        was_there
    }

    /// Returns for how long listings have come without a gap, the last one at `listed_at`.
    pub fn unbroken(&self, listed_at: Option<Instant>, now: Instant) -> Duration {
        let is_fresh = listed_at.is_some_and(|at| now.since(at) <= OUTAGE_GAP);
        let since = self.unbroken_since.filter(|_| is_fresh);
        since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns whether endpoints that are missing from a listing read at `read_at` may register again.
    pub fn keeps_missing(&self, read_at: Instant) -> bool {
        self.until.is_some_and(|until| read_at < until)
    }

    /// Returns whether endpoints that are not listed may still register again.
    pub fn is_running(&self, now: Instant) -> bool {
        let first = self.first.map(|at| at + REREGISTRATION_PERIOD);
        self.until.max(first).is_some_and(|until| now < until)
    }
}
