//! A key-value service: etcd v3's JSON gateway on one node, in memory.
//!
//! The [`Switch`] of the stand-ins serves for death, stalls, failures and replies that are lost
//! after they were applied; [`Service`] adds a backup and the way back to it, delays, dropped
//! watches, and counts of calls.

mod store;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use oriole_adapter::kv::message::{
    Lease, LeaseId, Put, Range, StreamReply, Txn, WatchRange, WatchReply, WatchRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::fault::Switch;
use crate::http::{self, Call, Reply};

use self::store::Store;

/// Changes that wait for a slow watcher before the watch is dropped.
const WATCH_QUEUE: usize = 1024;

/// The service's contents and faults, usable from any thread. Clones share them.
#[derive(Clone, Debug)]
pub struct Service {
    state: Arc<Mutex<State>>,
    delay: Arc<watch::Sender<Duration>>,
}

#[derive(Debug)]
struct State {
    store: Store,
    backup: Option<Store>,
    watches: Vec<(WatchRange, mpsc::Sender<Bytes>)>,
    calls: BTreeMap<String, u64>,
}

impl Default for Service {
    fn default() -> Self {
        let state = State {
            store: Store::default(),
            backup: None,
            watches: Vec::new(),
            calls: BTreeMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            delay: Arc::new(watch::Sender::new(Duration::ZERO)),
        }
    }
}

impl Service {
    /// Remembers the contents as they are now.
    pub fn back_up(&self) {
        let mut state = self.lock();
        state.backup = Some(state.store.clone());
    }

    /// Goes back to the contents that were remembered last, and drops all watches.
    pub fn set_back(&self) {
        let mut state = self.lock();
        if let Some(backup) = state.backup.clone() {
            state.store = backup;
        }
        state.watches.clear();
    }

    /// Drops all watches.
    pub fn drop_watches(&self) {
        self.lock().watches.clear();
    }

    /// Delays each call.
    pub fn delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    /// Writes a key, past all faults.
    pub fn overwrite(&self, key: &str, value: &[u8]) {
        let put = Put { key: key.as_bytes().to_vec(), value: value.to_vec(), lease: 0 };
        self.lock().change(|store| store.put(&put));
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let range = Range { key: key.as_bytes().to_vec(), ..Range::default() };
        let reply = self.lock().store.range(&range);
        reply.kvs.into_iter().next().map(|kv| kv.value)
    }

    /// Calls by path since the start.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.lock().calls.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change of the state is whole, even if a holder panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, call: Call, switch: Switch) -> Reply {
        *self.lock().calls.entry(call.path.clone()).or_default() += 1;
        switch.pass().await;
        let delay = *self.delay.borrow();
        sleep(delay).await;
        if switch.take_failure() {
            return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.lock().change(|store| store.expire(Instant::now()));
        let reply = self.route(&call);
        if switch.take_loss() { Reply::Cut } else { reply }
    }

    fn route(&self, call: &Call) -> Reply {
        let mut state = self.lock();
        let now = Instant::now();
        match call.path.as_str() {
            "/v3/kv/range" => with(call, |range: Range| Some(state.store.range(&range))),
            "/v3/kv/put" => with(call, |put: Put| state.change(|store| store.put(&put))),
            "/v3/kv/txn" => with(call, |txn: Txn| state.change(|store| store.txn(&txn))),
            "/v3/lease/grant" => with(call, |lease: Lease| Some(state.store.grant(lease, now))),
            "/v3/lease/keepalive" => with(call, |id: LeaseId| {
                Some(StreamReply { result: state.store.keep_alive(id.id, now) })
            }),
            "/v3/lease/revoke" => {
                with(call, |id: LeaseId| state.change(|store| store.revoke(id.id)))
            }
            "/v3/watch" => match call.json::<WatchRequest>() {
                Ok(watching) => state.watch(watching.create_request),
                Err(_) => Reply::status(StatusCode::BAD_REQUEST),
            },
            _ => Reply::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Answers a call; a call that the service does not carry out is refused.
fn with<Q: DeserializeOwned, R: Serialize>(
    call: &Call,
    answer: impl FnOnce(Q) -> Option<R>,
) -> Reply {
    match call.json().ok().and_then(answer) {
        Some(reply) => Reply::json(StatusCode::OK, &reply),
        None => Reply::status(StatusCode::BAD_REQUEST),
    }
}

impl State {
    /// Changes the store, and tells the watches what changed.
    fn change<R>(&mut self, change: impl FnOnce(&mut Store) -> R) -> R {
        let result = change(&mut self.store);
        let header = self.store.header();
        let events = self.store.take_changes();
        if events.is_empty() {
            return result;
        }
        self.watches.retain(|(range, watcher)| {
            let within = |key: &[u8]| store::contains(&range.key, &range.range_end, key);
            let events: Vec<_> = events.iter().filter(|e| within(&e.kv.key)).cloned().collect();
            let told = WatchReply { header: header.clone(), created: false, events };
            told.events.is_empty() || send(watcher, told)
        });
        result
    }

    fn watch(&mut self, range: WatchRange) -> Reply {
        let (watcher, receiver) = mpsc::channel(WATCH_QUEUE);
        let header = self.store.header();
        send(&watcher, WatchReply { header, created: true, events: Vec::new() });
        self.watches.push((range, watcher));
        Reply::Stream(receiver)
    }
}

/// Tells a watcher; returns whether it still listens.
fn send(watcher: &mpsc::Sender<Bytes>, told: WatchReply) -> bool {
    let Ok(mut line) = serde_json::to_vec(&StreamReply { result: told }) else {
        return false;
    };
    line.push(b'\n');
    watcher.try_send(line.into()).is_ok()
}

/// Serves the service until the switch tells it to die; the contents outlive it.
pub async fn serve(listener: TcpListener, service: Service, switch: Switch) {
    let faults = switch.clone();
    let handler = move |call| service.clone().answer(call, faults.clone());
    http::serve(listener, switch, handler).await;
}
