//! A newer revision whose documents are being fetched.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::Origin;
use crate::revision::adopted::verify;
use crate::revision::{Adopted, Hash, Head, Refusal};
use crate::time::Instant;

/// Time after which documents that were asked of a peer are asked of another.
const ASK_DEADLINE: Duration = Duration::from_secs(2);

/// Requests for documents without progress after which the revision is given up for now.
const TRIES_LIMIT: u32 = 8;

/// A revision that is not whole yet.
pub(super) struct Candidate {
    pub(super) head: Head,
    pub(super) origin: Origin,
    /// The revision is not adopted before this, so that a peer may contradict it.
    pub(super) not_before: Instant,
    parts: BTreeMap<Hash, Arc<[u8]>>,
    missing: BTreeSet<Hash>,
    asked: BTreeSet<Hash>,
    deadline: Option<Instant>,
    at_service: bool,
    tries: u32,
}

impl Candidate {
    pub(super) fn new(head: Head, origin: Origin, current: Option<&Adopted>) -> Self {
        let known = current.map(|c| &*c.documents);
        let mut parts = BTreeMap::new();
        let mut missing = BTreeSet::new();
        for hash in head.documents.values() {
            match known.and_then(|known| known.get(hash)) {
                Some(bytes) => drop(parts.insert(*hash, bytes.clone())),
                None => drop(missing.insert(*hash)),
            }
        }
        let not_before = Instant::default();
        let (asked, deadline) = (BTreeSet::new(), None);
        let (at_service, tries) = (false, 0);
        Self { head, origin, not_before, parts, missing, asked, deadline, at_service, tries }
    }

    pub(super) fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }

    /// Whether documents are to be asked for now.
    pub(super) fn wants(&self) -> bool {
        !self.is_whole() && self.deadline.is_none()
    }

    /// Whether the last try is to go to where the head did not come from.
    pub(super) fn alternates(&self) -> bool {
        self.tries % 2 == 1
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.tries >= TRIES_LIMIT
    }

    /// Up to `limit` of the missing documents, which count as asked for from now on.
    pub(super) fn ask(&mut self, limit: usize, now: Instant) -> Vec<Hash> {
        self.asked = self.missing.iter().take(limit).copied().collect();
        self.deadline = Some(now + ASK_DEADLINE);
        self.asked.iter().copied().collect()
    }

    /// Waits for the key-value service, whose calls have a deadline of their own.
    pub(super) fn wait_for_service(&mut self) {
        self.at_service = true;
        self.deadline = Some(Instant::from_us(u64::MAX));
    }

    /// Whether the last request went to the key-value service and has not ended.
    pub(super) fn is_at_service(&self) -> bool {
        self.at_service
    }

    /// Takes a document in, if it is missing and is what its hash says.
    pub(super) fn put(&mut self, hash: Hash, bytes: Vec<u8>) -> Result<(), Refusal> {
        if !self.missing.contains(&hash) {
            return Ok(());
        }
        if let Err(refusal) = verify(&hash, &bytes) {
            self.fail();
            return Err(refusal);
        }
        self.missing.remove(&hash);
        self.asked.remove(&hash);
        self.parts.insert(hash, bytes.into());
        self.tries = 0;
        if self.asked.is_empty() {
            self.deadline = None;
            self.at_service = false;
        }
        Ok(())
    }

    /// Counts a request without progress; the next goes elsewhere.
    pub(super) fn fail(&mut self) {
        self.deadline = None;
        self.at_service = false;
        self.tries += 1;
    }

    /// Counts a request as failed whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.deadline.is_some_and(|deadline| now >= deadline);
        if expired {
            self.fail();
        }
        expired
    }

    pub(super) fn adopt(&self) -> Result<Adopted, Refusal> {
        Adopted::new(self.head.clone(), &self.parts)
    }

    pub(super) fn wake(&self) -> Instant {
        self.deadline.unwrap_or(self.not_before)
    }

    /// Documents that have arrived, for peers that ask.
    pub(super) fn part(&self, hash: &Hash) -> Option<&Arc<[u8]>> {
        self.parts.get(hash)
    }
}
