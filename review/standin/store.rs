//! The platform's metadata store: items with revisions, watches, conditional writes and leases that expire.
//!
//! It can come back from an older copy, and lose the answers of writes that it carries out late.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Value};
use crate::record::Record;

/// Interval at which leases are checked and copies are taken.
const TICK: Duration = Duration::from_millis(50);

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Age above which copies are forgotten.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);

/// Prefixes of keys that the operator and the engines write.
const PLATFORM_PREFIXES: [&str; 2] = ["op/", "servers/"];

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// What a copy holds.
#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    last_lease: u64,
}

#[derive(Default)]
struct Inner {
    content: Content,
    /// Changes with their revisions, keys and events.
    history: Vec<(u64, String, String)>,
    /// Revision after which the history is complete.
    history_after: u64,
    copies: Vec<(Instant, Content)>,
    era: u64,
    is_away: bool,
    /// Prefix of the keys whose next writes get no answer, how many of them, and when they are carried out.
    losing: Option<(String, usize, Duration)>,
    /// Writes by clients so far, and those of them that got no answer.
    writes: usize,
    lost: usize,
    /// Reads of ranges so far.
    ranges: usize,
}

/// A store. Clones share it.
#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start(record: &Record) -> Self {
        let listener = http::listen();
        let address = listener.local_addr().expect("the address of a listener");
        let inner = Inner { era: 1, ..Inner::default() };
        let inner = Arc::new((Mutex::new(inner), Condvar::new()));
        let store = Self { inner, record: record.clone(), address };
        let served = store.clone();
        http::serve(listener, || false, move |message| served.answer(&message));
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().expect("the store")
    }

    /// Writes an item as the operator or an engine does, and returns whether the store acknowledges it.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut inner = self.lock();
        if inner.is_away {
            return false;
        }
        inner.write(key, base64(value.as_bytes()), 0);
        self.inner.1.notify_all();
        true
    }

    /// Removes an item, as an engine that leaves does.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.inner.1.notify_all();
    }

    /// Returns whether there is an item with this key.
    pub fn has(&self, key: &str) -> bool {
        self.lock().content.items.contains_key(key)
    }

    /// Returns how many reads of ranges there have been.
    pub fn ranges(&self) -> usize {
        self.lock().ranges
    }

    /// Returns the writes by clients so far, and how many of them got no answer.
    pub fn writes(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.writes, inner.lost)
    }

    /// Goes away for `away`, and comes back from a copy that was `age` old when it went. What the operator and
    /// the engines wrote is written again.
    pub fn drill(&self, age: Duration, away: Duration) {
        let written: Vec<(String, String)> = {
            let mut inner = self.lock();
            inner.is_away = true;
            let before = inner.content.revision;
            let at = Instant::now() - age;
            let copy = inner.copies.iter().rev().find(|(taken, _)| *taken <= at);
            let copy = copy.expect("a copy of that age").1.clone();
            self.record.line(&format!(
                "drill: the store is away; its revision was {before}, that of the copy is {}",
                copy.revision
            ));
            let is_platform = |key: &str| PLATFORM_PREFIXES.iter().any(|p| key.starts_with(p));
            let items = inner.content.items.iter().filter(|(key, _)| is_platform(key));
            let written = items.map(|(key, item)| (key.clone(), item.value.clone())).collect();
            inner.content = copy;
            inner.history.clear();
            inner.history_after = inner.content.revision;
            inner.copies.clear();
            inner.era += 1;
            self.inner.1.notify_all();
            written
        };
        thread::sleep(away);
        let mut inner = self.lock();
        inner.is_away = false;
        let now = Instant::now();
        for lease in inner.content.leases.values_mut() {
            lease.until = now + lease.ttl;
        }
        for (key, value) in written {
            inner.write(&key, value, 0);
        }
        let revision = inner.content.revision;
        self.record.line(&format!("drill: the store is back at revision {revision}"));
        self.inner.1.notify_all();
    }

    /// Carries the next `count` writes to keys that begin with `prefix` out only after `delay`, without an
    /// answer, if their leases still run then.
    pub fn lose_answers(&self, prefix: &str, count: usize, delay: Duration) {
        self.lock().losing = Some((prefix.to_owned(), count, delay));
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        if inner.is_away {
            return;
        }
        let ended: Vec<u64> = {
            let leases = inner.content.leases.iter();
            leases.filter(|(_, lease)| lease.until <= now).map(|(number, _)| *number).collect()
        };
        for number in ended {
            inner.content.leases.remove(&number);
            let items = inner.content.items.iter().filter(|(_, item)| item.lease == number);
            let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.record.line(&format!("store: lease {number} of {key} has ended"));
                inner.remove(&key);
                self.inner.1.notify_all();
            }
        }
        let content = inner.content.clone();
        inner.copies.push((now, content));
        inner.copies.retain(|(taken, _)| now - *taken < MAX_COPY_AGE);
    }

    fn answer(&self, message: &Message) -> Option<Vec<u8>> {
        thread::sleep(ANSWER_TIME);
        if self.lock().is_away {
            return None;
        }
        let body = json::parse(&message.body);
        let (status, text) = match message.path() {
            "/v1/kv-key" => self.item(message),
            "/v1/kv-range" => self.range(message),
            "/v1/kv-watch" => self.watch(message)?,
            "/v1/kv-txn" => self.commit(&body)?,
            "/v1/kv-lease" => self.grant(&body),
            path => match path.strip_prefix("/v1/kv-keep/").and_then(|text| text.parse().ok()) {
                Some(number) => self.keep(number),
                None => (404, "{}".to_owned()),
            },
        };
        let era = self.lock().era;
        let headers =
            [("content-type", "application/json".to_owned()), ("store-era", era.to_string())];
        Some(http::response(status, &headers, text.as_bytes()))
    }

    fn item(&self, message: &Message) -> (u16, String) {
        let key = message.query("key").unwrap_or_default();
        let inner = self.lock();
        match inner.content.items.get(&key) {
            Some(item) => (200, item.text(&key)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, message: &Message) -> (u16, String) {
        let prefix = message.query("prefix").unwrap_or_default();
        let mut inner = self.lock();
        inner.ranges += 1;
        let items = inner.content.items.iter().filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<String> = items.map(|(key, item)| item.text(key)).collect();
        let (items, revision) = (items.join(","), inner.content.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{revision}}}"))
    }

    fn watch(&self, message: &Message) -> Option<(u16, String)> {
        let number = |name| message.query(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let prefix = message.query("prefix").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.lock();
        let era = inner.era;
        if after > inner.content.revision || after < inner.history_after {
            return Some((410, "{}".to_owned()));
        }
        loop {
            if inner.is_away || inner.era != era {
                return None;
            }
            let is_new =
                |(at, key, _): &&(u64, String, String)| *at > after && key.starts_with(&prefix);
            let events: Vec<&str> =
                inner.history.iter().filter(is_new).map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), inner.content.revision);
                return Some((200, format!("{{\"events\":[{events}],\"as_of\":{revision}}}")));
            }
            inner = self.inner.1.wait_timeout(inner, left).expect("the store").0;
        }
    }

    fn commit(&self, body: &Value) -> Option<(u16, String)> {
        let mut inner = self.lock();
        inner.writes += 1;
        let key = body.get("writes").list().first().map_or("", |row| row.get("key").text());
        if let Some((prefix, count, delay)) = &mut inner.losing {
            if *count > 0 && key.starts_with(prefix.as_str()) {
                *count -= 1;
                let delay = *delay;
                inner.lost += 1;
                self.record.line(&format!("store: the write of {key} is done late, no answer"));
                drop(inner);
                thread::sleep(delay);
                let (status, _) = self.lock().commit(body);
                self.record.line(&format!("store: the late write of {key} is done: {status}"));
                self.inner.1.notify_all();
                return None;
            }
        }
        let answer = inner.commit(body);
        self.inner.1.notify_all();
        Some(answer)
    }

    fn grant(&self, body: &Value) -> (u16, String) {
        let ttl = body.get("ttl_ms").number().clamp(1000, 600_000);
        let mut inner = self.lock();
        inner.writes += 1;
        inner.content.last_lease += 1;
        let (number, ttl_time) = (inner.content.last_lease, Duration::from_millis(ttl));
        let lease = Lease { ttl: ttl_time, until: Instant::now() + ttl_time };
        inner.content.leases.insert(number, lease);
        (200, format!("{{\"lease\":{number},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, number: u64) -> (u16, String) {
        match self.lock().content.leases.get_mut(&number) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl Inner {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.content.revision += 1;
        let revision = self.content.revision;
        let created = self.content.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), item.text(key)));
        self.content.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        self.content.revision += 1;
        let revision = self.content.revision;
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
        self.history.push((revision, key.to_owned(), event));
        self.content.items.remove(key);
    }

    fn commit(&mut self, body: &Value) -> (u16, String) {
        let conditions = body.get("precondition").list();
        let revision = |key: &str| self.content.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Value| row.get("revision").number() == revision(row.get("key").text());
        if !conditions.iter().all(holds) {
            let current = conditions.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(self.content.items.get(key)?.text(key))
            });
            let items: Vec<String> = current.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.get("writes").list();
        let has_lease = |number: u64| number == 0 || self.content.leases.contains_key(&number);
        if !writes.iter().all(|row| has_lease(row.get("lease").number())) {
            return (404, "{}".to_owned());
        }
        for row in writes {
            let value = row.get("value").text().to_owned();
            self.write(row.get("key").text(), value, row.get("lease").number());
        }
        for row in body.get("remove").list() {
            self.remove(row.text());
        }
        (200, format!("{{\"revision\":{}}}", self.content.revision))
    }
}

impl Item {
    fn text(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created_at\":{created},\"lease\":{lease}}}"
        )
    }
}

/// Encodes bytes as standard base64 text with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
