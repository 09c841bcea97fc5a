//! Which other entries are running, and when they get new connections, by their gossip.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name;
use crate::time::Instant;

/// Time without gossip after which an entry counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// The last gossip of one entry.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    ready_at: Instant,
}

/// When other entries sent gossip last.
#[derive(Debug, Default)]
pub struct Liveness {
    heard: BTreeMap<name::Host, Heard>,
}

impl Liveness {
    /// Records gossip of an entry that gets new connections in `ready_in`.
    pub fn record(&mut self, host: name::Host, ready_in: Duration, now: Instant) {
        self.heard.insert(host, Heard { at: now, ready_at: now + ready_in });
    }

    /// Returns whether any entry has sent gossip.
    pub fn has_heard(&self) -> bool {
        !self.heard.is_empty()
    }

    /// Returns whether an entry sent gossip recently.
    pub fn is_live(&self, host: &name::Host, now: Instant) -> bool {
        self.heard.get(host).is_some_and(|heard| is_recent(heard, now))
    }

    /// Returns the entries among which work is shared: the registered ones in `hosts` and those that sent
    /// gossip recently.
    ///
    /// Entries that stopped to send gossip do not count, so that nobody waits for them. An entry that
    /// hears of only a minority may itself be cut off and counts them all: what it knows may be old.
    pub fn acting<'a>(
        &'a self,
        hosts: impl Iterator<Item = &'a name::Host>,
        now: Instant,
    ) -> Vec<&'a name::Host> {
        let heard = self.heard.iter().filter(|(_, heard)| is_recent(heard, now));
        let all: BTreeSet<_> = hosts.chain(heard.map(|(host, _)| host)).collect();
        let live = all.iter().filter(|host| self.is_live(host, now)).count();
        let is_cut_off = live * 2 < all.len();
        all.into_iter().filter(|host| is_cut_off || self.is_live(host, now)).collect()
    }

    /// Returns the number of [`Liveness::acting`] entries for which `is_before` holds, and which act before
    /// this one where one of them suffices.
    pub fn rank<'a>(
        &'a self,
        hosts: impl Iterator<Item = &'a name::Host>,
        is_before: impl Fn(&name::Host) -> bool,
        now: Instant,
    ) -> usize {
        self.acting(hosts, now).into_iter().filter(|host| is_before(host)).count()
    }

    /// Returns the time after which the first of the other entries gets new connections, or `None`
    /// if none is known.
    ///
    /// An entry that restarts is silent in between, so one that told when it will be ready counts
    /// until then.
    pub fn ready_in(&self, now: Instant) -> Option<Duration> {
        let is_known = |heard: &&Heard| is_recent(heard, now) || heard.ready_at > now;
        let known = self.heard.values().filter(is_known);
        known.map(|heard| heard.ready_at.since(now)).min()
    }
}

fn is_recent(heard: &Heard, now: Instant) -> bool {
    now.since(heard.at) < SILENCE_LIMIT
}
