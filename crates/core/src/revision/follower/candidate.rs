//! A newer revision whose documents are being fetched.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::Origin;
use crate::revision::snapshot::verify;
use crate::revision::{Hash, Head, Snapshot, SnapshotError};
use crate::time::Instant;

/// Time after which documents that a peer has not sent are requested from another one.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Consecutive requests without a received document after which the candidate is dropped.
const ATTEMPTS_LIMIT: u32 = 8;

/// A revision that is not complete yet.
pub(super) struct Candidate {
    pub(super) head: Head,
    pub(super) origin: Origin,
    /// Earliest time of adoption, which leaves peers time to announce a different revision.
    pub(super) not_before: Instant,
    documents: BTreeMap<Hash, Arc<[u8]>>,
    missing: BTreeSet<Hash>,
    /// Documents of the request in progress.
    requested: BTreeSet<Hash>,
    /// When the request in progress expires; `None` if there is none.
    deadline: Option<Instant>,
    awaiting_kv: bool,
    /// Consecutive requests without a received document.
    attempts: u32,
}

impl Candidate {
    pub(super) fn new(head: Head, origin: Origin, current: Option<&Snapshot>) -> Self {
        let known = current.map(|c| &*c.documents);
        let mut documents = BTreeMap::new();
        let mut missing = BTreeSet::new();
        for hash in head.documents.values() {
            match known.and_then(|known| known.get(hash)) {
                Some(bytes) => drop(documents.insert(*hash, bytes.clone())),
                None => drop(missing.insert(*hash)),
            }
        }
        let not_before = Instant::default();
        let (requested, deadline) = (BTreeSet::new(), None);
        let (awaiting_kv, attempts) = (false, 0);
        Self {
            head,
            origin,
            not_before,
            documents,
            missing,
            requested,
            deadline,
            awaiting_kv,
            attempts,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns whether documents are missing and no request is in progress.
    pub(super) fn needs_request(&self) -> bool {
        !self.is_complete() && self.deadline.is_none()
    }

    /// Returns whether the next request goes to the alternate source. Failed requests alternate
    /// between the peers and the key-value service.
    pub(super) fn uses_alternate(&self) -> bool {
        self.attempts % 2 == 1
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.attempts >= ATTEMPTS_LIMIT
    }

    /// Picks up to `limit` of the missing documents and starts a request for them.
    pub(super) fn request(&mut self, limit: usize, now: Instant) -> Vec<Hash> {
        self.requested = self.missing.iter().take(limit).copied().collect();
        self.deadline = Some(now + PEER_TIMEOUT);
        self.requested.iter().copied().collect()
    }

    /// Marks the request as sent to the key-value service, whose calls have a deadline of their
    /// own.
    pub(super) fn await_kv(&mut self) {
        self.awaiting_kv = true;
        self.deadline = Some(Instant::from_us(u64::MAX));
    }

    /// Returns whether a request to the key-value service is in progress.
    pub(super) fn awaits_kv(&self) -> bool {
        self.awaiting_kv
    }

    /// Adds a document. Ignores one that is not missing, and returns an error for one that is too
    /// large or does not match its hash.
    pub(super) fn insert(&mut self, hash: Hash, bytes: Vec<u8>) -> Result<(), SnapshotError> {
        if !self.missing.contains(&hash) {
            return Ok(());
        }
        if let Err(error) = verify(&hash, &bytes) {
            self.record_failure();
            return Err(error);
        }
        self.missing.remove(&hash);
        self.requested.remove(&hash);
        self.documents.insert(hash, bytes.into());
        self.attempts = 0;
        if self.requested.is_empty() {
            self.deadline = None;
            self.awaiting_kv = false;
        }
        Ok(())
    }

    /// Records a failed request, so that the next one goes to the other source.
    pub(super) fn record_failure(&mut self) {
        self.deadline = None;
        self.awaiting_kv = false;
        self.attempts += 1;
    }

    /// Records the request in progress as failed if its deadline has passed, and returns whether
    /// it has.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.deadline.is_some_and(|deadline| now >= deadline);
        if expired {
            self.record_failure();
        }
        expired
    }

    /// Checks the documents and parses the configuration.
    pub(super) fn to_snapshot(&self) -> Result<Snapshot, SnapshotError> {
        Snapshot::new(self.head.clone(), &self.documents)
    }

    pub(super) fn wake(&self) -> Instant {
        self.deadline.unwrap_or(self.not_before)
    }

    /// Returns a document that has been received, to answer requests of peers.
    pub(super) fn document(&self, hash: &Hash) -> Option<&Arc<[u8]>> {
        self.documents.get(hash)
    }
}
