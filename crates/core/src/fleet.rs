//! State of the endpoints as one process knows it, and the messages about it between entries.

pub mod contact;
pub mod departure;
pub mod freshness;
pub mod health;
pub mod lag;
pub mod leaving;
mod listing;
pub mod liveness;
pub mod message;
pub mod pace;
pub mod polling;
pub mod position;
pub mod presence;
pub mod reach;
pub mod recovery;
pub mod refusal;
pub mod resumption;
mod usability;
pub mod wait;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::time::Instant;
pub use contact::Contact;
pub use health::{Cause, UNHEALTHY_PERIOD};
pub use listing::Update;
pub use message::{Gossip, Incarnation, Load, Message, Topic};
pub use position::Position;

use crate::{name, placement};

/// Lifecycle state of a registered endpoint.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new work.
    Ready,
    /// Finishes its work in progress and then leaves.
    Draining,
}

/// Registration of an endpoint.
#[data]
pub struct Endpoint {
    /// Identifier of the endpoint.
    pub id: name::Endpoint,
    /// Service that it belongs to.
    pub service: name::Service,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: name::Zone,
    /// Whether it accepts new work.
    pub state: State,
    /// Unix time of its start in milliseconds, which identifies its incarnation.
    pub born: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of heartbeats that it has registered since its start.
    pub heartbeat: u64,
    /// Number of orders to load layers that it is known to have accepted since its start.
    pub orders: u64,
    /// Kind of accelerator, as named in the operator's configuration; absent if unknown.
    pub accelerator: Option<String>,
    /// Model layers that it holds.
    pub layers: placement::Range,
}

impl Endpoint {
    /// Returns the run of the endpoint that the registration is of.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { endpoint: self.id.clone(), born: self.born }
    }
}

/// All registered endpoints at one position of the platform's store.
#[data]
#[derive(Default)]
pub struct Listing {
    /// Position of the store.
    #[serde(rename = "revision")]
    pub position: Position,
    /// The endpoints by identifier.
    pub endpoints: BTreeMap<name::Endpoint, Endpoint>,
}

/// State that an endpoint reported directly, without the store.
#[derive(Clone, Copy, Debug)]
struct Report {
    born: u64,
    layers: placement::Range,
    orders: u64,
    /// Heartbeat of the listed registration at the time of the report.
    heartbeat: u64,
}

/// State of the endpoints as one process knows it, from all sources.
#[derive(Debug, Default)]
pub struct View {
    /// The last listing, with the endpoints in `unregistered`.
    listing: Listing,
    listed_at: Option<Instant>,
    /// Endpoints that are missing from the last listing and may still register again.
    unregistered: BTreeSet<name::Endpoint>,
    reports: BTreeMap<name::Endpoint, Report>,
    health: health::Health,
    leaving: leaving::Leaving,
    pauses: refusal::Pauses,
    waits: wait::Waits,
    paces: pace::Paces,
    recovery: recovery::Recovery,
    departures: departure::Departures,
    /// Interval at which endpoints register.
    heartbeat: Duration,
}

impl View {
    /// Creates a view without endpoints, which register every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self { heartbeat, ..Self::default() }
    }

    /// Records layers that an endpoint reported directly, and the number of orders that it had
    /// accepted.
    ///
    /// Ignores reports of another incarnation or from before a known order. Returns whether anything
    /// changed, also since the last report: other entries that were told of that one still go by it.
    pub fn record_layers(
        &mut self,
        incarnation: &Incarnation,
        layers: placement::Range,
        orders: u64,
    ) -> bool {
        let Some(endpoint) = self.listing.endpoints.get_mut(&incarnation.endpoint) else {
            return false;
        };
        if endpoint.born != incarnation.born || orders < endpoint.orders {
            return false;
        }
        let last = self.reports.get(&incarnation.endpoint).filter(|r| r.born == incarnation.born);
        let differs = last.is_some_and(|r| r.layers != layers || r.orders != orders);
        let changed = differs || endpoint.layers != layers || endpoint.orders != orders;
        endpoint.layers = layers;
        endpoint.orders = orders;
        let heartbeat = endpoint.heartbeat;
        let report = Report { born: incarnation.born, layers, orders, heartbeat };
        self.reports.insert(incarnation.endpoint.clone(), report);
        changed
    }

    /// Creates the view of the entry `host`.
    pub fn of_entry(host: name::Host, heartbeat: Duration) -> Self {
        Self { health: health::Health::of_entry(host), ..Self::new(heartbeat) }
    }

    /// Marks an endpoint as unhealthy and returns whether it was healthy before.
    ///
    /// The period counts from `seen_at`, the time of the finding, so that entries that forward
    /// findings to each other do not renew them.
    pub fn mark_unhealthy(
        &mut self,
        incarnation: &Incarnation,
        cause: Cause,
        seen_at: Instant,
        now: Instant,
    ) -> bool {
        let was_unhealthy = self.is_unhealthy(&incarnation.endpoint, now);
        self.health.record(incarnation, cause, seen_at);
        !was_unhealthy && self.is_unhealthy(&incarnation.endpoint, now)
    }

    /// Records that an endpoint did not answer the entry `by`, one of `entries` entries.
    ///
    /// Several entries must agree. Returns whether this marks the endpoint as unhealthy.
    pub fn suspect(
        &mut self,
        incarnation: &Incarnation,
        by: name::Host,
        entries: usize,
        now: Instant,
    ) -> bool {
        let is_agreed = self.health.suspect(incarnation, by, entries, now);
        is_agreed && self.mark_unhealthy(incarnation, Cause::Silent, now, now)
    }

    /// Records that an endpoint answered this entry again after a silence, and returns whether this makes
    /// it healthy.
    pub fn record_answer(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        self.health.answered(incarnation, now)
    }

    /// Records that an endpoint answered the entry `to` again after a silence, and returns whether this makes it healthy.
    pub fn hear_answer(&mut self, incarnation: &Incarnation, to: name::Host, now: Instant) -> bool {
        self.health.hear_answer(incarnation, to, now)
    }

    /// Records that a probe of a silent endpoint by this entry reached nobody, and returns whether that is a reason to
    /// suspect the endpoint. It is not if the endpoint answers others.
    pub fn record_unreachable(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        self.health.record_unreachable(incarnation, now)
    }

    /// Returns the silent endpoints that the entry `host` is to ask again, with their addresses. `turn` says whether it
    /// is its turn to ask one that it has not found silent itself, by the time since the finding.
    pub fn to_ask_again(
        &self,
        host: &name::Host,
        turn: impl Fn(&name::Endpoint, Duration) -> bool,
        now: Instant,
    ) -> Vec<(Incarnation, SocketAddr)> {
        let silent = self.health.to_ask_again(host, turn, now);
        let listed = silent.into_iter().filter_map(|incarnation| {
            let endpoint = self.get(&incarnation.endpoint)?;
            Some((incarnation, endpoint.address))
        });
        listed.collect()
    }

    /// Returns the unhealthy endpoints that entries tell each other, with the age of the findings in milliseconds.
    pub fn unhealthy(&self, now: Instant) -> Vec<(Incarnation, u64)> {
        self.health.unhealthy(now)
    }

    /// Sends no new work to an endpoint that refused a request, for a while ([`refusal`]).
    ///
    /// Returns whether the endpoint was not paused before.
    pub fn pause(&mut self, endpoint: &name::Endpoint, now: Instant) -> bool {
        self.pauses.record(endpoint, now)
    }

    /// Returns whether an endpoint is treated as unhealthy.
    ///
    /// A finding about one incarnation does not apply to later ones.
    pub fn is_unhealthy(&self, id: &name::Endpoint, now: Instant) -> bool {
        self.unhealthy_cause(id, now).is_some()
    }

    /// Returns how an endpoint was found to be unhealthy, or `None` if it is healthy.
    pub fn unhealthy_cause(&self, id: &name::Endpoint, now: Instant) -> Option<Cause> {
        self.health.cause(id, self.get(id).map(|e| e.born), now)
    }

    /// Records the pace that an endpoint reported, and returns whether it became slow or ceased to
    /// be.
    pub fn record_pace(&mut self, incarnation: &Incarnation, pace: f64, now: Instant) -> bool {
        self.paces.record(incarnation, pace, now)
    }

    /// Returns whether an endpoint runs much more slowly than its kind, by its last reports.
    pub fn is_slow(&self, id: &name::Endpoint, now: Instant) -> bool {
        self.get(id).is_some_and(|e| self.paces.is_slow(id, e.born, now))
    }

    /// Returns an endpoint, or `None` if it is not listed.
    pub fn get(&self, id: &name::Endpoint) -> Option<&Endpoint> {
        self.listing.endpoints.get(id)
    }

    /// Returns all listed endpoints of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.listing.endpoints.values().filter(move |e| e.service == *service)
    }

    /// Returns the known endpoints, including those that may still register again.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Returns the last listing, as it is sent to other entries: without endpoints that are missing
    /// from it, whose time to register again each entry knows for itself.
    pub fn registered(&self) -> Listing {
        let mut listing = self.listing.clone();
        listing.endpoints.retain(|id, _| !self.unregistered.contains(id));
        listing
    }

    /// Returns whether an endpoint is in the last listing.
    pub fn is_registered(&self, id: &name::Endpoint) -> bool {
        self.get(id).is_some() && !self.unregistered.contains(id)
    }

    /// Returns whether endpoints that are not listed may still register again after an outage of
    /// the store.
    pub fn is_recovering(&self, now: Instant) -> bool {
        self.recovery.is_running(now)
    }

    /// Returns whether `plan` has a stage that is not listed but may still register again.
    pub fn may_reregister(&self, plan: &placement::Plan, now: Instant) -> bool {
        let mut stages = plan.services.values().flatten().flat_map(|c| &c.stages);
        self.is_recovering(now) && stages.any(|s| self.get(&s.endpoint).is_none())
    }

    /// Returns when the listing was read, or `None` if there is none yet.
    pub fn listed_at(&self) -> Option<Instant> {
        self.listed_at
    }

    /// Returns the age of the listing, or `None` if there is none yet.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.listed_at.map(|at| now.since(at))
    }
}
