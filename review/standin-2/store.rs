//! A stand-in of the platform's metadata store.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Head};
use crate::json::Json;

const JSON: &str = "Content-Type: application/json\r\n";

#[derive(Clone)]
struct Item {
    /// As base64 text.
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Revision, key and the item, which is missing if the key was removed.
    history: VecDeque<(u64, String, Option<Item>)>,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store without items.
    pub fn start() -> std::io::Result<Self> {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 10;
        let shared = state.clone();
        let address = http::listen(move |conn| serve(&shared, conn))?;
        let shared = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expire(&shared);
            }
        });
        Ok(Self { state, address })
    }

    /// Writes an item, as the operator and the engines do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        put(&mut state, key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }
}

fn put(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created_at = state.items.get(key).map_or(revision, |item| item.created_at);
    let item = Item { value, revision, created_at, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push_back((revision, key.to_owned(), Some(item)));
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        state.history.push_back((revision, key.to_owned(), None));
    }
}

fn expire(shared: &(Mutex<State>, Condvar)) {
    let mut state = shared.0.lock().unwrap();
    let now = Instant::now();
    let over: Vec<u64> =
        state.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(l, _)| *l).collect();
    for lease in over {
        end_lease(&mut state, lease);
    }
    shared.1.notify_all();
}

fn end_lease(state: &mut State, lease: u64) {
    state.leases.remove(&lease);
    let keys: Vec<String> =
        state.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
    keys.iter().for_each(|key| remove(state, key));
}

fn serve(shared: &(Mutex<State>, Condvar), mut conn: Conn) {
    while let Ok(head) = conn.head() {
        let Ok(body) = conn.body(&head) else { return };
        let (status, text) = answer(shared, &head, &body);
        if conn.respond(status, JSON, text.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(shared: &(Mutex<State>, Condvar), head: &Head, body: &[u8]) -> (&'static str, String) {
    let query = |name| head.query(name).unwrap_or_default();
    match (head.word(0), head.path()) {
        ("GET", "/v1/kv-key") => {
            let state = shared.0.lock().unwrap();
            let key = query("key");
            match state.items.get(&key) {
                Some(item) => ("200 OK", item_json(&key, item, Some(state.revision))),
                None => ("404 Not Found", "{}".into()),
            }
        }
        ("GET", "/v1/kv-range") => {
            range(&shared.0.lock().unwrap(), &query("prefix"), &query("after"))
        }
        ("GET", "/v1/kv-watch") => {
            let after = query("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
            watch(shared, &query("prefix"), after, wait)
        }
        ("POST", "/v1/kv-txn") => {
            let answer = txn(&mut shared.0.lock().unwrap(), body);
            shared.1.notify_all();
            answer
        }
        ("POST", "/v1/kv-lease") => {
            let ttl =
                Json::parse(&String::from_utf8_lossy(body)).map_or(0, |j| j.get("ttl_ms").number());
            let mut state = shared.0.lock().unwrap();
            state.next_lease += 1;
            let (lease, ttl) = (77_000 + state.next_lease, Duration::from_millis(ttl));
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            ("200 OK", format!(r#"{{"lease":{lease},"ttl_ms":{}}}"#, ttl.as_millis()))
        }
        (_, path) => {
            let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
            let mut state = shared.0.lock().unwrap();
            let Some((until, ttl)) = state.leases.get_mut(&lease) else {
                return ("404 Not Found", "{}".into());
            };
            *until = Instant::now() + *ttl;
            let text = format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis());
            if path.starts_with("/v1/kv-lease-end/") {
                end_lease(&mut state, lease);
                shared.1.notify_all();
            }
            ("200 OK", text)
        }
    }
}

fn item_json(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let Item { value, revision, created_at, lease } = item;
    let as_of = as_of.map_or(String::new(), |as_of| format!(r#","as_of":{as_of}"#));
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created_at":{created_at},"lease":{lease}{as_of}}}"#
    )
}

fn range(state: &State, prefix: &str, after: &str) -> (&'static str, String) {
    const PAGE: usize = 500;
    let of_prefix = state.items.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
    let all: Vec<String> = of_prefix.map(|(k, i)| item_json(k, i, None)).collect();
    let has_more = all.len() > PAGE;
    let items = all.into_iter().take(PAGE).collect::<Vec<_>>().join(",");
    let as_of = state.revision;
    ("200 OK", format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{as_of}}}"#))
}

fn watch(
    shared: &(Mutex<State>, Condvar),
    prefix: &str,
    after: u64,
    wait: Duration,
) -> (&'static str, String) {
    let until = Instant::now() + wait;
    let mut state = shared.0.lock().unwrap();
    loop {
        let event = |(revision, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => item_json(key, item, None),
            None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
        };
        let later = state.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(prefix));
        let events: Vec<String> = later.map(event).collect();
        let now = Instant::now();
        if !events.is_empty() || now >= until {
            let (events, as_of) = (events.join(","), state.revision);
            return ("200 OK", format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
        }
        state = shared.1.wait_timeout(state, until - now).unwrap().0;
    }
}

fn txn(state: &mut State, body: &[u8]) -> (&'static str, String) {
    let Some(txn) = Json::parse(&String::from_utf8_lossy(body)) else {
        return ("400 Bad Request", "{}".into());
    };
    let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let conditions = txn.get("precondition").list();
    if conditions.iter().any(|c| revision_of(c.get("key").text()) != c.get("revision").number()) {
        let current = |condition: &Json| {
            let key = condition.get("key").text();
            match state.items.get(key) {
                Some(item) => item_json(key, item, None),
                None => format!(r#"{{"key":"{key}","value":"","revision":0,"lease":0}}"#),
            }
        };
        let items = conditions.iter().map(current).collect::<Vec<_>>().join(",");
        return ("412 Precondition Failed", format!(r#"{{"items":[{items}]}}"#));
    }
    let writes = txn.get("writes").list();
    let lease = |write: &Json| write.get("lease").number();
    if writes.iter().any(|w| lease(w) != 0 && !state.leases.contains_key(&lease(w))) {
        return ("404 Not Found", "{}".into());
    }
    for write in writes {
        put(state, write.get("key").text(), write.get("value").text().to_owned(), lease(write));
    }
    for key in txn.get("remove").list() {
        remove(state, key.text());
    }
    ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= group.len() { digit } else { '=' });
        }
    }
    out
}
