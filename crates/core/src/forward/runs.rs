//! Which requests of this entry run at each endpoint, or have just stopped to without an answer.
//!
//! When an endpoint is found to have crashed, these are the requests that may have crashed it.

use std::time::Duration;

use oriole_macros::key;
use slotmap::{SlotMap, new_key_type};

use super::Fingerprint;
use crate::fleet::Incarnation;
use crate::time::Instant;

/// Time for which a run that broke off may be the cause of a crash that is found later.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// Time after the first event of an answer from on which a crash of its endpoint does not point to the
/// request: what crashes an endpoint does so when it begins to run.
const EARLY_TIME: Duration = Duration::from_millis(250);

/// A request whose run was cut off by the crash of its endpoint.
#[key]
pub struct Cut {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether the endpoint had not begun to answer it, or only just.
    pub is_early: bool,
}

new_key_type! {
    /// Identifies one run of a request.
    pub struct Key;
}

/// One run of a request.
#[derive(Debug)]
struct Run {
    incarnation: Incarnation,
    fingerprint: Fingerprint,
    /// When the endpoint began to answer it, if it has.
    first_event_at: Option<Instant>,
    /// When it broke off, or its caller or this entry left it; `None` while it runs.
    broke_at: Option<Instant>,
}

impl Run {
    fn is_over(&self, now: Instant) -> bool {
        self.broke_at.is_some_and(|at| now.since(at) >= SUSPECT_PERIOD)
    }

    fn cut(&self, now: Instant) -> Cut {
        let ended_at = self.broke_at.unwrap_or(now);
        let is_early = self.first_event_at.is_none_or(|at| ended_at.since(at) < EARLY_TIME);
        Cut { fingerprint: self.fingerprint, is_early }
    }
}

/// The runs of one entry.
#[derive(Debug, Default)]
pub struct Runs {
    runs: SlotMap<Key, Run>,
}

impl Runs {
    /// Records that a request is sent to an endpoint.
    pub fn begin(&mut self, incarnation: Incarnation, fingerprint: Fingerprint) -> Key {
        self.runs.insert(Run { incarnation, fingerprint, first_event_at: None, broke_at: None })
    }

    /// Records that the endpoint has begun to answer a request.
    pub fn begin_answer(&mut self, key: Key, now: Instant) {
        if let Some(run) = self.runs.get_mut(key) {
            run.first_event_at.get_or_insert(now);
        }
    }

    /// Records that a request has not run, or has been answered for long enough to have crashed no endpoint.
    pub fn finish(&mut self, key: Key) {
        self.runs.remove(key);
    }

    /// Records that a run ended without an answer at an endpoint that was not expected to leave.
    pub fn break_off(&mut self, key: Key, now: Instant) {
        if let Some(run) = self.runs.get_mut(key) {
            run.broke_at.get_or_insert(now);
        }
        self.runs.retain(|_, run| !run.is_over(now));
    }

    /// Removes and returns the requests that may have crashed an endpoint: those that broke off lately, and
    /// those that run there if it was not expected to leave.
    pub fn take_cuts(
        &mut self,
        incarnation: &Incarnation,
        is_expected: bool,
        now: Instant,
    ) -> Vec<Cut> {
        let mut cuts: Vec<Cut> = vec![];
        self.runs.retain(|_, run| {
            let is_possible = run.broke_at.is_some() || is_expected;
            let is_suspect = run.incarnation == *incarnation && is_possible && !run.is_over(now);
            if is_suspect {
                cuts.push(run.cut(now));
            }
            !is_suspect
        });
        // Of several runs of one request the early one comes first, and is kept.
        cuts.sort_unstable_by(|a, b| b.cmp(a));
        cuts.dedup_by_key(|cut| cut.fingerprint);
        cuts.reverse();
        cuts
    }

    /// Returns the number of runs that are kept.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no runs are kept.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
