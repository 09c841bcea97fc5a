//! Estimated transfer time on the links between hosts.
//!
//! An estimate is the configured latency and throughput plus an excess that is learned from
//! observed times and decays without them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config;
use crate::estimate::Excess;
use crate::name;
use crate::time::{Instant, as_us};

/// Latency of a link that is not configured, in microseconds.
const DEFAULT_LATENCY_US: f64 = 300.0;

/// Throughput of a link that is not configured, in megabytes per second.
const DEFAULT_MEGABYTES_PER_SECOND: f64 = 1000.0;

/// Time without observations in which the excess of a link halves.
pub const HALF_LIFE: Duration = Duration::from_secs(5);

/// Excess above which a link counts as degraded, as a multiple of the default latency.
const DEGRADED_FACTOR: f64 = 3.0;

/// Excess up to which a link never counts as degraded, in microseconds.
const MIN_DEGRADED_US: f64 = 3000.0;

/// One end of a link: a host in its availability zone, both as interned numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Number of the host.
    pub host: u32,
    /// Number of the availability zone.
    pub zone: u32,
}

/// Time of a link without any excess.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    latency_us: f64,
    us_per_byte: f64,
}

const DEFAULT_BASELINE: Baseline =
    Baseline { latency_us: DEFAULT_LATENCY_US, us_per_byte: 1.0 / DEFAULT_MEGABYTES_PER_SECOND };

/// A link whose observed time is well over its configured time.
#[derive(Clone, Debug, PartialEq)]
pub struct Degraded {
    /// Sending host.
    pub from: name::Host,
    /// Receiving host.
    pub to: name::Host,
    /// Time over the configured one, in microseconds.
    pub excess_us: u64,
}

/// The links between all hosts, as one entry observes them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    numbers: BTreeMap<String, u32>,
    names: Vec<String>,
    baselines: BTreeMap<(u32, u32), Baseline>,
    excess: BTreeMap<(u32, u32), Excess>,
}

impl Links {
    /// Replaces the configured links, and keeps all observations.
    pub fn configure(&mut self, links: &[config::Link]) {
        self.baselines.clear();
        for link in links {
            let (from, to) = (self.number(&link.from), self.number(&link.to));
            let baseline = Baseline {
                latency_us: as_us(link.latency) as f64,
                us_per_byte: 1.0 / f64::from(link.megabytes_per_second.max(1)),
            };
            self.baselines.insert((from, to), baseline);
            self.baselines.insert((to, from), baseline);
        }
    }

    /// Returns the numbers of a host and its availability zone, assigning new ones if needed.
    pub fn location(&mut self, host: &name::Host, zone: &name::Zone) -> Location {
        Location { host: self.number(host.as_str()), zone: self.number(zone.as_str()) }
    }

    /// Estimates the microseconds to send `bytes` bytes from one host to another; 0 within a host.
    pub fn estimate(&self, now: Instant, from: Location, to: Location, bytes: f64) -> f64 {
        if from.host == to.host {
            return 0.0;
        }
        let baseline = self.baseline(from, to);
        baseline.latency_us + baseline.us_per_byte * bytes + self.excess(now, (from.host, to.host))
    }

    /// Corrects the excess of the links of `path`, on which the network took `network_us` in total.
    ///
    /// Since only the sum is known, each link is corrected by an equal part of the error (the
    /// projection step of Kaczmarz's method). Observations of other paths correct the healthy links
    /// back, so that the error remains with the link that all slow paths share.
    pub fn observe(&mut self, now: Instant, path: &[Location], bytes: f64, network_us: f64) {
        let remote = || path.windows(2).filter(|pair| pair[0].host != pair[1].host);
        let estimated: f64 = remote().map(|p| self.estimate(now, p[0], p[1], bytes)).sum();
        let error_us = (network_us - estimated) / remote().count().max(1) as f64;
        let pairs: Vec<_> = remote().map(|p| (p[0].host, p[1].host)).collect();
        for pair in pairs {
            self.excess.entry(pair).or_default().correct(now, HALF_LIFE, error_us);
        }
    }

    /// Returns the links whose excess is above the bound for degraded links.
    pub fn degraded(&self, now: Instant) -> Vec<Degraded> {
        let name = |number: u32| {
            let name = self.names.get(number as usize).map_or("", String::as_str);
            name::Host::from(name)
        };
        self.excess
            .iter()
            .map(|(&(from, to), excess)| (from, to, excess.current_us(now, HALF_LIFE)))
            .filter(|(_, _, us)| *us > MIN_DEGRADED_US.max(DEGRADED_FACTOR * DEFAULT_LATENCY_US))
            .map(|(from, to, us)| Degraded { from: name(from), to: name(to), excess_us: us as u64 })
            .collect()
    }

    /// Drops links whose excess has decayed to 1 µs or less, to bound the memory.
    pub fn prune(&mut self, now: Instant) {
        self.excess.retain(|_, excess| excess.current_us(now, HALF_LIFE) > 1.0);
    }

    fn excess(&self, now: Instant, pair: (u32, u32)) -> f64 {
        self.excess.get(&pair).map_or(0.0, |excess| excess.current_us(now, HALF_LIFE))
    }

    /// Returns the configured link between two hosts; one between hosts takes precedence over one
    /// between their availability zones.
    fn baseline(&self, from: Location, to: Location) -> Baseline {
        if self.baselines.is_empty() {
            return DEFAULT_BASELINE;
        }
        let ends = [
            (from.host, to.host),
            (from.host, to.zone),
            (from.zone, to.host),
            (from.zone, to.zone),
        ];
        ends.iter().find_map(|pair| self.baselines.get(pair)).copied().unwrap_or(DEFAULT_BASELINE)
    }

    /// Returns the number of a host or zone name, assigning the next one to a new name.
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
