//! Counters of requests, refusals and retries, by workspace.

use std::collections::BTreeMap;

use derive_more::Display;
use oriole_macros::key;

use crate::answer::Verdict;
use crate::name;
use crate::request::Refusal;
use crate::retry;

/// Most workspaces that are counted by name. Others are counted together, to bound the memory.
const MAX_WORKSPACES: usize = 1024;

/// The name under which further workspaces are counted.
const OTHER_WORKSPACES: &str = "other";

/// A counted event. The display form is the name of the metric.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Counter {
    /// Requests that arrived.
    #[display("requests")]
    Request,
    /// Requests that were answered.
    #[display("answered")]
    Answered,
    /// Tokens that were delivered.
    #[display("tokens")]
    Token,
    /// Requests that were refused.
    #[display("refused.{_0}")]
    Refused(Refusal),
    /// Attempts that were replaced by another one.
    #[display("retried.{_0}")]
    Retried(retry::Reason),
    /// Messages that were sent again.
    #[display("retransmitted")]
    Retransmitted,
    /// Tokens that were dropped because they were not the next one of the current attempt.
    #[display("dropped.{}", match _0 {
        Verdict::Taken => "taken",
        Verdict::OtherAttempt => "other-attempt",
        Verdict::Duplicate => "duplicate",
        Verdict::Gap => "gap",
    })]
    Dropped(Verdict),
}

/// All counters, by workspace.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    counts: BTreeMap<name::Workspace, BTreeMap<Counter, u64>>,
}

impl Counters {
    /// Increments a counter of a workspace by one.
    pub fn add(&mut self, counter: Counter, workspace: &name::Workspace) {
        let known = self.counts.contains_key(workspace);
        let workspace = if known || self.counts.len() < MAX_WORKSPACES {
            workspace.clone()
        } else {
            OTHER_WORKSPACES.into()
        };
        *self.counts.entry(workspace).or_default().entry(counter).or_default() += 1;
    }

    /// Iterates over all counts that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Workspace, Counter, u64)> {
        let of = |(workspace, counts)| (workspace, counts);
        self.counts.iter().map(of).flat_map(|(workspace, counts): (_, &BTreeMap<_, _>)| {
            counts.iter().map(move |(counter, count)| (workspace, *counter, *count))
        })
    }

    /// Returns the sum of one counter over all workspaces.
    pub fn sum(&self, counter: Counter) -> u64 {
        self.counts.values().filter_map(|counts| counts.get(&counter)).sum()
    }
}
