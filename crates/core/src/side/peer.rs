//! The other replicas of the stages that this side serves, for orders that must leave one standing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::config::{Config, Endpoint, Kind};
use crate::message::Load;
use crate::name;
use crate::report_interval::Intervals;
use crate::time::Instant;

/// The other replicas, by endpoint of this side.
#[derive(Default)]
pub(super) struct Peers {
    replicas: BTreeMap<name::Endpoint, BTreeMap<name::Endpoint, Replica>>,
    intervals: Intervals,
}

struct Replica {
    host: name::Host,
    side: SocketAddr,
    /// When it last said that it was open.
    open: Option<Instant>,
}

impl Peers {
    /// Takes in a configuration; what is known of replicas that stay is kept.
    pub(super) fn configure(&mut self, host: &name::Host, config: &Config, intervals: Intervals) {
        self.intervals = intervals;
        let mut old = std::mem::take(&mut self.replicas);
        for (name, endpoint) in config.endpoints.iter().filter(|(_, e)| e.host == *host) {
            let mut known = old.remove(name).unwrap_or_default();
            let others = config
                .endpoints
                .iter()
                .filter(|(other, e)| *other != name && !e.drain && is_same_stage(endpoint, e));
            let replicas = others.map(|(other, e)| {
                let open = known.remove(other).and_then(|replica| replica.open);
                (other.clone(), Replica { host: e.host.clone(), side: e.side, open })
            });
            self.replicas.insert(name.clone(), replicas.collect());
        }
    }

    /// The hosts of all replicas.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &name::Host> {
        self.replicas.values().flat_map(|replicas| replicas.values().map(|r| &r.host))
    }

    /// A replica's side reports its load.
    pub(super) fn heard(&mut self, now: Instant, from: &name::Host, load: Load) {
        for replicas in self.replicas.values_mut() {
            if let Some(replica) = replicas.get_mut(&load.endpoint).filter(|r| r.host == *from) {
                replica.open = load.open.then_some(now);
            }
        }
    }

    /// Replicas that said lately that they are open.
    pub(super) fn serving(&self, now: Instant, endpoint: &name::Endpoint) -> u32 {
        let serves =
            |replica: &&Replica| replica.open.is_some_and(|at| at + self.intervals.lifetime > now);
        let replicas = self.replicas.get(endpoint);
        let count = replicas.map_or(0, |replicas| replicas.values().filter(serves).count());
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub(super) fn replicas(&self, endpoint: &name::Endpoint) -> Vec<(name::Host, SocketAddr)> {
        let replicas = self.replicas.get(endpoint).into_iter().flat_map(BTreeMap::values);
        replicas.map(|replica| (replica.host.clone(), replica.side)).collect()
    }
}

fn is_same_stage(a: &Endpoint, b: &Endpoint) -> bool {
    match (&a.kind, &b.kind) {
        (
            Kind::Engine { model, first_layer, end_layer, .. },
            Kind::Engine { model: other, first_layer: first, end_layer: end, .. },
        ) => model == other && first_layer == first && end_layer == end,
        _ => false,
    }
}
