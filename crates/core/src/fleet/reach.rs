//! Which silent endpoints answer this entry, and which answer others only.
//!
//! Two entries whose links to an endpoint are cut see the same as two entries before an endpoint that does not work.
//! An answer to any other entry tells them apart.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Incarnation;
use crate::name;
use crate::time::Instant;

/// Time for which an answer to this entry, or the finding that only others get one, counts.
const MEMORY: Duration = Duration::from_secs(6);

/// Time for which an answer to another entry counts unless that entry gets none later. The entries that are cut off
/// from an endpoint need not all find so at once.
const ANSWER_MEMORY: Duration = Duration::from_secs(60);

/// An answer of a run of an endpoint.
#[derive(Clone, Debug)]
struct Answer {
    born: u64,
    at: Instant,
    /// The entry that got it.
    to: name::Host,
}

impl Answer {
    fn is_within(&self, memory: Duration, incarnation: &Incarnation, now: Instant) -> bool {
        self.born == incarnation.born && now.since(self.at) < memory
    }
}

/// Answers of endpoints that were silent to this entry and to others.
#[derive(Debug, Default)]
pub struct Reach {
    /// When endpoints last answered this entry, by run.
    own: BTreeMap<name::Endpoint, (u64, Instant)>,
    /// The last answer to another entry.
    others: BTreeMap<name::Endpoint, Answer>,
    /// Endpoints that only other entries reach: the answer that shows it, as of the last probe of this entry.
    cut_off: BTreeMap<name::Endpoint, Answer>,
}

impl Reach {
    /// Records an answer to this entry.
    pub fn record_answer(&mut self, incarnation: &Incarnation, now: Instant) {
        let id = &incarnation.endpoint;
        self.own.insert(id.clone(), (incarnation.born, now));
        self.cut_off.remove(id);
    }

    /// Records an answer to the entry `to`.
    pub fn hear_answer(&mut self, incarnation: &Incarnation, to: name::Host, now: Instant) {
        let answer = Answer { born: incarnation.born, at: now, to };
        self.others.insert(incarnation.endpoint.clone(), answer);
    }

    /// Records that this entry could not reach an endpoint.
    pub fn record_failure(&mut self, incarnation: &Incarnation) {
        self.own.remove(&incarnation.endpoint);
    }

    /// Records that the entry `by` could not reach an endpoint, so that earlier answers to it no longer count.
    pub fn hear_failure(&mut self, incarnation: &Incarnation, by: &name::Host) {
        for answers in [&mut self.others, &mut self.cut_off] {
            if answers.get(&incarnation.endpoint).is_some_and(|answer| answer.to == *by) {
                answers.remove(&incarnation.endpoint);
            }
        }
    }

    /// Records that a probe of this entry reached nobody, and returns whether the endpoint answers others.
    pub fn record_unreachable(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let Some(answer) = self.answer_to_others(incarnation, now).cloned() else {
            return false;
        };
        self.cut_off.insert(incarnation.endpoint.clone(), Answer { at: now, ..answer });
        true
    }

    /// Returns whether an endpoint answers other entries, as far as is known.
    pub fn answers_others(&self, incarnation: &Incarnation, now: Instant) -> bool {
        self.answer_to_others(incarnation, now).is_some()
    }

    fn answer_to_others(&self, incarnation: &Incarnation, now: Instant) -> Option<&Answer> {
        let id = &incarnation.endpoint;
        let answer = self.others.get(id).filter(|a| a.is_within(ANSWER_MEMORY, incarnation, now));
        answer.or_else(|| self.cut_off.get(id).filter(|a| a.is_within(MEMORY, incarnation, now)))
    }

    /// Returns whether an endpoint has answered this entry lately.
    pub fn answers(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let seen = self.own.get(&incarnation.endpoint);
        seen.is_some_and(|(born, at)| *born == incarnation.born && now.since(*at) < MEMORY)
    }

    /// Returns whether only other entries reach an endpoint.
    pub fn is_cut_off(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let answer = self.cut_off.get(&incarnation.endpoint);
        answer.is_some_and(|answer| answer.is_within(MEMORY, incarnation, now))
    }

    /// Forgets what no longer counts.
    pub fn forget_old(&mut self, now: Instant) {
        self.own.retain(|_, (_, at)| now.since(*at) < MEMORY);
        self.others.retain(|_, answer| now.since(answer.at) < ANSWER_MEMORY);
        self.cut_off.retain(|_, answer| now.since(answer.at) < MEMORY);
    }

    /// Returns the number of answers that count.
    pub fn len(&self) -> usize {
        self.own.len() + self.others.len() + self.cut_off.len()
    }

    /// Returns whether no answer counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
