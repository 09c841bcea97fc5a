//! How the process learns the routing table, the endpoints, the plan and the other entries.
//!
//! The table and what entries write are watched; the endpoints' registrations, which change with
//! each heartbeat, are read at an interval instead, since each answered watch counts as a call.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::fleet::Listing;
use oriole_core::name;
use oriole_core::placement::Plan;
use oriole_core::time::Instant;
use oriole_macros::data;
use oriole_platform::store::{Change, Client, Error, Item, Read, Write};
use oriole_platform::{config, registry};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::state::{Peer, Shared};

/// Prefix of all keys that the system writes.
const PREFIX: &str = "oriole/";

/// Prefix of the keys under which entries register.
const HOSTS: &str = "oriole/hosts/";

/// The key of the plan.
pub const PLAN: &str = "oriole/plan";

/// Part of the drain bound after which the endpoints' registrations are read again.
const LISTING_PART: f64 = 0.3;

/// Longest wait of a watch of the configuration; a connection that fell silent delays a change by
/// this much.
const CONFIG_WAIT: Duration = Duration::from_millis(1200);

/// Longest wait of a watch of what entries write.
const OWN_WAIT: Duration = Duration::from_millis(2500);

/// Pause after a failed call: each one loads the store, also one that it refuses.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Life of an entry's registration without being renewed.
const REGISTRATION: Duration = Duration::from_secs(5);

/// What an entry writes about itself.
#[data]
struct Registration {
    /// Where it listens for other entries.
    address: std::net::SocketAddr,
}

/// Starts following.
pub fn start(state: &Shared, store: Client) {
    actix_rt::spawn(configuration(state.clone(), store));
    actix_rt::spawn(endpoints(state.clone(), store));
    actix_rt::spawn(own(state.clone(), store));
    actix_rt::spawn(register(state.clone(), store));
}

/// Logs when the store is lost or regained for one purpose, and counts failures.
struct Dependency {
    state: Shared,
    purpose: &'static str,
    is_lost: bool,
}

impl Dependency {
    fn new(state: &Shared, purpose: &'static str) -> Self {
        Self { state: state.clone(), purpose, is_lost: false }
    }

    fn note<T>(&mut self, result: &Result<T, Error>) {
        let purpose = self.purpose;
        if result.is_err() {
            Metrics::count(&self.state.metrics.store_failures, purpose);
        }
        match result {
            Err(error) if !self.is_lost => {
                self.is_lost = true;
                log::warn!(purpose, error:% = error; "store lost");
            }
            Ok(_) if self.is_lost => {
                self.is_lost = false;
                log::info!(purpose; "store regained");
            }
            _ => {}
        }
    }
}

/// Reads a prefix once, then watches it; `take` gets each change.
async fn watch(
    state: &Shared,
    store: Client,
    prefix: &str,
    wait: Duration,
    purpose: &'static str,
    mut take: impl FnMut(Start, Vec<Change>),
) {
    let mut dependency = Dependency::new(state, purpose);
    loop {
        let read = store.range(prefix).await;
        dependency.note(&read);
        let Ok(read) = read else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let mut revision = read.revision;
        take(Start::Whole, read.found.into_iter().map(Change::Written).collect());
        loop {
            let changes = store.watch(prefix, revision, wait).await;
            dependency.note(&changes);
            match changes {
                Ok(changes) => {
                    revision = revision.max(changes.revision);
                    take(Start::Changes, changes.found);
                }
                Err(Error::Compacted) => break,
                Err(_) => {
                    sleep(RETRY_PAUSE).await;
                    break;
                }
            }
        }
    }
}

/// Whether what was read is everything or what has changed since.
#[derive(Clone, Copy, PartialEq)]
enum Start {
    Whole,
    Changes,
}

async fn configuration(state: Shared, store: Client) {
    let take = |_, changes: Vec<Change>| {
        for change in changes {
            if let Change::Written(item) = change {
                take_configuration(&state, &item);
            }
        }
    };
    watch(&state, store, config::PREFIX, CONFIG_WAIT, "configuration", take).await;
}

fn take_configuration(state: &Shared, item: &Item) {
    if item.key != config::KEY {
        return;
    }
    match state.timed("configuration", || config::decode(&item.value)) {
        Ok(table) => {
            state.adopt_table(table);
        }
        Err(e) => log::error!(revision = item.revision, error:% = e; "configuration not usable"),
    }
}

async fn endpoints(state: Shared, store: Client) {
    let mut dependency = Dependency::new(&state, "endpoints");
    loop {
        let began = state.now();
        let read = store.range(registry::PREFIX).await;
        dependency.note(&read);
        Metrics::time(&state.metrics.store_call, state.now().since(began));
        if let Ok(read) = read {
            let listing = state.timed("listing", || decode_listing(&state, &read));
            take_listing(&state, listing, began);
        }
        let drain = Duration::from_millis(state.tunables().times.drain_ms);
        sleep(drain.mul_f64(LISTING_PART).saturating_sub(state.now().since(began))).await;
    }
}

fn decode_listing(state: &Shared, read: &Read<Item>) -> Listing {
    let mut listing = Listing { revision: read.revision, endpoints: BTreeMap::new() };
    for item in &read.found {
        match registry::decode(&item.key, &item.value) {
            Some(endpoint) => {
                listing.endpoints.insert(endpoint.id.clone(), endpoint);
            }
            None => {
                state.metrics.skipped.inc();
                log::debug!(key = item.key.as_str(); "registration not usable");
            }
        }
    }
    listing
}

/// Takes over a listing that was read at `read`.
pub fn take_listing(state: &Shared, listing: Listing, read: Instant) {
    let count = listing.endpoints.len();
    let before = state.inner.borrow().view.listing().endpoints.len();
    let changed = state.inner.borrow_mut().view.update_listing(listing, read);
    if count != before {
        log::info!(count, before; "number of endpoints changed");
    }
    if changed {
        state.refresh();
    }
}

async fn own(state: Shared, store: Client) {
    let take = |start, changes: Vec<Change>| {
        if start == Start::Whole {
            state.inner.borrow_mut().peers.clear();
        }
        for change in changes {
            match change {
                Change::Written(item) => take_own(&state, &item),
                Change::Removed(key) => {
                    if let Some(host) = key.strip_prefix(HOSTS) {
                        state.inner.borrow_mut().peers.remove(&name::Host::from(host));
                        log::info!(host; "entry is gone");
                    }
                }
            }
        }
    };
    watch(&state, store, PREFIX, OWN_WAIT, "plan", take).await;
}

fn take_own(state: &Shared, item: &Item) {
    if let Some(host) = item.key.strip_prefix(HOSTS) {
        let Ok(registration) = serde_json::from_slice::<Registration>(&item.value) else {
            log::warn!(key = item.key.as_str(); "registration of an entry not usable");
            return;
        };
        if host != state.settings.name {
            let peer = Peer { address: registration.address };
            state.inner.borrow_mut().peers.insert(host.into(), peer);
        }
    } else if item.key == PLAN {
        match serde_json::from_slice::<Plan>(&item.value) {
            Ok(mut plan) => {
                plan.revision = item.revision;
                state.adopt_plan(plan);
            }
            Err(e) => log::error!(revision = item.revision, error:% = e; "plan not usable"),
        }
    }
}

async fn register(state: Shared, store: Client) {
    let life = REGISTRATION.max(Duration::from_millis(state.settings.store.min_lease_ms));
    let key = format!("{HOSTS}{}", state.settings.name);
    let registration = Registration { address: state.settings.listen.peers };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let mut dependency = Dependency::new(&state, "registration");
    let mut lease = None;
    loop {
        let result = match lease {
            Some(number) => store.renew_lease(number).await.map(|()| number),
            None => renew(&store, life, &key, &value).await,
        };
        dependency.note(&result);
        match result {
            Ok(number) => lease = Some(number),
            Err(Error::Missing) => {
                lease = None;
                continue;
            }
            Err(_) => {}
        }
        sleep(life / 3).await;
    }
}

async fn renew(store: &Client, life: Duration, key: &str, value: &[u8]) -> Result<u64, Error> {
    let lease = store.grant_lease(life).await?;
    store.write(&Write { key, value, lease, expected_revision: None }).await?;
    Ok(lease)
}
