//! The other replicas of the stages that this side serves.
//!
//! An order that changes what an engine holds takes a replica of its stage out of service, so the
//! reconciler has to know whether another replica is open.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::config::{Config, Endpoint, Kind};
use crate::message::Load;
use crate::name;
use crate::report_interval::Intervals;
use crate::time::Instant;

/// The other replicas of each engine's stage.
#[derive(Default)]
pub(super) struct Replicas {
    by_endpoint: BTreeMap<name::Endpoint, BTreeMap<name::Endpoint, Replica>>,
    intervals: Intervals,
}

/// An endpoint that serves the same stage.
struct Replica {
    host: name::Host,
    side_address: SocketAddr,
    /// Time of its last report; `None` if there is none, or if it said that it was not open.
    open_at: Option<Instant>,
}

impl Replicas {
    /// Applies a configuration. Keeps the state of replicas that it still contains.
    pub(super) fn configure(&mut self, host: &name::Host, config: &Config, intervals: Intervals) {
        self.intervals = intervals;
        let mut old = std::mem::take(&mut self.by_endpoint);
        for (name, endpoint) in config.endpoints.iter().filter(|(_, e)| e.host == *host) {
            let mut known = old.remove(name).unwrap_or_default();
            let others = config
                .endpoints
                .iter()
                .filter(|(other, e)| *other != name && !e.drain && is_same_stage(endpoint, e));
            let replicas = others.map(|(other, e)| {
                let open_at = known.remove(other).and_then(|replica| replica.open_at);
                (other.clone(), Replica { host: e.host.clone(), side_address: e.side, open_at })
            });
            self.by_endpoint.insert(name.clone(), replicas.collect());
        }
    }

    /// Returns the hosts of all replicas.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &name::Host> {
        self.by_endpoint.values().flat_map(|replicas| replicas.values().map(|r| &r.host))
    }

    /// Records a load report from the side of a replica.
    pub(super) fn record_load(&mut self, now: Instant, from: &name::Host, load: Load) {
        for replicas in self.by_endpoint.values_mut() {
            if let Some(replica) = replicas.get_mut(&load.endpoint).filter(|r| r.host == *from) {
                replica.open_at = load.open.then_some(now);
            }
        }
    }

    /// Returns how many replicas of the stage of `endpoint` have recently reported to be open.
    pub(super) fn count_open(&self, now: Instant, endpoint: &name::Endpoint) -> u32 {
        let is_open = |replica: &&Replica| {
            replica.open_at.is_some_and(|at| at + self.intervals.lifetime > now)
        };
        let replicas = self.by_endpoint.get(endpoint);
        let count = replicas.map_or(0, |replicas| replicas.values().filter(is_open).count());
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub(super) fn replicas(&self, endpoint: &name::Endpoint) -> Vec<(name::Host, SocketAddr)> {
        let replicas = self.by_endpoint.get(endpoint).into_iter().flat_map(BTreeMap::values);
        replicas.map(|replica| (replica.host.clone(), replica.side_address)).collect()
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
