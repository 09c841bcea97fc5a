//! What entries tell each other, and the store, of requests that crash endpoints.
//!
//! Times are told as ages, since the clocks of hosts differ.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_macros::data;

use super::{Crashes, EVIDENCE_PERIOD, Evidence, Held, Holds, MAX_CRASHES_FOR_RETRY};
use crate::fleet::Incarnation;
use crate::forward::Fingerprint;
use crate::forward::runs::Cut;
use crate::time::Instant;

/// Number of suspects of one crash up to which all of them are in the store.
const MAX_FEW: usize = 16;

/// The crash of an endpoint, as entries tell each other when they find it.
#[data]
pub struct Loss {
    /// The endpoint.
    pub incarnation: Incarnation,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Requests of the sender that were running there.
    pub cuts: Vec<Cut>,
}

/// A crash of which a request is suspect, as entries tell each other.
#[data]
pub struct Crash {
    /// The endpoint.
    pub incarnation: Incarnation,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the endpoint had not begun to answer the request, or only just. Entries of versions without
    /// the field stopped requests in either case.
    #[serde(default = "is_early")]
    pub is_early: bool,
}

/// Default of [`Crash::is_early`].
fn is_early() -> bool {
    true
}

/// A request and the crashes of which it is suspect, as entries tell each other.
#[data]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes.
    pub crashes: Vec<Crash>,
}

/// A request that is held, as entries tell each other.
#[data]
pub struct Hold {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time since it is held, in milliseconds.
    pub age_ms: u64,
    /// Whether other requests were suspects with it in all of its crashes.
    pub is_tied: bool,
    /// Number of its trials.
    pub trials: u32,
    /// Time since the last trial, in milliseconds; 0 if there was none.
    pub trial_age_ms: u64,
}

/// A request that was answered although others may suspect or hold it, as entries tell each other.
#[data]
pub struct Release {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// What an entry tells one to which it has just been connected.
#[data]
#[derive(Default)]
pub struct Summary {
    /// Requests that are suspects of crashes.
    pub suspects: Vec<Suspect>,
    /// Requests that are held.
    pub holds: Vec<Hold>,
    /// Requests that were suspect or held and have been answered since.
    pub releases: Vec<Release>,
}

impl Summary {
    /// Returns the summary as it is `elapsed` later.
    pub fn aged(mut self, elapsed: Duration) -> Self {
        let elapsed_ms = elapsed.as_millis() as u64;
        for crash in self.suspects.iter_mut().flat_map(|suspect| &mut suspect.crashes) {
            crash.age_ms += elapsed_ms;
        }
        for hold in &mut self.holds {
            hold.age_ms += elapsed_ms;
            hold.trial_age_ms += if hold.trials == 0 { 0 } else { elapsed_ms };
        }
        self.releases.iter_mut().for_each(|release| release.age_ms += elapsed_ms);
        self
    }

    fn has_hold(&self, hold: &Hold) -> bool {
        self.holds.iter().any(|h| h.fingerprint == hold.fingerprint && h.trials >= hold.trials)
    }

    fn has_release(&self, release: &Release) -> bool {
        self.releases.iter().any(|known| known.fingerprint == release.fingerprint)
    }

    fn has_suspect(&self, suspect: &Suspect) -> bool {
        let of_request = self.suspects.iter().filter(|s| s.fingerprint == suspect.fingerprint);
        let known: BTreeSet<&Incarnation> =
            of_request.flat_map(|s| &s.crashes).map(|crash| &crash.incarnation).collect();
        suspect.crashes.iter().all(|crash| known.contains(&crash.incarnation))
    }
}

impl Release {
    pub(super) fn new(fingerprint: Fingerprint, at: Instant, now: Instant) -> Self {
        Self { fingerprint, age_ms: now.since(at).as_millis() as u64 }
    }
}

impl Held {
    pub(super) fn told(&self, fingerprint: Fingerprint, now: Instant) -> Hold {
        let age_ms = |at: Instant| now.since(at).as_millis() as u64;
        Hold {
            fingerprint,
            age_ms: age_ms(self.since),
            is_tied: self.is_tied,
            trials: self.trials,
            trial_age_ms: if self.trials == 0 { 0 } else { age_ms(self.tried_at) },
        }
    }
}

impl Holds {
    /// Returns the held requests.
    pub fn holds(&self, now: Instant) -> Vec<Hold> {
        self.held.iter().map(|(fingerprint, held)| held.told(*fingerprint, now)).collect()
    }

    /// Returns all that another entry needs to know.
    pub fn summary(&self, now: Instant) -> Summary {
        self.summary_of(now, |_| true)
    }

    /// Returns what the store is to hold, for entries that start when no other one runs, and for those that
    /// cannot reach each other: all but suspects of one crash that share it with many others.
    pub fn lasting(&self, now: Instant) -> Summary {
        let mut suspects_of: BTreeMap<&Incarnation, usize> = BTreeMap::new();
        for incarnation in self.suspects.values().flat_map(BTreeMap::keys) {
            *suspects_of.entry(incarnation).or_default() += 1;
        }
        let is_one_of_few =
            |crash: &Incarnation| suspects_of.get(crash).is_some_and(|n| *n <= MAX_FEW);
        self.summary_of(now, |crashes| {
            self.count(crashes) >= MAX_CRASHES_FOR_RETRY || crashes.keys().any(&is_one_of_few)
        })
    }

    /// Returns what the store is to hold in place of `stored`, or `None` if it holds all that counts.
    pub fn to_store(&self, stored: &Summary, now: Instant) -> Option<Summary> {
        let mut own = self.lasting(now);
        let has_all = own.holds.iter().all(|hold| stored.has_hold(hold))
            && own.releases.iter().all(|release| stored.has_release(release))
            && own.suspects.iter().all(|suspect| stored.has_suspect(suspect));
        if has_all {
            return None;
        }
        let is_kept = |suspect: &&Suspect| {
            let known = own.suspects.iter().any(|s| s.fingerprint == suspect.fingerprint);
            let is_cleared = self.released.contains_key(&suspect.fingerprint)
                || self.held.contains_key(&suspect.fingerprint);
            let is_fresh = |c: &Crash| Duration::from_millis(c.age_ms) < EVIDENCE_PERIOD;
            !known && !is_cleared && suspect.crashes.iter().any(is_fresh)
        };
        let of_others: Vec<Suspect> = stored.suspects.iter().filter(is_kept).cloned().collect();
        own.suspects.extend(of_others);
        Some(own)
    }

    /// Returns a summary with the suspects of crashes for which `is_wanted` holds.
    fn summary_of(&self, now: Instant, is_wanted: impl Fn(&Crashes) -> bool) -> Summary {
        let is_told = |(fingerprint, crashes): &(&Fingerprint, &Crashes)| {
            is_wanted(crashes) && !self.held.contains_key(fingerprint)
        };
        let suspects = self.suspects.iter().filter(is_told);
        let suspects = suspects.map(|(fingerprint, crashes)| Suspect {
            fingerprint: *fingerprint,
            crashes: crashes
                .iter()
                .map(|(crashed, evidence)| told(crashed, *evidence, now))
                .collect(),
        });
        let releases = self.released.iter().map(|(f, at)| Release::new(*f, *at, now));
        Summary {
            suspects: suspects.collect(),
            holds: self.holds(now),
            releases: releases.collect(),
        }
    }

    /// Takes over what another entry or the store tells. Returns the requests that are held now and were
    /// not, and what this entry has seen answered of those that it was told to suspect or hold.
    pub fn hear(&mut self, summary: &Summary, now: Instant) -> (Vec<Fingerprint>, Vec<Release>) {
        for release in &summary.releases {
            let at = now - Duration::from_millis(release.age_ms);
            self.record_sound(release.fingerprint, at);
            if !self.held.contains_key(&release.fingerprint) {
                self.release(release.fingerprint, at);
            }
        }
        let mut answered: BTreeMap<Fingerprint, Instant> = BTreeMap::new();
        for suspect in &summary.suspects {
            for crash in &suspect.crashes {
                let at = now - Duration::from_millis(crash.age_ms);
                let cut = Cut { fingerprint: suspect.fingerprint, is_early: crash.is_early };
                let cleared = self.record_crash(&crash.incarnation, &[cut], at, now);
                let sound = cleared.first().and_then(|r| self.sound.last(&r.fingerprint));
                answered.extend(sound.map(|at| (suspect.fingerprint, at)));
            }
        }
        for (fingerprint, at) in &answered {
            self.release(*fingerprint, *at);
        }
        for hold in &summary.holds {
            if let Some(at) = self.released.get(&hold.fingerprint) {
                answered.insert(hold.fingerprint, *at);
            }
        }
        let adopted = summary.holds.iter().filter(|hold| self.adopt(hold, now));
        let adopted = adopted.map(|hold| hold.fingerprint).collect();
        let answered = answered.into_iter().map(|(f, at)| Release::new(f, at, now)).collect();
        (adopted, answered)
    }
}

/// Returns what is told of a crash of which a request is suspect.
fn told(incarnation: &Incarnation, evidence: Evidence, now: Instant) -> Crash {
    let age_ms = now.since(evidence.at).as_millis() as u64;
    Crash { incarnation: incarnation.clone(), age_ms, is_early: evidence.is_early }
}
