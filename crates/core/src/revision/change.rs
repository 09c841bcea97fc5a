//! Changes: what an operator asks for, and whether it can be accepted on top of a head.

use std::collections::BTreeMap;

use derive_more::Display;
use oriole_macros::{data, failure};

use super::head::CHANGES_LIMIT;
use super::{Division, Field, Hash, Head, Relation, fields};

/// The document that lists the entries.
const ENTRIES: &str = "entries";

/// A set of edits that is accepted whole or not at all.
#[data]
pub struct Change {
    /// Id that no other change has. It tells whether a write whose reply was lost took effect.
    pub id: String,
    /// Edits by document.
    pub edits: BTreeMap<String, Edit>,
}

/// The edit of one document.
#[data]
#[derive(Copy)]
pub struct Edit {
    /// The content that the operator changed, `None` if there was no such document.
    pub from: Option<Hash>,
    /// The new content, `None` to remove the document.
    pub to: Option<Hash>,
}

/// What becomes of a change on top of a head.
#[data]
pub enum Proposal {
    /// This head is to replace it.
    Replace(Head),
    /// The head already holds all that the change asks for.
    Nothing,
}

/// A change that cannot be accepted, as others changed the same documents.
#[failure]
#[display("{} of the changed documents changed meanwhile", clashes.len())]
pub struct Conflict {
    /// The clashes by document.
    #[error(not(source))]
    pub clashes: BTreeMap<String, Clash>,
}

/// The three contents of a document that two operators changed.
#[data]
#[derive(Copy)]
pub struct Clash {
    /// What both started from.
    pub base: Option<Hash>,
    /// What was accepted meanwhile.
    pub theirs: Option<Hash>,
    /// What this change asks for.
    pub ours: Option<Hash>,
}

impl Clash {
    /// The fields in which the accepted content differs from what this change started from, and
    /// those in which this change differs from the accepted content.
    pub fn fields(base: &str, theirs: &str, ours: &str) -> (Vec<Field>, Vec<Field>) {
        (fields(base, theirs), fields(theirs, ours))
    }
}

/// The head that accepts `change` on top of `head`.
///
/// Edits of documents that did not change since the operator read them are rebased; an edit that
/// others already made counts as made.
pub fn propose(head: Option<&Head>, change: &Change) -> Result<Proposal, Conflict> {
    let current = head.map(|h| h.documents.clone()).unwrap_or_default();
    let mut documents = current.clone();
    let mut clashes = BTreeMap::new();
    for (name, edit) in &change.edits {
        let theirs = current.get(name).copied();
        if theirs != edit.from && theirs != edit.to {
            let clash = Clash { base: edit.from, theirs, ours: edit.to };
            clashes.insert(name.clone(), clash);
            continue;
        }
        match edit.to {
            Some(hash) => documents.insert(name.clone(), hash),
            None => documents.remove(name),
        };
    }
    if !clashes.is_empty() {
        return Err(Conflict { clashes });
    }
    if documents == current {
        return Ok(Proposal::Nothing);
    }
    Ok(Proposal::Replace(successor(head, documents, change.id.clone())))
}

fn successor(head: Option<&Head>, documents: BTreeMap<String, Hash>, id: String) -> Head {
    let mut changes = head.map(|h| h.changes.clone()).unwrap_or_default();
    changes.push(id);
    let surplus = changes.len().saturating_sub(CHANGES_LIMIT);
    changes.drain(..surplus);
    let roster = head.map_or(Division::FIRST, |head| divide(head, &documents));
    Head {
        number: head.map_or(1, |h| h.number + 1),
        previous: head.map(Head::hash),
        documents,
        changes,
        roster,
    }
}

/// The roster of the successor of `head`: a new one if the entries change.
fn divide(head: &Head, documents: &BTreeMap<String, Hash>) -> Division {
    if documents.get(ENTRIES) == head.documents.get(ENTRIES) {
        return head.roster;
    }
    Division { number: head.number + 1, previous: head.roster.number }
}

/// What became of a write whose reply was lost.
#[data]
#[derive(Copy, Display)]
pub enum Outcome {
    /// It took effect, and made this revision.
    #[display("accepted as revision {_0}")]
    Accepted(u64),
    /// It did not, and never will: the head that it compared with is gone.
    #[display("not accepted")]
    Refused,
    /// It may still take effect: send the very same write again, which cannot apply twice.
    #[display("undecided")]
    Undecided,
    /// The service holds other contents than the write started from; nothing can be told.
    #[display("unknown, as the key-value service holds older contents")]
    SetBack,
}

/// Resolves a write that was to replace `base` by a head with the change `id`, from the head that
/// was read afterwards.
pub fn settle(base: Option<&Head>, seen: Option<&Head>, id: &str) -> Outcome {
    if let Some(revision) = seen.and_then(|head| accepted_as(head, id)) {
        return Outcome::Accepted(revision);
    }
    match (base, seen) {
        (None, None) => Outcome::Undecided,
        (None, Some(_)) => Outcome::Refused,
        (Some(_), None) => Outcome::SetBack,
        (Some(base), Some(seen)) => match seen.relation(base) {
            Relation::Same => Outcome::Undecided,
            Relation::Successor => Outcome::Refused,
            // More changes came in between than a head lists: the id may have left the list.
            Relation::Unproven | Relation::Older | Relation::Fork => Outcome::SetBack,
        },
    }
}

/// The revision that accepted the change `id`, if the head still lists it.
fn accepted_as(head: &Head, id: &str) -> Option<u64> {
    let distance = head.changes.iter().rev().position(|change| change == id)?;
    head.number.checked_sub(distance as u64)
}
