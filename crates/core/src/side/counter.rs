//! Counters of work that a side refused, repeated or dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use oriole_macros::key;

use crate::message::Verdict;
use crate::name;
use crate::request::Refusal;

/// The kinds of events that are counted. The `Display` form is the name of the metric.
#[key]
pub enum Counter {
    /// A request was refused, by reason.
    Refused(Refusal),
    /// A claim of an idempotency key was refused, by reason.
    KeyRefused(Refusal),
    /// A stored output or answer was sent again.
    Repeated,
    /// A message of an older attempt, or about finished work, was dropped.
    Stale,
    /// A message was dropped because its sender may not send it.
    Foreign,
    /// A message with invalid contents was dropped or refused.
    Malformed,
    /// A step did not follow the positions that the engine holds.
    Gap,
    /// A step named a request that is not open here.
    Absent,
    /// An engine failed a whole batch.
    EngineFailed,
    /// An engine failed a step.
    StepFailed,
    /// A step was sent again to the next stage after its connection ended.
    LinkRetried,
    /// The next stage could not be reached.
    LinkLost,
    /// A sequence was ended because its entry stayed disconnected.
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

/// Counts since the process started, by workspace where one is known.
#[derive(Default)]
pub struct Counters {
    workspaces: BTreeSet<name::Workspace>,
    counts: BTreeMap<(Counter, Option<name::Workspace>), u64>,
}

impl Counters {
    /// Returns all counters that are not 0.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, Option<&name::Workspace>, u64)> {
        self.counts.iter().map(|((counter, workspace), n)| (*counter, workspace.as_ref(), *n))
    }

    /// Returns the sum over all workspaces.
    pub fn get(&self, counter: Counter) -> u64 {
        self.iter().filter(|(c, _, _)| *c == counter).map(|(_, _, n)| n).sum()
    }

    /// Sets the workspaces that are counted separately. Others are counted together, so that
    /// unknown names in messages cannot use up memory.
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
