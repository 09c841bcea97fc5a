//! Writes one change to the key-value service, as a state machine without I/O.

use super::follower::Version;
use super::{Change, Conflict, Head, Outcome, Proposal, propose, resolve};

/// A change that is being written.
///
/// The caller reads the head, passes it to [`Operation::next_step`] and carries out the returned
/// [`Step`]. After a write that was not confirmed, for whatever reason, it reads the head again
/// and passes it in.
#[derive(Clone, Debug)]
pub struct Operation {
    change: Change,
    pending: Option<Pending>,
}

/// A write whose reply has not been received. `base` is the head that it replaces, if any.
#[derive(Clone, Debug)]
struct Pending {
    base: Option<Head>,
}

/// What the caller is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Replace the head by compare-and-swap on the version of its key.
    Write {
        /// The expected version of the key.
        version: Version,
        /// The new head.
        head: Head,
    },
    /// Stop: the change was accepted as the revision of this number.
    Accepted(u64),
    /// Stop: the head of this number already contains the change.
    Unchanged(u64),
    /// Stop: the change is not accepted, because another one edited the same documents.
    Conflict(Conflict),
    /// Stop: the key-value service returned to older contents while a write was in progress, so
    /// it cannot be determined whether the write took effect before.
    SetBack,
}

impl Operation {
    /// Creates an operation that writes `change`.
    pub fn new(change: Change) -> Self {
        Self { change, pending: None }
    }

    /// Returns the change that is being written.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Decides what follows from the head that was read, `None` if there is none. `version` is the
    /// version of its key.
    pub fn next_step(&mut self, version: Version, head: Option<Head>) -> Step {
        let id = &self.change.id;
        let base = self.pending.take().map(|pending| pending.base);
        let outcome = match &base {
            Some(base) => resolve(base.as_ref(), head.as_ref(), id),
            // An earlier run of the same command may have written the change already.
            None => head.as_ref().map_or(Outcome::Undecided, |h| resolve(Some(h), Some(h), id)),
        };
        match outcome {
            Outcome::Accepted(number) => return Step::Accepted(number),
            Outcome::SetBack => return Step::SetBack,
            Outcome::Refused | Outcome::Undecided => {}
        }
        match propose(head.as_ref(), &self.change) {
            Err(conflict) => Step::Conflict(conflict),
            Ok(Proposal::Unchanged) => Step::Unchanged(head.map_or(0, |h| h.number)),
            Ok(Proposal::Replace(new)) => {
                self.pending = Some(Pending { base: head });
                Step::Write { version, head: new }
            }
        }
    }
}
