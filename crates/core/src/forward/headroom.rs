//! The part of a chain that stays free for requests that go first.
//!
//! Load pattern: callers of several priorities, and callers that come back, compete for chains that are nearly full.
//! Entries hear of each other's work late and cannot agree on an order, but each leaves the last part of a chain to
//! those that go first (trunk reservation). A floor keeps a lower priority from being shut out.

use std::collections::BTreeMap;
use std::time::Duration;

use super::returns::Standing;
use crate::time::Instant;

/// Part that a request leaves free for each more urgent priority, in thousandths.
const PER_LEVEL: u16 = 40;

/// Number of more urgent priorities that count at most.
const MAX_LEVELS: u16 = 2;

/// Part that a returned request leaves free for first tries, in thousandths.
const RETURNED: u16 = 80;

/// Part that a request leaves free which comes back before its time, in thousandths.
const EARLY: u16 = 160;

/// Share of the requests of a priority that begin, relative to that of all, below which it leaves nothing free
/// for more urgent ones.
const FLOOR: f64 = 0.5;

/// Number of recent requests of a priority from which on its share counts.
const MIN_ASKED: f64 = 4.0;

/// Half-life of the counts of requests.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of recent requests below which a priority is not in demand any more.
const MIN_DEMAND: f64 = 0.1;

/// A part of a chain that stays free, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Headroom(u16);

impl Headroom {
    /// Nothing stays free.
    pub const NONE: Self = Self(0);

    /// Returns the part of a chain that may be used.
    pub fn usable(self) -> f64 {
        1.0 - f64::from(self.0) / 1000.0
    }

    /// Returns the part that stays free, in thousandths.
    pub fn thousandths(self) -> u16 {
        self.0
    }
}

/// Recent requests of one priority, and those of them that began, with exponential decay.
#[derive(Clone, Copy, Debug)]
struct Counts {
    asked: f64,
    begun: f64,
    at: Instant,
}

impl Counts {
    fn at(self, now: Instant) -> Self {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        Self { asked: self.asked * factor, begun: self.begun * factor, at: now }
    }
}

/// Demand of one service by priority.
#[derive(Debug, Default)]
pub struct Demand {
    by_priority: BTreeMap<u8, Counts>,
}

impl Demand {
    /// Records a request that asks for room.
    pub fn ask(&mut self, priority: u8, now: Instant) {
        self.counts(priority, now).asked += 1.0;
    }

    /// Records that a request has got room.
    pub fn begin(&mut self, priority: u8, now: Instant) {
        self.counts(priority, now).begun += 1.0;
    }

    fn counts(&mut self, priority: u8, now: Instant) -> &mut Counts {
        let counts = self.by_priority.entry(priority);
        let counts = counts.or_insert(Counts { asked: 0.0, begun: 0.0, at: now });
        *counts = counts.at(now);
        counts
    }

    /// Returns the part of a chain that a request leaves free.
    pub fn headroom(&self, priority: u8, standing: Standing, now: Instant) -> Headroom {
        let by_priority = match self.is_below_floor(priority, now) {
            true => 0,
            false => self.levels_above(priority, now).min(MAX_LEVELS) * PER_LEVEL,
        };
        let by_standing = match standing {
            Standing::First => 0,
            Standing::Returned => RETURNED,
            Standing::Early => EARLY,
        };
        Headroom(by_priority + by_standing)
    }

    /// Returns the number of more urgent priorities that are in demand.
    fn levels_above(&self, priority: u8, now: Instant) -> u16 {
        let above = self.by_priority.range(..priority);
        let in_demand = above.filter(|(_, counts)| counts.at(now).asked >= MIN_DEMAND);
        u16::try_from(in_demand.count()).unwrap_or(u16::MAX)
    }

    fn is_below_floor(&self, priority: u8, now: Instant) -> bool {
        let Some(own) = self.by_priority.get(&priority).map(|counts| counts.at(now)) else {
            return false;
        };
        let sum = |of: fn(Counts) -> f64| -> f64 {
            self.by_priority.values().map(|counts| of(counts.at(now))).sum()
        };
        let (asked, begun) = (sum(|c| c.asked), sum(|c| c.begun));
        own.asked >= MIN_ASKED && own.begun * asked < begun * own.asked * FLOOR
    }
}
