//! How entries tell each other what they know and what they have in progress.

use std::time::Duration;

use oriole_core::fleet::{Gossip, Message, Topic};
use oriole_core::forward::in_flight;
use oriole_core::message;
use oriole_core::name;
use oriole_platform::store::{Client, Commit, Error, Write};
use oriole_wire::conn::Liveness;
use oriole_wire::handshake::Identity;
use oriole_wire::hub::{self, Event, Hub, Kind};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::follow;
use crate::state::Shared;

/// Age from which another entry's listing is refreshed by a younger one.
const OLD_LISTING: Duration = Duration::from_millis(1300);

/// Age up to which a listing is passed on.
const YOUNG_LISTING: Duration = Duration::from_millis(900);

/// The key of the secret that entries prove to each other.
const SECRET: &str = "oriole/secret";

const SECRET_BYTES: usize = 32;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Heartbeats of connections: news come more often than they.
fn liveness() -> Liveness {
    Liveness {
        idle_heartbeat: Duration::from_secs(1),
        idle_silence: Duration::from_millis(1500),
        ..Liveness::default()
    }
}

/// Finds the secret, or writes a new one if there is none yet.
pub async fn secret(store: &Client) -> Vec<u8> {
    loop {
        match find_secret(store).await {
            Ok(secret) => return secret,
            Err(e) => log::warn!(error:% = e; "secret of the entries not known yet"),
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn find_secret(store: &Client) -> Result<Vec<u8>, Error> {
    let mut bytes = [0; SECRET_BYTES];
    if getrandom::fill(&mut bytes).is_err() {
        return Err(Error::Missing);
    }
    let value = hex::encode(bytes).into_bytes();
    let write = Write { key: SECRET, value: &value, lease: 0, expected: Some(0) };
    match store.write(&write).await? {
        Commit::Written(_) => Ok(value),
        Commit::Conflict(Some(item)) => Ok(item.value),
        Commit::Conflict(None) => Err(Error::Missing),
    }
}

/// Connects to the other entries and exchanges news with them until the process ends.
pub async fn run(state: Shared, store: Client, listener: TcpListener) {
    let secret = secret(&store).await;
    let identity = Identity { host: state.host.clone(), secret };
    let (hub, events) = Hub::new(hub::Settings { identity, liveness: liveness() });
    hub.listen(listener);
    actix_rt::spawn(hear(state.clone(), hub.clone(), events));
    *state.hub.borrow_mut() = Some(hub.clone());
    loop {
        state.timed("telling", || tell(&state, &hub));
        sleep(in_flight::gossip_interval(state.entry_count())).await;
    }
}

fn tell(state: &Shared, hub: &Hub) {
    let gossip = message::Message::Fleet(Message::Gossip(gossip(state)));
    let peers = state.inner.borrow().peers.clone();
    for (host, peer) in peers {
        hub.send(&host, Some(peer.address), gossip.clone());
    }
}

/// Sends a message to all entries that are connected.
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
    Gossip {
        table: inner.table.as_ref().map_or(0, |t| t.version),
        plan: inner.plans.first().map_or(0, |p| p.revision),
        listing_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
        loads: inner.in_flight.loads(),
        unhealthy: inner.view.unhealthy(state.now()),
    }
}

async fn hear(state: Shared, hub: Hub, mut events: mpsc::Receiver<Event>) {
    while let Some(Event { host, kind }) = events.recv().await {
        match kind {
            Kind::Up => log::info!(host = host.as_str(); "connected to entry"),
            Kind::Lost(e) => log::info!(host = host.as_str(), reason:% = e; "lost entry"),
            Kind::Message(message::Message::Fleet(message)) => {
                state.timed("news", || take(&state, &hub, host, message));
            }
            Kind::Message(_) => log::debug!(host = host.as_str(); "message out of place"),
        }
    }
}

fn take(state: &Shared, hub: &Hub, host: name::Host, message: Message) {
    match message {
        Message::Gossip(gossip) => {
            ask(state, hub, &host, &gossip);
            let now = state.now();
            for (seen, age_ms) in &gossip.unhealthy {
                state.mark_unhealthy(seen, Duration::from_millis(*age_ms), host.as_str());
            }
            state.inner.borrow_mut().in_flight.update_peer(host, gossip.loads, now);
            state.capacity_changed.notify_waiters();
        }
        Message::Want(topic) => answer(state, hub, &host, topic),
        Message::Table(table) => {
            state.adopt_table(*table);
        }
        Message::Plan(plan) => {
            state.adopt_plan(plan);
        }
        Message::Listing(listing, age_ms) => {
            let read = state.now() - Duration::from_millis(age_ms);
            follow::take_listing(state, listing, read);
        }
        Message::Held(seen, layers, orders) => {
            if state.inner.borrow_mut().view.record_layers(&seen, layers, orders) {
                state.refresh();
            }
        }
        Message::Ordered(seen, layers, follow_ms) => {
            let until = state.now() + Duration::from_millis(follow_ms);
            state.peer_orders.borrow_mut().insert(seen.endpoint, (layers, until));
        }
        Message::Suspicion(seen) => {
            state.suspect(&seen, &host);
        }
        Message::Unhealthy(seen) => {
            state.mark_unhealthy(&seen, Duration::ZERO, host.as_str());
        }
    }
}

/// Asks another entry for what this one lacks, by what the other one says of itself.
fn ask(state: &Shared, hub: &Hub, host: &name::Host, gossip: &Gossip) {
    let now = state.now();
    let inner = state.inner.borrow();
    let table = inner.table.as_ref().map_or(0, |t| t.version);
    let plan = inner.plans.first().map_or(0, |p| p.revision);
    let is_old = inner.view.age(now).is_none_or(|age| age > OLD_LISTING);
    let is_young = Duration::from_millis(gossip.listing_age_ms) < YOUNG_LISTING;
    let mut lags = state.lags.borrow_mut();
    for (topic, is_current, is_ahead) in [
        (Topic::Table, false, gossip.table > table),
        (Topic::Plan, false, gossip.plan > plan),
        (Topic::Listing, !is_old, is_old && is_young),
    ] {
        let lag = lags.entry(topic).or_default();
        if is_current {
            lag.clear();
        }
        if lag.should_ask(is_ahead, now) {
            log::debug!(host = host.as_str(), topic:?; "asked an entry that is ahead");
            hub.send(host, None, message::Message::Fleet(Message::Want(topic)));
        }
    }
}

/// Sends what the other entry asked for.
fn answer(state: &Shared, hub: &Hub, host: &name::Host, topic: Topic) {
    let inner = state.inner.borrow();
    let message = match topic {
        Topic::Table => inner.table.as_ref().map(|t| Message::Table(Box::new((**t).clone()))),
        Topic::Plan => inner.plans.first().map(|p| Message::Plan(p.clone())),
        Topic::Listing => inner
            .view
            .age(state.now())
            .map(|age| Message::Listing(inner.view.listing().clone(), age.as_millis() as u64)),
    };
    if let Some(message) = message {
        hub.send(host, None, message::Message::Fleet(message));
    }
}
