//! Encoding, hashing and comparison of head manifests.

use oriole_macros::{failure, key};
use sha2::{Digest, Sha256};

use super::{Hash, Head};
use crate::config::is_document;

/// Largest encoded head, which is the largest value that the key-value service stores.
pub const HEAD_LIMIT_BYTES: usize = 1_000_000;

/// Most change ids that a head lists. They prove that it descends from another head over as many
/// revisions.
pub const CHANGES_LIMIT: usize = 256;

const CHANGE_ID_LIMIT_BYTES: usize = 64;

/// Why a head is invalid.
#[failure]
pub enum HeadError {
    /// The encoded head is larger than [`HEAD_LIMIT_BYTES`].
    #[display("the head is larger than {HEAD_LIMIT_BYTES} bytes")]
    Oversized,
    /// The bytes are not JSON of the expected fields.
    #[display("the head is not JSON of the expected fields")]
    Malformed,
    /// The fields contradict each other, so that no accepted change can have produced the head.
    #[display("the head's number, previous head, changes and roster contradict each other")]
    Inconsistent,
    /// The head lists a document whose name is not one of the configuration's.
    #[display("the head lists a document with an unknown name")]
    UnknownDocument,
}

/// How one head is related to another.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Relation {
    /// Both are the same revision.
    Same,
    /// The head is a later revision that contains all changes of the other.
    Successor,
    /// The head is a later revision, but too many revisions lie between to prove that it contains
    /// all changes of the other.
    Unproven,
    /// The head is an earlier revision that the other contains or may contain.
    Older,
    /// The two have diverged: neither contains all changes of the other.
    Fork,
}

impl Head {
    /// Computes the hash of the head's fields, which does not depend on the encoding.
    pub fn hash(&self) -> Hash {
        let mut digest = Sha256::new();
        let mut put = |bytes: &[u8]| {
            digest.update((bytes.len() as u64).to_be_bytes());
            digest.update(bytes);
        };
        put(&self.number.to_be_bytes());
        put(self.previous.as_ref().map_or(&[], |hash| hash.0.as_slice()));
        put(&(self.documents.len() as u64).to_be_bytes());
        for (name, hash) in &self.documents {
            put(name.as_bytes());
            put(&hash.0);
        }
        for change in &self.changes {
            put(change.as_bytes());
        }
        put(&self.roster.number.to_be_bytes());
        put(&self.roster.previous.to_be_bytes());
        Hash(digest.finalize().into())
    }

    /// Encodes the head as JSON for the key-value service.
    pub fn encode(&self) -> Result<Vec<u8>, HeadError> {
        let bytes = serde_json::to_vec(self).map_err(|_| HeadError::Malformed)?;
        if bytes.len() > HEAD_LIMIT_BYTES { Err(HeadError::Oversized) } else { Ok(bytes) }
    }

    /// Decodes and checks a head that was read from the key-value service.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeadError> {
        if bytes.len() > HEAD_LIMIT_BYTES {
            return Err(HeadError::Oversized);
        }
        let head: Self = serde_json::from_slice(bytes).map_err(|_| HeadError::Malformed)?;
        head.check()?;
        Ok(head)
    }

    /// Checks that an accepted change can have produced this head.
    pub fn check(&self) -> Result<(), HeadError> {
        let listed = self.number.min(CHANGES_LIMIT as u64);
        let sized = |id: &String| !id.is_empty() && id.len() <= CHANGE_ID_LIMIT_BYTES;
        let consistent = self.number >= 1
            && self.changes.len() as u64 == listed
            && self.changes.iter().all(sized)
            && self.previous.is_none() == (self.number == 1)
            && (1..=self.number).contains(&self.roster.number)
            && self.roster.previous < self.roster.number;
        if !consistent {
            return Err(HeadError::Inconsistent);
        }
        if !self.documents.keys().all(|name| is_document(name)) {
            return Err(HeadError::UnknownDocument);
        }
        Ok(())
    }

    /// Compares this head with `other` by number, hash and listed changes.
    pub fn relation(&self, other: &Self) -> Relation {
        if self.number < other.number {
            return match other.relation(self) {
                Relation::Fork => Relation::Fork,
                _ => Relation::Older,
            };
        }
        if self.number == other.number {
            return if self.hash() == other.hash() { Relation::Same } else { Relation::Fork };
        }
        let distance = self.number - other.number;
        if distance == 1 && self.previous != Some(other.hash()) {
            return Relation::Fork;
        }
        match self.change_before(distance) {
            None => Relation::Unproven,
            Some(change) if other.changes.last() == Some(change) => Relation::Successor,
            Some(_) => Relation::Fork,
        }
    }

    /// Returns the id of the change that was accepted `distance` revisions ago, `None` if the head
    /// no longer lists it.
    fn change_before(&self, distance: u64) -> Option<&String> {
        let distance = usize::try_from(distance).ok()?;
        let index = self.changes.len().checked_sub(1)?.checked_sub(distance)?;
        self.changes.get(index)
    }
}
