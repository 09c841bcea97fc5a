//! What is known of the endpoints, and what entries tell each other about it.

pub mod lag;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::time::Instant;
use crate::{name, placement, route};

/// Whether an endpoint takes new work.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One endpoint as it registered itself.
#[data]
pub struct Endpoint {
    /// Its identity.
    pub id: name::Endpoint,
    /// The service that it belongs to.
    pub service: name::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Whether it takes new work.
    pub state: State,
    /// Unix time of its start in milliseconds; another start is another value.
    pub born: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Heartbeats that it has registered since its start.
    pub heartbeat: u64,
    /// Orders that it has accepted since its start, as far as is known.
    pub orders: u64,
    /// Kind of accelerator, as the operator's configuration names it.
    pub accelerator: Option<String>,
    /// The layers that it holds.
    pub layers: placement::Range,
}

/// All endpoints at one revision of the platform's store.
#[data]
#[derive(Default)]
pub struct Listing {
    /// Revision of the store.
    pub revision: u64,
    /// The endpoints by identity.
    pub endpoints: BTreeMap<name::Endpoint, Endpoint>,
}

/// Work in progress on one chain, by the first endpoint of the chain.
#[data]
pub struct Load {
    /// First endpoint of the chain.
    pub head: name::Endpoint,
    /// Requests in progress.
    pub requests: u32,
    /// Tokens that they hold or are expected to hold.
    pub tokens: u64,
    /// Tokens of prompts whose requests have had no event yet.
    #[serde(rename = "reading")]
    pub prefill: u64,
    /// How much more slowly than estimated its events come to the sender.
    pub factor: f64,
}

/// An endpoint that does not do its work although it is registered.
#[data]
pub struct Incarnation {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its start; a later one is not doubted.
    pub born: u64,
}

/// What an entry tells the others several times a second.
#[data]
pub struct Gossip {
    /// Version of the routing table, 0 if there is none.
    pub table: u64,
    /// Revision of the plan, 0 if there is none.
    pub plan: u64,
    /// Age of the listing in milliseconds.
    pub listing_age_ms: u64,
    /// The sender's work in progress.
    pub loads: Vec<Load>,
    /// Endpoints that the sender holds not to work, with the age of that in milliseconds.
    #[serde(rename = "doubts")]
    pub unhealthy: Vec<(Incarnation, u64)>,
}

/// What an entry may ask another one for.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The routing table.
    Table,
    /// The plan.
    Plan,
    /// The registrations.
    Listing,
}

/// Any message between entries about endpoints and configuration.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Several times a second.
    #[serde(rename = "news")]
    Gossip(Gossip),
    /// The sender is behind and asks for what the receiver has.
    Want(Topic),
    /// A routing table that the receiver asked for.
    Table(Box<route::Table>),
    /// A plan that is new, or that the receiver asked for.
    Plan(placement::Plan),
    /// A listing that the receiver asked for, and its age in milliseconds.
    Listing(Listing, u64),
    /// Layers that an endpoint was seen to hold, and the orders that it had accepted by then.
    Held(Incarnation, placement::Range, u64),
    /// The sender has ordered an endpoint to hold layers and follows it, for at most so many
    /// milliseconds.
    Ordered(Incarnation, placement::Range, u64),
    /// An endpoint that was seen not to work.
    #[serde(rename = "doubt")]
    Unhealthy(Incarnation),
    /// An endpoint that did not answer the sender, which may be the sender's own fault.
    Suspicion(Incarnation),
}

/// How long a doubt about an endpoint lasts without being renewed.
pub const UNHEALTHY_PERIOD: Duration = Duration::from_secs(6);

/// What an endpoint itself said.
#[derive(Clone, Copy, Debug)]
struct Report {
    born: u64,
    layers: placement::Range,
    orders: u64,
    /// The heartbeat that was listed by then.
    heartbeat: u64,
}

/// Heartbeats after a report from which on a registration is newer than it for certain.
const NEWER_BY_HEARTBEATS: u64 = 2;

/// What one process knows of the endpoints, from all sources.
#[derive(Debug, Default)]
pub struct View {
    listing: Listing,
    listed_at: Option<Instant>,
    reports: BTreeMap<name::Endpoint, Report>,
    unhealthy: BTreeMap<name::Endpoint, (u64, Instant)>,
    suspicions: BTreeMap<name::Endpoint, BTreeMap<name::Host, (u64, Instant)>>,
    draining: BTreeMap<name::Endpoint, Instant>,
    paused: BTreeMap<name::Endpoint, Instant>,
    /// Until when endpoints that are missing from a listing may still come back.
    recovering_until: Option<Instant>,
    /// Before the first listing there may have been an outage, too.
    first_listed_at: Option<Instant>,
}

/// Time within which suspicions of several entries count together.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Entries that must suspect an endpoint: two, and one more for each so many entries.
const ENTRIES_PER_EXTRA_SUSPICION: usize = 10;

/// Time between two listings from which on leases may have run out in between.
const OUTAGE_GAP: Duration = Duration::from_millis(1500);

/// Time after an outage of the store in which endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2300);

/// How long an endpoint that refused gets no new work.
const PAUSE_PERIOD: Duration = Duration::from_millis(400);

impl View {
    /// Takes over a listing that was true at `read`; returns whether anything changed.
    pub fn update_listing(&mut self, mut listing: Listing, read_at: Instant) -> bool {
        if listing.revision < self.listing.revision {
            return false;
        }
        self.first_listed_at.get_or_insert(read_at);
        if self.listed_at.is_some_and(|at| read_at.since(at) > OUTAGE_GAP) {
            self.recovering_until = Some(read_at + REREGISTRATION_PERIOD);
        }
        if self.listed_at.is_none_or(|at| at < read_at) {
            self.listed_at = Some(read_at);
        }
        if self.recovering_until.is_some_and(|until| read_at < until) {
            for (id, endpoint) in &self.listing.endpoints {
                listing.endpoints.entry(id.clone()).or_insert_with(|| endpoint.clone());
            }
        }
        for endpoint in listing.endpoints.values_mut() {
            self.apply_report(endpoint);
        }
        let endpoints = &listing.endpoints;
        self.reports.retain(|id, _| endpoints.contains_key(id));
        self.draining.retain(|id, _| endpoints.contains_key(id));
        self.paused.retain(|id, _| endpoints.contains_key(id));
        for endpoint in endpoints.values().filter(|e| e.state == State::Draining) {
            self.draining.entry(endpoint.id.clone()).or_insert(read_at);
        }
        let changed = self.listing.endpoints != listing.endpoints;
        self.listing = listing;
        changed
    }

    /// Notes layers that an endpoint itself reported, with the orders it had accepted by then.
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
        let changed = endpoint.layers != layers || endpoint.orders != orders;
        endpoint.layers = layers;
        endpoint.orders = orders;
        let heartbeat = endpoint.heartbeat;
        let report = Report { born: incarnation.born, layers, orders, heartbeat };
        self.reports.insert(incarnation.endpoint.clone(), report);
        changed
    }

    /// Notes that an endpoint does not work; returns whether that is new.
    ///
    /// What was `seen_at` an earlier time counts from then on, so that entries that pass doubts on
    /// to each other do not renew them.
    pub fn mark_unhealthy(
        &mut self,
        incarnation: &Incarnation,
        seen_at: Instant,
        now: Instant,
    ) -> bool {
        let was_unhealthy = self.is_unhealthy(&incarnation.endpoint, now);
        let known = self.unhealthy.get(&incarnation.endpoint);
        if known.is_none_or(|(born, at)| (*born, *at) < (incarnation.born, seen_at)) {
            self.unhealthy.insert(incarnation.endpoint.clone(), (incarnation.born, seen_at));
        }
        !was_unhealthy && self.is_unhealthy(&incarnation.endpoint, now)
    }

    /// Notes that an endpoint did not answer one of `entries` entries; returns whether it is
    /// doubted from now on.
    ///
    /// An entry that is slow, or whose link is, hears no answer from endpoints that work: it takes
    /// several to doubt one.
    pub fn suspect(
        &mut self,
        incarnation: &Incarnation,
        by: name::Host,
        entries: usize,
        now: Instant,
    ) -> bool {
        let suspicions = self.suspicions.entry(incarnation.endpoint.clone()).or_default();
        suspicions.retain(|_, (_, at)| now.since(*at) < SUSPICION_PERIOD);
        suspicions.insert(by, (incarnation.born, now));
        let agreeing = suspicions.values().filter(|(born, _)| *born == incarnation.born).count();
        let needed = if entries <= 1 { 1 } else { 2 + entries / ENTRIES_PER_EXTRA_SUSPICION };
        agreeing >= needed && self.mark_unhealthy(incarnation, now, now)
    }

    /// Doubts that hold, with their age in milliseconds.
    pub fn unhealthy(&self, now: Instant) -> Vec<(Incarnation, u64)> {
        let fresh = self.unhealthy.iter().filter(|(_, (_, at))| now.since(*at) < UNHEALTHY_PERIOD);
        let reported = fresh.map(|(id, (born, at))| {
            let incarnation = Incarnation { endpoint: id.clone(), born: *born };
            (incarnation, now.since(*at).as_millis() as u64)
        });
        reported.collect()
    }

    /// Gives an endpoint that refused no new work for a while; returns whether that is new.
    pub fn pause(&mut self, endpoint: &name::Endpoint, now: Instant) -> bool {
        let is_new = !self.is_paused(endpoint, now);
        self.paused.insert(endpoint.clone(), now);
        is_new
    }

    fn is_paused(&self, endpoint: &name::Endpoint, now: Instant) -> bool {
        self.paused.get(endpoint).is_some_and(|at| now.since(*at) < PAUSE_PERIOD)
    }

    /// Whether an endpoint is held not to work.
    pub fn is_unhealthy(&self, id: &name::Endpoint, now: Instant) -> bool {
        let Some((born, at)) = self.unhealthy.get(id) else {
            return false;
        };
        // One that is not listed any more may still be asked about by requests in progress.
        let same = self.get(id).is_none_or(|e| e.born == *born);
        same && now.since(*at) < UNHEALTHY_PERIOD
    }

    /// The endpoint, if it is listed.
    pub fn get(&self, id: &name::Endpoint) -> Option<&Endpoint> {
        self.listing.endpoints.get(id)
    }

    /// All listed endpoints of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.listing.endpoints.values().filter(move |e| e.service == *service)
    }

    /// Whether new work may go to an endpoint: listed, not doubted, and not leaving for longer
    /// than `grace`.
    pub fn is_usable(&self, id: &name::Endpoint, grace: Duration, now: Instant) -> bool {
        let leaving = self.draining.get(id).is_some_and(|since| now.since(*since) >= grace);
        let held_off = self.is_unhealthy(id, now) || self.is_paused(id, now);
        self.get(id).is_some() && !leaving && !held_off
    }

    /// Whether an endpoint is expected to stay.
    pub fn is_ready(&self, id: &name::Endpoint, now: Instant) -> bool {
        let is_ready = self.get(id).is_some_and(|e| e.state == State::Ready);
        is_ready && !self.is_unhealthy(id, now)
    }

    /// Whether time alone changes nothing in what can be used: no doubt, pause or leave runs out.
    pub fn has_no_pending_expiry(&self, grace: Duration, now: Instant) -> bool {
        let is_over = |at: &Instant, period: Duration| now.since(*at) >= period;
        self.unhealthy.values().all(|(_, at)| is_over(at, UNHEALTHY_PERIOD))
            && self.paused.values().all(|at| is_over(at, PAUSE_PERIOD))
            && self.draining.values().all(|at| is_over(at, grace))
    }

    /// The listing as it is, to be passed on.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Whether endpoints that are not listed may still come back, since the store was away.
    pub fn is_recovering(&self, now: Instant) -> bool {
        let first = self.first_listed_at.map(|at| at + REREGISTRATION_PERIOD);
        self.recovering_until.max(first).is_some_and(|until| now < until)
    }

    /// Whether a stage of `plan` is not listed and may just not have come back yet.
    pub fn may_reregister(&self, plan: &placement::Plan, now: Instant) -> bool {
        let mut stages = plan.services.values().flatten().flat_map(|c| &c.stages);
        self.is_recovering(now) && stages.any(|s| self.get(&s.endpoint).is_none())
    }

    /// How old the listing is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.listed_at.map(|at| now.since(at))
    }

    /// Prefers what an endpoint itself reported over a registration written before that.
    fn apply_report(&self, endpoint: &mut Endpoint) {
        let Some(report) = self.reports.get(&endpoint.id) else {
            return;
        };
        if report.born != endpoint.born {
            return;
        }
        endpoint.orders = report.orders;
        if endpoint.heartbeat < report.heartbeat + NEWER_BY_HEARTBEATS {
            endpoint.layers = report.layers;
        }
    }
}
