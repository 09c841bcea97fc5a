//! One bound on the memory that many callers make an entry hold, and which of them gives way to others.
//!
//! A lease is the share of one request or one response. Those up to [`FREE_BYTES`] need no share, since the
//! bound on connections covers them: whatever large ones do, ordinary requests find room. A lease that makes
//! hardly any progress gives way to one that needs room; the others keep theirs.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::time::Instant;

/// Bytes up to which a lease counts as none.
pub const FREE_BYTES: usize = 16 * 1024;

/// Bytes above which a lease counts as large.
pub const LARGE_BYTES: usize = 64 * 1024;

/// Part of the whole memory that large leases may use.
const LARGE_FRACTION: f64 = 0.8;

/// Age of a lease from which on it may give way.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Bytes a second below which a lease may give way. A body of 4 MB that is slower does not arrive within the
/// 15 s that it has.
const MIN_RATE: f64 = 256.0 * 1024.0;

new_key_type! {
    /// Identifies a lease.
    pub struct Key;
}

/// The share of one request or response.
#[derive(Debug)]
struct Lease {
    bytes: usize,
    /// Bytes received from the caller, or sent to it.
    moved: usize,
    began: Instant,
    /// Whether its progress depends on the caller alone.
    depends_on_caller: bool,
}

impl Lease {
    fn is_large(&self) -> bool {
        self.bytes > LARGE_BYTES
    }

    /// Returns the bytes a second that have been moved, if the lease may give way.
    fn slow_rate(&self, now: Instant) -> Option<f64> {
        let age = now.since(self.began);
        if !self.depends_on_caller || self.bytes == 0 || age < MIN_AGE {
            return None;
        }
        Some(self.moved as f64 / age.as_secs_f64()).filter(|rate| *rate < MIN_RATE)
    }
}

/// The caller's bytes do not fit, and no other lease may give way for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The memory that all leases share.
#[derive(Debug)]
pub struct Pool {
    max_bytes: usize,
    max_large_bytes: usize,
    used: usize,
    used_large: usize,
    peak: usize,
    leases: SlotMap<Key, Lease>,
}

impl Pool {
    /// Creates a pool of `max_bytes`, of which a part is kept for leases that are not large.
    pub fn new(max_bytes: usize) -> Self {
        let max_large_bytes = (max_bytes as f64 * LARGE_FRACTION) as usize;
        Self {
            max_bytes,
            max_large_bytes,
            used: 0,
            used_large: 0,
            peak: 0,
            leases: SlotMap::with_key(),
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the most bytes that were in use at any time.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Begins a lease without memory, whose progress depends on the caller until [`Pool::pin`].
    pub fn begin(&mut self, now: Instant) -> Key {
        self.leases.insert(Lease { bytes: 0, moved: 0, began: now, depends_on_caller: true })
    }

    /// Changes the bytes of a lease. Returns the leases that have given way, whose memory no longer counts.
    ///
    /// A lease that has given way itself cannot grow.
    pub fn resize(&mut self, key: Key, bytes: usize, now: Instant) -> Result<Vec<Key>, Full> {
        let bytes = if bytes <= FREE_BYTES { 0 } else { bytes };
        let previous = self.leases.get(key).ok_or(Full)?.bytes;
        self.set(key, bytes);
        let evicted = if bytes > previous { self.make_room(key, now) } else { Some(vec![]) };
        let Some(evicted) = evicted else {
            self.set(key, previous);
            return Err(Full);
        };
        self.peak = self.peak.max(self.used);
        Ok(evicted)
    }

    /// Records that bytes of a lease were received from the caller, or sent to it.
    pub fn record_progress(&mut self, key: Key, bytes: usize) {
        if let Some(lease) = self.leases.get_mut(key) {
            lease.moved += bytes;
        }
    }

    /// Records that the progress of a lease depends on others than the caller, so that it keeps its memory.
    pub fn pin(&mut self, key: Key) {
        if let Some(lease) = self.leases.get_mut(key) {
            lease.depends_on_caller = false;
        }
    }

    /// Records that the progress of a lease depends on the caller alone from now on.
    pub fn unpin(&mut self, key: Key, now: Instant) {
        if let Some(lease) = self.leases.get_mut(key) {
            (lease.depends_on_caller, lease.moved, lease.began) = (true, 0, now);
        }
    }

    /// Ends a lease, if it has not given way.
    pub fn end(&mut self, key: Key) {
        self.set(key, 0);
        self.leases.remove(key);
    }

    fn set(&mut self, key: Key, bytes: usize) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        self.used -= lease.bytes;
        self.used_large -= if lease.is_large() { lease.bytes } else { 0 };
        lease.bytes = bytes;
        self.used += lease.bytes;
        self.used_large += if lease.is_large() { lease.bytes } else { 0 };
    }

    /// Ends the slowest leases until the bounds hold, which `key` may exceed. Ends none if that is not enough.
    fn make_room(&mut self, key: Key, now: Instant) -> Option<Vec<Key>> {
        let mut excess = self.used.saturating_sub(self.max_bytes);
        let is_large = self.leases.get(key).is_some_and(Lease::is_large);
        let mut large_excess =
            if is_large { self.used_large.saturating_sub(self.max_large_bytes) } else { 0 };
        let mut evicted = vec![];
        for (slow, bytes, is_large) in self.slowest_first(key, now) {
            if excess == 0 && large_excess == 0 {
                break;
            }
            if excess == 0 && !is_large {
                continue;
            }
            excess = excess.saturating_sub(bytes);
            large_excess = large_excess.saturating_sub(if is_large { bytes } else { 0 });
            evicted.push(slow);
        }
        if excess > 0 || large_excess > 0 {
            return None;
        }
        evicted.iter().for_each(|slow| self.end(*slow));
        Some(evicted)
    }

    /// Returns the leases except `key` that may give way, with their bytes and whether they are large.
    fn slowest_first(&self, key: Key, now: Instant) -> Vec<(Key, usize, bool)> {
        if self.used <= self.max_bytes && self.used_large <= self.max_large_bytes {
            return vec![];
        }
        let others = self.leases.iter().filter(|(other, _)| *other != key);
        let mut slow: Vec<_> = others
            .filter_map(|(other, lease)| Some((lease.slow_rate(now)?, other, lease)))
            .collect();
        slow.sort_by(|a, b| a.0.total_cmp(&b.0));
        slow.into_iter().map(|(_, other, lease)| (other, lease.bytes, lease.is_large())).collect()
    }
}
