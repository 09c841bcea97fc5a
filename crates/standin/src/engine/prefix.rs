//! A prefix cache in limited memory, whose events come late and with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_core::engine::CacheEvents;
use tokio::time::Instant;

/// Positions of one cached block.
pub const BLOCK_TOKENS: u32 = 16;

/// Events that are kept for those who have not fetched them.
const MAX_EVENTS: usize = 4096;

/// First value of a prefix's hash.
pub const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Continues the FNV-1a hash of a prefix with the bytes of one more input.
pub fn extend_hash(prefix: u64, input: &[u8]) -> u64 {
    input.iter().fold(prefix, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Hashes of all whole blocks at the start of `tokens`, each covering all blocks before it.
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

/// When events become visible.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Time after which an event is visible.
    pub delay: Duration,
    /// One event in this many is lost; 0 loses none.
    pub lose_one_in: u64,
}

#[derive(Clone, Copy)]
struct Event {
    number: u64,
    visible_at: Instant,
    hash: u64,
    stored: bool,
}

/// Cached blocks, least recently used ones evicted first.
pub struct Cache {
    delivery: Delivery,
    /// When each block was last used, by hash.
    last_uses: BTreeMap<u64, u64>,
    /// Hashes by last use.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<Event>,
    last_number: u64,
}

impl Cache {
    /// An empty cache.
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

    /// Tokens that the cached blocks take.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.last_uses.len()).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
    }

    /// Marks a block as used and returns whether it was there; otherwise stores it.
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

    /// Evicts blocks until at most `tokens` are taken.
    pub fn shrink_to(&mut self, now: Instant, tokens: u32) {
        while self.tokens() > tokens {
            let Some((_, hash)) = self.by_last_use.pop_first() else { return };
            self.last_uses.remove(&hash);
            self.publish(now, hash, false);
        }
    }

    /// Events after the one with the number `after` that are visible.
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
