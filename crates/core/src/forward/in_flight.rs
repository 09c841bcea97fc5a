//! Work in progress of this entry and of its peers.
//!
//! Load pattern: many entries choose chains at the same time, by the loads that their peers last
//! reported. All would send their next requests to the chain that had the most capacity at that
//! time. The recent changes of this entry therefore serve as a sample of the changes that its
//! peers have not reported yet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Need;
use super::slowdown::Meter;
use crate::fleet::Load;
use crate::name;
use crate::time::Instant;

/// How long the last reported load of a peer counts.
const PEER_LOAD_LIFETIME: Duration = Duration::from_secs(2);

/// Interval at which an entry sends gossip if there are few entries.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);

/// Number of entries that lengthens the gossip interval by one [`GOSSIP_INTERVAL`].
const ENTRIES_PER_INTERVAL: usize = 6;

/// Number of peers at which the changes of this entry count half as a sample of the changes of its
/// peers; one entry is a poor sample of a few.
const PEERS_AT_HALF_WEIGHT: f64 = 6.0;

/// Returns the interval at which each of `entries` entries sends gossip.
///
/// It grows with the number of entries, which bounds the messages that an entry gets per second.
pub fn gossip_interval(entries: usize) -> Duration {
    let steps = 1 + entries / ENTRIES_PER_INTERVAL;
    GOSSIP_INTERVAL * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// A change of this entry's work in progress.
#[derive(Debug)]
struct Change {
    at: Instant,
    key: name::Endpoint,
    work: Work,
    /// 1 for work that began, -1 for work that ended.
    sign: f64,
}

/// Work that one request adds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// 1, or 0 for a part of the work of a request.
    pub requests: u32,
    /// Tokens to reserve in KV caches.
    pub tokens: u64,
    /// Prompt tokens that await prefill; 0 once the stream has had its first event.
    pub prefill: u64,
}

impl Work {
    /// Returns the work of a request whose prompt awaits prefill.
    pub fn of(need: &Need) -> Self {
        Self { requests: 1, tokens: need.tokens(), prefill: u64::from(need.prompt) }
    }
}

/// Total work in progress on one chain, or on one endpoint of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Number of requests in progress.
    pub requests: u32,
    /// Tokens reserved in KV caches.
    pub tokens: u64,
    /// Prompt tokens of requests that have had no event yet.
    pub prefill: u64,
}

impl Sum {
    fn add(&mut self, work: Work) {
        self.requests += work.requests;
        self.tokens += work.tokens;
        self.prefill += work.prefill;
    }

    fn remove(&mut self, work: Work) {
        self.requests = self.requests.saturating_sub(work.requests);
        self.tokens = self.tokens.saturating_sub(work.tokens);
        self.prefill = self.prefill.saturating_sub(work.prefill);
    }
}

/// Tracks work in progress by the key of a chain ([`Chain::key`](super::chain::Chain::key)), or by
/// the endpoint of a plain service.
#[derive(Debug, Default)]
pub struct Tracker {
    own: BTreeMap<name::Endpoint, Sum>,
    peers: BTreeMap<name::Host, (Instant, Vec<Load>)>,
    meters: BTreeMap<name::Endpoint, Meter>,
    recent_changes: VecDeque<Change>,
}

impl Tracker {
    /// Adds work of this entry.
    pub fn add(&mut self, key: &name::Endpoint, work: Work, now: Instant) {
        self.record_change(key, work, 1.0, now);
        let sum = self.own.entry(key.clone()).or_default();
        let is_only = sum.requests == 0;
        sum.add(work);
        let meter = self.meters.entry(key.clone()).or_insert_with(|| Meter::new(now));
        meter.request_sent(is_only, now);
    }

    /// Removes work that [`Tracker::add`] added: all of it, or the rest after
    /// [`Tracker::begin_stream`].
    pub fn remove(&mut self, key: &name::Endpoint, work: Work, now: Instant) {
        self.record_change(key, work, -1.0, now);
        let Some(sum) = self.own.get_mut(key) else {
            return;
        };
        sum.remove(work);
        if sum.requests == 0 {
            self.own.remove(key);
        }
    }

    fn record_change(&mut self, key: &name::Endpoint, work: Work, sign: f64, now: Instant) {
        let interval = gossip_interval(self.peers.len() + 1);
        while self.recent_changes.front().is_some_and(|c| now.since(c.at) >= interval) {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(Change { at: now, key: key.clone(), work, sign });
    }

    /// Estimates the changes of work in progress that peers have not reported yet.
    ///
    /// Returns requests, tokens and prompt tokens; negative where more ended than began.
    fn unreported(&self, key: &name::Endpoint, now: Instant) -> [f64; 3] {
        let peers = self.peer_count(now);
        let interval = gossip_interval(peers + 1).as_secs_f64();
        let peers = peers as f64;
        let weight = peers * peers / (peers + PEERS_AT_HALF_WEIGHT);
        let mut sums = [0.0; 3];
        for change in self.recent_changes.iter().filter(|c| c.key == *key) {
            // The older the change, the more peers have reported since.
            let part = (1.0 - now.since(change.at).as_secs_f64() / interval).max(0.0);
            let Work { requests, tokens, prefill } = change.work;
            let figures = [f64::from(requests), tokens as f64, prefill as f64];
            for (sum, figure) in sums.iter_mut().zip(figures) {
                *sum += figure * part * change.sign * weight;
            }
        }
        sums
    }

    /// Replaces the loads of a peer by those that it reported.
    pub fn update_peer(&mut self, host: name::Host, loads: Vec<Load>, now: Instant) {
        self.peers.insert(host, (now, loads));
    }

    /// Returns the work in progress of all entries, including the estimated changes of peers since
    /// their last report.
    pub fn expected(&self, key: &name::Endpoint, now: Instant) -> Sum {
        let reported = self.sum(key, now);
        let [requests, tokens, prefill] = self.unreported(key, now);
        let own = self.own.get(key).copied().unwrap_or_default();
        // Casts from floats saturate.
        Sum {
            requests: (f64::from(reported.requests) + requests).max(f64::from(own.requests)) as u32,
            tokens: (reported.tokens as f64 + tokens).max(own.tokens as f64) as u64,
            prefill: (reported.prefill as f64 + prefill).max(own.prefill as f64) as u64,
        }
    }

    /// Returns the work in progress of this entry.
    pub fn own(&self, key: &name::Endpoint) -> Sum {
        self.own.get(key).copied().unwrap_or_default()
    }

    /// Returns the work in progress of all entries, with peers as they last reported.
    pub fn sum(&self, key: &name::Endpoint, now: Instant) -> Sum {
        let mut sum = self.own.get(key).copied().unwrap_or_default();
        for (at, loads) in self.peers.values() {
            if now.since(*at) >= PEER_LOAD_LIFETIME {
                continue;
            }
            for load in loads.iter().filter(|l| l.key == *key) {
                sum.requests += load.requests;
                sum.tokens += load.tokens;
                sum.prefill += load.prefill;
            }
        }
        sum
    }

    /// Records the first event of a stream of this entry, which ends the prefill of its prompt.
    pub fn begin_stream(&mut self, key: &name::Endpoint, work: Work, now: Instant) {
        self.remove(key, Work { prefill: work.prefill, ..Work::default() }, now);
        let meter = self.meters.entry(key.clone());
        meter.or_insert_with(|| Meter::new(now)).begin_stream(now);
    }

    /// Ends a stream that [`Tracker::begin_stream`] counted.
    pub fn finish_stream(&mut self, key: &name::Endpoint) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.finish_stream();
        }
    }

    /// Records an event that arrived `pause` after the previous one of its stream.
    pub fn record_event(&mut self, key: &name::Endpoint, pause: Duration, now: Instant) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.record_event(pause, now);
        }
    }

    /// Ends the measuring period of all chains.
    ///
    /// `estimate` returns the estimated time between two events on a chain, given its work in
    /// progress. Chains for which it returns `None` are dropped from the measurement.
    pub fn close_period(
        &mut self,
        estimate: impl Fn(&name::Endpoint, Sum) -> Option<Duration>,
        now: Instant,
    ) {
        let keys: Vec<_> = self.meters.keys().cloned().collect();
        for key in keys {
            let Some(estimate) = estimate(&key, self.sum(&key, now)) else {
                self.meters.remove(&key);
                continue;
            };
            let requests = self.own.get(&key).map_or(0, |sum| sum.requests);
            if let Some(meter) = self.meters.get_mut(&key) {
                meter.close_period(estimate, requests, now);
            }
        }
    }

    /// Discards the observed pauses of a chain whose stages have changed: they say nothing about the
    /// new ones.
    pub fn forget_pauses(&mut self, key: &name::Endpoint, now: Instant) {
        if let Some(meter) = self.meters.get_mut(key) {
            meter.reset(now);
        }
    }

    /// Returns how long no stream of this entry on a chain has had an event.
    ///
    /// Returns `None` if this entry has fewer than `streams` streams on the chain.
    pub fn silence(&self, key: &name::Endpoint, streams: u32, now: Instant) -> Option<Duration> {
        let meter = self.meters.get(key)?;
        (meter.streams() >= streams).then(|| meter.silence(now))
    }

    /// Returns the ratio of observed to estimated pauses on a chain.
    ///
    /// It is the average over all entries, weighted by their requests in progress.
    pub fn slowdown_factor(&self, key: &name::Endpoint, now: Instant) -> f64 {
        let own = self.meters.get(key).map_or(1.0, Meter::factor);
        let requests = self.own.get(key).map_or(0, |sum| sum.requests);
        let mut weight = f64::from(requests) + 1.0;
        let mut total = own * weight;
        for (at, loads) in self.peers.values() {
            if now.since(*at) >= PEER_LOAD_LIFETIME {
                continue;
            }
            for load in loads.iter().filter(|l| l.key == *key) {
                weight += f64::from(load.requests);
                total += f64::from(load.requests) * load.factor;
            }
        }
        total / weight
    }

    /// Returns the work in progress of this entry, to be sent to its peers.
    pub fn loads(&self) -> Vec<Load> {
        let load = |(key, sum): (&name::Endpoint, &Sum)| Load {
            key: key.clone(),
            requests: sum.requests,
            tokens: sum.tokens,
            prefill: sum.prefill,
            factor: self.meters.get(key).map_or(1.0, Meter::factor),
        };
        self.own.iter().map(load).collect()
    }

    /// Returns the number of peers that reported recently.
    pub fn peer_count(&self, now: Instant) -> usize {
        self.peers.values().filter(|(at, _)| now.since(*at) < PEER_LOAD_LIFETIME).count()
    }
}
