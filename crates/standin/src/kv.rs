//! A key-value service: a single in-memory node with the API of etcd v3's JSON gateway.
//!
//! [`Switch`] injects crashes, stalls, failed calls, and replies that are lost after the call was
//! applied. [`Service`] adds a rollback to a backup, delays and dropped watches, and counts calls.

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

/// Messages that are queued for a slow watcher; one more drops the watch.
const MAX_QUEUED_WATCH_MESSAGES: usize = 1024;

/// The service's data and some of its faults; usable from any thread. Clones share them.
#[derive(Clone, Debug)]
pub struct Service {
    state: Arc<Mutex<State>>,
    delay: Arc<watch::Sender<Duration>>,
}

#[derive(Debug)]
struct State {
    store: Store,
    backup: Option<Store>,
    /// Watched ranges, each with the channel to its watcher.
    watches: Vec<(WatchRange, mpsc::Sender<Bytes>)>,
    /// Number of calls by path.
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
    /// Takes a backup of the current data, which replaces the last backup.
    pub fn back_up(&self) {
        let mut state = self.lock();
        state.backup = Some(state.store.clone());
    }

    /// Restores the data from the last backup, if there is one, and drops all watches.
    pub fn restore_backup(&self) {
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

    /// Sets the time that each call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    /// Writes a key directly, unaffected by any fault.
    pub fn overwrite(&self, key: &str, value: &[u8]) {
        let put = Put { key: key.as_bytes().to_vec(), value: value.to_vec(), lease: 0 };
        self.lock().update(|store| store.put(&put));
    }

    /// Returns the value of a key, or `None` if the key does not exist.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let range = Range { key: key.as_bytes().to_vec(), ..Range::default() };
        let reply = self.lock().store.range(&range);
        reply.kvs.into_iter().next().map(|kv| kv.value)
    }

    /// Returns the number of calls since the start, by path; calls that failed count as well.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.lock().calls.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No panic leaves the state half changed, so a poisoned lock can still be used.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, call: Call, switch: Switch) -> Reply {
        *self.lock().calls.entry(call.path.clone()).or_default() += 1;
        switch.wait_while_stalled().await;
        let delay = *self.delay.borrow();
        sleep(delay).await;
        if switch.take_failure() {
            return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.lock().update(|store| store.expire(Instant::now()));
        let reply = self.route(&call);
        if switch.take_lost_reply() { Reply::Disconnect } else { reply }
    }

    fn route(&self, call: &Call) -> Reply {
        let mut state = self.lock();
        let now = Instant::now();
        match call.path.as_str() {
            "/v3/kv/range" => respond(call, |range: Range| Some(state.store.range(&range))),
            "/v3/kv/put" => respond(call, |put: Put| state.update(|store| store.put(&put))),
            "/v3/kv/txn" => respond(call, |txn: Txn| state.update(|store| store.txn(&txn))),
            "/v3/lease/grant" => respond(call, |lease: Lease| Some(state.store.grant(lease, now))),
            "/v3/lease/keepalive" => respond(call, |id: LeaseId| {
                Some(StreamReply { result: state.store.keep_alive(id.id, now) })
            }),
            "/v3/lease/revoke" => {
                respond(call, |id: LeaseId| state.update(|store| store.revoke(id.id)))
            }
            "/v3/watch" => match call.json::<WatchRequest>() {
                Ok(watching) => state.watch(watching.create_request),
                Err(_) => Reply::status(StatusCode::BAD_REQUEST),
            },
            _ => Reply::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Decodes a call and replies with the result of `answer`, or with 400 if the call cannot be
/// decoded or `answer` returns `None`.
fn respond<Q: DeserializeOwned, R: Serialize>(
    call: &Call,
    answer: impl FnOnce(Q) -> Option<R>,
) -> Reply {
    match call.json().ok().and_then(answer) {
        Some(reply) => Reply::json(StatusCode::OK, &reply),
        None => Reply::status(StatusCode::BAD_REQUEST),
    }
}

impl State {
    /// Changes the store and sends the changes to the watches of their keys. Drops watches whose
    /// queue is full or whose caller has left.
    fn update<R>(&mut self, change: impl FnOnce(&mut Store) -> R) -> R {
        let result = change(&mut self.store);
        let header = self.store.header();
        let events = self.store.take_changes();
        if events.is_empty() {
            return result;
        }
        self.watches.retain(|(range, watcher)| {
            let in_range = |key: &[u8]| store::contains(&range.key, &range.range_end, key);
            let events: Vec<_> = events.iter().filter(|e| in_range(&e.kv.key)).cloned().collect();
            let message = WatchReply { header: header.clone(), created: false, events };
            message.events.is_empty() || send(watcher, message)
        });
        result
    }

    /// Starts a watch from now on; its first message confirms it.
    fn watch(&mut self, range: WatchRange) -> Reply {
        let (watcher, receiver) = mpsc::channel(MAX_QUEUED_WATCH_MESSAGES);
        let header = self.store.header();
        send(&watcher, WatchReply { header, created: true, events: Vec::new() });
        self.watches.push((range, watcher));
        Reply::Stream(receiver)
    }
}

/// Queues a message for a watcher; returns false if its queue is full or its caller has left.
fn send(watcher: &mpsc::Sender<Bytes>, message: WatchReply) -> bool {
    let Ok(mut line) = serde_json::to_vec(&StreamReply { result: message }) else {
        return false;
    };
    line.push(b'\n');
    watcher.try_send(line.into()).is_ok()
}

/// Serves the service until `switch` makes it crash. The data survives the crash.
pub async fn serve(listener: TcpListener, service: Service, switch: Switch) {
    let faults = switch.clone();
    let handler = move |call| service.clone().answer(call, faults.clone());
    http::serve(listener, switch, handler).await;
}
