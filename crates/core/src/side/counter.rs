//! Counters of what a side refused, repeated and dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use oriole_macros::key;

use crate::message::Verdict;
use crate::name;
use crate::request::Refusal;

/// What is counted.
#[key]
pub enum Counter {
    /// Work was refused.
    Refused(Refusal),
    /// A claim of an idempotency key was refused.
    KeyRefused(Refusal),
    /// An answer was sent again from memory.
    Repeated,
    /// A message of an older attempt, or about something that is over, was dropped.
    Stale,
    /// A message from a process that may not send it was dropped.
    Foreign,
    /// A message with impossible contents was dropped or refused.
    Malformed,
    /// A step did not follow the positions held.
    Gap,
    /// A step was about a request that is not known.
    Absent,
    /// An engine failed as a whole.
    EngineFailed,
    /// An engine refused a step.
    StepFailed,
    /// A step was sent again to the next stage after its connection ended.
    LinkRetried,
    /// The next stage could not be reached.
    LinkLost,
    /// Work was ended because its entry stayed away.
    Orphaned,
    /// A call of a plain service failed.
    CallFailed,
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Refused(reason) => return write!(f, "refused.{reason}"),
            Self::KeyRefused(reason) => return write!(f, "key-refused.{reason}"),
            Self::Repeated => "repeated",
            Self::Stale => "stale",
            Self::Foreign => "foreign",
            Self::Malformed => "malformed",
            Self::Gap => "gap",
            Self::Absent => "absent",
            Self::EngineFailed => "engine-failed",
            Self::StepFailed => "step-failed",
            Self::LinkRetried => "link-retried",
            Self::LinkLost => "link-lost",
            Self::Orphaned => "orphaned",
            Self::CallFailed => "call-failed",
        };
        f.write_str(name)
    }
}

/// Counters since the start, by workspace where one is known.
#[derive(Default)]
pub struct Counters {
    workspaces: BTreeSet<name::Workspace>,
    counts: BTreeMap<(Counter, Option<name::Workspace>), u64>,
}

impl Counters {
    /// All counters that are not 0.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, Option<&name::Workspace>, u64)> {
        self.counts.iter().map(|((counter, workspace), n)| (*counter, workspace.as_ref(), *n))
    }

    /// The sum over all workspaces.
    pub fn get(&self, counter: Counter) -> u64 {
        self.iter().filter(|(c, _, _)| *c == counter).map(|(_, _, n)| n).sum()
    }

    /// Sets the workspaces that are counted by name; others are counted without, so that foreign
    /// names take no memory.
    pub(crate) fn set_workspaces<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a name::Workspace>,
    ) {
        self.workspaces = workspaces.cloned().collect();
    }

    pub(crate) fn add(&mut self, counter: Counter, workspace: Option<&name::Workspace>) {
        let named = workspace.filter(|w| self.workspaces.contains(w)).cloned();
        *self.counts.entry((counter, named)).or_default() += 1;
    }

    pub(crate) fn add_verdict(&mut self, verdict: &Verdict, workspace: &name::Workspace) {
        if let Verdict::Refused(refused) = verdict {
            self.add(Counter::KeyRefused(refused.reason), Some(workspace));
        }
    }
}
