//! Which requests crash endpoints, and are therefore held: not run when they come again.
//!
//! Load pattern: one request crashes each endpoint that begins to run it, and comes again at any entry.
//! Each endpoint is back after some seconds, without a memory of it.
//!
//! A request that was running at an endpoint when it crashed is a suspect of this crash. An answer clears
//! it. Suspects of several crashes are held for as long as they come, but for a few trials: endpoints
//! may have crashed for another reason, such as a request that ran beside it each time. The store counts the
//! trials, so that entries together make no more of them.
//!
//! Crashes at one moment count as one only if an endpoint fell with them that was not running the request:
//! a host or rack that fails takes its neighbours along, whatever they run.

mod caution;
mod summary;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::key;

use super::Fingerprint;
use super::recent::Recent;
use super::runs::Cut;
use crate::fleet::Incarnation;
use crate::time::Instant;

pub use caution::Caution;
pub use summary::{Crash, Hold, Loss, Release, Summary, Suspect};

/// Number of crashes of which a request must be suspect to be held.
const MIN_CRASHES: usize = 3;

/// Number of crashes from which on a request is not attempted again, and is in the store in any case.
const MAX_CRASHES_FOR_RETRY: usize = 2;

/// Number of crashes of which a request must be suspect to be held, even if others fell with each of them.
const MIN_CRASHES_WITH_OTHERS: usize = 5;

/// Crashes that lie less apart may have one cause.
const SAME_MOMENT: Duration = Duration::from_millis(50);

/// Time for which a crash counts. Only an answer clears a request sooner, however rarely it comes.
const EVIDENCE_PERIOD: Duration = Duration::from_secs(3600);

/// Time for which a request that has been answered is not suspect.
const SOUND_PERIOD: Duration = Duration::from_secs(30);

/// Time for which a hold is remembered after the request last came, and a release after it.
const MEMORY_PERIOD: Duration = Duration::from_secs(24 * 3600);

/// Time after the last crash until a hold is decided, so that other entries' suspects are known.
pub const REPORT_TIME: Duration = Duration::from_millis(150);

/// Time until the first trial of a request whose crashes something else may explain.
const TIED_TRIAL_DELAY: Duration = Duration::from_secs(10);

/// Time until the first trial of a request whose crashes nothing else explains.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(15 * 60);

/// Time from one trial to the next.
const NEXT_TRIAL_DELAY: Duration = Duration::from_secs(3600);

/// Number of trials that all entries together make of one held request.
const MAX_TRIALS: u32 = 2;

/// `retry-after` of a held request that has no trial ahead.
const NO_TRIAL_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Number of crashes that are kept for one suspect.
const MAX_KEPT_CRASHES: usize = 8;

/// Maximum numbers of suspects, of held requests, of releases and of crashed endpoints.
const MAX_ENTRIES: usize = 4096;

/// Number of answered requests above which the older half is forgotten.
const MAX_SOUND: usize = 8192;

/// Whether a request may run.
#[key]
pub enum Gate {
    /// It may.
    Open,
    /// It may once this entry has taken a trial from the store.
    Trial,
    /// It may not before the given time has passed.
    Closed(Duration),
}

/// A held request.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: Instant,
    is_tied: bool,
    trials: u32,
    tried_at: Instant,
    seen_at: Instant,
}

impl Held {
    /// Returns when the next trial is due, or `None` if there have been all.
    fn next_trial(&self) -> Option<Instant> {
        match self.trials {
            0 if self.is_tied => Some(self.since + TIED_TRIAL_DELAY),
            0 => Some(self.since + FIRST_TRIAL_DELAY),
            trials if trials < MAX_TRIALS => Some(self.tried_at + NEXT_TRIAL_DELAY),
            _ => None,
        }
    }
}

/// What one crash says of a request that was running.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    at: Instant,
    /// Whether the endpoint had not begun to answer the request, or only just.
    is_early: bool,
}

/// The crashes of which a request is suspect.
type Crashes = BTreeMap<Incarnation, Evidence>;

/// What one entry knows of crashes and of the requests that cause them.
#[derive(Debug)]
pub struct Holds {
    suspects: BTreeMap<Fingerprint, Crashes>,
    /// All crashes, also those without suspects.
    crashed: Recent<Incarnation>,
    held: BTreeMap<Fingerprint, Held>,
    /// Requests that have been answered lately, with the last time.
    sound: Recent<Fingerprint>,
    /// Requests that were suspect or held and have been answered since.
    released: BTreeMap<Fingerprint, Instant>,
}

impl Default for Holds {
    fn default() -> Self {
        Self {
            suspects: BTreeMap::new(),
            crashed: Recent::new(MAX_ENTRIES),
            held: BTreeMap::new(),
            sound: Recent::new(MAX_SOUND),
            released: BTreeMap::new(),
        }
    }
}

impl Holds {
    /// Records the crash of an endpoint at `at` and suspects of it, if there are any.
    ///
    /// Returns those that have been answered lately, and are none.
    pub fn record_crash(
        &mut self,
        incarnation: &Incarnation,
        suspects: &[Cut],
        at: Instant,
        now: Instant,
    ) -> Vec<Release> {
        self.forget_old(now);
        if self.crashed.last(incarnation).is_none() {
            self.crashed.record(incarnation.clone(), at);
        }
        let mut releases = vec![];
        for Cut { fingerprint, is_early } in suspects.iter().copied() {
            match self.sound.last(&fingerprint) {
                Some(sound_at) if at <= sound_at + SOUND_PERIOD => {
                    releases.push(Release::new(fingerprint, sound_at, now));
                }
                _ => self.suspect(fingerprint, incarnation, Evidence { at, is_early }),
            }
        }
        releases
    }

    fn suspect(&mut self, fingerprint: Fingerprint, incarnation: &Incarnation, evidence: Evidence) {
        let crashes = self.suspects.entry(fingerprint).or_default();
        if crashes.len() < MAX_KEPT_CRASHES {
            let known = crashes.entry(incarnation.clone()).or_insert(evidence);
            known.is_early |= evidence.is_early;
        }
        if self.suspects.len() > MAX_ENTRIES {
            let key = |crashes: &Crashes| (crashes.len(), crashes.values().map(|e| e.at).max());
            let weakest = self.suspects.iter().min_by_key(|(_, crashes)| key(crashes));
            let weakest = weakest.map(|(fingerprint, _)| *fingerprint);
            weakest.map(|fingerprint| self.suspects.remove(&fingerprint));
        }
    }

    fn forget_old(&mut self, now: Instant) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|_, evidence| now.since(evidence.at) < EVIDENCE_PERIOD);
            !crashes.is_empty()
        });
        self.held.retain(|_, held| now.since(held.seen_at) < MEMORY_PERIOD);
        self.released.retain(|_, at| now.since(*at) < MEMORY_PERIOD);
    }

    /// Holds the suspects of enough crashes, and returns those that are held now.
    pub fn decide(&mut self, now: Instant) -> Vec<Fingerprint> {
        let is_due = |(fingerprint, crashes): &(&Fingerprint, &Crashes)| {
            let is_reported = crashes.values().all(|e| now.since(e.at) >= REPORT_TIME);
            is_reported
                && !self.held.contains_key(fingerprint)
                && self.is_evidence(fingerprint, crashes)
        };
        let due: Vec<Fingerprint> = self.suspects.iter().filter(is_due).map(|(f, _)| *f).collect();
        let ties: Vec<bool> = due.iter().map(|fingerprint| self.is_tied(fingerprint)).collect();
        for (fingerprint, is_tied) in due.iter().zip(ties) {
            let trials = self.trials_spent(fingerprint);
            let held = Held { since: now, is_tied, trials, tried_at: now, seen_at: now };
            self.hold(*fingerprint, held);
        }
        due
    }

    /// Returns the number of crashes, those at one moment as one if an endpoint crashed with them that was
    /// not running the request.
    fn count(&self, crashes: &Crashes) -> usize {
        let mut times: Vec<Instant> = crashes.values().map(|evidence| evidence.at).collect();
        times.sort_unstable();
        let moments = times.chunk_by(|earlier, later| later.since(*earlier) < SAME_MOMENT);
        let count = |moment: &[Instant]| {
            if self.has_other_crash(crashes, moment) { 1 } else { moment.len() }
        };
        moments.map(count).sum()
    }

    /// Returns whether an endpoint that is not in `crashes` crashed about when the ones of a moment did.
    fn has_other_crash(&self, crashes: &Crashes, moment: &[Instant]) -> bool {
        let is_near =
            |at: Instant| moment.iter().any(|own| at.since(*own).max(own.since(at)) < SAME_MOMENT);
        moment.len() > 1
            && self.crashed.iter().any(|(crash, at)| is_near(at) && !crashes.contains_key(crash))
    }

    /// Returns whether a request must not run that is suspect of these crashes.
    fn is_evidence(&self, fingerprint: &Fingerprint, crashes: &Crashes) -> bool {
        crashes.len() >= MIN_CRASHES_WITH_OTHERS
            || (self.count(crashes) >= MIN_CRASHES && !self.is_explained(fingerprint, crashes))
    }

    /// Returns whether another request explains crashes better: each of them came early in its run, but not
    /// in that of this request.
    fn is_explained(&self, fingerprint: &Fingerprint, crashes: &Crashes) -> bool {
        let is_early_in_all = |of_other: &Crashes| {
            crashes.keys().all(|crash| of_other.get(crash).is_some_and(|e| e.is_early))
        };
        let others = || self.suspects.iter().filter(|(other, _)| *other != fingerprint);
        crashes.values().any(|e| !e.is_early) && others().any(|(_, c)| is_early_in_all(c))
    }

    /// Returns the number of trials that have been used up by crashes beyond those that are needed to hold
    /// a request.
    fn trials_spent(&self, fingerprint: &Fingerprint) -> u32 {
        let crashes = self.suspects.get(fingerprint).map_or(0, Crashes::len);
        u32::try_from(crashes.saturating_sub(MIN_CRASHES)).unwrap_or(u32::MAX).min(MAX_TRIALS)
    }

    /// Returns whether something else may explain all crashes of which this request is suspect: another
    /// request that is suspect of all of them, or one failure, since they lie in one moment.
    fn is_tied(&self, fingerprint: &Fingerprint) -> bool {
        let Some(crashes) = self.suspects.get(fingerprint) else {
            return false;
        };
        if is_one_moment(crashes) {
            return true;
        }
        let has_all = |other: &Crashes| crashes.keys().all(|crash| other.contains_key(crash));
        self.suspects.iter().any(|(other, of_other)| other != fingerprint && has_all(of_other))
    }

    fn hold(&mut self, fingerprint: Fingerprint, held: Held) {
        self.held.insert(fingerprint, held);
        self.released.remove(&fingerprint);
        if self.held.len() > MAX_ENTRIES {
            let oldest = self.held.iter().min_by_key(|(_, held)| held.seen_at).map(|(f, _)| *f);
            oldest.map(|fingerprint| self.held.remove(&fingerprint));
        }
    }

    /// Records that a request was answered at `at`, which clears it of earlier crashes. Returns whether it
    /// was suspect or held.
    pub fn record_sound(&mut self, fingerprint: Fingerprint, at: Instant) -> bool {
        self.sound.record(fingerprint, at);
        let is_told = !self.may_retry(fingerprint);
        let was_suspect = self.clear_crashes(&fingerprint, at);
        let was_held = self.held.get(&fingerprint).is_some_and(|held| held.since <= at);
        if was_held {
            self.held.remove(&fingerprint);
        }
        if is_told && (was_suspect || was_held) {
            self.release(fingerprint, at);
        }
        was_suspect || was_held
    }

    /// Remembers that a request that was suspect or held was answered at `at`.
    fn release(&mut self, fingerprint: Fingerprint, at: Instant) {
        let last = self.released.entry(fingerprint).or_insert(at);
        *last = at.max(*last);
        if self.released.len() > MAX_ENTRIES {
            let oldest = self.released.iter().min_by_key(|(_, at)| **at).map(|(f, _)| *f);
            oldest.map(|fingerprint| self.released.remove(&fingerprint));
        }
    }

    /// Removes the crashes of which an answer at `at` clears a request, and returns whether there were any.
    fn clear_crashes(&mut self, fingerprint: &Fingerprint, at: Instant) -> bool {
        let Some(crashes) = self.suspects.get_mut(fingerprint) else {
            return false;
        };
        let before = crashes.len();
        crashes.retain(|_, evidence| evidence.at > at + SOUND_PERIOD);
        let is_cleared = crashes.len() < before;
        if crashes.is_empty() {
            self.suspects.remove(fingerprint);
        }
        is_cleared
    }

    /// Returns whether a request may run.
    pub fn gate(&mut self, fingerprint: Fingerprint, now: Instant) -> Gate {
        let Some(held) = self.held.get_mut(&fingerprint) else {
            let is_undecided = self.is_undecided(&fingerprint);
            return if is_undecided { Gate::Closed(REPORT_TIME) } else { Gate::Open };
        };
        held.seen_at = now;
        match held.next_trial() {
            Some(trial) if trial <= now => Gate::Trial,
            Some(trial) => Gate::Closed(trial.since(now)),
            None => Gate::Closed(NO_TRIAL_RETRY_AFTER),
        }
    }

    /// Returns whether a request will be held unless it is cleared.
    fn is_undecided(&self, fingerprint: &Fingerprint) -> bool {
        let crashes = self.suspects.get(fingerprint);
        crashes.is_some_and(|crashes| self.is_evidence(fingerprint, crashes))
    }

    /// Returns whether a call may run again after a crash: whether it is not suspect of several.
    pub fn may_retry(&self, fingerprint: Fingerprint) -> bool {
        let crashes = self.suspects.get(&fingerprint).map_or(0, |crashes| self.count(crashes));
        crashes < MAX_CRASHES_FOR_RETRY && !self.held.contains_key(&fingerprint)
    }

    /// Returns a held request with one trial more, to be written to the store before it begins.
    pub fn with_trial(&self, fingerprint: Fingerprint, now: Instant) -> Option<Hold> {
        let held = self.held.get(&fingerprint)?;
        let tried = Held { trials: held.trials + 1, tried_at: now, ..*held };
        Some(tried.told(fingerprint, now))
    }

    /// Takes over what another entry or the store tells of a held request, and returns whether it is new.
    pub fn adopt(&mut self, hold: &Hold, now: Instant) -> bool {
        let ago = |ms| now - Duration::from_millis(ms);
        let since = ago(hold.age_ms);
        let is_released = self.released.get(&hold.fingerprint).is_some_and(|at| *at >= since);
        let known = self.held.get(&hold.fingerprint);
        if is_released || known.is_some_and(|held| held.trials >= hold.trials) {
            return false;
        }
        let since = known.map_or(since, |held| held.since.min(since));
        let is_tied = hold.is_tied || known.is_some_and(|held| held.is_tied);
        let (trials, tried_at) = (hold.trials, ago(hold.trial_age_ms));
        self.hold(hold.fingerprint, Held { since, is_tied, trials, tried_at, seen_at: now });
        true
    }

    /// Returns the number of requests about which something is known, but for those that were answered.
    pub fn len(&self) -> usize {
        self.suspects.len() + self.held.len() + self.released.len()
    }

    /// Returns whether no request is suspect, held or released.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns whether all crashes lie in one moment.
fn is_one_moment(crashes: &Crashes) -> bool {
    let times = || crashes.values().map(|evidence| evidence.at);
    let (first, last) = (times().min(), times().max());
    first.zip(last).is_none_or(|(first, last)| last.since(first) < SAME_MOMENT)
}
