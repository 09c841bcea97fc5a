//! Work in progress of this entry and of the others.

use std::collections::BTreeMap;
use std::time::Duration;

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

    /// What the others are to be told.
    pub fn loads(&self) -> Vec<Load> {
        let load = |(head, sum): (&name::Endpoint, &Sum)| Load {
            head: head.clone(),
            requests: sum.requests,
            tokens: sum.tokens,
        };
        self.own.iter().map(load).collect()
    }

    /// Entries heard lately, without this one.
    pub fn others(&self, now: Instant) -> usize {
        self.others.values().filter(|(at, _)| now.since(*at) < KEEP).count()
    }
}
