//! State of the peers, and recently refused revisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Origin;
use crate::name;
use crate::revision::{Hash, Head, Snapshot};
use crate::time::Instant;

/// Most refused heads that are recorded.
const REFUSED_HEADS_LIMIT: usize = 16;

/// Time for which a refused revision is not fetched again.
const REFUSED_PERIOD: Duration = Duration::from_secs(60);

/// Time after sending its number within which a process does not answer an equal number; shorter
/// than the shortest interval between exchanges.
const RESEND_PERIOD: Duration = Duration::from_secs(2);

/// What one process knows about its peers.
pub(super) struct Peers {
    host: name::Host,
    seeds: BTreeSet<name::Host>,
    /// Entries of the active configuration.
    entries: BTreeSet<name::Host>,
    connected: BTreeSet<name::Host>,
    /// Revision numbers that peers announced.
    numbers: BTreeMap<name::Host, u64>,
    /// When this process last sent its number to each peer.
    sent_at: BTreeMap<name::Host, Instant>,
    /// When a peer that has a revision last announced its number or sent its head.
    pub(super) last_heard: Instant,
}

impl Peers {
    pub(super) fn new(host: name::Host, seeds: BTreeSet<name::Host>, now: Instant) -> Self {
        let (entries, connected) = (BTreeSet::new(), BTreeSet::new());
        let (numbers, sent_at) = (BTreeMap::new(), BTreeMap::new());
        Self { host, seeds, entries, connected, numbers, sent_at, last_heard: now }
    }

    pub(super) fn set_entries(&mut self, snapshot: &Snapshot) {
        self.entries = snapshot.config.entries.keys().cloned().collect();
    }

    pub(super) fn connect(&mut self, host: name::Host) {
        self.connected.insert(host);
    }

    pub(super) fn disconnect(&mut self, host: &name::Host) {
        self.connected.remove(host);
        self.numbers.remove(host);
        self.sent_at.remove(host);
    }

    pub(super) fn set_number(&mut self, host: &name::Host, number: u64, now: Instant) {
        self.numbers.insert(host.clone(), number);
        if number > 0 {
            self.last_heard = now;
        }
    }

    /// Records that this process sends its number to a peer.
    pub(super) fn record_sent(&mut self, host: &name::Host, now: Instant) {
        self.sent_at.insert(host.clone(), now);
    }

    /// Returns whether this process sent its number to a peer within [`RESEND_PERIOD`].
    pub(super) fn sent_recently(&self, host: &name::Host, now: Instant) -> bool {
        self.sent_at.get(host).is_some_and(|at| now < *at + RESEND_PERIOD)
    }

    pub(super) fn forget_number(&mut self, host: &name::Host) {
        self.numbers.remove(host);
    }

    /// Returns the number of configured entries, this process included if it is one. Without a
    /// configuration, returns the number of seeds.
    pub(super) fn entry_count(&self) -> usize {
        if self.entries.is_empty() { self.seeds.len() } else { self.entries.len() }
    }

    /// Returns the peers to exchange numbers with: configured entries and seeds.
    pub(super) fn exchange_peers(&self) -> Vec<name::Host> {
        let all = self.entries.union(&self.seeds);
        all.filter(|host| **host != self.host).cloned().collect()
    }

    /// Returns the peers that announced revision `number` or a later one, except those whose
    /// announced revision was refused.
    pub(super) fn holders(&self, number: u64, refused: &Refused, now: Instant) -> Vec<name::Host> {
        let holds = |host, n| n >= number && !refused.contains_announced(host, n, now);
        let holders = self.numbers.iter().filter(|(host, n)| holds(host, **n));
        holders.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the connected peers that have not announced revision `number` or a later one.
    pub(super) fn behind(&self, number: u64) -> Vec<name::Host> {
        let behind = |host: &&name::Host| self.numbers.get(*host).is_none_or(|n| *n < number);
        self.connected.iter().filter(behind).cloned().collect()
    }
}

/// Revisions that were refused within [`REFUSED_PERIOD`].
#[derive(Default)]
pub(super) struct Refused {
    /// When the record of each refused head expires.
    heads: BTreeMap<Hash, Instant>,
    /// Number of the refused revision that a peer holds, and when the record expires.
    holders: BTreeMap<name::Host, (u64, Instant)>,
}

impl Refused {
    /// Records a refused head and the peer that sent it.
    pub(super) fn insert(&mut self, head: &Head, origin: &Origin, now: Instant) {
        let until = now + REFUSED_PERIOD;
        self.heads.retain(|_, until| *until > now);
        while self.heads.len() >= REFUSED_HEADS_LIMIT {
            self.heads.pop_first();
        }
        self.heads.insert(head.hash(), until);
        self.insert_holder(head, origin, now);
    }

    /// Records that a peer holds a refused head, so that it is not requested from the peer again.
    pub(super) fn insert_holder(&mut self, head: &Head, origin: &Origin, now: Instant) {
        self.holders.retain(|_, (_, until)| *until > now);
        if let Origin::Peer(host) = origin {
            self.holders.insert(host.clone(), (head.number, now + REFUSED_PERIOD));
        }
    }

    pub(super) fn contains_head(&self, hash: &Hash, now: Instant) -> bool {
        self.heads.get(hash).is_some_and(|until| *until > now)
    }

    /// Returns whether the revision that a peer announces was refused.
    pub(super) fn contains_announced(&self, host: &name::Host, number: u64, now: Instant) -> bool {
        self.holders.get(host).is_some_and(|(n, until)| *n == number && *until > now)
    }
}
