//! Limits on the rate of requests that endpoints name in their answers.
//!
//! A limit holds for all entries together. One entry for each limited endpoint, which follows from the
//! names of those that run, grants permits out of a token bucket, and every entry needs one for each
//! request that it sends there ([`permit`]). An entry that reaches nobody gets none. Equal shares would
//! not do: a limit may be less than one request a second for each entry, and the requests are where
//! their callers are.

pub mod permit;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::data;

use crate::fleet::Incarnation;
use crate::name;
use crate::time::Instant;

pub use permit::{Permits, Reply};

/// Lowest rate that is granted, in requests per second. Only an answer tells that a limit has ended.
const MIN_RATE: f64 = 0.1;

/// Time for which entries tell each other that a limit has ended.
const END_LIFETIME: Duration = Duration::from_secs(10);

/// Fraction of the limit before below which a new one is told at once; gossip tells of others.
const URGENT_FRACTION: f64 = 0.8;

/// Fraction of a limit that all entries together may spend on probes.
const PROBE_FRACTION: f64 = 0.25;

/// What an answer of an endpoint states about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// It has none.
    Unlimited,
    /// It takes this many requests per second.
    Limit(f64),
    /// It has one, but none that can be read. What was known holds on.
    Unreadable,
}

/// A limit of an endpoint, as entries tell it each other.
#[data]
pub struct Notice {
    /// The endpoint that named it.
    pub incarnation: Incarnation,
    /// Requests per second that it takes; `None` if it names no limit any more.
    pub rate: Option<f64>,
    /// Time since the answer that stated this, in milliseconds.
    pub age_ms: u64,
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Known {
    born: u64,
    rate: Option<f64>,
    stated_at: Instant,
}

/// The limits of all endpoints, as one entry knows them.
#[derive(Debug, Default)]
pub struct Limits {
    by_endpoint: BTreeMap<name::Endpoint, Known>,
}

impl Limits {
    /// Records what an answer states that arrived `now`, to a request that was sent at `sent`.
    ///
    /// Returns whether to tell the other entries at once.
    pub fn record(
        &mut self,
        incarnation: &Incarnation,
        statement: Statement,
        sent: Instant,
        now: Instant,
    ) -> bool {
        match statement {
            Statement::Limit(rate) => self.update(incarnation, Some(rate), now),
            // The answer may be older than the last one that named a limit, but not than its request.
            Statement::Unlimited => {
                self.limit(incarnation).is_some() && self.update(incarnation, None, sent)
            }
            Statement::Unreadable => false,
        }
    }

    /// Records what another entry tells. Returns whether a limit has begun, ended, or become much lower.
    pub fn hear(&mut self, notice: &Notice, now: Instant) -> bool {
        let is_valid = notice.rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let stated_at = now - Duration::from_millis(notice.age_ms);
        let is_news =
            notice.rate.is_some() || self.by_endpoint.contains_key(&notice.incarnation.endpoint);
        is_valid && is_news && self.update(&notice.incarnation, notice.rate, stated_at)
    }

    fn update(&mut self, incarnation: &Incarnation, rate: Option<f64>, stated_at: Instant) -> bool {
        let Incarnation { endpoint, born } = incarnation;
        let known = self.by_endpoint.get(endpoint);
        if known.is_some_and(|known| (known.born, known.stated_at) >= (*born, stated_at)) {
            return false;
        }
        let before = self.limit(incarnation);
        let known = Known { born: *born, rate, stated_at };
        self.by_endpoint.insert(endpoint.clone(), known);
        match (before, rate) {
            (Some(before), Some(rate)) => rate < before * URGENT_FRACTION,
            (before, rate) => before.is_some() != rate.is_some(),
        }
    }

    /// Returns the requests per second that an endpoint takes, or `None` if it names no limit.
    pub fn limit(&self, incarnation: &Incarnation) -> Option<f64> {
        let known = self.by_endpoint.get(&incarnation.endpoint)?;
        known.rate.filter(|_| known.born == incarnation.born)
    }

    /// Returns the endpoints that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = Incarnation> {
        let limited = self.by_endpoint.iter().filter(|(_, known)| known.rate.is_some());
        limited.map(|(id, known)| Incarnation { endpoint: id.clone(), born: known.born })
    }

    /// Returns what to tell another entry of one endpoint.
    pub fn notice(&self, incarnation: &Incarnation, now: Instant) -> Option<Notice> {
        let known = self.by_endpoint.get(&incarnation.endpoint)?;
        (known.born == incarnation.born).then(|| known.notice(&incarnation.endpoint, now))
    }

    /// Returns what entries tell each other: the limits, and those that have ended lately.
    pub fn notices(&self, now: Instant) -> Vec<Notice> {
        let is_told =
            |known: &Known| known.rate.is_some() || now.since(known.stated_at) < END_LIFETIME;
        let told = self.by_endpoint.iter().filter(|(_, known)| is_told(known));
        told.map(|(id, known)| known.notice(id, now)).collect()
    }

    /// Forgets the endpoints for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&name::Endpoint) -> bool) {
        self.by_endpoint.retain(|id, _| is_known(id));
    }
}

impl Known {
    fn notice(&self, endpoint: &name::Endpoint, now: Instant) -> Notice {
        let incarnation = Incarnation { endpoint: endpoint.clone(), born: self.born };
        let age_ms = now.since(self.stated_at).as_millis() as u64;
        Notice { incarnation, rate: self.rate, age_ms }
    }
}

/// Returns the rate at which permits are granted for an endpoint that names the limit `rate`.
pub fn granted_rate(rate: f64) -> f64 {
    rate.max(MIN_RATE)
}

/// Returns the time between two probes by one of `entries` entries of an endpoint that names the limit
/// `rate`.
pub fn probe_interval(rate: f64, entries: usize) -> Duration {
    let seconds = entries.max(1) as f64 / (granted_rate(rate) * PROBE_FRACTION);
    Duration::from_secs_f64(seconds)
}
