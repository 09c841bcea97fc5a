//! Changes that operators request, and whether a head can accept them.

use std::collections::BTreeMap;

use derive_more::Display;
use oriole_macros::{data, failure};

use super::head::CHANGES_LIMIT;
use super::{FieldDiff, Hash, Head, Relation, RosterVersion, diff_fields};

/// The document that lists the entries.
const ENTRIES: &str = "entries";

/// A set of edits that is accepted as a whole or not at all.
#[data]
pub struct Change {
    /// Unique id. It shows in later heads whether a write whose reply was lost took effect.
    pub id: String,
    /// Edits by document name.
    pub edits: BTreeMap<String, Edit>,
}

/// The edit of one document.
#[data]
#[derive(Copy)]
pub struct Edit {
    /// Hash of the content that the operator started from, `None` if the document did not exist.
    pub from: Option<Hash>,
    /// Hash of the new content, `None` to remove the document.
    pub to: Option<Hash>,
}

/// The result of applying a change to a head.
#[data]
pub enum Proposal {
    /// The head that is to replace the current one.
    Replace(Head),
    /// The current head already contains the change.
    #[serde(rename = "Nothing")]
    Unchanged,
}

/// A change that cannot be accepted because another change edited the same documents.
#[failure]
#[display("{} of the changed documents were changed by others meanwhile", clashes.len())]
pub struct Conflict {
    /// Clashes by document name.
    #[error(not(source))]
    pub clashes: BTreeMap<String, Clash>,
}

/// The three versions of a document that two operators changed concurrently.
#[data]
#[derive(Copy)]
pub struct Clash {
    /// The version that this change started from, `None` if the document did not exist.
    pub base: Option<Hash>,
    /// The version that was accepted meanwhile, `None` if the document was removed.
    pub theirs: Option<Hash>,
    /// The version that this change contains, `None` if it removes the document.
    pub ours: Option<Hash>,
}

impl Clash {
    /// Returns the fields in which `theirs` differs from `base`, and those in which `ours` differs
    /// from `theirs`.
    pub fn field_diffs(base: &str, theirs: &str, ours: &str) -> (Vec<FieldDiff>, Vec<FieldDiff>) {
        (diff_fields(base, theirs), diff_fields(theirs, ours))
    }
}

/// Applies `change` to `head`, which is `None` if there is no revision yet.
///
/// Edits of documents that have not changed since the operator read them are rebased onto `head`.
/// An edit whose result `head` already contains counts as applied.
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
        return Ok(Proposal::Unchanged);
    }
    Ok(Proposal::Replace(successor(head, documents, change.id.clone())))
}

fn successor(head: Option<&Head>, documents: BTreeMap<String, Hash>, id: String) -> Head {
    let mut changes = head.map(|h| h.changes.clone()).unwrap_or_default();
    changes.push(id);
    let surplus = changes.len().saturating_sub(CHANGES_LIMIT);
    changes.drain(..surplus);
    let roster = head.map_or(RosterVersion::FIRST, |head| next_roster(head, &documents));
    Head {
        number: head.map_or(1, |h| h.number + 1),
        previous: head.map(Head::hash),
        documents,
        changes,
        roster,
    }
}

/// Returns the roster version of the head that replaces `head`: a new one only if the document
/// `entries` changes.
fn next_roster(head: &Head, documents: &BTreeMap<String, Hash>) -> RosterVersion {
    if documents.get(ENTRIES) == head.documents.get(ENTRIES) {
        return head.roster;
    }
    RosterVersion { number: head.number + 1, previous: head.roster.number }
}

/// Whether a write whose reply was lost took effect.
#[data]
#[derive(Copy, Display)]
pub enum Outcome {
    /// It took effect and created the revision of this number.
    #[display("accepted as revision {_0}")]
    Accepted(u64),
    /// It did not take effect and never will, because the head that it compares with was replaced.
    #[display("not accepted")]
    Refused,
    /// It may still take effect. Sending the same write again is safe, since compare-and-swap
    /// applies it at most once.
    #[display("undecided")]
    Undecided,
    /// The key-value service lost the contents that the write started from, for example because it
    /// was restored from a backup, so the outcome cannot be determined.
    #[display("unknown, as the key-value service holds older contents")]
    SetBack,
}

/// Determines the outcome of a write that was to replace `base` by a head with the change `id`.
///
/// `seen` is the head that was read after the write; `None` stands for an absent head.
pub fn resolve(base: Option<&Head>, seen: Option<&Head>, id: &str) -> Outcome {
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
            // Unproven: more changes were accepted since than a head lists, so that the id may have
            // left the list.
            Relation::Unproven | Relation::Older | Relation::Fork => Outcome::SetBack,
        },
    }
}

/// Returns the number of the revision that accepted the change `id`, if `head` still lists it.
fn accepted_as(head: &Head, id: &str) -> Option<u64> {
    let distance = head.changes.iter().rev().position(|change| change == id)?;
    head.number.checked_sub(distance as u64)
}
