//! Which parts of prompts crash endpoints, and which requests are therefore not run.
//!
//! Load pattern: requests have one part of their prompts in common, and each endpoint that begins to
//! answer one of them crashes. No two of them are alike otherwise, they come at any entry, and sound
//! requests share their other parts. Without a memory of what endpoints were about to answer when
//! they crashed, these requests and their retries end one endpoint after the other.
//!
//! Requests that an endpoint had not begun to answer, or had only just begun, are suspects of its
//! crash with those of their parts that have not been answered lately. A part that is suspect in
//! several crashes is quarantined, together with the parts that were suspect in all the same
//! crashes: only requests with all of them are not run, since the others may be sound and show which
//! part it is.
//!
//! After a quarantine its parts are on trial: entries let one request through after the other, until
//! an answer clears the parts or a crash begins the next quarantine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_macros::data;

use super::Part;
use super::recent::Recent;
use crate::fleet::Incarnation;
use crate::time::Instant;

/// Number of crashes in which a part must be suspect to be quarantined.
const MIN_CRASHES: usize = 3;

/// Number of different requests that must have been suspects with the part. One request alone may be on
/// several endpoints by chance, as its attempts and repeats follow the crashes, or crash them itself.
const MIN_REQUESTS: usize = 2;

/// Number of crashes from which on a request with a suspect part is not attempted again.
const MAX_CRASHES_FOR_RETRY: usize = 2;

/// Time for which a crash counts.
const EVIDENCE_PERIOD: Duration = Duration::from_secs(60);

/// Time for which a part that has been answered is not suspect.
const SOUND_PERIOD: Duration = Duration::from_secs(30);

/// Time after the first report of a crash until it counts, so that entries that tell of it later are
/// heard.
pub const REPORT_TIME: Duration = Duration::from_millis(150);

/// Time after its first event from which on an answer crashes no endpoint.
pub const BEGIN_TIME: Duration = Duration::from_secs(1);

/// Time after its first event from which on an answer is under way: a crash then hardly comes from how the
/// endpoint began it.
const UNDER_WAY_TIME: Duration = Duration::from_millis(250);

/// Number of events that an answer must have as well. An entry that was paused gets the events of some
/// moments late.
const BEGIN_EVENTS: u32 = 6;

/// Length of a first quarantine. Each relapse doubles it.
const FIRST_PERIOD: Duration = Duration::from_secs(60);

/// Longest quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(3600);

/// Time after a quarantine within which its parts are on trial: one crash is a relapse.
const TRIAL_PERIOD: Duration = Duration::from_secs(3600);

/// Time for the outcome of a trial, before the next request with the parts may run.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Number of answered parts above which the older half is forgotten.
const MAX_SOUND: usize = 4096;

/// The beginning of an answer, as far as it has come.
#[derive(Clone, Copy, Debug)]
pub struct Begin {
    /// When its first event came.
    pub first_event_at: Instant,
    /// Number of events.
    pub events: u32,
}

impl Begin {
    /// Returns whether the answer has gone on for long enough to show that it crashes no endpoint.
    pub fn is_past(self, now: Instant) -> bool {
        self.events >= BEGIN_EVENTS && now.since(self.first_event_at) >= BEGIN_TIME
    }

    /// Returns whether the answer has gone on for long enough to be repeated if its endpoint crashes.
    pub fn is_under_way(self, now: Instant) -> bool {
        now.since(self.first_event_at) >= UNDER_WAY_TIME
    }
}

/// A part that has been answered, as entries tell each other.
#[data]
pub struct Sound {
    /// The part.
    pub part: Part,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// A request that an endpoint had hardly begun to answer when it crashed.
#[data]
pub struct Suspect {
    /// A part of the request's fingerprint, which its repeats share.
    pub request: u64,
    /// Those of its parts that have not been answered lately.
    pub parts: Vec<Part>,
}

/// Parts that crash endpoints, as entries tell each other.
#[data]
pub struct Group {
    /// Requests that have all of these parts are not run.
    pub parts: Vec<Part>,
    /// Time until the end of the quarantine, in milliseconds; 0 if the parts are on trial.
    pub remaining_ms: u64,
}

/// The suspects of one crash: the requests by part.
#[derive(Debug)]
struct Crash {
    at: Instant,
    suspects: BTreeMap<Part, BTreeSet<u64>>,
}

/// A quarantine of parts, and the trial after it.
#[derive(Clone, Copy, Debug)]
struct Period {
    until: Instant,
    length: Duration,
    /// When this entry last let a request through for trial.
    tried_at: Option<Instant>,
}

impl Period {
    fn new(until: Instant, length: Duration) -> Self {
        Self { until, length, tried_at: None }
    }

    /// Returns until when requests are not run at an entry before which `rank` others take their
    /// turn, or `None` if one may run.
    fn blocked_until(&self, rank: usize, now: Instant) -> Option<Instant> {
        let turn = self.until + TRIAL_TIME * u32::try_from(rank).unwrap_or(u32::MAX);
        let next = self.tried_at.map_or(turn, |at| turn.max(at + TRIAL_TIME));
        (now < next).then_some(next)
    }
}

/// What one entry knows of crashes and of the parts that cause them.
#[derive(Debug)]
pub struct Quarantine {
    crashes: BTreeMap<Incarnation, Crash>,
    sound: Recent<Part>,
    periods: BTreeMap<BTreeSet<Part>, Period>,
}

impl Default for Quarantine {
    fn default() -> Self {
        let sound = Recent::new(MAX_SOUND);
        Self { crashes: BTreeMap::new(), sound, periods: BTreeMap::new() }
    }
}

impl Quarantine {
    /// Returns those of `parts` that have not been answered lately.
    pub fn unproven(&self, parts: &[Part], now: Instant) -> Vec<Part> {
        let is_sound =
            |part: &Part| self.sound.last(part).is_some_and(|at| now.since(at) < SOUND_PERIOD);
        parts.iter().copied().filter(|part| !is_sound(part)).collect()
    }

    /// Records suspects of the crash of an endpoint, and returns whether the crash is new.
    ///
    /// Several entries may report suspects of the same crash. It counts for [`Quarantine::decide`] after
    /// [`REPORT_TIME`].
    pub fn record_crash(
        &mut self,
        incarnation: &Incarnation,
        suspects: &[Suspect],
        now: Instant,
    ) -> bool {
        self.crashes.retain(|_, crash| now.since(crash.at) < EVIDENCE_PERIOD);
        self.periods.retain(|_, period| now.since(period.until) < TRIAL_PERIOD);
        let is_new = !self.crashes.contains_key(incarnation);
        let crash = self.crashes.entry(incarnation.clone());
        let crash = crash.or_insert_with(|| Crash { at: now, suspects: BTreeMap::new() });
        for suspect in suspects {
            for part in &suspect.parts {
                crash.suspects.entry(*part).or_default().insert(suspect.request);
            }
        }
        is_new
    }

    /// Quarantines parts by the crashes that have been reported, and returns whether that is new.
    pub fn decide(&mut self, now: Instant) -> bool {
        let is_renewed = self.renew(now);
        let reported = |c: &&Crash| now.since(c.at) >= REPORT_TIME;
        let mut counts: BTreeMap<Part, usize> = BTreeMap::new();
        for part in self.crashes.values().filter(reported).flat_map(|c| c.suspects.keys()) {
            *counts.entry(*part).or_default() += 1;
        }
        let often = counts.into_iter().filter(|(_, count)| *count >= MIN_CRASHES);
        let parts: Vec<Part> = often.map(|(part, _)| part).collect();
        let begun = parts.into_iter().filter(|part| self.quarantine(*part, now)).count();
        is_renewed || begun > 0
    }

    /// Renews the quarantines that ended lately if an endpoint has crashed since with all of their
    /// parts suspect.
    fn renew(&mut self, now: Instant) -> bool {
        let mut is_renewed = false;
        for (group, period) in &mut self.periods {
            let is_relapse = |crash: &Crash| {
                let is_suspect = |part: &Part| crash.suspects.contains_key(part);
                crash.at >= period.until && group.iter().all(is_suspect)
            };
            if period.until <= now && self.crashes.values().any(is_relapse) {
                let length = (period.length * 2).min(MAX_PERIOD);
                *period = Period::new(now + length, length);
                is_renewed = true;
            }
        }
        is_renewed
    }

    /// Quarantines a part that is suspect in many crashes, with those that were suspect in all of them.
    ///
    /// Returns whether that is new.
    fn quarantine(&mut self, part: Part, now: Instant) -> bool {
        let of_part = || {
            let reported = self.crashes.values().filter(|c| now.since(c.at) >= REPORT_TIME);
            reported.filter(|c| c.suspects.contains_key(&part))
        };
        let requests: BTreeSet<u64> =
            of_part().filter_map(|c| c.suspects.get(&part)).flatten().copied().collect();
        let Some(first) = of_part().next().filter(|_| requests.len() >= MIN_REQUESTS) else {
            return false;
        };
        let is_in_all = |other: &&Part| of_part().all(|c| c.suspects.contains_key(other));
        let group: BTreeSet<Part> = first.suspects.keys().filter(is_in_all).copied().collect();
        let is_known = |known: &BTreeSet<Part>| known.is_subset(&group);
        if self.periods.keys().any(is_known) {
            return false;
        }
        self.periods.insert(group, Period::new(now + FIRST_PERIOD, FIRST_PERIOD));
        true
    }

    /// Records that endpoints have answered requests with `parts` for a while, the last time at `at`.
    ///
    /// That clears them of crashes, also of those soon after. Returns those that were suspect or quarantined.
    pub fn record_sound(&mut self, parts: &[Part], at: Instant) -> Vec<Part> {
        for part in parts {
            self.sound.record(*part, at);
        }
        parts.iter().copied().filter(|part| self.clear(*part, at)).collect()
    }

    /// Removes a part that was answered at `at` from the crashes of which that clears it and from all
    /// quarantines, and returns whether it was in one.
    fn clear(&mut self, part: Part, at: Instant) -> bool {
        let mut was_suspect = false;
        for crash in self.crashes.values_mut().filter(|c| c.at <= at + SOUND_PERIOD) {
            was_suspect |= crash.suspects.remove(&part).is_some();
        }
        let groups: Vec<_> = self.periods.keys().filter(|g| g.contains(&part)).cloned().collect();
        for mut group in groups {
            was_suspect = true;
            let period = self.periods.remove(&group);
            group.remove(&part);
            let Some(period) = period.filter(|_| !group.is_empty()) else {
                continue;
            };
            let rest = self.periods.entry(group).or_insert(period);
            rest.until = rest.until.max(period.until);
            rest.length = rest.length.max(period.length);
        }
        was_suspect
    }

    /// Returns those of `parts` that have been answered lately, with the time since.
    pub fn proven(&self, parts: &[Part], now: Instant) -> Vec<Sound> {
        let sound = parts.iter().filter_map(|part| {
            let age = now.since(self.sound.last(part)?);
            (age < SOUND_PERIOD).then_some(Sound { part: *part, age_ms: age.as_millis() as u64 })
        });
        sound.collect()
    }

    /// Returns until when requests with `parts` are not run at an entry before which `rank` others take
    /// their turn in trials, or `None` if they are.
    pub fn blocked_until(&self, parts: &[Part], rank: usize, now: Instant) -> Option<Instant> {
        let of_request = self.periods.iter().filter(|(group, _)| is_whole(group, parts));
        of_request.filter_map(|(_, period)| period.blocked_until(rank, now)).max()
    }

    /// Returns whether no parts are quarantined or on trial.
    pub fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }

    /// Records that a request with `parts` runs now, which is a trial if they were quarantined.
    pub fn record_run(&mut self, parts: &[Part], now: Instant) {
        let of_request = self.periods.iter_mut().filter(|(group, _)| is_whole(group, parts));
        of_request.for_each(|(_, period)| period.tried_at = Some(now));
    }

    /// Returns whether a request with `parts` may run again after a crash: whether none of them is
    /// suspect in several crashes by more than one request.
    pub fn may_retry(&self, parts: &[Part], now: Instant) -> bool {
        !parts.iter().any(|part| {
            let fresh = self.crashes.values().filter(|c| now.since(c.at) < EVIDENCE_PERIOD);
            let of_part: Vec<_> = fresh.filter_map(|c| c.suspects.get(part)).collect();
            let requests: BTreeSet<&u64> = of_part.iter().copied().flatten().collect();
            of_part.len() >= MAX_CRASHES_FOR_RETRY && requests.len() >= MIN_REQUESTS
        })
    }

    /// Returns the quarantines and those whose parts are on trial.
    pub fn groups(&self, now: Instant) -> Vec<Group> {
        let known = self.periods.iter().filter(|(_, period)| now < period.until + TRIAL_PERIOD);
        let group = |(group, period): (&BTreeSet<Part>, &Period)| Group {
            parts: group.iter().copied().collect(),
            remaining_ms: period.until.since(now).as_millis() as u64,
        };
        known.map(group).collect()
    }

    /// Takes over a quarantine from another entry, and returns whether it is new.
    ///
    /// None of its parts may have been answered lately; see [`Quarantine::unproven`].
    pub fn adopt(&mut self, group: &Group, now: Instant) -> bool {
        let parts: BTreeSet<Part> = group.parts.iter().copied().collect();
        let remaining = Duration::from_millis(group.remaining_ms).min(MAX_PERIOD);
        let known = self.periods.get(&parts);
        let is_later = known.is_none_or(|p| now + remaining > p.until.max(now) + TRIAL_TIME);
        if parts.is_empty() || !is_later {
            return false;
        }
        let length = known.map_or(FIRST_PERIOD, |period| period.length).max(remaining);
        self.periods.insert(parts, Period::new(now + remaining, length));
        true
    }
}

/// Returns whether a request with `parts` has all parts of a group.
fn is_whole(group: &BTreeSet<Part>, parts: &[Part]) -> bool {
    group.iter().all(|part| parts.contains(part))
}
