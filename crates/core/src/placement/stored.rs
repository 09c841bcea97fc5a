//! What the platform's store holds of the plan, and whether it has to be written there again.
//!
//! The store can come back from a copy, and what was written since is gone. The number of a plan then still
//! tells which one is the newest, and who holds that one writes it back.

use super::Plan;
use crate::fleet::Position;

/// What the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Value {
    /// No plan.
    Missing,
    /// Something that cannot be decoded.
    Undecodable,
    /// The plan with this number.
    Plan(u64),
}

/// What the store holds, as far as an entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Position of the last write, or of the reading that shows that there is no plan.
    position: Position,
    value: Value,
}

impl Stored {
    /// A plan that was read from the store or written there.
    pub fn plan(plan: &Plan) -> Self {
        Self { position: plan.position, value: Value::Plan(plan.number) }
    }

    /// A value that was written at `position` and cannot be decoded.
    pub fn undecodable(position: Position) -> Self {
        Self { position, value: Value::Undecodable }
    }

    /// Nothing, as a reading at `position` shows.
    pub fn missing(position: Position) -> Self {
        Self { position, value: Value::Missing }
    }

    /// Returns whether this tells of an older era than `other`.
    pub fn is_outdated(&self, other: &Self) -> bool {
        self.position.era() < other.position.era()
    }

    /// Returns whether the store has lost the plan in force.
    pub fn lacks(&self, plan: &Plan) -> bool {
        let number = match self.value {
            Value::Plan(number) => number,
            Value::Missing | Value::Undecodable => 0,
        };
        // A plan of a later position has been written since the store was read.
        number < plan.number && plan.position < self.position
    }

    /// Returns the revision that the store is expected to have of the plan, on the condition of which a
    /// newer one is written. `plan` is the one in force.
    ///
    /// Revisions are given out again after a restore, so that the condition may hold by chance. What is
    /// then replaced is a plan that was not in force here; all entries follow the one that replaces it.
    pub fn expected_revision(&self, plan: Option<&Plan>) -> u64 {
        let is_later =
            |p: &&Plan| p.position.era() == self.position.era() && self.position < p.position;
        match (plan.filter(is_later), self.value) {
            (Some(plan), _) => plan.position.revision(),
            (None, Value::Missing) => 0,
            (None, Value::Undecodable | Value::Plan(_)) => self.position.revision(),
        }
    }
}
