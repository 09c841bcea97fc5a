//! A cache of prompt prefixes in limited memory. It stores blocks of positions; events that report
//! its changes are delivered late, and some are lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_core::engine::CacheEvents;
use tokio::time::Instant;

/// Length of a cached block, in positions.
pub const BLOCK_TOKENS: u32 = 16;

/// Events that are kept for callers that have not fetched them; older ones are dropped.
const MAX_EVENTS: usize = 4096;

/// Hash of the empty prefix: the offset basis of FNV-1a.
pub const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Continues the FNV-1a hash of a prefix with the bytes of one more input.
pub fn extend_hash(prefix: u64, input: &[u8]) -> u64 {
    input.iter().fold(prefix, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns a hash for each whole block of `tokens`. It covers the block and all blocks before it.
pub fn block_hashes(tokens: &[u32]) -> Vec<u64> {
    let mut prefix = FNV_OFFSET_BASIS;
    tokens
        .chunks_exact(BLOCK_TOKENS as usize)
        .map(|block| {
            prefix = block.iter().fold(prefix, |h, token| extend_hash(h, &token.to_le_bytes()));
            prefix
        })
        .collect()
}

/// How events are delivered.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Time from an event until it becomes visible.
    pub delay: Duration,
    /// Every event whose number is a multiple of this is lost; 0 loses none.
    pub lose_one_in: u64,
}

/// A block that was stored or, if `stored` is false, evicted.
#[derive(Clone, Copy)]
struct Event {
    number: u64,
    visible_at: Instant,
    hash: u64,
    stored: bool,
}

/// Cached blocks; the least recently used ones are evicted first.
pub struct Cache {
    delivery: Delivery,
    /// Number of each block's last use, by hash.
    last_uses: BTreeMap<u64, u64>,
    /// Hashes of the blocks, by number of their last use.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<Event>,
    /// Number of the last event, lost ones included.
    last_number: u64,
}

impl Cache {
    /// Returns an empty cache.
    pub fn new(delivery: Delivery) -> Self {
        Self {
            delivery,
            last_uses: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Returns the number of tokens in cached blocks.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.last_uses.len()).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
    }

    /// Marks a block as used, storing it if it is not cached; returns whether it was cached.
    pub fn touch(&mut self, now: Instant, hash: u64) -> bool {
        self.use_count += 1;
        let previous = self.last_uses.insert(hash, self.use_count);
        self.by_last_use.insert(self.use_count, hash);
        match previous {
            Some(previous_use) => {
                self.by_last_use.remove(&previous_use);
                true
            }
            None => {
                self.publish(now, hash, true);
                false
            }
        }
    }

    /// Evicts blocks until at most `tokens` tokens are cached.
    pub fn shrink_to(&mut self, now: Instant, tokens: u32) {
        while self.tokens() > tokens {
            let Some((_, hash)) = self.by_last_use.pop_first() else { return };
            self.last_uses.remove(&hash);
            self.publish(now, hash, false);
        }
    }

    /// Returns the visible events after the one with number `after`.
    pub fn events(&self, now: Instant, after: u64) -> CacheEvents {
        let mut visible = CacheEvents { last: after, stored: Vec::new(), evicted: Vec::new() };
        for event in self.events.iter().filter(|e| e.number > after && e.visible_at <= now) {
            visible.last = event.number;
            if event.stored { &mut visible.stored } else { &mut visible.evicted }.push(event.hash);
        }
        visible
    }

    fn publish(&mut self, now: Instant, hash: u64, stored: bool) {
        self.last_number += 1;
        let lose_one_in = self.delivery.lose_one_in;
        if lose_one_in > 0 && self.last_number % lose_one_in == 0 {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let visible_at = now + self.delivery.delay;
        self.events.push_back(Event { number: self.last_number, visible_at, hash, stored });
    }
}
