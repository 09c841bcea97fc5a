//! A token bucket whose rate and capacity are a part of a contract's bound that changes over time.

use std::collections::BTreeMap;

use crate::roster::FULL_QUOTA;
use crate::time::Instant;

/// Scale of amounts: millionths per request or model token.
pub const UNIT: i64 = 1_000_000;

const PPM: u128 = 1_000_000;
const US_PER_S: u128 = 1_000_000;

/// Longest time that one refill counts, in microseconds. With [`MAX_RATE`], it keeps the product in
/// [`Bucket::refill`] within 128 bits.
const MAX_REFILL_US: u64 = 10_000_000_000;

/// Highest rate, in millionths of a unit per second.
const MAX_RATE: f64 = 1e15;

/// A rate and burst over all entries, of which a bucket holds a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// Millionths of a unit per second.
    pub rate: u64,
    /// Capacity of the whole bound, in units.
    pub burst: u32,
}

impl Bound {
    /// Creates a bound from a rate in units per second and a burst in units.
    pub fn new(per_second: f64, burst: u32) -> Self {
        Self { rate: (per_second * UNIT as f64).clamp(0.0, MAX_RATE) as u64, burst }
    }

    /// Returns the least number of parts, in parts per million of the bound, whose capacity is at
    /// least `amount` millionths of a unit.
    pub fn parts_for(&self, amount: i64) -> u32 {
        let burst = i64::from(self.burst.max(1));
        u32::try_from(amount.max(0).saturating_add(burst - 1) / burst).unwrap_or(u32::MAX)
    }

    /// Returns the capacity of `parts` parts per million of the bound, in millionths of a unit.
    pub fn capacity(&self, parts: u32) -> i64 {
        i64::from(self.burst) * i64::from(parts)
    }
}

/// A token bucket. All amounts are in millionths of a unit.
///
/// The bucket is refilled at each change of its parts, so that a rate counts only for the time that
/// it was held. If a charge proves too high, the difference is refunded, but only as far as the
/// bucket had room for it at every moment since. The state is then the same as if the actual cost
/// had been charged at once, and no time window admits more than the bound.
#[derive(Clone, Debug)]
pub struct Bucket {
    bound: Bound,
    parts: u32,
    level: i64,
    refilled: Instant,
    remainder: u128,
    slow_ppm: u32,
    /// For each open charge, the least room left in the bucket until the next open charge was made.
    room: BTreeMap<u64, i64>,
}

impl Bucket {
    /// Creates an empty bucket that holds no part. Its refill is slowed by `slow_ppm` parts per
    /// million, to make up for a clock that runs fast.
    pub fn new(now: Instant, bound: Bound, slow_ppm: u32) -> Self {
        Self {
            bound,
            parts: 0,
            level: 0,
            refilled: now,
            remainder: 0,
            slow_ppm,
            room: BTreeMap::new(),
        }
    }

    /// Returns the whole bound.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Returns the level, negative if there is a debt.
    pub fn level(&self) -> i64 {
        self.level
    }

    fn capacity(&self) -> i64 {
        self.bound.capacity(self.parts)
    }

    /// Returns the milliseconds until the level reaches `amount`, or `None` if even the whole bound
    /// never allows it.
    pub fn retry_after_ms(&self, amount: i64) -> Option<u64> {
        if amount > self.bound.capacity(FULL_QUOTA) || self.bound.rate == 0 {
            return None;
        }
        let rate = u128::from(self.bound.rate) * u128::from(self.parts) / u128::from(FULL_QUOTA);
        // An entry whose part is too small for the amount depends on loans, up to the whole rate.
        let fits = amount <= self.capacity() && rate > 0;
        let rate = if fits { rate } else { u128::from(self.bound.rate) };
        let lack = u128::try_from(amount.saturating_sub(self.level)).unwrap_or(0);
        Some(u64::try_from(lack * 1000 / rate).unwrap_or(u64::MAX).max(1))
    }

    /// Adds what the rate has yielded since the last call.
    pub fn refill(&mut self, now: Instant) {
        if now <= self.refilled {
            return;
        }
        let us = (now.as_us() - self.refilled.as_us()).min(MAX_REFILL_US);
        self.refilled = now;
        let rate = u128::from(self.bound.rate) * u128::from(self.parts);
        let slowed = PPM - u128::from(self.slow_ppm).min(PPM);
        let scale = u128::from(FULL_QUOTA) * PPM * US_PER_S;
        let gain = rate * slowed * u128::from(us) + self.remainder;
        self.remainder = gain % scale;
        self.add(i64::try_from(gain / scale).unwrap_or(i64::MAX));
    }

    /// Adds to the level, up to the capacity.
    pub fn add(&mut self, amount: i64) {
        self.level = self.level.saturating_add(amount);
        self.clamp();
    }

    fn clamp(&mut self) {
        if self.level >= self.capacity() {
            self.level = self.capacity().min(self.level);
            self.remainder = 0;
        }
        let room = self.capacity() - self.level;
        if let Some(mut last) = self.room.last_entry() {
            let least = room.min(*last.get());
            last.insert(least);
        }
    }

    /// Changes the bound. The bucket must have been refilled.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
        self.clamp();
    }

    /// Changes the parts held. The bucket must have been refilled.
    pub fn set_parts(&mut self, parts: u32) {
        self.parts = parts;
        self.clamp();
    }

    /// Returns whether the bucket is at least 7/8 full.
    pub fn is_full(&self) -> bool {
        self.level >= self.capacity() / 8 * 7
    }

    /// Returns whether less than half of the capacity is left.
    pub fn is_low(&self) -> bool {
        self.level < self.capacity() / 2
    }

    /// Returns the parts, in parts per million of the bound, whose capacity the level would fill.
    pub fn available_parts(&self) -> u32 {
        let parts = self.level.max(0) / i64::from(self.bound.burst.max(1));
        u32::try_from(parts).unwrap_or(FULL_QUOTA)
    }

    /// Takes out the contents that move with `parts` of the bound, and returns them.
    pub fn take(&mut self, parts: u32) -> u64 {
        let amount = self.level.clamp(0, self.bound.capacity(parts));
        self.level -= amount;
        u64::try_from(amount).unwrap_or(0)
    }

    /// Charges `amount` under the number `charge`, which must be greater than all earlier ones.
    pub fn charge(&mut self, charge: u64, amount: i64) {
        self.level -= amount;
        self.room.insert(charge, self.capacity() - self.level);
    }

    /// Charges `amount` without a later correction.
    pub fn spend(&mut self, amount: i64) {
        self.level -= amount;
    }

    /// Closes a charge of `charged` whose actual cost is `used`. An excess becomes a debt; a
    /// remainder is refunded as far as there was room for it.
    pub fn settle(&mut self, charge: u64, charged: i64, used: i64) {
        let Some(own) = self.room.get(&charge).copied() else {
            return;
        };
        let least = self.room.range(charge..).map(|(_, room)| *room).min().unwrap_or(0);
        let debt = if used > charged { used - charged } else { 0 };
        let refund = (charged - used).clamp(0, least.max(0));
        self.level += refund - debt;
        for (_, room) in self.room.range_mut(charge..) {
            *room -= refund;
        }
        self.room.remove(&charge);
        if let Some((_, earlier)) = self.room.range_mut(..charge).next_back() {
            *earlier = (*earlier).min(own - refund);
        }
        self.clamp();
    }
}
