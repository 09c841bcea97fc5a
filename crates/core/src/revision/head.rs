//! Head manifests: encoding, hash, and which of two is newer.

use oriole_macros::{failure, key};
use sha2::{Digest, Sha256};

use super::{Hash, Head};
use crate::config::is_document;

/// Most bytes of an encoded head, the largest value of the key-value service.
pub const HEAD_LIMIT_BYTES: usize = 1_000_000;

/// Most ids of changes that a head lists. They prove descent over that many revisions.
pub const CHANGES_LIMIT: usize = 256;

/// Most characters of a change's id.
const CHANGE_ID_LIMIT: usize = 64;

/// Why bytes are not a head.
#[failure]
pub enum HeadError {
    /// Larger than the key-value service holds.
    #[display("the head is larger than {HEAD_LIMIT_BYTES} bytes")]
    Oversized,
    /// Not the expected JSON.
    #[display("the head is not the expected JSON")]
    Malformed,
    /// The fields contradict each other.
    #[display("the head's number, previous head and changes contradict each other")]
    Inconsistent,
    /// It lists a document that the system does not read.
    #[display("the head lists a document of unknown name")]
    UnknownDocument,
}

/// How one head stands to another.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Relation {
    /// The same revision.
    Same,
    /// A later revision that contains all changes of the other.
    Successor,
    /// A later revision; too many lie between to see whether it contains all changes.
    Unproven,
    /// An earlier revision.
    Older,
    /// Neither contains all changes of the other.
    Fork,
}

impl Head {
    /// The hash of the head, independent of its encoding.
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

    /// Encodes the head for the key-value service.
    pub fn encode(&self) -> Result<Vec<u8>, HeadError> {
        let bytes = serde_json::to_vec(self).map_err(|_| HeadError::Malformed)?;
        if bytes.len() > HEAD_LIMIT_BYTES { Err(HeadError::Oversized) } else { Ok(bytes) }
    }

    /// Decodes a value of the key-value service.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeadError> {
        if bytes.len() > HEAD_LIMIT_BYTES {
            return Err(HeadError::Oversized);
        }
        let head: Self = serde_json::from_slice(bytes).map_err(|_| HeadError::Malformed)?;
        head.check()?;
        Ok(head)
    }

    /// Refuses a head that no accepted change can have produced.
    pub fn check(&self) -> Result<(), HeadError> {
        let listed = self.number.min(CHANGES_LIMIT as u64);
        let sized = |id: &String| !id.is_empty() && id.len() <= CHANGE_ID_LIMIT;
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

    /// How this head stands to `other`.
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

    /// The id of the change that was accepted `distance` revisions ago.
    fn change_before(&self, distance: u64) -> Option<&String> {
        let distance = usize::try_from(distance).ok()?;
        let index = self.changes.len().checked_sub(1)?.checked_sub(distance)?;
        self.changes.get(index)
    }
}
