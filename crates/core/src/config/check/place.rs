//! Addresses, hosts, availability zones and the links between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Part, list};
use crate::config::Config;
use crate::config::fault::{Fault, Reason};
use crate::name;

/// Longest one-way latency that a link may have.
const LATENCY_LIMIT: Duration = Duration::from_secs(10);

/// Finds addresses that clash and links that lead nowhere.
pub(super) fn run(config: &Config, faults: &mut Vec<Fault>) {
    check_hosts(config, faults);
    check_addresses(config, faults);
    check_links(config, faults);
}

/// All endpoints of a host are served by one side, in one availability zone.
fn check_hosts(config: &Config, faults: &mut Vec<Fault>) {
    let mut hosts = BTreeMap::new();
    for (name, endpoint) in &config.endpoints {
        let mut part = Part::new(faults, "endpoints", name);
        let (first, side, zone) =
            *hosts.entry(&endpoint.host).or_insert((name, endpoint.side, &endpoint.zone));
        if side != endpoint.side {
            let allowed = format!("{side}, as at {first} on the same host");
            part.fault("side", Reason::Contradiction, endpoint.side, allowed);
        }
        if *zone != endpoint.zone {
            let allowed = format!("{zone}, as at {first} on the same host");
            part.fault("zone", Reason::Contradiction, &endpoint.zone, allowed);
        }
    }
}

/// No two processes listen at one address.
fn check_addresses(config: &Config, faults: &mut Vec<Fault>) {
    let mut users: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let mut claim = |part: &mut Part<'_>, key: &str, address: SocketAddr, user: String| {
        if address.port() == 0 {
            part.fault(key, Reason::Range, address, "a port from 1 to 65535");
        }
        let owner = users.entry(address).or_insert_with(|| user.clone());
        if *owner != user {
            let allowed = format!("an address of its own; {owner} has this one");
            part.fault(key, Reason::Contradiction, address, allowed);
        }
    };
    for (name, endpoint) in &config.endpoints {
        let mut part = Part::new(faults, "endpoints", name);
        claim(&mut part, "address", endpoint.address, format!("endpoint {name}"));
        claim(&mut part, "side", endpoint.side, format!("the side of host {}", endpoint.host));
    }
    for (host, entry) in &config.entries {
        let mut part = Part::new(faults, "entries", host);
        claim(&mut part, "address", entry.address, format!("the entry of host {host}"));
    }
}

fn check_links(config: &Config, faults: &mut Vec<Fault>) {
    let known = ends(config);
    let mut seen = BTreeSet::new();
    for (index, link) in config.links.iter().enumerate() {
        let mut part = Part::new(faults, "links", format!("links[{index}]"));
        for (key, end) in [("from", &link.from), ("to", &link.to)] {
            if !known.contains(end.as_str()) {
                part.fault(key, Reason::Name, end, list(known.iter()));
            }
        }
        part.range("megabytes-per-second", link.megabytes_per_second, 1..=u32::MAX);
        if link.latency > LATENCY_LIMIT {
            let found = humantime::format_duration(link.latency);
            part.fault("latency", Reason::Range, found, "0s to 10s");
        }
        let pair =
            if link.from <= link.to { (&link.from, &link.to) } else { (&link.to, &link.from) };
        if !seen.insert(pair) {
            let found = format!("{} to {}", link.from, link.to);
            part.fault("", Reason::Contradiction, found, "one link between two ends");
        }
    }
}

/// The hosts and availability zones between which links may run.
fn ends(config: &Config) -> BTreeSet<&str> {
    let endpoints = config.endpoints.values();
    let sides = endpoints.flat_map(|e| [e.host.as_str(), e.zone.as_str()]);
    let entries = config.entries.iter();
    sides.chain(entries.flat_map(|(host, e)| [name::Host::as_str(host), e.zone.as_str()])).collect()
}
