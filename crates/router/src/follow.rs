//! Follows the store: reads the routing table, the endpoints, the plan and the other entries, and
//! keeps this entry registered.
//!
//! The routing table and the keys that entries write are watched. The endpoints' registrations
//! change with each heartbeat, and the store counts each answered watch as a call, so they are read
//! at an interval instead.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::fleet::{Listing, polling};
use oriole_core::name;
use oriole_core::placement::Plan;
use oriole_core::time::Instant;
use oriole_macros::data;
use oriole_platform::store::{Change, Client, Error, Item, Read, Write};
use oriole_platform::{config, registry};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::quarantine;
use crate::state::{Peer, Shared};

/// Prefix of all keys that entries write.
const KEY_PREFIX: &str = "oriole/";

/// Prefix of the keys under which entries register, followed by the name of the host.
const HOST_PREFIX: &str = "oriole/hosts/";

/// Key of the plan.
pub const PLAN_KEY: &str = "oriole/plan";

/// Interval at which an entry checks whether to read the registrations.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time after which the store answers a watch of the configuration even without changes. A
/// connection that stops answering delays a change by about this time, unless a peer tells of it.
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Shortest time after which the store answers a watch of the keys that entries write even without
/// changes.
const ENTRY_WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Shortest pause after changes were reported, so that changes in quick succession come with one
/// answer.
const CHANGES_PAUSE: Duration = Duration::from_millis(200);

/// Shortest pause after a failed call. Every call loads the store, including those that it refuses.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// Time to live of an entry's registration unless it is renewed.
const REGISTRATION_TTL: Duration = Duration::from_secs(5);

/// Source of what the store tells, in logs.
const STORE: &str = "store";

/// Registration of an entry, as stored.
#[data]
struct Registration {
    /// Address on which it listens for other entries.
    address: std::net::SocketAddr,
}

/// Starts the tasks that follow the store and keep this entry registered.
pub fn start(state: &Shared, store: Client) {
    actix_rt::spawn(configuration(state.clone(), store));
    actix_rt::spawn(endpoints(state.clone(), store));
    actix_rt::spawn(entry_keys(state.clone(), store));
    actix_rt::spawn(register(state.clone(), store));
}

/// Counts failed calls to the store for one purpose, and logs when they start to fail and when they
/// succeed again.
struct Monitor {
    state: Shared,
    purpose: &'static str,
    is_lost: bool,
}

impl Monitor {
    fn new(state: &Shared, purpose: &'static str) -> Self {
        Self { state: state.clone(), purpose, is_lost: false }
    }

    fn record<T>(&mut self, result: &Result<T, Error>) {
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

/// Reads all items under `prefix`, then watches it. Passes the items and each later change to
/// `apply`.
///
/// Reads all items again after a failure, and when the store no longer has the history.
async fn watch(
    state: &Shared,
    store: Client,
    prefix: &str,
    wait: Duration,
    purpose: &'static str,
    mut apply: impl FnMut(Update, Vec<Change>),
) {
    let mut monitor = Monitor::new(state, purpose);
    loop {
        let read = store.range(prefix).await;
        monitor.record(&read);
        let Ok(read) = read else {
            sleep(spread(state, RETRY_DELAY)).await;
            continue;
        };
        let mut revision = read.revision;
        apply(Update::Snapshot, read.found.into_iter().map(Change::Written).collect());
        loop {
            let changes = store.watch(prefix, revision, spread(state, wait)).await;
            monitor.record(&changes);
            match changes {
                Ok(changes) => {
                    revision = revision.max(changes.revision);
                    let has_changes = !changes.found.is_empty();
                    apply(Update::Delta, changes.found);
                    if has_changes {
                        sleep(spread(state, CHANGES_PAUSE)).await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(_) => {
                    sleep(spread(state, RETRY_DELAY)).await;
                    break;
                }
            }
        }
    }
}

/// Lengthens a wait or a pause by the number of entries, and spreads it.
fn spread(state: &Shared, shortest: Duration) -> Duration {
    polling::spread(shortest, state.entry_count(), rand::random())
}

/// Whether changes are the full contents of a prefix or those since the last update.
#[derive(Clone, Copy, PartialEq)]
enum Update {
    Snapshot,
    Delta,
}

async fn configuration(state: Shared, store: Client) {
    let apply = |_, changes: Vec<Change>| {
        for change in changes {
            if let Change::Written(item) = change {
                apply_configuration(&state, &item);
            }
        }
    };
    watch(&state, store, config::PREFIX, CONFIG_WATCH_WAIT, "configuration", apply).await;
}

fn apply_configuration(state: &Shared, item: &Item) {
    if item.key != config::KEY {
        return;
    }
    match state.timed("configuration", || config::decode(&item.value)) {
        Ok(table) => {
            state.adopt_table(table, STORE);
        }
        Err(e) => log::error!(
            revision = item.revision, error:% = e;
            "configuration cannot be decoded; keeping the previous routing table"
        ),
    }
}

async fn endpoints(state: Shared, store: Client) {
    let mut monitor = Monitor::new(&state, "endpoints");
    loop {
        let rank = state.rank(|host| *host < state.host);
        let limit = polling::listing_age_limit(rank, state.drain_time());
        let age = state.inner.borrow().view.age(state.now());
        if age.is_some_and(|age| age < limit) {
            sleep(LISTING_CHECK_INTERVAL).await;
            continue;
        }
        let began = state.now();
        let read = store.range(registry::PREFIX).await;
        monitor.record(&read);
        Metrics::time(&state.metrics.store_call, state.now().since(began));
        match read {
            Ok(read) => {
                let listing = state.timed("listing", || decode_listing(&state, &read));
                apply_listing(&state, listing, began);
            }
            Err(_) => sleep(spread(&state, RETRY_DELAY)).await,
        }
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
                state.metrics.skipped_registrations.inc();
                log::debug!(key = item.key.as_str(); "skipped an undecodable registration");
            }
        }
    }
    listing
}

/// Replaces the listing by one that was read at `read_at`, unless it is older.
pub fn apply_listing(state: &Shared, listing: Listing, read_at: Instant) {
    let count = listing.endpoints.len();
    let before = state.inner.borrow().view.listing().endpoints.len();
    let changed = state.inner.borrow_mut().view.update_listing(listing, read_at);
    if count != before {
        log::info!(count, before; "number of endpoints changed");
    }
    if changed {
        state.refresh();
    }
}

async fn entry_keys(state: Shared, store: Client) {
    let apply = |update, changes: Vec<Change>| {
        if update == Update::Snapshot {
            state.inner.borrow_mut().peers.clear();
        }
        for change in changes {
            match change {
                Change::Written(item) => apply_entry_key(&state, &item),
                Change::Removed(key) => {
                    if let Some(host) = key.strip_prefix(HOST_PREFIX) {
                        state.inner.borrow_mut().peers.remove(&name::Host::from(host));
                        log::info!(host; "registration of an entry removed");
                    }
                }
            }
        }
    };
    watch(&state, store, KEY_PREFIX, ENTRY_WATCH_WAIT, "plan", apply).await;
}

fn apply_entry_key(state: &Shared, item: &Item) {
    if let Some(host) = item.key.strip_prefix(HOST_PREFIX) {
        let Ok(registration) = serde_json::from_slice::<Registration>(&item.value) else {
            log::warn!(key = item.key.as_str(); "skipped the undecodable registration of an entry");
            return;
        };
        if host != state.settings.name {
            let peer = Peer { address: registration.address };
            state.inner.borrow_mut().peers.insert(host.into(), peer);
        }
    } else if item.key == quarantine::KEY {
        quarantine::apply(state, item);
    } else if item.key == PLAN_KEY {
        match serde_json::from_slice::<Plan>(&item.value) {
            Ok(mut plan) => {
                plan.revision = item.revision;
                state.adopt_plan(plan);
            }
            Err(e) => log::error!(
                revision = item.revision, error:% = e;
                "plan cannot be decoded; keeping the previous plan"
            ),
        }
    }
}

async fn register(state: Shared, store: Client) {
    let ttl = REGISTRATION_TTL.max(Duration::from_millis(state.settings.store.min_lease_ms));
    let key = format!("{HOST_PREFIX}{}", state.settings.name);
    let registration = Registration { address: state.settings.listen.peers };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let mut monitor = Monitor::new(&state, "registration");
    let mut lease = None;
    loop {
        let result = match lease {
            Some(number) => store.renew_lease(number).await.map(|()| number),
            None => register_with_new_lease(&store, ttl, &key, &value).await,
        };
        monitor.record(&result);
        match result {
            Ok(number) => lease = Some(number),
            Err(Error::Missing) => {
                lease = None;
                continue;
            }
            Err(_) => {}
        }
        sleep(ttl / 3).await;
    }
}

/// Writes the entry's registration under a new lease. Returns the number of the lease.
async fn register_with_new_lease(
    store: &Client,
    ttl: Duration,
    key: &str,
    value: &[u8],
) -> Result<u64, Error> {
    let lease = store.grant_lease(ttl).await?;
    store.write(&Write { key, value, lease, expected_revision: None }).await?;
    Ok(lease)
}
