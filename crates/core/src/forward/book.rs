//! Work in progress of this entry and of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::gauge::Gauge;
use crate::fleet::Load;
use crate::name;
use crate::time::Instant;

/// How long another entry's figures count without being renewed.
const KEEP: Duration = Duration::from_secs(2);

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
}

impl Book {
    /// Counts a request of this entry.
    pub fn add(&mut self, head: &name::Endpoint, tokens: u64) {
        let sum = self.own.entry(head.clone()).or_default();
        sum.requests += 1;
        sum.tokens += tokens;
    }

    /// Ends a request that [`Book::add`] counted with the same figures.
    pub fn remove(&mut self, head: &name::Endpoint, tokens: u64) {
        let Some(sum) = self.own.get_mut(head) else {
            return;
        };
        sum.requests = sum.requests.saturating_sub(1);
        sum.tokens = sum.tokens.saturating_sub(tokens);
        if sum.requests == 0 {
            self.own.remove(head);
        }
    }

    /// Takes over what another entry said of itself.
    pub fn hear(&mut self, host: name::Host, loads: Vec<Load>, now: Instant) {
        self.others.insert(host, (now, loads));
    }

    /// Work in progress of all entries.
    pub fn sum(&self, head: &name::Endpoint, now: Instant) -> Sum {
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
