//! When each of many things was last seen, of which the older half is forgotten when there are too many.

use std::collections::BTreeMap;

use crate::time::Instant;

/// The last times of things, by thing.
#[derive(Clone, Debug)]
pub struct Recent<T> {
    times: BTreeMap<T, Instant>,
    /// Number of things above which the older half is forgotten.
    most: usize,
}

impl<T: Ord> Recent<T> {
    /// Creates an empty memory of at most `most` things.
    pub fn new(most: usize) -> Self {
        Self { times: BTreeMap::new(), most }
    }

    /// Records that `thing` was seen at `at`. An earlier time than the known one changes nothing.
    pub fn record(&mut self, thing: T, at: Instant) {
        let last = self.times.entry(thing).or_insert(at);
        *last = at.max(*last);
        if self.times.len() > self.most {
            self.forget_older_half();
        }
    }

    /// Returns when `thing` was last seen, or `None` if that is not known.
    pub fn last(&self, thing: &T) -> Option<Instant> {
        self.times.get(thing).copied()
    }

    /// Returns all things with their last times, ordered by thing.
    pub fn iter(&self) -> impl Iterator<Item = (&T, Instant)> {
        self.times.iter().map(|(thing, at)| (thing, *at))
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Instant> = self.times.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.times.retain(|_, at| *at > median);
    }
}
