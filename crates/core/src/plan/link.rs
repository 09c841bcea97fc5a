//! Estimated time on the links between hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config;
use crate::estimate::Excess;
use crate::name;
use crate::time::{Instant, as_us};

/// Latency of a link that the configuration does not name, in microseconds.
const DEFAULT_LATENCY_US: f64 = 300.0;

/// Throughput of a link that the configuration does not name, in megabytes a second.
const DEFAULT_MEGABYTES_PER_SECOND: f64 = 1000.0;

/// Time without observations after which a link's excess is halved.
pub const HALF_LIFE: Duration = Duration::from_secs(5);

/// A link counts as degraded from this multiple of its configured latency.
const DEGRADED_FACTOR: f64 = 3.0;

/// A link does not count as degraded below this excess, in microseconds.
const DEGRADED_FLOOR_US: f64 = 3000.0;

/// An end of a link: a host in its availability zone, as small numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Node {
    /// Number of the host.
    pub host: u32,
    /// Number of the availability zone.
    pub zone: u32,
}

#[derive(Clone, Copy, Debug)]
struct Base {
    latency_us: f64,
    us_per_byte: f64,
}

const DEFAULT_BASE: Base =
    Base { latency_us: DEFAULT_LATENCY_US, us_per_byte: 1.0 / DEFAULT_MEGABYTES_PER_SECOND };

/// A link whose observed time is well over its configured latency.
#[derive(Clone, Debug, PartialEq)]
pub struct Degraded {
    /// Sending host.
    pub from: name::Host,
    /// Receiving host.
    pub to: name::Host,
    /// Time over the configured latency, in microseconds.
    pub excess_us: u64,
}

/// All links as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    numbers: BTreeMap<String, u32>,
    names: Vec<String>,
    base: BTreeMap<(u32, u32), Base>,
    excess: BTreeMap<(u32, u32), Excess>,
}

impl Links {
    /// Takes over the configured links; observations of hosts that remain are kept.
    pub fn configure(&mut self, links: &[config::Link]) {
        self.base.clear();
        for link in links {
            let (from, to) = (self.number(&link.from), self.number(&link.to));
            let base = Base {
                latency_us: as_us(link.latency) as f64,
                us_per_byte: 1.0 / f64::from(link.megabytes_per_second.max(1)),
            };
            self.base.insert((from, to), base);
            self.base.insert((to, from), base);
        }
    }

    /// The numbers that stand for a host in an availability zone.
    pub fn node(&mut self, host: &name::Host, zone: &name::Zone) -> Node {
        Node { host: self.number(host.as_str()), zone: self.number(zone.as_str()) }
    }

    /// Estimated microseconds for `bytes` from one host to another.
    pub fn estimate(&self, now: Instant, from: Node, to: Node, bytes: f64) -> f64 {
        if from.host == to.host {
            return 0.0;
        }
        let base = self.base(from, to);
        base.latency_us + base.us_per_byte * bytes + self.excess(now, (from.host, to.host))
    }

    /// Learns the time that the network took over the links of `path` together.
    ///
    /// Only the sum is known. Each link is corrected by an equal part of the error (the
    /// projection of Kaczmarz's method): links that other chains find healthy are corrected
    /// back, so that the error stays with the link that all slow chains have in common.
    pub fn observe(&mut self, now: Instant, path: &[Node], bytes: f64, network_us: f64) {
        let remote = || path.windows(2).filter(|pair| pair[0].host != pair[1].host);
        let estimated: f64 = remote().map(|p| self.estimate(now, p[0], p[1], bytes)).sum();
        let error_us = (network_us - estimated) / remote().count().max(1) as f64;
        let pairs: Vec<_> = remote().map(|p| (p[0].host, p[1].host)).collect();
        for pair in pairs {
            self.excess.entry(pair).or_default().correct(now, HALF_LIFE, error_us);
        }
    }

    /// Links that are now well over their configured latency.
    pub fn degraded(&self, now: Instant) -> Vec<Degraded> {
        let name = |number: u32| {
            let name = self.names.get(number as usize).map_or("", String::as_str);
            name::Host::from(name)
        };
        self.excess
            .iter()
            .map(|(&(from, to), excess)| (from, to, excess.current_us(now, HALF_LIFE)))
            .filter(|(_, _, us)| *us > DEGRADED_FLOOR_US.max(DEGRADED_FACTOR * DEFAULT_LATENCY_US))
            .map(|(from, to, us)| Degraded { from: name(from), to: name(to), excess_us: us as u64 })
            .collect()
    }

    /// Drops observations that have faded, to bound the memory.
    pub fn forget(&mut self, now: Instant) {
        self.excess.retain(|_, excess| excess.current_us(now, HALF_LIFE) > 1.0);
    }

    fn excess(&self, now: Instant, pair: (u32, u32)) -> f64 {
        self.excess.get(&pair).map_or(0.0, |excess| excess.current_us(now, HALF_LIFE))
    }

    /// A link between hosts goes before one between their availability zones.
    fn base(&self, from: Node, to: Node) -> Base {
        if self.base.is_empty() {
            return DEFAULT_BASE;
        }
        let ends = [
            (from.host, to.host),
            (from.host, to.zone),
            (from.zone, to.host),
            (from.zone, to.zone),
        ];
        ends.iter().find_map(|pair| self.base.get(pair)).copied().unwrap_or(DEFAULT_BASE)
    }

    fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }
}
