//! Feeds the state of hosts, from the host list and from connections, into the choice of
//! endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::Config;
use crate::membership::Listing;
use crate::name;
use crate::time::Instant;

use super::Machine;

/// Interval at which hosts are assessed.
const ASSESS_INTERVAL: Duration = Duration::from_millis(500);

impl Machine {
    /// Updates the directory from the host list.
    pub(super) fn on_host_list(&mut self, now: Instant, list: &BTreeMap<name::Host, Listing>) {
        self.directory.on_host_list(now, list);
        self.assess_hosts(now);
    }

    /// Assesses the hosts if `ASSESS_INTERVAL` has passed.
    pub(super) fn tick_directory(&mut self, now: Instant) {
        if now.since(self.last_assessed) >= ASSESS_INTERVAL {
            self.assess_hosts(now);
        }
    }

    /// Gives the planner the current eligibility of each endpoint's host.
    pub(super) fn assess_hosts(&mut self, now: Instant) {
        self.last_assessed = now;
        for (name, endpoint) in &self.config.endpoints {
            let eligibility = self.directory.eligibility(now, &endpoint.host);
            self.planner.set_eligibility(name, eligibility);
        }
    }
}

/// Returns the hosts of a configuration's endpoints.
pub(super) fn endpoint_hosts(config: &Config) -> Vec<name::Host> {
    let hosts: BTreeSet<&name::Host> = config.endpoints.values().map(|e| &e.host).collect();
    hosts.into_iter().cloned().collect()
}
