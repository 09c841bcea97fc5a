//! One change on its way into the key-value service, as a state machine around its calls.

use super::follower::Version;
use super::{Change, Conflict, Head, Outcome, Proposal, propose, settle};

/// A change that is being written.
///
/// The caller reads the head, passes it to [`Operation::seen`], and follows the step. After a
/// write that was not confirmed, for whatever reason, it reads the head again and passes it in.
#[derive(Clone, Debug)]
pub struct Operation {
    change: Change,
    pending: Option<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    base: Option<Head>,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Replace the head by this one if its key still has this version.
    Write {
        /// The version to compare with.
        version: Version,
        /// The new head.
        head: Head,
    },
    /// The change is accepted as this revision.
    Accepted(u64),
    /// The head of this number already holds all that the change asks for.
    Nothing(u64),
    /// Others changed the same documents: it is not accepted.
    Conflict(Conflict),
    /// The key-value service went back to older contents while a write was under way. It cannot
    /// be told whether the write took effect before that.
    SetBack,
}

impl Operation {
    /// Starts to write a change.
    pub fn new(change: Change) -> Self {
        Self { change, pending: None }
    }

    /// The change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Decides on the head that was read, `None` if there is none.
    pub fn seen(&mut self, version: Version, head: Option<Head>) -> Step {
        let id = &self.change.id;
        let base = self.pending.take().map(|pending| pending.base);
        let outcome = match &base {
            Some(base) => settle(base.as_ref(), head.as_ref(), id),
            // A change that an earlier run wrote counts as accepted.
            None => head.as_ref().map_or(Outcome::Undecided, |h| settle(Some(h), Some(h), id)),
        };
        match outcome {
            Outcome::Accepted(number) => return Step::Accepted(number),
            Outcome::SetBack => return Step::SetBack,
            Outcome::Refused | Outcome::Undecided => {}
        }
        match propose(head.as_ref(), &self.change) {
            Err(conflict) => Step::Conflict(conflict),
            Ok(Proposal::Nothing) => Step::Nothing(head.map_or(0, |h| h.number)),
            Ok(Proposal::Replace(new)) => {
                self.pending = Some(Pending { base: head });
                Step::Write { version, head: new }
            }
        }
    }
}
