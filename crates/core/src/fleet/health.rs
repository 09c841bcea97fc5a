//! Which endpoints do not work, by what entries found and told each other.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::key;

use super::Incarnation;
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
    /// Findings for other causes than silence.
    findings: BTreeMap<name::Endpoint, Finding>,
    /// Findings of silence.
    silences: BTreeMap<name::Endpoint, Finding>,
    suspicions: BTreeMap<name::Endpoint, BTreeMap<name::Host, (u64, Instant)>>,
    /// Last answers of endpoints that were silent, by incarnation.
    answers: BTreeMap<name::Endpoint, (u64, Instant)>,
}

impl Health {
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
    /// silent; those that ask it again renew that.
    pub fn suspect(
        &mut self,
        incarnation: &Incarnation,
        by: name::Host,
        entries: usize,
        now: Instant,
    ) -> bool {
        self.forget_old(now);
        let suspicions = self.suspicions.entry(incarnation.endpoint.clone()).or_default();
        suspicions.insert(by, (incarnation.born, now));
        let is_agreeing = |(born, at): &&(u64, Instant)| {
            *born == incarnation.born && now.since(*at) < SUSPICION_PERIOD
        };
        let agreeing = suspicions.values().filter(is_agreeing).count();
        let known = self.silences.get(&incarnation.endpoint);
        let is_silent = known.is_some_and(|f| f.born == incarnation.born && f.is_fresh(now));
        is_silent || agreeing >= needed_suspicions(entries)
    }

    /// Forgets what no longer counts. Endpoints get a new identifier with most starts.
    fn forget_old(&mut self, now: Instant) {
        self.findings.retain(|_, f| f.is_fresh(now));
        self.silences.retain(|_, f| f.is_fresh(now));
        self.answers.retain(|_, (_, at)| now.since(*at) < UNHEALTHY_PERIOD);
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
        maps.into_iter().sum::<usize>() + self.suspicions.len()
    }

    /// Returns whether nothing is known about any endpoint.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that an endpoint answered an entry again after a silence, and returns whether this makes
    /// it healthy.
    ///
    /// That takes back what silence told: the suspicions of all entries, and the findings that follow from
    /// them. Entries that still get no answer suspect it anew.
    pub fn answered(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
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
    /// The first few of those that suspect an endpoint ask it.
    pub fn to_ask_again(&self, host: &name::Host, now: Instant) -> Vec<Incarnation> {
        let silent = self.silences.iter().filter(|(_, f)| f.is_fresh(now));
        let of_host = silent.filter(|(id, _)| {
            let suspicions = self.suspicions.get(*id);
            let mut hosts = suspicions.into_iter().flat_map(BTreeMap::keys);
            hosts.position(|h| h == host).is_some_and(|rank| rank < MAX_ASKING_ENTRIES)
        });
        of_host.map(|(id, finding)| finding.incarnation(id)).collect()
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

/// Returns the number of entries that must suspect an endpoint, of `entries` entries.
///
/// An entry that is slow or has a slow link gets no answer from healthy endpoints, so several
/// entries must agree.
fn needed_suspicions(entries: usize) -> usize {
    if entries <= 1 { 1 } else { 2 + entries / ENTRIES_PER_EXTRA_SUSPICION }
}
