//! The platform's metadata store, as its protocol page describes it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};

/// Most items of one page of a range.
const PAGE: usize = 50;

/// Longest time for which a watch waits without looking at the leases.
const WATCH_STEP: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let data = Data { revision: 10, ..Data::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(data), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key without a condition, as the operator and the engines do.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.shared.0.lock().expect("lock the store");
        data.revision += 1;
        data.write(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut data = self.shared.0.lock().expect("lock the store");
        data.revision += 1;
        data.remove(key);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut read = BufReader::new(read);
        while let Ok(Some(head)) = http::head(&mut read) {
            let Ok(body) = http::request_body(&mut read, &head) else { return };
            let answer = self.answer(&head, &body);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> Vec<u8> {
        let path = head.path();
        let prefix = head.query("prefix").unwrap_or_default();
        match path {
            "/v1/kv-key" => self.key(&head.query("key").unwrap_or_default()),
            "/v1/kv-range" => self.range(&prefix, &head.query("after").unwrap_or_default()),
            "/v1/kv-watch" => {
                let number = |name| head.query(name).and_then(|v| v.parse().ok()).unwrap_or(0);
                self.watch(&prefix, number("after"), Duration::from_millis(number("wait_ms")))
            }
            "/v1/kv-txn" => self.txn(&json::parse(body).unwrap_or(Value::List(vec![]))),
            "/v1/kv-lease" => self.lease(&json::parse(body).unwrap_or(Value::List(vec![]))),
            _ => match path.strip_prefix("/v1/kv-keep/").and_then(|id| id.parse().ok()) {
                Some(lease) => self.keep(lease),
                None => http::json("404 Not Found", "{}"),
            },
        }
    }

    fn key(&self, key: &str) -> Vec<u8> {
        let mut data = self.shared.0.lock().expect("lock the store");
        data.expire();
        match data.items.get(key) {
            Some(item) => http::json("200 OK", &item.text(key, Some(data.revision))),
            None => http::json("404 Not Found", "{}"),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Vec<u8> {
        let mut data = self.shared.0.lock().expect("lock the store");
        data.expire();
        let found = data.items.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let found: Vec<String> = found.map(|(k, item)| item.text(k, None)).collect();
        let (has_more, page) = (found.len() > PAGE, found.len().min(PAGE));
        let items = found[..page].join(",");
        let as_of = data.revision;
        http::json(
            "200 OK",
            &format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{as_of}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Vec<u8> {
        let began = Instant::now();
        let mut data = self.shared.0.lock().expect("lock the store");
        loop {
            data.expire();
            let is_new = |e: &&Event| e.revision > after && e.key.starts_with(prefix);
            let events: Vec<String> = data.events.iter().filter(is_new).map(Event::text).collect();
            if !events.is_empty() || began.elapsed() >= wait {
                let (events, as_of) = (events.join(","), data.revision);
                let text = format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#);
                return http::json("200 OK", &text);
            }
            let left = wait.saturating_sub(began.elapsed()).min(WATCH_STEP);
            data = self.shared.1.wait_timeout(data, left).expect("wait in the store").0;
        }
    }

    fn txn(&self, txn: &Value) -> Vec<u8> {
        let mut data = self.shared.0.lock().expect("lock the store");
        data.expire();
        let rows = |name| txn.get(name).map(Value::items).unwrap_or_default();
        let field = |row: &Value, name| row.get(name).map(|v| v.text().to_owned());
        let key = |row: &Value| field(row, "key").unwrap_or_default();
        let number = |row: &Value, name| row.get(name).map_or(0, Value::number);
        let conditions = rows("precondition");
        let holds = |row: &Value| {
            data.items.get(&key(row)).map_or(0, |i| i.revision) == number(row, "revision")
        };
        if !conditions.iter().all(holds) {
            let current = conditions.iter().filter_map(|row| {
                let key = key(row);
                data.items.get(&key).map(|item| item.text(&key, None))
            });
            let items = current.collect::<Vec<_>>().join(",");
            return http::json("412 Precondition Failed", &format!(r#"{{"items":[{items}]}}"#));
        }
        let lease = |row: &Value| number(row, "lease");
        if rows("writes").iter().any(|w| lease(w) > 0 && !data.leases.contains_key(&lease(w))) {
            return http::json("404 Not Found", "{}");
        }
        data.revision += 1;
        for row in rows("writes") {
            data.write(&key(row), field(row, "value").unwrap_or_default(), lease(row));
        }
        for row in rows("remove") {
            data.remove(row.text());
        }
        self.shared.1.notify_all();
        http::json("200 OK", &format!(r#"{{"revision":{}}}"#, data.revision))
    }

    fn lease(&self, request: &Value) -> Vec<u8> {
        let ttl = request.get("ttl_ms").map_or(0, Value::number);
        let mut data = self.shared.0.lock().expect("lock the store");
        data.revision += 1;
        let lease = 70_000 + data.revision;
        let ttl_time = Duration::from_millis(ttl);
        data.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
        http::json("200 OK", &format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
    }

    fn keep(&self, lease: u64) -> Vec<u8> {
        let mut data = self.shared.0.lock().expect("lock the store");
        data.expire();
        match data.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                http::json("200 OK", &format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            None => http::json("404 Not Found", "{}"),
        }
    }
}

impl Data {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
        let item = Item { value, revision, created_at, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.events.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

impl Item {
    fn text(&self, key: &str, as_of: Option<u64>) -> String {
        let Self { value, revision, created_at, lease } = self;
        let as_of = as_of.map_or(String::new(), |as_of| format!(r#","as_of":{as_of}"#));
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created_at":{created_at},"lease":{lease}{as_of}}}"#
        )
    }
}

impl Event {
    fn text(&self) -> String {
        match &self.item {
            Some(item) => item.text(&self.key, None),
            None => {
                let Self { key, revision, .. } = self;
                format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#)
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = padded.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
