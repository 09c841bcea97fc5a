//! Work in progress of this entry and of the others.
//!
//! Load pattern: many entries that choose at the same time by what they last heard of each other.
//! All would send their next requests to the chain that had most room then. So what this entry has
//! begun and ended since is taken as a sample of what the others have, until they tell.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::gauge::Gauge;
use crate::fleet::Load;
use crate::name;
use crate::time::Instant;

/// How long another entry's figures count without being renewed.
const KEEP: Duration = Duration::from_secs(2);

/// Interval of news among few entries.
const NEWS_INTERVAL: Duration = Duration::from_millis(150);

/// Entries for which news come less often by one more interval.
const ENTRIES_PER_INTERVAL: usize = 6;

/// Interval of news among `entries` entries: what one hears in a second stays bounded.
pub fn news_interval(entries: usize) -> Duration {
    let steps = 1 + entries / ENTRIES_PER_INTERVAL;
    NEWS_INTERVAL * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// A request of this entry that began or ended lately.
#[derive(Debug)]
struct Change {
    at: Instant,
    head: name::Endpoint,
    /// 1 or -1.
    requests: f64,
    /// Negative for one that ended.
    tokens: f64,
}

/// Requests and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Requests in progress.
    pub requests: u32,
    /// Tokens reserved.
    pub tokens: u64,
}

/// Work in progress by the first endpoint of a chain, or the only endpoint of a plain service.
#[derive(Debug, Default)]
pub struct Book {
    own: BTreeMap<name::Endpoint, Sum>,
    others: BTreeMap<name::Host, (Instant, Vec<Load>)>,
    gauges: BTreeMap<name::Endpoint, (Gauge, u32)>,
    recent: VecDeque<Change>,
}

impl Book {
    /// Counts a request of this entry.
    pub fn add(&mut self, head: &name::Endpoint, tokens: u64, now: Instant) {
        self.note(head, 1.0, tokens as f64, now);
        let sum = self.own.entry(head.clone()).or_default();
        sum.requests += 1;
        sum.tokens += tokens;
    }

    /// Ends a request that [`Book::add`] counted with the same figures.
    pub fn remove(&mut self, head: &name::Endpoint, tokens: u64, now: Instant) {
        self.note(head, -1.0, -(tokens as f64), now);
        let Some(sum) = self.own.get_mut(head) else {
            return;
        };
        sum.requests = sum.requests.saturating_sub(1);
        sum.tokens = sum.tokens.saturating_sub(tokens);
        if sum.requests == 0 {
            self.own.remove(head);
        }
    }

    fn note(&mut self, head: &name::Endpoint, requests: f64, tokens: f64, now: Instant) {
        let interval = news_interval(self.others.len() + 1);
        while self.recent.front().is_some_and(|c| now.since(c.at) >= interval) {
            self.recent.pop_front();
        }
        self.recent.push_back(Change { at: now, head: head.clone(), requests, tokens });
    }

    /// What the other entries are expected to have begun and not told yet, less what has ended.
    fn untold(&self, head: &name::Endpoint, now: Instant) -> (f64, f64) {
        let others = self.others(now);
        let interval = news_interval(others + 1).as_secs_f64();
        let (mut requests, mut tokens) = (0.0, 0.0);
        for change in self.recent.iter().filter(|c| c.head == *head) {
            // The older the change, the more of the others have told since.
            let part = (1.0 - now.since(change.at).as_secs_f64() / interval).max(0.0);
            requests += change.requests * part;
            tokens += change.tokens * part;
        }
        (requests * others as f64, tokens * others as f64)
    }

    /// Takes over what another entry said of itself.
    pub fn hear(&mut self, host: name::Host, loads: Vec<Load>, now: Instant) {
        self.others.insert(host, (now, loads));
    }

    /// Work in progress of all entries, as far as it can be known.
    pub fn sum(&self, head: &name::Endpoint, now: Instant) -> Sum {
        let told = self.told(head, now);
        let (requests, tokens) = self.untold(head, now);
        let own = self.own.get(head).copied().unwrap_or_default();
        // Casts from floats saturate.
        let requests = (f64::from(told.requests) + requests).max(f64::from(own.requests)) as u32;
        let tokens = (told.tokens as f64 + tokens).max(own.tokens as f64) as u64;
        Sum { requests, tokens }
    }

    /// Work in progress of this entry, and of the others as they last told.
    fn told(&self, head: &name::Endpoint, now: Instant) -> Sum {
        let mut sum = self.own.get(head).copied().unwrap_or_default();
        for (at, loads) in self.others.values() {
            if now.since(*at) >= KEEP {
                continue;
            }
            for load in loads.iter().filter(|l| l.head == *head) {
                sum.requests += load.requests;
                sum.tokens += load.tokens;
            }
        }
        sum
    }

    /// Counts a stream of this entry that had its first event.
    pub fn begin(&mut self, head: &name::Endpoint, now: Instant) {
        let gauge = self.gauges.entry(head.clone());
        gauge.or_insert_with(|| (Gauge::new(now), 0)).1 += 1;
    }

    /// Ends a stream that [`Book::begin`] counted.
    pub fn finish(&mut self, head: &name::Endpoint) {
        if let Some((_, streams)) = self.gauges.get_mut(head) {
            *streams = streams.saturating_sub(1);
        }
    }

    /// Counts an event that came `pause` after the one before it in its stream.
    pub fn event(&mut self, head: &name::Endpoint, pause: Duration, now: Instant) {
        if let Some((gauge, _)) = self.gauges.get_mut(head) {
            gauge.event(pause, now);
        }
    }

    /// Ends a period for all chains; `estimate` gives the time of an event on a chain for its work
    /// in progress.
    pub fn close(
        &mut self,
        estimate: impl Fn(&name::Endpoint, Sum) -> Option<Duration>,
        now: Instant,
    ) {
        let heads: Vec<_> = self.gauges.keys().cloned().collect();
        for head in heads {
            let Some(estimate) = estimate(&head, self.sum(&head, now)) else {
                self.gauges.remove(&head);
                continue;
            };
            if let Some((gauge, streams)) = self.gauges.get_mut(&head) {
                gauge.close(estimate, *streams, now);
            }
        }
    }

    /// How long this entry's streams on a chain have all been without an event, if there are at
    /// least `streams` of them.
    pub fn silence(&self, head: &name::Endpoint, streams: u32, now: Instant) -> Option<Duration> {
        let (gauge, count) = self.gauges.get(head)?;
        (*count >= streams).then(|| gauge.silence(now))
    }

    /// How much more slowly than estimated a chain's events come, as all entries see it.
    pub fn factor(&self, head: &name::Endpoint, now: Instant) -> f64 {
        let own = self.gauges.get(head).map_or(1.0, |(gauge, _)| gauge.factor());
        let requests = self.own.get(head).map_or(0, |sum| sum.requests);
        let mut weight = f64::from(requests) + 1.0;
        let mut total = own * weight;
        for (at, loads) in self.others.values() {
            if now.since(*at) >= KEEP {
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
            factor: self.gauges.get(head).map_or(1.0, |(gauge, _)| gauge.factor()),
        };
        self.own.iter().map(load).collect()
    }

    /// Entries heard lately, without this one.
    pub fn others(&self, now: Instant) -> usize {
        self.others.values().filter(|(at, _)| now.since(*at) < KEEP).count()
    }
}
