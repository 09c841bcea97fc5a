//! What the host list and connections say of hosts, and what follows for the choice of endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::Config;
use crate::membership::Listing;
use crate::name;
use crate::time::Instant;

use super::Machine;

/// Interval at which hosts are judged anew.
const JUDGE: Duration = Duration::from_millis(500);

impl Machine {
    /// Takes the host list in.
    pub(super) fn on_list(&mut self, now: Instant, list: &BTreeMap<name::Host, Listing>) {
        self.directory.on_list(now, list);
        self.judge(now);
    }

    /// Judges the hosts if it is time to.
    pub(super) fn tick_directory(&mut self, now: Instant) {
        if now.since(self.judged) >= JUDGE {
            self.judge(now);
        }
    }

    pub(super) fn judge(&mut self, now: Instant) {
        self.judged = now;
        for (name, endpoint) in &self.config.endpoints {
            let standing = self.directory.standing(now, &endpoint.host);
            self.planner.set_standing(name, standing);
        }
    }
}

/// The hosts of a configuration's endpoints.
pub(super) fn named(config: &Config) -> Vec<name::Host> {
    let hosts: BTreeSet<&name::Host> = config.endpoints.values().map(|e| &e.host).collect();
    hosts.into_iter().cloned().collect()
}
