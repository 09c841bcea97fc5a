//! An engine of a plain service, which registers in the store and answers requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Interval at which an engine writes its registration.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time that an engine works on a request.
const WORK: Duration = Duration::from_millis(60);

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: String,
}

#[derive(Default)]
struct State {
    is_draining: bool,
    has_exited: bool,
    limit: Option<String>,
    sequence: u64,
    arrivals: Vec<Arrival>,
    /// Requests in progress.
    running: usize,
    /// Requests that were in progress when it exited.
    cut: usize,
}

/// An engine. Clones share it.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    zone: String,
    service: &'static str,
    born: u128,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Engine {
    /// Starts an engine, whose first heartbeat comes after `phase`.
    pub fn start(
        id: String,
        zone: &str,
        service: &'static str,
        phase: Duration,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = http::listen();
        let address = listener.local_addr().expect("the address of a listener");
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Self {
            id,
            address,
            zone: zone.to_owned(),
            service,
            born: since.map_or(0, |time| time.as_millis()),
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        engine.register();
        let (served, beating, listening) = (engine.clone(), engine.clone(), engine.clone());
        let is_closed = move || listening.lock().has_exited;
        http::serve(listener, is_closed, move |message| served.answer(&message));
        thread::spawn(move || {
            thread::sleep(phase);
            while !beating.lock().has_exited {
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("an engine")
    }

    /// Writes the registration, and returns whether the store acknowledged it.
    fn register(&self) -> bool {
        let (sequence, state) = {
            let mut state = self.lock();
            state.sequence += 1;
            (state.sequence, if state.is_draining { "draining" } else { "ready" })
        };
        let Self { id, address, zone, service, born, .. } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"born\":{born},\"sequence\":{sequence}}}"
        );
        self.store.put(&format!("servers/{id}"), &value)
    }

    /// Reports that it is draining, and returns when the store acknowledged that.
    pub fn drain(&self) -> Instant {
        self.lock().is_draining = true;
        let is_acknowledged = self.register();
        self.record
            .line(&format!("{}: reports draining, acknowledged: {is_acknowledged}", self.id));
        Instant::now()
    }

    /// Exits: its registration is removed, what it runs is cut off, and its port refuses connections.
    pub fn exit(&self) {
        let mut state = self.lock();
        state.has_exited = true;
        state.cut = state.running;
        drop(state);
        self.store.remove(&format!("servers/{}", self.id));
        self.record.line(&format!("{}: exits", self.id));
    }

    /// Returns how many requests were in progress when it exited.
    pub fn cut(&self) -> usize {
        self.lock().cut
    }

    /// Names a limit in all answers from now on.
    pub fn name_limit(&self, limit: &str) {
        self.record.line(&format!("{}: names Server-Limit {limit}", self.id));
        self.lock().limit = Some(limit.to_owned());
    }

    /// Returns the requests that reached it so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Answers a request; `None` if the engine exits meanwhile.
    fn answer(&self, message: &Message) -> Option<Vec<u8>> {
        let request = message.header("oriolelanding-request-id").unwrap_or_default().to_owned();
        if self.lock().has_exited {
            return None;
        }
        let (is_draining, limit) = {
            let state = self.lock();
            (state.is_draining, state.limit.clone())
        };
        let mut headers = vec![("oriolelanding-instance-id", self.id.clone())];
        headers.extend(is_draining.then(|| ("server-leaving", "1".to_owned())));
        headers.extend(limit.map(|limit| ("server-limit", limit)));
        if message.path() == "/health" {
            return Some(http::response(if is_draining { 503 } else { 200 }, &headers, b""));
        }
        if message.header("oriolelanding-target-instance").is_some_and(|id| id != self.id) {
            self.record.line(&format!("{}: {request} is for another engine: 421", self.id));
            return Some(http::response(421, &headers, b""));
        }
        {
            let mut state = self.lock();
            state.arrivals.push(Arrival { at: Instant::now(), request: request.clone() });
            state.running += 1;
        }
        self.record.line(&format!("{}: runs {request}", self.id));
        thread::sleep(WORK);
        let mut state = self.lock();
        state.running -= 1;
        if state.has_exited {
            self.record.line(&format!("{}: {request} was cut off by its exit", self.id));
            return None;
        }
        drop(state);
        headers.push(("oriolelanding-request-id", request));
        headers.push(("oriolelanding-response-signature", self.id.clone()));
        Some(http::response(200, &headers, b"the whole answer"))
    }
}
