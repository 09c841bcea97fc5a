//! Checks of hosts, availability zones, addresses and links.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Checker, join_names};
use crate::config::Config;
use crate::config::fault::{Fault, Reason};
use crate::name;

/// Longest one-way latency that a link may have.
const LATENCY_LIMIT: Duration = Duration::from_secs(10);

/// Finds hosts with contradictory settings, addresses that are used twice and invalid links.
pub(super) fn run(config: &Config, faults: &mut Vec<Fault>) {
    check_hosts(config, faults);
    check_addresses(config, faults);
    check_links(config, faults);
}

/// Checks that all endpoints of a host have the same side and availability zone.
fn check_hosts(config: &Config, faults: &mut Vec<Fault>) {
    let mut hosts = BTreeMap::new();
    for (name, endpoint) in &config.endpoints {
        let mut checker = Checker::new(faults, "endpoints", name);
        let (first, side, zone) =
            *hosts.entry(&endpoint.host).or_insert((name, endpoint.side, &endpoint.zone));
        if side != endpoint.side {
            let allowed = format!("{side}, as endpoint {first} on the same host has");
            checker.fault("side", Reason::Contradiction, endpoint.side, allowed);
        }
        if *zone != endpoint.zone {
            let allowed = format!("{zone}, as endpoint {first} on the same host has");
            checker.fault("zone", Reason::Contradiction, &endpoint.zone, allowed);
        }
    }
}

/// Checks that no two processes listen at the same address.
fn check_addresses(config: &Config, faults: &mut Vec<Fault>) {
    let mut listeners: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let mut check_address =
        |checker: &mut Checker<'_>, key: &str, address: SocketAddr, listener: String| {
            if address.port() == 0 {
                checker.fault(key, Reason::Range, address, "a port from 1 to 65535");
            }
            let owner = listeners.entry(address).or_insert_with(|| listener.clone());
            if *owner != listener {
                let allowed = format!("an address that nothing else uses; {owner} has this one");
                checker.fault(key, Reason::Contradiction, address, allowed);
            }
        };
    for (name, endpoint) in &config.endpoints {
        let mut checker = Checker::new(faults, "endpoints", name);
        check_address(&mut checker, "address", endpoint.address, format!("endpoint {name}"));
        check_address(
            &mut checker,
            "side",
            endpoint.side,
            format!("the side of host {}", endpoint.host),
        );
    }
    for (host, entry) in &config.entries {
        let mut checker = Checker::new(faults, "entries", host);
        check_address(&mut checker, "address", entry.address, format!("the entry of host {host}"));
    }
}

fn check_links(config: &Config, faults: &mut Vec<Fault>) {
    let known = link_ends(config);
    let mut seen = BTreeSet::new();
    for (index, link) in config.links.iter().enumerate() {
        let mut checker = Checker::new(faults, "links", format!("links[{index}]"));
        for (key, end) in [("from", &link.from), ("to", &link.to)] {
            if !known.contains(end.as_str()) {
                checker.fault(key, Reason::Name, end, join_names(known.iter()));
            }
        }
        checker.range("megabytes-per-second", link.megabytes_per_second, 1..=u32::MAX);
        if link.latency > LATENCY_LIMIT {
            let found = humantime::format_duration(link.latency);
            checker.fault("latency", Reason::Range, found, "0s to 10s");
        }
        let pair =
            if link.from <= link.to { (&link.from, &link.to) } else { (&link.to, &link.from) };
        if !seen.insert(pair) {
            let found = format!("{} to {}", link.from, link.to);
            checker.fault("", Reason::Contradiction, found, "one link for each pair of ends");
        }
    }
}

/// Returns the hosts and availability zones that a link may connect.
fn link_ends(config: &Config) -> BTreeSet<&str> {
    let endpoints = config.endpoints.values();
    let sides = endpoints.flat_map(|e| [e.host.as_str(), e.zone.as_str()]);
    let entries = config.entries.iter();
    sides.chain(entries.flat_map(|(host, e)| [name::Host::as_str(host), e.zone.as_str()])).collect()
}
