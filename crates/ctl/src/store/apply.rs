//! Acceptance of a change: written once, or told why not.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_adapter::kv::{self, Record};
use oriole_core::config::Config;
use oriole_core::revision::{Change, Edit, Hash, Head, Operation, Relation, Step};

use super::{Store, retry};
use crate::Error;
use crate::base::Base;

/// Calls without progress after which a change is given up.
const ATTEMPTS: u32 = 10;

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(300);

/// A change of documents, from what an operator started from to what is wanted.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Id of the change.
    pub id: String,
    /// What the operator says about it.
    pub note: String,
    /// What the operator started from.
    pub base: Option<Base>,
    /// The wanted documents by name.
    pub wanted: BTreeMap<String, String>,
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The revision that is in force, or will be.
    pub number: u64,
    /// Whether the change made that revision; otherwise there was nothing to change.
    pub changed: bool,
    /// The head, as it was read after the change.
    pub head: Option<Head>,
}

/// How far one attempt came.
enum Progress {
    Accepted(Accepted),
    /// Another change was faster.
    Contended,
    /// The write may have been applied.
    Unconfirmed(kv::Error),
}

impl Plan {
    /// The change that the plan asks for.
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
    /// Has a change accepted, or learns why it is not.
    pub async fn apply(&self, plan: &Plan) -> Result<Accepted, Error> {
        let mut operation = Operation::new(plan.change());
        let mut unconfirmed = None;
        let mut last = Error::Contended;
        for _ in 0..ATTEMPTS {
            match self.attempt(plan, &mut operation).await {
                Ok(Progress::Accepted(accepted)) => return Ok(accepted),
                Ok(Progress::Contended) => last = Error::Contended,
                // Once a write may have been applied, later failures do not change that.
                Ok(Progress::Unconfirmed(cause)) => unconfirmed = Some(cause),
                Err(Error::Unreachable(cause)) => last = Error::Unreachable(cause),
                Err(e) => return Err(e),
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(match unconfirmed {
            Some(cause) => Error::Unknown { id: plan.id.clone(), cause },
            None => last,
        })
    }

    /// Reads the head and carries out one step.
    async fn attempt(&self, plan: &Plan, operation: &mut Operation) -> Result<Progress, Error> {
        let (version, head) = self.head().await?;
        check_descent(plan.base.as_ref().map(|b| &b.head), head.as_ref())?;
        let (version, new) = match operation.next_step(version, head.clone()) {
            Step::Write { version, head } => (version, head),
            Step::Accepted(number) => return accepted(number, true, head),
            Step::Unchanged(number) => return accepted(number, false, head),
            Step::Conflict(conflict) => {
                return Err(Error::Conflict(self.explain(&conflict, &plan.wanted).await));
            }
            Step::SetBack => {
                let found = head.map_or(0, |h| h.number);
                return Err(Error::SetBack { found, known: found + 1 });
            }
        };
        self.prepare(plan, operation.change(), &new).await?;
        let change = operation.change().clone();
        let record = Record { number: new.number, change, note: plan.note.clone() };
        match self.documents.replace(version, &new, &record).await {
            Ok(true) => accepted(new.number, true, Some(new)),
            Ok(false) => Ok(Progress::Contended),
            Err(e) if e.is_not_applied() => Err(Error::Unreachable(e)),
            Err(e) => Ok(Progress::Unconfirmed(e)),
        }
    }

    /// Checks the new revision as a whole, and writes the documents that it adds.
    async fn prepare(&self, plan: &Plan, change: &Change, new: &Head) -> Result<(), Error> {
        let mut others = new.documents.clone();
        let mut texts = BTreeMap::new();
        for (name, edit) in &change.edits {
            others.remove(name);
            if let (Some(_), Some(text)) = (edit.to, plan.wanted.get(name)) {
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

fn accepted(number: u64, changed: bool, head: Option<Head>) -> Result<Progress, Error> {
    Ok(Progress::Accepted(Accepted { number, changed, head }))
}

/// Refuses a head that does not hold the changes of the operator's base.
fn check_descent(base: Option<&Head>, head: Option<&Head>) -> Result<(), Error> {
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
