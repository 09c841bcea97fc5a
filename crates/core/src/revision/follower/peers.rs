//! What is known of the peers, and which of their revisions were refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Origin;
use crate::name;
use crate::revision::{Adopted, Hash, Head};
use crate::time::Instant;

/// Most refused revisions that are remembered.
const REFUSED_LIMIT: usize = 16;

/// Time for which a refused revision is not fetched again.
const REFUSED_PERIOD: Duration = Duration::from_secs(60);

/// Time for which an equal number needs no answer; below the shortest time between exchanges.
const TOLD_PERIOD: Duration = Duration::from_secs(2);

/// The peers of one process.
pub(super) struct Peers {
    host: name::Host,
    seeds: BTreeSet<name::Host>,
    entries: BTreeSet<name::Host>,
    up: BTreeSet<name::Host>,
    numbers: BTreeMap<name::Host, u64>,
    told: BTreeMap<name::Host, Instant>,
    /// When a peer with a revision was last heard.
    pub(super) heard: Instant,
}

impl Peers {
    pub(super) fn new(host: name::Host, seeds: BTreeSet<name::Host>, now: Instant) -> Self {
        let (entries, up) = (BTreeSet::new(), BTreeSet::new());
        let (numbers, told) = (BTreeMap::new(), BTreeMap::new());
        Self { host, seeds, entries, up, numbers, told, heard: now }
    }

    pub(super) fn configure(&mut self, adopted: &Adopted) {
        self.entries = adopted.config.entries.keys().cloned().collect();
    }

    pub(super) fn up(&mut self, host: name::Host) {
        self.up.insert(host);
    }

    pub(super) fn lost(&mut self, host: &name::Host) {
        self.up.remove(host);
        self.numbers.remove(host);
        self.told.remove(host);
    }

    pub(super) fn set_number(&mut self, host: &name::Host, number: u64, now: Instant) {
        self.numbers.insert(host.clone(), number);
        if number > 0 {
            self.heard = now;
        }
    }

    /// Records that this process's number was sent to a peer.
    pub(super) fn tell(&mut self, host: &name::Host, now: Instant) {
        self.told.insert(host.clone(), now);
    }

    /// Whether a peer was told this process's number a moment ago, so that it needs no answer.
    pub(super) fn was_told(&self, host: &name::Host, now: Instant) -> bool {
        self.told.get(host).is_some_and(|at| now < *at + TOLD_PERIOD)
    }

    pub(super) fn forget_number(&mut self, host: &name::Host) {
        self.numbers.remove(host);
    }

    /// Number of entries, this process included if it is one.
    pub(super) fn entry_count(&self) -> usize {
        if self.entries.is_empty() { self.seeds.len() } else { self.entries.len() }
    }

    /// Peers to exchange numbers with: the configured entries, and the seeds.
    pub(super) fn partners(&self) -> Vec<name::Host> {
        let all = self.entries.union(&self.seeds);
        all.filter(|host| **host != self.host).cloned().collect()
    }

    /// Peers that announced a revision of at least `number` that was not refused.
    pub(super) fn holders(&self, number: u64, refused: &Refused, now: Instant) -> Vec<name::Host> {
        let holds = |host, n| n >= number && !refused.announced(host, n, now);
        let holders = self.numbers.iter().filter(|(host, n)| holds(host, **n));
        holders.map(|(host, _)| host.clone()).collect()
    }

    /// Connected peers that are not known to hold revision `number`.
    pub(super) fn behind(&self, number: u64) -> Vec<name::Host> {
        let behind = |host: &&name::Host| self.numbers.get(*host).is_none_or(|n| *n < number);
        self.up.iter().filter(behind).cloned().collect()
    }
}

/// Revisions that were refused lately.
#[derive(Default)]
pub(super) struct Refused {
    heads: BTreeMap<Hash, Instant>,
    peers: BTreeMap<name::Host, (u64, Instant)>,
}

impl Refused {
    /// Remembers a head that was refused, and the peer that sent it.
    pub(super) fn insert(&mut self, head: &Head, origin: &Origin, now: Instant) {
        let until = now + REFUSED_PERIOD;
        self.heads.retain(|_, until| *until > now);
        while self.heads.len() >= REFUSED_LIMIT {
            self.heads.pop_first();
        }
        self.heads.insert(head.hash(), until);
        self.insert_peer(head, origin, now);
    }

    /// Remembers that a peer holds a refused head, so that it is not asked for it again.
    pub(super) fn insert_peer(&mut self, head: &Head, origin: &Origin, now: Instant) {
        self.peers.retain(|_, (_, until)| *until > now);
        if let Origin::Peer(host) = origin {
            self.peers.insert(host.clone(), (head.number, now + REFUSED_PERIOD));
        }
    }

    pub(super) fn head(&self, hash: &Hash, now: Instant) -> bool {
        self.heads.get(hash).is_some_and(|until| *until > now)
    }

    /// Whether the revision that a peer announces was refused.
    pub(super) fn announced(&self, host: &name::Host, number: u64, now: Instant) -> bool {
        self.peers.get(host).is_some_and(|(n, until)| *n == number && *until > now)
    }
}
