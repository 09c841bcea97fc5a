//! Acceptance of a change: writes it at most once, or reports why it is not accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_adapter::kv::{self, Record};
use oriole_core::config::Config;
use oriole_core::revision::{Change, Edit, Hash, Head, Operation, Relation, Step};

use super::{Store, retry};
use crate::Error;
use crate::base::Base;

/// Attempts to write a change before it is given up.
const MAX_ATTEMPTS: u32 = 10;

/// Pause after an attempt that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A requested change of documents, from the operator's base to the wanted contents.
#[derive(Clone, Debug)]
pub struct Update {
    /// Id of the change, by which it is applied at most once.
    pub id: String,
    /// The operator's note on the change; may be empty.
    pub note: String,
    /// The base; `None` stands for one without documents.
    pub base: Option<Base>,
    /// The wanted documents by name.
    pub wanted: BTreeMap<String, String>,
}

/// The result of an accepted change.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Number of the revision that contains the change.
    pub number: u64,
    /// Whether the change made that revision; false if there was nothing to change.
    pub changed: bool,
    /// The head that contains the change.
    pub head: Option<Head>,
}

/// The outcome of one attempt.
enum Outcome {
    Accepted(Accepted),
    /// Another change replaced the head first.
    Contended,
    /// The write failed, but may have been applied.
    Unconfirmed(kv::Error),
}

impl Update {
    /// Returns the edits that lead from the base to the wanted documents.
    pub fn change(&self) -> Change {
        let base = self.base.as_ref().map(|b| b.documents.clone()).unwrap_or_default();
        let mut edits = BTreeMap::new();
        for name in base.keys().chain(self.wanted.keys()) {
            let from = base.get(name).copied();
            let to = self.wanted.get(name).map(|text| Hash::of(text.as_bytes()));
            if from != to {
                edits.insert(name.clone(), Edit { from, to });
            }
        }
        Change { id: self.id.clone(), edits }
    }
}

impl Store {
    /// Applies a change at most once, and repeats attempts that fail or lose to another change.
    ///
    /// Returns [`Error::OutcomeUnknown`] if a write may have been applied, and no later attempt
    /// showed whether it was.
    pub async fn apply(&self, update: &Update) -> Result<Accepted, Error> {
        let mut operation = Operation::new(update.change());
        let mut unconfirmed = None;
        let mut last = Error::Contended;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(update, &mut operation).await {
                Ok(Outcome::Accepted(accepted)) => return Ok(accepted),
                Ok(Outcome::Contended) => last = Error::Contended,
                // If a write may have been applied, later failures do not make its outcome known.
                Ok(Outcome::Unconfirmed(cause)) => unconfirmed = Some(cause),
                Err(Error::Unreachable(cause)) => last = Error::Unreachable(cause),
                Err(e) => return Err(e),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(match unconfirmed {
            Some(cause) => Error::OutcomeUnknown { id: update.id.clone(), cause },
            None => last,
        })
    }

    /// Reads the head, and writes the change if it applies to that head.
    async fn attempt(&self, update: &Update, operation: &mut Operation) -> Result<Outcome, Error> {
        let (version, head) = self.head().await?;
        check_lineage(update.base.as_ref().map(|b| &b.head), head.as_ref())?;
        let (version, new) = match operation.next_step(version, head.clone()) {
            Step::Write { version, head } => (version, head),
            Step::Accepted(number) => return accepted(number, true, head),
            Step::Unchanged(number) => return accepted(number, false, head),
            Step::Conflict(conflict) => {
                return Err(Error::Conflict(
                    self.describe_conflict(&conflict, &update.wanted).await,
                ));
            }
            Step::SetBack => {
                let found = head.map_or(0, |h| h.number);
                return Err(Error::SetBack { found, known: found + 1 });
            }
        };
        self.write_documents(update, operation.change(), &new).await?;
        let change = operation.change().clone();
        let record = Record { number: new.number, change, note: update.note.clone() };
        match self.documents.replace(version, &new, &record).await {
            Ok(true) => accepted(new.number, true, Some(new)),
            Ok(false) => Ok(Outcome::Contended),
            Err(e) if e.is_not_applied() => Err(Error::Unreachable(e)),
            Err(e) => Ok(Outcome::Unconfirmed(e)),
        }
    }

    /// Validates the new revision as a whole, and writes the documents that it adds.
    async fn write_documents(
        &self,
        update: &Update,
        change: &Change,
        new: &Head,
    ) -> Result<(), Error> {
        let mut others = new.documents.clone();
        let mut texts = BTreeMap::new();
        for (name, edit) in &change.edits {
            others.remove(name);
            if let (Some(_), Some(text)) = (edit.to, update.wanted.get(name)) {
                texts.insert(name.clone(), text.clone());
            }
        }
        let mut all = self.read(&others).await?;
        all.extend(texts.clone());
        Config::load(&all)?;
        for text in texts.values() {
            let hash = Hash::of(text.as_bytes());
            retry(async || self.documents.write(&hash, text.as_bytes()).await).await?;
        }
        Ok(())
    }
}

fn accepted(number: u64, changed: bool, head: Option<Head>) -> Result<Outcome, Error> {
    Ok(Outcome::Accepted(Accepted { number, changed, head }))
}

/// Fails if the head is older than the operator's base or does not follow from it: the service has
/// then lost accepted changes, as after the restoration of a backup.
fn check_lineage(base: Option<&Head>, head: Option<&Head>) -> Result<(), Error> {
    let Some(base) = base else {
        return Ok(());
    };
    let found = head.map_or(0, |h| h.number);
    let set_back = Error::SetBack { found, known: base.number };
    match head.map(|h| h.relation(base)) {
        Some(Relation::Same | Relation::Successor | Relation::Unproven) => Ok(()),
        Some(Relation::Older | Relation::Fork) | None => Err(set_back),
    }
}
