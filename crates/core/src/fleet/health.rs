//! Which endpoints do not work, by what entries found and told each other.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::key;

use super::Incarnation;
use super::reach::Reach;
use crate::name;
use crate::time::Instant;

/// Time for which an endpoint is treated as unhealthy after the last such finding.
pub const UNHEALTHY_PERIOD: Duration = Duration::from_secs(6);

/// Time for which a silent endpoint keeps its place in the plan: most go on after a second or so, and
/// another place costs seconds of loading.
const BRIEF_SILENCE: Duration = Duration::from_millis(1300);

/// Window within which suspicions of several entries are counted together.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Two entries must suspect an endpoint, and one more for each this many entries.
const ENTRIES_PER_EXTRA_SUSPICION: usize = 10;

/// Interval at which an entry asks a silent endpoint.
pub const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of entries that ask a silent endpoint again.
const MAX_ASKING_ENTRIES: usize = 3;

/// How an endpoint was found to be unhealthy.
#[key]
pub enum Cause {
    /// It refuses connections.
    ConnectionRefused,
    /// It has started again and lost its work in progress.
    Restarted,
    /// Another endpoint refused a request because of it, and it gives no report. It may also be
    /// draining or full, behind a link that does not work.
    AtFault,
    /// Requests of another endpoint wait for it.
    Stalled,
    /// Another entry found it unhealthy.
    Peer,
    /// Several entries get no answer from it.
    Silent,
}

impl Cause {
    /// Returns whether the endpoint has certainly lost its work in progress. Otherwise it may still
    /// go on with it.
    pub fn is_loss(self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::Restarted)
    }
}

/// A finding about one incarnation of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Finding {
    born: u64,
    at: Instant,
    /// When the first of the findings was made that renewed each other.
    since: Instant,
    cause: Cause,
}

impl Finding {
    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.at) < UNHEALTHY_PERIOD
    }

    fn incarnation(&self, id: &name::Endpoint) -> Incarnation {
        Incarnation { endpoint: id.clone(), born: self.born }
    }
}

/// Findings and suspicions about endpoints.
#[derive(Debug, Default)]
pub struct Health {
    /// The entry whose findings these are.
    host: Option<name::Host>,
    /// Findings for other causes than silence.
    findings: BTreeMap<name::Endpoint, Finding>,
    /// Findings of silence.
    silences: BTreeMap<name::Endpoint, Finding>,
    suspicions: BTreeMap<name::Endpoint, BTreeMap<name::Host, (u64, Instant)>>,
    /// Last answers of endpoints that were silent, by incarnation.
    answers: BTreeMap<name::Endpoint, (u64, Instant)>,
    /// Which of them answered this entry, and which others only.
    reach: Reach,
}

impl Health {
    /// Creates the findings of the entry `host`.
    pub fn of_entry(host: name::Host) -> Self {
        Self { host: Some(host), ..Self::default() }
    }

    /// Records a finding that was made at `seen_at`.
    ///
    /// Older ones do not replace newer ones, no later one replaces the cause of a certain loss, and an
    /// endpoint that has answered since is not unhealthy, unless it has lost its work.
    pub fn record(&mut self, incarnation: &Incarnation, cause: Cause, seen_at: Instant) {
        let id = &incarnation.endpoint;
        let is_answered = self.answers.get(id).is_some_and(|(born, at)| {
            *born == incarnation.born && *at >= seen_at && !cause.is_loss()
        });
        if is_answered {
            return;
        }
        let findings = if cause == Cause::Silent { &mut self.silences } else { &mut self.findings };
        let known = findings.get(id);
        let lost = known.filter(|f| f.born == incarnation.born && f.cause.is_loss());
        let cause = lost.map_or(cause, |f| f.cause);
        if known.is_none_or(|f| (f.born, f.at) < (incarnation.born, seen_at)) {
            let renewed = known.filter(|f| f.born == incarnation.born && f.is_fresh(seen_at));
            let since = renewed.map_or(seen_at, |f| f.since);
            let finding = Finding { born: incarnation.born, at: seen_at, since, cause };
            findings.insert(id.clone(), finding);
        }
    }

    /// Records that an endpoint did not answer the entry `by`, one of `entries` entries.
    ///
    /// Returns whether enough entries agree. They have agreed already if the endpoint is known to be
    /// silent; those that ask it again renew that. What others find does not count while it answers this entry.
    pub fn suspect(
        &mut self,
        incarnation: &Incarnation,
        by: name::Host,
        entries: usize,
        now: Instant,
    ) -> bool {
        self.forget_old(now);
        let is_own = self.host.as_ref() == Some(&by);
        if is_own {
            self.reach.record_failure(incarnation);
        } else {
            self.reach.hear_failure(incarnation, &by);
        }
        let suspicions = self.suspicions.entry(incarnation.endpoint.clone()).or_default();
        suspicions.insert(by, (incarnation.born, now));
        let known = self.silences.get(&incarnation.endpoint);
        let is_silent = known.is_some_and(|f| f.born == incarnation.born && f.is_fresh(now));
        let is_agreed = self.suspecting(incarnation, now).count() >= needed_suspicions(entries);
        (is_silent || is_agreed) && !self.reach.answers(incarnation, now)
    }

    /// Records that a probe of a silent endpoint by this entry reached nobody, and returns whether that is a reason to
    /// suspect the endpoint.
    ///
    /// If the endpoint has answered another entry lately that has not suspected it since, the link of this one is at
    /// fault: the endpoint stays silent for this entry alone, until it answers it.
    pub fn record_unreachable(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let Some(host) = self.host.clone() else {
            return true;
        };
        if !self.reach.record_unreachable(incarnation, now) {
            return true;
        }
        let suspicions = self.suspicions.entry(incarnation.endpoint.clone()).or_default();
        suspicions.insert(host, (incarnation.born, now));
        self.record(incarnation, Cause::Silent, now);
        false
    }

    /// Returns the entries that have lately suspected an endpoint.
    fn suspecting(
        &self,
        incarnation: &Incarnation,
        now: Instant,
    ) -> impl Iterator<Item = &name::Host> {
        let born = incarnation.born;
        let by = self.suspicions.get(&incarnation.endpoint).into_iter().flatten();
        let recent = by.filter(move |(_, (suspected, at))| {
            *suspected == born && now.since(*at) < SUSPICION_PERIOD
        });
        recent.map(|(host, _)| host)
    }

    /// Forgets what no longer counts. Endpoints get a new identifier with most starts.
    fn forget_old(&mut self, now: Instant) {
        self.findings.retain(|_, f| f.is_fresh(now));
        self.silences.retain(|_, f| f.is_fresh(now));
        self.answers.retain(|_, (_, at)| now.since(*at) < UNHEALTHY_PERIOD);
        self.reach.forget_old(now);
        let silences = &self.silences;
        self.suspicions.retain(|id, by| {
            // The entries that found a silence ask the endpoint until the finding ends, whatever they find then.
            let silent = silences.get(id).map(|f| f.born);
            by.retain(|_, (born, at)| {
                now.since(*at) < SUSPICION_PERIOD || silent.is_some_and(|silent| silent == *born)
            });
            !by.is_empty()
        });
    }

    /// Returns the number of endpoints about which something is known.
    pub fn len(&self) -> usize {
        let maps = [self.findings.len(), self.silences.len(), self.answers.len()];
        maps.into_iter().sum::<usize>() + self.suspicions.len() + self.reach.len()
    }

    /// Returns whether nothing is known about any endpoint.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that an endpoint answered this entry again after a silence, and returns whether this makes
    /// it healthy.
    pub fn answered(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        self.reach.record_answer(incarnation, now);
        self.end_silence(incarnation, now)
    }

    /// Records that an endpoint answered the entry `to` again after a silence, and returns whether this makes it healthy.
    /// It does not where only others reach the endpoint.
    pub fn hear_answer(&mut self, incarnation: &Incarnation, to: name::Host, now: Instant) -> bool {
        self.reach.hear_answer(incarnation, to, now);
        !self.reach.is_cut_off(incarnation, now) && self.end_silence(incarnation, now)
    }

    /// Takes back what silence told: the suspicions of all entries, and the findings that follow from
    /// them. Entries that still get no answer suspect it anew.
    fn end_silence(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let id = &incarnation.endpoint;
        let was_unhealthy = self.cause(id, Some(incarnation.born), now).is_some();
        self.forget_old(now);
        self.answers.insert(id.clone(), (incarnation.born, now));
        if let Some(suspicions) = self.suspicions.get_mut(id) {
            suspicions.retain(|_, (born, _)| *born != incarnation.born);
        }
        self.silences.retain(|known, f| known != id || f.born != incarnation.born);
        self.findings
            .retain(|known, f| known != id || f.born != incarnation.born || f.cause.is_loss());
        was_unhealthy && self.cause(id, Some(incarnation.born), now).is_none()
    }

    /// Returns the endpoints that are silent, and that the entry `host` is to ask again.
    ///
    /// The first few of those that suspect an endpoint ask it, and whoever alone does not reach it, also before it counts
    /// as silent. Entries that do not suspect it ask in turns, since those that do may share a fault: `turn` says
    /// whether it is the turn of this one, by the time since the finding.
    pub fn to_ask_again(
        &self,
        host: &name::Host,
        turn: impl Fn(&name::Endpoint, Duration) -> bool,
        now: Instant,
    ) -> Vec<Incarnation> {
        let silent = self.silences.iter().filter(|(_, f)| f.is_fresh(now));
        let of_host = silent.filter(|(id, finding)| {
            let suspicions = self.suspicions.get(*id);
            let mut hosts = suspicions.into_iter().flat_map(BTreeMap::keys);
            match hosts.position(|h| h == host) {
                Some(rank) => {
                    let is_cut_off = self.reach.is_cut_off(&finding.incarnation(id), now);
                    rank < MAX_ASKING_ENTRIES || is_cut_off
                }
                None => turn(id, now.since(finding.since)),
            }
        });
        let of_host = of_host.map(|(id, finding)| finding.incarnation(id));
        of_host.chain(self.to_ask_alone(host, now)).collect()
    }

    /// Returns the endpoints that the entry `host` alone did not reach lately, although they answer others.
    fn to_ask_alone(&self, host: &name::Host, now: Instant) -> impl Iterator<Item = Incarnation> {
        let own = self.suspicions.iter().filter_map(move |(id, by)| {
            let (born, at) = by.get(host)?;
            let incarnation = Incarnation { endpoint: id.clone(), born: *born };
            (now.since(*at) < SUSPICION_PERIOD).then_some(incarnation)
        });
        own.filter(move |incarnation| {
            let silence = self.silences.get(&incarnation.endpoint);
            silence.is_none_or(|f| f.born != incarnation.born || !f.is_fresh(now))
                && self.reach.answers_others(incarnation, now)
        })
    }

    /// Returns how an endpoint was found to be unhealthy, or `None` if it is healthy.
    ///
    /// `born` is the start of its current incarnation if it is listed; requests in progress may ask
    /// about an endpoint that no longer is.
    pub fn cause(&self, id: &name::Endpoint, born: Option<u64>, now: Instant) -> Option<Cause> {
        let findings = [self.findings.get(id), self.silences.get(id)];
        let is_same = |f: &&Finding| born.is_none_or(|born| born == f.born) && f.is_fresh(now);
        findings.into_iter().flatten().find(is_same).map(|f| f.cause)
    }

    /// Returns whether an endpoint started at `born` is unhealthy only because it has been silent for a
    /// short time, after which most go on.
    pub fn is_briefly_silent(&self, id: &name::Endpoint, born: u64, now: Instant) -> bool {
        let is_in_force = |f: &&Finding| f.born == born && f.is_fresh(now);
        let silence = self.silences.get(id).filter(is_in_force);
        self.findings.get(id).filter(is_in_force).is_none()
            && silence.is_some_and(|f| now.since(f.since) < BRIEF_SILENCE)
    }

    /// Returns the unhealthy endpoints, with the age of the findings in milliseconds.
    ///
    /// Silent ones are left out: each entry hears the suspicions, and when they are taken back.
    pub fn unhealthy(&self, now: Instant) -> Vec<(Incarnation, u64)> {
        let fresh = self.findings.iter().filter(|(_, f)| f.is_fresh(now));
        let reported = fresh.map(|(id, f)| (f.incarnation(id), now.since(f.at).as_millis() as u64));
        reported.collect()
    }

    /// Returns whether no finding is in force.
    pub fn are_over(&self, now: Instant) -> bool {
        let findings = self.findings.values().chain(self.silences.values());
        findings.into_iter().all(|f| !f.is_fresh(now))
    }
}

/// Returns whether it is the turn of the entry with this rank, of `entries` entries, to ask an endpoint that others
/// found silent `since` ago. One of the entries asks at a time.
pub fn is_turn(rank: usize, entries: usize, since: Duration) -> bool {
    let turn = since.as_millis() / ASK_INTERVAL.as_millis();
    turn % entries.max(1) as u128 == rank as u128
}

/// Returns the number of entries that must suspect an endpoint, of `entries` entries.
///
/// An entry that is slow or has a slow link gets no answer from healthy endpoints, so several
/// entries must agree.
fn needed_suspicions(entries: usize) -> usize {
    if entries <= 1 { 1 } else { 2 + entries / ENTRIES_PER_EXTRA_SUSPICION }
}
