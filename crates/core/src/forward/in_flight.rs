//! Work in progress of this entry and of the others.
//!
//! Load pattern: many entries that choose at the same time by what they last heard of each other.
//! All would send their next requests to the chain that had most room then. So what this entry has
//! begun and ended since is taken as a sample of what the others have, until they tell.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Need;
use super::slowdown::Meter;
use crate::fleet::Load;
use crate::name;
use crate::time::Instant;

/// How long another entry's figures count without being renewed.
const PEER_LOAD_LIFETIME: Duration = Duration::from_secs(2);

/// Interval of news among few entries.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);

/// Entries for which news come less often by one more interval.
const ENTRIES_PER_INTERVAL: usize = 6;

/// Others at which half of what this entry does is taken for chance: what one entry does says little
/// about a few.
const PEERS_AT_HALF_WEIGHT: f64 = 6.0;

/// Interval of news among `entries` entries: what one hears in a second stays bounded.
pub fn gossip_interval(entries: usize) -> Duration {
    let steps = 1 + entries / ENTRIES_PER_INTERVAL;
    GOSSIP_INTERVAL * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// A change of this entry's work in progress.
#[derive(Debug)]
struct Change {
    at: Instant,
    head: name::Endpoint,
    work: Work,
    /// 1 for what began, -1 for what ended.
    sign: f64,
}

/// What one request adds to the work in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// 1, or 0 for a part of a request.
    pub requests: u32,
    /// Tokens to reserve.
    pub tokens: u64,
    /// Tokens of the prompt, while there is no event yet.
    pub prefill: u64,
}

impl Work {
    /// A request that is to be read.
    pub fn of(need: &Need) -> Self {
        Self { requests: 1, tokens: need.tokens(), prefill: u64::from(need.prompt) }
    }
}

/// Requests and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Requests in progress.
    pub requests: u32,
    /// Tokens reserved.
    pub tokens: u64,
    /// Tokens of prompts of requests that have had no event yet.
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

/// Work in progress by the first endpoint of a chain, or the only endpoint of a plain service.
#[derive(Debug, Default)]
pub struct Tracker {
    own: BTreeMap<name::Endpoint, Sum>,
    peers: BTreeMap<name::Host, (Instant, Vec<Load>)>,
    meters: BTreeMap<name::Endpoint, Meter>,
    recent_changes: VecDeque<Change>,
}

impl Tracker {
    /// Counts work of this entry.
    pub fn add(&mut self, head: &name::Endpoint, work: Work, now: Instant) {
        self.record_change(head, work, 1.0, now);
        let sum = self.own.entry(head.clone()).or_default();
        let is_only = sum.requests == 0;
        sum.add(work);
        let meter = self.meters.entry(head.clone()).or_insert_with(|| Meter::new(now));
        meter.request_sent(is_only, now);
    }

    /// Ends work that [`Book::add`] counted: all of it, or what is left after [`Book::begin`].
    pub fn remove(&mut self, head: &name::Endpoint, work: Work, now: Instant) {
        self.record_change(head, work, -1.0, now);
        let Some(sum) = self.own.get_mut(head) else {
            return;
        };
        sum.remove(work);
        if sum.requests == 0 {
            self.own.remove(head);
        }
    }

    fn record_change(&mut self, head: &name::Endpoint, work: Work, sign: f64, now: Instant) {
        let interval = gossip_interval(self.peers.len() + 1);
        while self.recent_changes.front().is_some_and(|c| now.since(c.at) >= interval) {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(Change { at: now, head: head.clone(), work, sign });
    }

    /// What the other entries are expected to have begun and not told yet, less what has ended:
    /// requests, tokens and tokens of prompts.
    fn unreported(&self, head: &name::Endpoint, now: Instant) -> [f64; 3] {
        let peers = self.peer_count(now);
        let interval = gossip_interval(peers + 1).as_secs_f64();
        let peers = peers as f64;
        let weight = peers * peers / (peers + PEERS_AT_HALF_WEIGHT);
        let mut sums = [0.0; 3];
        for change in self.recent_changes.iter().filter(|c| c.head == *head) {
            // The older the change, the more of the others have told since.
            let part = (1.0 - now.since(change.at).as_secs_f64() / interval).max(0.0);
            let Work { requests, tokens, prefill } = change.work;
            let figures = [f64::from(requests), tokens as f64, prefill as f64];
            for (sum, figure) in sums.iter_mut().zip(figures) {
                *sum += figure * part * change.sign * weight;
            }
        }
        sums
    }

    /// Takes over what another entry said of itself.
    pub fn update_peer(&mut self, host: name::Host, loads: Vec<Load>, now: Instant) {
        self.peers.insert(host, (now, loads));
    }

    /// Work in progress of all entries, with what the others are expected to have begun and ended
    /// since they told.
    pub fn expected(&self, head: &name::Endpoint, now: Instant) -> Sum {
        let reported = self.sum(head, now);
        let [requests, tokens, prefill] = self.unreported(head, now);
        let own = self.own.get(head).copied().unwrap_or_default();
        // Casts from floats saturate.
        Sum {
            requests: (f64::from(reported.requests) + requests).max(f64::from(own.requests)) as u32,
            tokens: (reported.tokens as f64 + tokens).max(own.tokens as f64) as u64,
            prefill: (reported.prefill as f64 + prefill).max(own.prefill as f64) as u64,
        }
    }

    /// Work in progress of this entry, and of the others as they last told.
    pub fn sum(&self, head: &name::Endpoint, now: Instant) -> Sum {
        let mut sum = self.own.get(head).copied().unwrap_or_default();
        for (at, loads) in self.peers.values() {
            if now.since(*at) >= PEER_LOAD_LIFETIME {
                continue;
            }
            for load in loads.iter().filter(|l| l.head == *head) {
                sum.requests += load.requests;
                sum.tokens += load.tokens;
                sum.prefill += load.prefill;
            }
        }
        sum
    }

    /// Counts a stream of this entry that had its first event, and takes its prompt as read.
    pub fn begin_stream(&mut self, head: &name::Endpoint, work: Work, now: Instant) {
        self.remove(head, Work { prefill: work.prefill, ..Work::default() }, now);
        let meter = self.meters.entry(head.clone());
        meter.or_insert_with(|| Meter::new(now)).begin_stream(now);
    }

    /// Ends a stream that [`Book::begin`] counted.
    pub fn finish_stream(&mut self, head: &name::Endpoint) {
        if let Some(meter) = self.meters.get_mut(head) {
            meter.finish_stream();
        }
    }

    /// Counts an event that came `pause` after the one before it in its stream.
    pub fn record_event(&mut self, head: &name::Endpoint, pause: Duration, now: Instant) {
        if let Some(meter) = self.meters.get_mut(head) {
            meter.record_event(pause, now);
        }
    }

    /// Ends a period for all chains; `estimate` gives the time of an event on a chain for its work
    /// in progress.
    pub fn close_period(
        &mut self,
        estimate: impl Fn(&name::Endpoint, Sum) -> Option<Duration>,
        now: Instant,
    ) {
        let heads: Vec<_> = self.meters.keys().cloned().collect();
        for head in heads {
            let Some(estimate) = estimate(&head, self.sum(&head, now)) else {
                self.meters.remove(&head);
                continue;
            };
            let requests = self.own.get(&head).map_or(0, |sum| sum.requests);
            if let Some(meter) = self.meters.get_mut(&head) {
                meter.close_period(estimate, requests, now);
            }
        }
    }

    /// How long this entry's streams on a chain have all been without an event, if there are at
    /// least `streams` of them.
    pub fn silence(&self, head: &name::Endpoint, streams: u32, now: Instant) -> Option<Duration> {
        let meter = self.meters.get(head)?;
        (meter.streams() >= streams).then(|| meter.silence(now))
    }

    /// How much more slowly than estimated a chain's events come, as all entries see it.
    pub fn slowdown_factor(&self, head: &name::Endpoint, now: Instant) -> f64 {
        let own = self.meters.get(head).map_or(1.0, Meter::factor);
        let requests = self.own.get(head).map_or(0, |sum| sum.requests);
        let mut weight = f64::from(requests) + 1.0;
        let mut total = own * weight;
        for (at, loads) in self.peers.values() {
            if now.since(*at) >= PEER_LOAD_LIFETIME {
                continue;
            }
            for load in loads.iter().filter(|l| l.head == *head) {
                weight += f64::from(load.requests);
                total += f64::from(load.requests) * load.factor;
            }
        }
        total / weight
    }

    /// What the others are to be told.
    pub fn loads(&self) -> Vec<Load> {
        let load = |(head, sum): (&name::Endpoint, &Sum)| Load {
            head: head.clone(),
            requests: sum.requests,
            tokens: sum.tokens,
            prefill: sum.prefill,
            factor: self.meters.get(head).map_or(1.0, Meter::factor),
        };
        self.own.iter().map(load).collect()
    }

    /// Entries heard lately, without this one.
    pub fn peer_count(&self, now: Instant) -> usize {
        self.peers.values().filter(|(at, _)| now.since(*at) < PEER_LOAD_LIFETIME).count()
    }
}
