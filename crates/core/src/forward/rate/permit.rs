//! Permits to send one request each to an endpoint that limits its rate.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::data;

use super::granted_rate;
use crate::name;
use crate::time::Instant;

/// Time within which a permit must be used. Permits that are kept would be used in a burst.
const LIFETIME: Duration = Duration::from_millis(500);

/// Time for a reply, after which another permit may be requested.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which permits add up while none is requested.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Answer to a request for a permit.
#[data]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// One request may be sent.
    Granted,
    /// There is none for this number of milliseconds.
    Refused(u64),
}

/// The permits of one endpoint that are still to be granted.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    filled_at: Instant,
}

/// The permits of one endpoint at one entry.
#[derive(Clone, Debug, Default)]
struct Held {
    /// When permits that are not used yet expire.
    expiries: Vec<Instant>,
    requested_at: Option<Instant>,
    refused_until: Option<Instant>,
}

/// Permits that one entry holds, and those that it grants.
#[derive(Debug, Default)]
pub struct Permits {
    held: BTreeMap<name::Endpoint, Held>,
    buckets: BTreeMap<name::Endpoint, Bucket>,
}

impl Permits {
    /// Grants a permit for an endpoint that takes `rate` requests per second, if one is due.
    pub fn grant(&mut self, endpoint: &name::Endpoint, rate: f64, now: Instant) -> Reply {
        let rate = granted_rate(rate);
        let full = Bucket { level: 1.0, filled_at: now };
        let bucket = self.buckets.entry(endpoint.clone()).or_insert(full);
        let most = 1.0 + rate * BURST_TIME.as_secs_f64();
        let passed = now.since(bucket.filled_at).as_secs_f64();
        bucket.level = (bucket.level + passed * rate).min(most);
        bucket.filled_at = now;
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Reply::Granted;
        }
        let wait = Duration::from_secs_f64((1.0 - bucket.level) / rate);
        Reply::Refused(wait.as_millis() as u64 + 1)
    }

    /// Returns whether a permit may be requested `now`, and records that it is.
    pub fn request(&mut self, endpoint: &name::Endpoint, now: Instant) -> bool {
        let held = self.held.entry(endpoint.clone()).or_default();
        let is_waiting = held.requested_at.is_some_and(|at| now.since(at) < REPLY_TIMEOUT);
        let is_refused = held.refused_until.is_some_and(|until| now < until);
        let may_request = !is_waiting && !is_refused;
        if may_request {
            held.requested_at = Some(now);
        }
        may_request
    }

    /// Records the reply to the last request for a permit.
    pub fn receive(&mut self, endpoint: &name::Endpoint, reply: Reply, now: Instant) {
        let held = self.held.entry(endpoint.clone()).or_default();
        held.requested_at = None;
        match reply {
            Reply::Granted => held.expiries.push(now + LIFETIME),
            Reply::Refused(ms) => held.refused_until = Some(now + Duration::from_millis(ms)),
        }
    }

    /// Returns whether a permit is held.
    pub fn has(&self, endpoint: &name::Endpoint, now: Instant) -> bool {
        let held = self.held.get(endpoint);
        held.is_some_and(|held| held.expiries.iter().any(|until| now < *until))
    }

    /// Uses one permit. Returns false if none is held.
    pub fn take(&mut self, endpoint: &name::Endpoint, now: Instant) -> bool {
        let Some(held) = self.held.get_mut(endpoint) else {
            return false;
        };
        held.expiries.retain(|until| now < *until);
        held.expiries.pop().is_some()
    }

    /// Forgets the endpoints for which `is_limited` does not hold.
    pub fn retain(&mut self, is_limited: impl Fn(&name::Endpoint) -> bool) {
        self.held.retain(|id, _| is_limited(id));
        self.buckets.retain(|id, _| is_limited(id));
    }
}
