//! Starts entries and stand-ins of the platform in one process, connected over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::limits::Limits;
use oriole_platform_standin::caller::{self, Answer};
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::Fleet;
use oriole_platform_standin::store::{Copy, Store};
use oriole_router::process::{self, Sockets};
use oriole_router::settings::{self, Settings};
use oriole_router::state::Shared;
use tokio::time::{sleep, timeout};

/// Longest time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Revisions that a restore takes away, more than any test makes up for.
pub const LOST_REVISIONS: u64 = 1_000_000;

/// An entry, with its addresses for callers and for readiness.
pub struct Entry {
    pub state: Shared,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// A store, endpoints and entries that use them.
pub struct Cluster {
    pub store: Store,
    pub fleet: Fleet,
    pub entries: Vec<Entry>,
}

impl Cluster {
    /// Starts a store with a configuration, engines in two zones, two plain endpoints, and
    /// `entries` entries. Waits until all entries can use chains and know each other.
    pub async fn new(entries: usize) -> Self {
        Self::with_zones(entries, 2).await
    }

    /// Like [`Cluster::new`], with the engines in `zones` zones.
    pub async fn with_zones(entries: usize, zones: usize) -> Self {
        Self::start(entries, zones, Store::start().await.unwrap()).await
    }

    /// Like [`Cluster::new`], with a value that entries wrote to the store before.
    pub async fn with_stored(entries: usize, key: &str, value: &serde_json::Value) -> Self {
        let store = Store::start().await.unwrap();
        store.put(key, value);
        Self::start(entries, 2, store).await
    }

    /// Starts two entries, and also returns a copy of the store from before.
    pub async fn with_empty_copy() -> (Self, Copy) {
        let store = Store::start().await.unwrap();
        let copy = store.copy();
        store.skip_revisions(LOST_REVISIONS);
        (Self::start(2, 2, store).await, copy)
    }

    async fn start(entries: usize, zones: usize, store: Store) -> Self {
        store.put("op/config", &config(1, &[KEY]));
        let fleet = Fleet::new(&store);
        for n in 0..8 {
            fleet.add_engine(&format!("engine-{n}"), &format!("zone-{}", n % zones)).await.unwrap();
        }
        for n in 0..2 {
            fleet.add_plain(&format!("plain-{n}"), &format!("zone-{n}")).await.unwrap();
        }
        let mut cluster = Self { store, fleet, entries: vec![] };
        for n in 0..entries {
            let entry = cluster.entry(n).await;
            cluster.entries.push(entry);
        }
        cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 2)).await;
        if entries > 1 {
            cluster.wait(|c| c.entries.iter().all(|e| e.state.entry_count() == entries)).await;
        }
        cluster
    }

    /// Starts an entry that uses the store at the address that all others use.
    pub async fn entry(&self, number: usize) -> Entry {
        self.entry_at(number, &self.store).await
    }

    /// Starts an entry that uses the store at the address of `store`.
    pub async fn entry_at(&self, number: usize, store: &Store) -> Entry {
        let (sockets, listen) = Sockets::loopback().unwrap();
        let (callers, ready) = (listen.callers, listen.ready);
        let settings = Settings {
            admission: settings::Admission { order: settings::Order::Standing },
            limits: Limits::default(),
            name: format!("entry-{number}"),
            zone: format!("zone-{}", number % 2),
            listen,
            store: settings::Store { address: store.address(), min_lease_ms: 1000 },
            times: settings::Times {
                drain_ms: 1000,
                grace_ms: 8000,
                heartbeat_ms: 100,
                stall_ms: 2500,
                apply_ms: 2000,
                contact_ms: 3000,
            },
            retries: settings::Retries { ratio: 0.2, fixed: 200.0, window_ms: 10_000 },
        };
        let state = process::start(settings, sockets);
        Entry { state, callers, ready }
    }

    /// Waits until `holds` returns true; panics after [`WAIT_TIMEOUT`].
    pub async fn wait(&self, holds: impl Fn(&Self) -> bool) {
        let wait = async {
            while !holds(self) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait)
            .await
            .expect("the condition did not hold within the time limit");
    }
}

impl Entry {
    /// Returns the number of chains that the entry can use.
    pub fn chains(&self) -> usize {
        self.state.inner.borrow().chains.values().map(|c| c.len()).sum()
    }

    /// Sends a request with id `id` and key `key`, and reads the response.
    pub async fn call(&self, path: &str, id: &str, key: &str) -> Answer {
        self.call_while(path, id, key, |_| {}).await
    }

    /// Like [`Entry::call`]; calls `meanwhile` with the body so far whenever more of it arrives.
    pub async fn call_while(
        &self,
        path: &str,
        id: &str,
        key: &str,
        meanwhile: impl FnMut(&str),
    ) -> Answer {
        caller::call(self.callers, path, id, key, meanwhile).await.unwrap()
    }

    /// Returns whether the entry reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        caller::is_ready(self.ready).await.unwrap()
    }
}
