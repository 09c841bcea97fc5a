//! When a key that entries write was last written to the store, or was missing there.

use oriole_core::fleet::Position;

/// The last state of a key that an entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Version {
    /// Position of the last write, or of the reading that shows that there is none.
    position: Position,
    exists: bool,
}

impl Version {
    /// The key was written at `position`.
    pub fn written(position: Position) -> Self {
        Self { position, exists: true }
    }

    /// The key is not in the store, as a reading at `position` shows.
    pub fn missing(position: Position) -> Self {
        Self { position, exists: false }
    }

    /// Returns the state in which the store has just turned out not to have the key.
    pub fn lost(self) -> Self {
        Self { exists: false, ..self }
    }

    /// Returns whether `later` tells of no older state.
    pub fn is_replaced_by(self, later: Self) -> bool {
        self.position <= later.position
    }

    /// Returns the revision on the condition of which the key is written: 0 if it must not exist.
    pub fn expected_revision(self) -> u64 {
        if self.exists { self.position.revision() } else { 0 }
    }
}
