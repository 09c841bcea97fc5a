//! Exchanges state and work in progress between entries.
//!
//! Each entry sends gossip to all that are registered or connected at an interval. Gossip says which
//! versions of the routing table and the plan the sender has, and how old its listing is. An entry that
//! is behind requests the newer data from the sender, which does not need the store.

use std::time::Duration;

use oriole_core::fleet::{Cause, Gossip, Message, Topic, polling};
use oriole_core::forward::hold::Summary;
use oriole_core::forward::{choice, in_flight};
use oriole_core::message;
use oriole_core::name;
use oriole_platform::store::Client;
use oriole_wire::conn::Liveness;
use oriole_wire::handshake::Identity;
use oriole_wire::hub::{self, Event, Hub, Kind};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::follow;
use crate::state::{Shared, hold, quarantine};
use crate::{pace, secret};

/// Returns the heartbeat and silence intervals of connections between entries.
///
/// Gossip is sent more often than these heartbeats.
fn liveness() -> Liveness {
    Liveness {
        idle_heartbeat: Duration::from_secs(1),
        idle_silence: Duration::from_millis(1500),
        ..Liveness::default()
    }
}

/// Connects to the other entries and exchanges gossip with them until the process ends.
pub async fn run(state: Shared, store: Client, listener: TcpListener) {
    let secret = secret::read(&state, &store).await;
    let identity = Identity::new(state.host.clone(), secret);
    let (hub, events) = Hub::new(hub::Settings { identity, liveness: liveness() });
    hub.listen(listener);
    actix_rt::spawn(receive(state.clone(), hub.clone(), events));
    *state.hub.borrow_mut() = Some(hub.clone());
    loop {
        state.timed("telling", || send_gossip(&state, &hub));
        sleep(in_flight::gossip_interval(state.entry_count())).await;
    }
}

fn send_gossip(state: &Shared, hub: &Hub) {
    let refused = state.inner.borrow_mut().returns.take_untold(state.now());
    let failing = state.inner.borrow_mut().failures.tell(state.now());
    let gossip = Gossip { refused, failing, ..gossip(state) };
    let gossip = message::Message::Fleet(Message::Gossip(Box::new(gossip)));
    let peers = state.inner.borrow().peers.clone();
    // A connection outlives the registration of an entry that the store turns away.
    for host in hub.hosts().into_iter().filter(|host| !peers.contains_key(host)) {
        hub.send(&host, None, gossip.clone());
    }
    for (host, peer) in peers {
        hub.send(&host, Some(peer.address), gossip.clone());
    }
}

/// Sends a message to all connected entries.
pub fn broadcast(state: &Shared, message: &Message) {
    let Some(hub) = state.hub.borrow().clone() else {
        return;
    };
    for host in hub.hosts() {
        hub.send(&host, None, message::Message::Fleet(message.clone()));
    }
}

fn gossip(state: &Shared) -> Gossip {
    let inner = state.inner.borrow();
    let age = inner.view.age(state.now());
    let table_age = inner.freshness.store_age(state.now());
    let plan = inner.plans.first();
    Gossip {
        table: inner.table.as_ref().map_or(0, |t| t.version),
        table_age_ms: table_age.map(|age| age.as_millis() as u64),
        plan: plan.map(|p| p.position).unwrap_or_default(),
        plan_number: plan.map_or(0, |p| p.number),
        listing_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
        unbroken_ms: inner.view.unbroken(state.now()).as_millis() as u64,
        ready_in_ms: state.ready_in().as_millis() as u64,
        loads: inner.in_flight.loads(),
        unhealthy: inner.view.unhealthy(state.now()),
        leaving: inner.view.said_to_leave(state.now()),
        quarantined: inner.quarantine.groups(state.now()),
        limits: inner.limits.notices(state.now()),
        refused: vec![],
        failing: choice::Notice {
            weights: inner.failures.told_weights(state.now()),
            ..choice::Notice::default()
        },
    }
}

async fn receive(state: Shared, hub: Hub, mut events: mpsc::Receiver<Event>) {
    while let Some(Event { host, kind }) = events.recv().await {
        match kind {
            Kind::Up => {
                log::info!(host = host.as_str(); "connected to entry");
                // What others know binds an entry that has just started, too. Gossip comes last, since
                // an entry that has heard it counts as told.
                let holds = Message::Holds(state.summary_of_holds());
                hub.send(&host, None, message::Message::Fleet(holds));
                let gossip = message::Message::Fleet(Message::Gossip(Box::new(gossip(&state))));
                hub.send(&host, None, gossip);
            }
            Kind::Lost(e) => log::info!(
                host = host.as_str(), reason:% = e;
                "lost the connection to an entry"
            ),
            Kind::Message(message::Message::Fleet(message)) => {
                state.timed("news", || handle(&state, &hub, host, message));
            }
            Kind::Message(_) => log::debug!(
                host = host.as_str();
                "ignored an unexpected kind of message"
            ),
        }
    }
}

fn handle(state: &Shared, hub: &Hub, host: name::Host, message: Message) {
    match message {
        Message::Gossip(gossip) => {
            state.record_present(host.clone());
            request_newer(state, hub, &host, &gossip);
            let now = state.now();
            for (incarnation, age_ms) in &gossip.unhealthy {
                let age = Duration::from_millis(*age_ms);
                state.mark_unhealthy(incarnation, Cause::Peer, age, host.as_str());
            }
            for (incarnation, age_ms) in &gossip.leaving {
                let age = Duration::from_millis(*age_ms);
                state.record_leaving(incarnation, age, host.as_str());
            }
            let proven = state.adopt_quarantine(&gossip.quarantined);
            if !proven.is_empty() {
                hub.send(&host, None, message::Message::Fleet(Message::Sound(proven)));
            }
            for notice in &gossip.limits {
                state.hear_limit(notice, &host);
            }
            let mut inner = state.inner.borrow_mut();
            if let (Some(table), Some(age_ms)) = (&inner.table, gossip.table_age_ms) {
                let (own, at) = (table.version, now - Duration::from_millis(age_ms));
                inner.freshness.hear(gossip.table, own, at);
            }
            let unbroken = Duration::from_millis(gossip.unbroken_ms);
            let has_gone = inner.view.hear_unbroken(unbroken, now);
            let ready_in = Duration::from_millis(gossip.ready_in_ms);
            inner.liveness.record(host.clone(), ready_in, now);
            inner.in_flight.update_peer(host, gossip.loads, now);
            inner.returns.hear(&gossip.refused, now);
            inner.failures.hear(&gossip.failing, now);
            drop(inner);
            if has_gone {
                state.refresh();
            }
            state.capacity_changed.notify_waiters();
        }
        Message::Want(topic) => send_requested(state, hub, &host, topic),
        Message::Table(table) => {
            state.adopt_table(*table, host.as_str());
        }
        Message::Plan(plan) => {
            state.adopt_plan(plan);
        }
        Message::Listing(listing, age_ms) => {
            let read_at = state.now() - Duration::from_millis(age_ms);
            follow::apply_listing(state, listing, read_at);
        }
        Message::Held(incarnation, layers, orders) => {
            if state.inner.borrow_mut().view.record_layers(&incarnation, layers, orders) {
                state.refresh();
            }
        }
        Message::Ordered(incarnation, monitor_ms) => {
            let until = state.now() + Duration::from_millis(monitor_ms);
            state.peer_orders.borrow_mut().insert(incarnation.endpoint, until);
        }
        Message::Refusal(incarnation) => state.pause(&incarnation.endpoint),
        Message::Pace(incarnation, value) => {
            pace::record(state, &incarnation, value);
        }
        Message::Suspicion(incarnation) => {
            state.suspect(&incarnation, &host);
        }
        Message::Answered(incarnation) => state.hear_answer(&incarnation, &host),
        Message::Crash(incarnation, suspects) => {
            quarantine::record_crash(state, &incarnation, &suspects);
        }
        Message::Sound(sound) => {
            state.hear_sound(&sound);
            state.decide_quarantine();
        }
        Message::Leaving(incarnation) => {
            state.record_leaving(&incarnation, Duration::ZERO, host.as_str());
        }
        Message::Crashed(loss) => hold::hear_loss(state, loss),
        Message::Released(releases) => {
            let summary = Summary { releases, ..Summary::default() };
            hold::hear_summary(state, &summary, host.as_str());
        }
        Message::Holds(summary) => hold::hear_summary(state, &summary, host.as_str()),
        Message::Limit(notice) => state.hear_limit(&notice, &host),
        Message::PermitRequest(notice) => {
            state.hear_limit(&notice, &host);
            let reply = state.grant_permit(&notice);
            let reply = Message::Permit(notice.incarnation, reply);
            hub.send(&host, None, message::Message::Fleet(reply));
        }
        Message::Permit(incarnation, reply) => state.receive_permit(&incarnation.endpoint, reply),
        Message::Unhealthy(incarnation) => {
            state.mark_unhealthy(&incarnation, Cause::Peer, Duration::ZERO, host.as_str());
        }
    }
}

/// Requests from another entry each topic on which its gossip shows that it is ahead of this one.
fn request_newer(state: &Shared, hub: &Hub, host: &name::Host, gossip: &Gossip) {
    let now = state.now();
    let inner = state.inner.borrow();
    let table = inner.table.as_ref().map_or(0, |t| t.version);
    let plan = inner.plans.first().map(|p| (p.number, p.position)).unwrap_or_default();
    let drain = state.drain_time();
    let age = inner.view.age(now).unwrap_or(Duration::MAX);
    let is_stale = age > polling::listing_request_age(drain);
    let peer_age = Duration::from_millis(gossip.listing_age_ms);
    let is_fresh = peer_age.saturating_add(polling::min_listing_gain(drain)) < age;
    let mut lags = state.lags.borrow_mut();
    for (topic, is_current, is_ahead) in [
        (Topic::Table, false, gossip.table > table),
        (Topic::Plan, false, (gossip.plan_number, gossip.plan) > plan),
        (Topic::Listing, !is_stale, is_stale && is_fresh),
    ] {
        let lag = lags.entry(topic).or_default();
        if is_current {
            lag.clear();
        }
        if lag.should_ask(is_ahead, now) {
            log::debug!(host = host.as_str(), topic:?; "requested data from a peer that is ahead");
            hub.send(host, None, message::Message::Fleet(Message::Want(topic)));
        }
    }
}

/// Sends the topic that another entry requested, if this entry has it.
fn send_requested(state: &Shared, hub: &Hub, host: &name::Host, topic: Topic) {
    let inner = state.inner.borrow();
    let message = match topic {
        Topic::Table => inner.table.as_ref().map(|t| Message::Table(Box::new((**t).clone()))),
        Topic::Plan => inner.plans.first().map(|p| Message::Plan(p.clone())),
        Topic::Listing => inner
            .view
            .age(state.now())
            .map(|age| Message::Listing(inner.view.registered(), age.as_millis() as u64)),
    };
    if let Some(message) = message {
        hub.send(host, None, message::Message::Fleet(message));
    }
}
