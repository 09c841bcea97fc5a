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
    pub reading: u64,
    /// How much more slowly than estimated its events come to the sender.
    pub factor: f64,
}

/// An endpoint that does not do its work although it is registered.
#[data]
pub struct Doubt {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its start; a later one is not doubted.
    pub born: u64,
}

/// What an entry tells the others several times a second.
#[data]
pub struct News {
    /// Version of the routing table, 0 if there is none.
    pub table: u64,
    /// Revision of the plan, 0 if there is none.
    pub plan: u64,
    /// Age of the listing in milliseconds.
    pub listing_age_ms: u64,
    /// The sender's work in progress.
    pub loads: Vec<Load>,
    /// Endpoints that the sender holds not to work, with the age of that in milliseconds.
    pub doubts: Vec<(Doubt, u64)>,
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
    News(News),
    /// The sender is behind and asks for what the receiver has.
    Want(Topic),
    /// A routing table that the receiver asked for.
    Table(Box<route::Table>),
    /// A plan that is new, or that the receiver asked for.
    Plan(placement::Plan),
    /// A listing that the receiver asked for, and its age in milliseconds.
    Listing(Listing, u64),
    /// Layers that an endpoint was seen to hold, and the orders that it had accepted by then.
    Held(Doubt, placement::Range, u64),
    /// The sender has ordered an endpoint to hold layers and follows it, for at most so many
    /// milliseconds.
    Ordered(Doubt, placement::Range, u64),
    /// An endpoint that was seen not to work.
    Doubt(Doubt),
    /// An endpoint that did not answer the sender, which may be the sender's own fault.
    Suspicion(Doubt),
}

/// How long a doubt about an endpoint lasts without being renewed.
pub const DOUBT_PERIOD: Duration = Duration::from_secs(6);

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
const NEWER_HEARTBEATS: u64 = 2;

/// What one process knows of the endpoints, from all sources.
#[derive(Debug, Default)]
pub struct View {
    listing: Listing,
    listed_at: Option<Instant>,
    reports: BTreeMap<name::Endpoint, Report>,
    doubts: BTreeMap<name::Endpoint, (u64, Instant)>,
    suspicions: BTreeMap<name::Endpoint, BTreeMap<name::Host, (u64, Instant)>>,
    draining: BTreeMap<name::Endpoint, Instant>,
    paused: BTreeMap<name::Endpoint, Instant>,
    /// Until when endpoints that are missing from a listing may still come back.
    returning: Option<Instant>,
    /// Before the first listing there may have been an outage, too.
    first_listed: Option<Instant>,
}

/// Time within which suspicions of several entries count together.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Entries that must suspect an endpoint: two, and one more for each so many entries.
const ENTRIES_PER_SUSPICION: usize = 10;

/// Time between two listings from which on leases may have run out in between.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Time after an outage of the store in which endpoints register again.
const RETURN_PERIOD: Duration = Duration::from_millis(2300);

/// How long an endpoint that refused gets no new work.
const PAUSE: Duration = Duration::from_millis(400);

impl View {
    /// Takes over a listing that was true at `read`; returns whether anything changed.
    pub fn list(&mut self, mut listing: Listing, read: Instant) -> bool {
        if listing.revision < self.listing.revision {
            return false;
        }
        self.first_listed.get_or_insert(read);
        if self.listed_at.is_some_and(|at| read.since(at) > OUTAGE) {
            self.returning = Some(read + RETURN_PERIOD);
        }
        if self.listed_at.is_none_or(|at| at < read) {
            self.listed_at = Some(read);
        }
        if self.returning.is_some_and(|until| read < until) {
            for (id, endpoint) in &self.listing.endpoints {
                listing.endpoints.entry(id.clone()).or_insert_with(|| endpoint.clone());
            }
        }
        for endpoint in listing.endpoints.values_mut() {
            self.overlay(endpoint);
        }
        let endpoints = &listing.endpoints;
        self.reports.retain(|id, _| endpoints.contains_key(id));
        self.draining.retain(|id, _| endpoints.contains_key(id));
        self.paused.retain(|id, _| endpoints.contains_key(id));
        for endpoint in endpoints.values().filter(|e| e.state == State::Draining) {
            self.draining.entry(endpoint.id.clone()).or_insert(read);
        }
        let changed = self.listing.endpoints != listing.endpoints;
        self.listing = listing;
        changed
    }

    /// Notes layers that an endpoint itself reported, with the orders it had accepted by then.
    pub fn hold(&mut self, seen: &Doubt, layers: placement::Range, orders: u64) -> bool {
        let Some(endpoint) = self.listing.endpoints.get_mut(&seen.endpoint) else {
            return false;
        };
        if endpoint.born != seen.born || orders < endpoint.orders {
            return false;
        }
        let changed = endpoint.layers != layers || endpoint.orders != orders;
        endpoint.layers = layers;
        endpoint.orders = orders;
        let heartbeat = endpoint.heartbeat;
        let report = Report { born: seen.born, layers, orders, heartbeat };
        self.reports.insert(seen.endpoint.clone(), report);
        changed
    }

    /// Notes that an endpoint does not work; returns whether that is new.
    ///
    /// What was `seen_at` an earlier time counts from then on, so that entries that pass doubts on
    /// to each other do not renew them.
    pub fn doubt(&mut self, seen: &Doubt, seen_at: Instant, now: Instant) -> bool {
        let was_doubted = self.is_doubted(&seen.endpoint, now);
        let known = self.doubts.get(&seen.endpoint);
        if known.is_none_or(|(born, at)| (*born, *at) < (seen.born, seen_at)) {
            self.doubts.insert(seen.endpoint.clone(), (seen.born, seen_at));
        }
        !was_doubted && self.is_doubted(&seen.endpoint, now)
    }

    /// Notes that an endpoint did not answer one of `entries` entries; returns whether it is
    /// doubted from now on.
    ///
    /// An entry that is slow, or whose link is, hears no answer from endpoints that work: it takes
    /// several to doubt one.
    pub fn suspect(&mut self, seen: &Doubt, by: name::Host, entries: usize, now: Instant) -> bool {
        let suspicions = self.suspicions.entry(seen.endpoint.clone()).or_default();
        suspicions.retain(|_, (_, at)| now.since(*at) < SUSPICION_PERIOD);
        suspicions.insert(by, (seen.born, now));
        let agreeing = suspicions.values().filter(|(born, _)| *born == seen.born).count();
        let needed = if entries <= 1 { 1 } else { 2 + entries / ENTRIES_PER_SUSPICION };
        agreeing >= needed && self.doubt(seen, now, now)
    }

    /// Doubts that hold, with their age in milliseconds.
    pub fn doubts(&self, now: Instant) -> Vec<(Doubt, u64)> {
        let fresh = self.doubts.iter().filter(|(_, (_, at))| now.since(*at) < DOUBT_PERIOD);
        let told = fresh.map(|(id, (born, at))| {
            let doubt = Doubt { endpoint: id.clone(), born: *born };
            (doubt, now.since(*at).as_millis() as u64)
        });
        told.collect()
    }

    /// Gives an endpoint that refused no new work for a while; returns whether that is new.
    pub fn pause(&mut self, endpoint: &name::Endpoint, now: Instant) -> bool {
        let is_new = !self.is_paused(endpoint, now);
        self.paused.insert(endpoint.clone(), now);
        is_new
    }

    fn is_paused(&self, endpoint: &name::Endpoint, now: Instant) -> bool {
        self.paused.get(endpoint).is_some_and(|at| now.since(*at) < PAUSE)
    }

    /// Whether an endpoint is held not to work.
    pub fn is_doubted(&self, id: &name::Endpoint, now: Instant) -> bool {
        let Some((born, at)) = self.doubts.get(id) else {
            return false;
        };
        // One that is not listed any more may still be asked about by requests in progress.
        let same = self.get(id).is_none_or(|e| e.born == *born);
        same && now.since(*at) < DOUBT_PERIOD
    }

    /// The endpoint, if it is listed.
    pub fn get(&self, id: &name::Endpoint) -> Option<&Endpoint> {
        self.listing.endpoints.get(id)
    }

    /// All listed endpoints of a service.
    pub fn of<'a>(&'a self, service: &'a name::Service) -> impl Iterator<Item = &'a Endpoint> {
        self.listing.endpoints.values().filter(move |e| e.service == *service)
    }

    /// Whether new work may go to an endpoint: listed, not doubted, and not leaving for longer
    /// than `grace`.
    pub fn is_usable(&self, id: &name::Endpoint, grace: Duration, now: Instant) -> bool {
        let leaving = self.draining.get(id).is_some_and(|since| now.since(*since) >= grace);
        let held_off = self.is_doubted(id, now) || self.is_paused(id, now);
        self.get(id).is_some() && !leaving && !held_off
    }

    /// Whether an endpoint is expected to stay.
    pub fn is_staying(&self, id: &name::Endpoint, now: Instant) -> bool {
        let is_ready = self.get(id).is_some_and(|e| e.state == State::Ready);
        is_ready && !self.is_doubted(id, now)
    }

    /// Whether time alone changes nothing in what can be used: no doubt, pause or leave runs out.
    pub fn is_settled(&self, grace: Duration, now: Instant) -> bool {
        let is_over = |at: &Instant, period: Duration| now.since(*at) >= period;
        self.doubts.values().all(|(_, at)| is_over(at, DOUBT_PERIOD))
            && self.paused.values().all(|at| is_over(at, PAUSE))
            && self.draining.values().all(|at| is_over(at, grace))
    }

    /// The listing as it is, to be passed on.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Whether endpoints that are not listed may still come back, since the store was away.
    pub fn is_returning(&self, now: Instant) -> bool {
        let first = self.first_listed.map(|at| at + RETURN_PERIOD);
        self.returning.max(first).is_some_and(|until| now < until)
    }

    /// Whether a stage of `plan` is not listed and may just not have come back yet.
    pub fn may_return(&self, plan: &placement::Plan, now: Instant) -> bool {
        let mut stages = plan.services.values().flatten().flat_map(|c| &c.stages);
        self.is_returning(now) && stages.any(|s| self.get(&s.endpoint).is_none())
    }

    /// How old the listing is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.listed_at.map(|at| now.since(at))
    }

    /// Prefers what an endpoint itself reported over a registration written before that.
    fn overlay(&self, endpoint: &mut Endpoint) {
        let Some(report) = self.reports.get(&endpoint.id) else {
            return;
        };
        if report.born != endpoint.born {
            return;
        }
        endpoint.orders = report.orders;
        if endpoint.heartbeat < report.heartbeat + NEWER_HEARTBEATS {
            endpoint.layers = report.layers;
        }
    }
}
