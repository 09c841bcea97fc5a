//! An engine of a plain service, which registers in the store and answers requests.

use std::net::{SocketAddr, TcpListener};
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

/// Segment of the paths of requests that crash each engine that begins to run them.
pub const CRASHING: &str = "crashing";

/// Time after which an engine that has crashed is back.
const DOWN: Duration = Duration::from_secs(4);

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
    /// Whether it has crashed and is not back yet.
    is_down: bool,
    /// Number of starts.
    starts: u32,
    /// Unix time of its last start in milliseconds.
    born: u128,
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
        let engine = Self {
            id,
            address,
            zone: zone.to_owned(),
            service,
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        engine.begin(listener);
        let beating = engine.clone();
        thread::spawn(move || {
            thread::sleep(phase);
            while !beating.lock().has_exited {
                if !beating.lock().is_down {
                    beating.register();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Begins a run of the engine, which knows nothing of those before.
    fn begin(&self, listener: TcpListener) {
        let start = {
            let mut state = self.lock();
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            state.born = since.map_or(0, |time| time.as_millis());
            state.starts += 1;
            state.sequence = 0;
            state.is_down = false;
            state.starts
        };
        self.register();
        let (served, listening) = (self.clone(), self.clone());
        let is_closed = move || !listening.is_running(start);
        http::serve(listener, is_closed, move |message| served.answer(&message, start));
    }

    /// Returns whether the run with the number `start` goes on.
    fn is_running(&self, start: u32) -> bool {
        let state = self.lock();
        !state.has_exited && !state.is_down && state.starts == start
    }

    /// Crashes: sends nothing more, refuses connections, and is back under the same id a little later.
    fn crash(&self, request: &str) {
        self.lock().is_down = true;
        self.record.line(&format!("{}: is crashed by {request}", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN);
            let listener = TcpListener::bind(engine.address).expect("the engine's own port");
            engine.record.line(&format!("{}: is back", engine.id));
            engine.begin(listener);
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("an engine")
    }

    /// Writes the registration, and returns whether the store acknowledged it.
    fn register(&self) -> bool {
        let (sequence, born, state) = {
            let mut state = self.lock();
            state.sequence += 1;
            let name = if state.is_draining { "draining" } else { "ready" };
            (state.sequence, state.born, name)
        };
        let Self { id, address, zone, service, .. } = self;
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

    /// Answers a request that reaches the run with the number `start`; `None` if that ends meanwhile.
    fn answer(&self, message: &Message, start: u32) -> Option<Vec<u8>> {
        let request = message.header("oriolelanding-request-id").unwrap_or_default().to_owned();
        if !self.is_running(start) {
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
        self.lock().running -= 1;
        if !self.is_running(start) {
            self.record.line(&format!("{}: {request} was cut off by its end", self.id));
            return None;
        }
        if message.path().contains(CRASHING) {
            self.crash(&request);
            return None;
        }
        headers.push(("oriolelanding-request-id", request));
        headers.push(("oriolelanding-response-signature", self.id.clone()));
        Some(http::response(200, &headers, b"the whole answer"))
    }
}
