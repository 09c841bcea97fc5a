//! Positions in the history of the platform's store.
//!
//! The store can come back from a copy that is some seconds old. Revisions then go back and are given
//! out again for other changes, but the store's era rises, so that only both together order changes.

use oriole_macros::key;

/// Bits of the encoded number that hold the revision.
const REVISION_BITS: u32 = 40;

/// Largest revision that is told apart: ten years of three thousand writes a second.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// Largest era that is told apart.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A position in the history of the store: positions of a later era are later, whatever their revision.
///
/// Encoded as one number that grows with the position. In era 0, that of a store that names none, it is the
/// revision.
#[key]
#[derive(Default)]
#[serde(transparent)]
pub struct Position(u64);

impl Position {
    /// Returns the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self(era.min(MAX_ERA) << REVISION_BITS | revision.min(MAX_REVISION))
    }

    /// Returns the era.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision, which only the store itself may compare.
    pub fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }

    /// Returns a number that grows with the position, as endpoints compare it.
    pub fn fencing_token(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era(), self.revision())
    }
}
