//! Callers that were refused for want of room, and when they may come back.
//!
//! Load pattern: demand exceeds capacity for some seconds. Callers that were refused come back into the same
//! overload. Their answers are late in any case, so that each one that takes the room of a first try makes
//! one more answer late; and each that comes back too soon is refused again and has no further attempt.
//! All entries know of all refusals, since a caller comes back at any of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_macros::data;

use super::Fingerprint;
use crate::time::Instant;

/// Maximum number of refusals in one message to the other entries.
const MAX_TOLD: usize = 128;

/// Maximum number of refusals that are remembered.
const MAX_REMEMBERED: usize = 8192;

/// Time after a caller may come back for which its refusal is remembered.
const LIFETIME: Duration = Duration::from_secs(2);

/// Time by which a caller may come back too soon: timers and clocks of callers differ.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);

/// Shortest time to come back. A chain begins few requests sooner.
const MIN_WAIT: Duration = Duration::from_millis(800);

/// Part of the requests that chains begin which returns may take.
const RETURN_SHARE: f64 = 0.5;

/// Part of the time that a caller has left for which it waits at most: callers ignore longer times.
const MAX_WAIT_FRACTION: f64 = 0.32;

/// Part by which times to come back are spread, so that callers do not come back together.
const SPREAD: f64 = 0.25;

/// Whether a request was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No refusal is known.
    First,
    /// It was refused, and comes back at the time that it was told or later.
    Returned,
    /// It was refused, and comes back before the time that it was told.
    Early,
}

impl Standing {
    /// Returns the name of the standing in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Returned => "returned",
            Self::Early => "early",
        }
    }
}

/// A refusal, as entries tell each other.
#[data]
pub struct Refused {
    /// Hash of what the request asks for.
    pub request: u64,
    /// Time after which its caller may come back, in milliseconds.
    pub wait_ms: u32,
}

/// Recent refusals of all entries.
#[derive(Debug, Default)]
pub struct Ledger {
    due: BTreeMap<u64, Instant>,
    by_due: BTreeSet<(Instant, u64)>,
    untold: Vec<(u64, Instant)>,
}

impl Ledger {
    /// Records that this entry refused a request whose caller may come back at `due`.
    pub fn record(&mut self, fingerprint: Fingerprint, due: Instant, now: Instant) {
        let request = hash(fingerprint);
        self.insert(request, due, now);
        if self.untold.len() < MAX_TOLD {
            self.untold.push((request, due));
        }
    }

    /// Adds the refusals of another entry.
    pub fn hear(&mut self, refusals: &[Refused], now: Instant) {
        for refused in refusals.iter().take(MAX_TOLD) {
            let wait = Duration::from_millis(u64::from(refused.wait_ms));
            self.insert(refused.request, now + wait, now);
        }
    }

    /// Returns the refusals that the other entries have not been told, which are removed from these.
    pub fn take_untold(&mut self, now: Instant) -> Vec<Refused> {
        let told = |(request, due): (u64, Instant)| {
            let wait_ms = u32::try_from(due.since(now).as_millis()).unwrap_or(u32::MAX);
            Refused { request, wait_ms }
        };
        std::mem::take(&mut self.untold).into_iter().map(told).collect()
    }

    /// Returns whether a request was refused before.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        match self.due.get(&hash(fingerprint)) {
            Some(due) if now + EARLY_TOLERANCE < *due => Standing::Early,
            Some(due) if now.since(*due) < LIFETIME => Standing::Returned,
            _ => Standing::First,
        }
    }

    /// Returns the number of refused callers that are still to come back.
    pub fn expected(&self, now: Instant) -> usize {
        self.by_due.range((now, 0)..).count()
    }

    /// Returns the time after which the caller of a request that is refused now may come back.
    ///
    /// `begun_per_s` is the number of requests that all chains begin in a second, `left` the time that the
    /// caller has left, and `random` spreads the times.
    pub fn wait(
        &self,
        fingerprint: Fingerprint,
        begun_per_s: f64,
        left: Duration,
        random: u64,
        now: Instant,
    ) -> Duration {
        if self.standing(fingerprint, now) == Standing::Early {
            // The time that the caller was told stands.
            return self.due.get(&hash(fingerprint)).map_or(MIN_WAIT, |due| due.since(now));
        }
        let seconds = self.expected(now) as f64 / (begun_per_s * RETURN_SHARE).max(1.0);
        let most = left.mul_f64(MAX_WAIT_FRACTION);
        let wait = (MIN_WAIT + Duration::from_secs_f64(seconds)).min(most);
        let part = (random >> 11) as f64 / (1_u64 << 53) as f64;
        wait.mul_f64(1.0 - SPREAD * part)
    }

    fn insert(&mut self, request: u64, due: Instant, now: Instant) {
        self.forget_old(now);
        if let Some(known) = self.due.get(&request).copied() {
            // An entry that hears late of a refusal must not put off a time that was told.
            if known > now {
                return;
            }
            self.by_due.remove(&(known, request));
        }
        if self.due.len() >= MAX_REMEMBERED && !self.due.contains_key(&request) {
            return;
        }
        self.due.insert(request, due);
        self.by_due.insert((due, request));
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((due, request)) = self.by_due.first().copied() {
            if now.since(due) < LIFETIME {
                break;
            }
            self.by_due.pop_first();
            self.due.remove(&request);
        }
    }
}

fn hash(fingerprint: Fingerprint) -> u64 {
    fingerprint.0[0]
}
