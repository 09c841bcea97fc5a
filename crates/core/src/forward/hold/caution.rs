//! How requests that were running at an endpoint when it crashed run again.
//!
//! Load pattern: one of many requests at an endpoint has crashed it, and all of them look for another chain
//! at the same moment. If they stay together, each of them is suspect of the next crash, too, and the one
//! that causes it cannot be told from the others.
//!
//! It is a group test: the requests whose runs had only just begun, one of which is most likely the cause,
//! are dealt out to the chains in an order that all entries know. If only one of them is suspect of a second
//! crash, it is not attempted again. Several are dealt out again, one to a chain at a time, so that a third
//! crash has one suspect of all three. The others, which the endpoint was answering, go on at once, as no
//! crash so late points to them.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::key;

use super::{Holds, REPORT_TIME};
use crate::fleet::Incarnation;
use crate::forward::Fingerprint;
use crate::time::Instant;

/// Time for which a suspect of two crashes runs alone on its chain: until it would have crashed the endpoint, or
/// is being answered.
const TURN_TIME: Duration = Duration::from_millis(400);

/// How a request runs again.
#[key]
pub enum Caution {
    /// At once, on any chain.
    None,
    /// Apart from other suspects.
    Apart {
        /// Which of the chains it goes to, modulo their number, counted from the one with least work.
        chain: usize,
        /// The time before which it does not run.
        not_before: Instant,
    },
    /// Not at all.
    Stopped,
}

impl Holds {
    /// Returns how a request runs again where there are `chains` chains.
    pub fn caution(&self, fingerprint: Fingerprint, chains: usize, now: Instant) -> Caution {
        if self.held.contains_key(&fingerprint) || self.is_undecided(&fingerprint) {
            return Caution::Stopped;
        }
        let own = self.early_crashes(&fingerprint);
        let Some(last) = own.values().max().copied() else {
            return Caution::None;
        };
        let is_again = own.len() > 1;
        let is_rival = |other: &&Fingerprint| {
            let crashes = self.early_crashes(other);
            **other != fingerprint
                && !self.held.contains_key(other)
                && crashes.len() > usize::from(is_again)
                && crashes.keys().any(|crash| own.contains_key(crash))
        };
        let rivals: Vec<&Fingerprint> = self.suspects.keys().filter(is_rival).collect();
        if is_again && rivals.is_empty() {
            return Caution::Stopped;
        }
        let chain = rivals.iter().filter(|other| ***other < fingerprint).count();
        let turn = u32::try_from(chain / chains.max(1)).unwrap_or(u32::MAX);
        let not_before = if is_again { last + REPORT_TIME + TURN_TIME * turn } else { now };
        Caution::Apart { chain, not_before }
    }

    /// Returns the crashes that came early in the run of a request, with their times.
    fn early_crashes(&self, fingerprint: &Fingerprint) -> BTreeMap<&Incarnation, Instant> {
        let crashes = self.suspects.get(fingerprint).into_iter().flatten();
        let early = crashes.filter(|(_, evidence)| evidence.is_early);
        early.map(|(crash, evidence)| (crash, evidence.at)).collect()
    }
}
