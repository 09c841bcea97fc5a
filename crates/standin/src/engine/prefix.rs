//! A prefix cache in limited memory, whose events come late and with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_core::engine::CacheEvents;
use tokio::time::Instant;

/// Positions of one cached block.
pub const BLOCK: u32 = 16;

/// Events that are kept for those who have not fetched them.
const MAX_EVENTS: usize = 4096;

/// First value of a prefix's hash.
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Continues the FNV-1a hash of a prefix with the bytes of one more input.
pub fn hash(prefix: u64, input: &[u8]) -> u64 {
    input.iter().fold(prefix, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Hashes of all whole blocks at the start of `tokens`, each covering all blocks before it.
pub fn hashes(tokens: &[u32]) -> Vec<u64> {
    let mut prefix = FNV_OFFSET;
    tokens
        .chunks_exact(BLOCK as usize)
        .map(|block| {
            prefix = block.iter().fold(prefix, |h, token| hash(h, &token.to_le_bytes()));
            prefix
        })
        .collect()
}

/// When events become visible.
#[derive(Clone, Copy, Debug)]
pub struct Publishing {
    /// Time after which an event is visible.
    pub delay: Duration,
    /// One event in this many is lost; 0 loses none.
    pub lose_one_in: u64,
}

#[derive(Clone, Copy)]
struct Event {
    number: u64,
    visible: Instant,
    hash: u64,
    stored: bool,
}

/// Cached blocks, least recently used ones evicted first.
pub struct Cache {
    publishing: Publishing,
    /// When each block was last used, by hash.
    blocks: BTreeMap<u64, u64>,
    /// Hashes by last use.
    order: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<Event>,
    last: u64,
}

impl Cache {
    /// An empty cache.
    pub fn new(publishing: Publishing) -> Self {
        Self {
            publishing,
            blocks: BTreeMap::new(),
            order: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            last: 0,
        }
    }

    /// Tokens that the cached blocks take.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.blocks.len()).unwrap_or(u32::MAX).saturating_mul(BLOCK)
    }

    /// Marks a block as used and returns whether it was there; otherwise stores it.
    pub fn touch(&mut self, now: Instant, hash: u64) -> bool {
        self.uses += 1;
        let old = self.blocks.insert(hash, self.uses);
        self.order.insert(self.uses, hash);
        match old {
            Some(use_before) => {
                self.order.remove(&use_before);
                true
            }
            None => {
                self.publish(now, hash, true);
                false
            }
        }
    }

    /// Evicts blocks until at most `tokens` are taken.
    pub fn shrink(&mut self, now: Instant, tokens: u32) {
        while self.tokens() > tokens {
            let Some((_, hash)) = self.order.pop_first() else { return };
            self.blocks.remove(&hash);
            self.publish(now, hash, false);
        }
    }

    /// Events after the one with the number `after` that are visible.
    pub fn events(&self, now: Instant, after: u64) -> CacheEvents {
        let mut seen = CacheEvents { last: after, stored: Vec::new(), evicted: Vec::new() };
        for event in self.events.iter().filter(|e| e.number > after && e.visible <= now) {
            seen.last = event.number;
            if event.stored { &mut seen.stored } else { &mut seen.evicted }.push(event.hash);
        }
        seen
    }

    fn publish(&mut self, now: Instant, hash: u64, stored: bool) {
        self.last += 1;
        let lose_one_in = self.publishing.lose_one_in;
        if lose_one_in > 0 && self.last % lose_one_in == 0 {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let visible = now + self.publishing.delay;
        self.events.push_back(Event { number: self.last, visible, hash, stored });
    }
}
