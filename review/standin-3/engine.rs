//! Engines: model engines that hold all layers, and engines of a plain service.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::store::Store;

/// Interval at which an engine writes its registration.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Heartbeat intervals of silence after which the platform removes a registration.
const EXPIRY_HEARTBEATS: u32 = 3;

/// Time before a heartbeat at which an engine is cut off.
const BEFORE_HEARTBEAT: Duration = Duration::from_millis(50);

/// Interval at which a listener looks whether its engine has ended.
const ACCEPT_STEP: Duration = Duration::from_millis(2);

/// Layers of the model, all of which each model engine holds.
pub const LAYERS: u32 = 80;

/// One request at an engine.
pub struct Call<'a> {
    /// The engine.
    pub engine: &'a Engine,
    /// The head of the request.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection.
    pub stream: &'a mut TcpStream,
}

impl Call<'_> {
    /// Returns the id of the request.
    pub fn id(&self) -> String {
        self.head.get("oriolelanding-request-id").unwrap_or_default().to_owned()
    }

    /// Returns the headers by which the engine proves its answer.
    pub fn proof(&self) -> String {
        let id = self.id();
        format!(
            "Oriolelanding-Request-Id: {id}\r\nOriolelanding-Response-Signature: {}.{id}\r\n",
            self.engine.id
        )
    }

    /// Writes bytes; returns whether the connection took them.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits for a time, and returns whether the connection has been closed meanwhile.
    pub fn is_closed_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let _ = self.stream.set_read_timeout(Some(time));
        let is_closed = !matches!(self.stream.peek(&mut [0]), Err(error) if is_timeout(&error));
        let _ = self.stream.set_read_timeout(None);
        thread::sleep(until.saturating_duration_since(Instant::now()));
        is_closed
    }

    /// Answers with a complete body.
    pub fn answer(&mut self, status: &str, more: &str, body: &[u8]) -> bool {
        let proof = self.proof();
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{proof}{more}Content-Length: {length}\r\n\r\n");
        let whole = [head.as_bytes(), body].concat();
        self.write(&whole)
    }
}

/// What an engine does with the requests of clients. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&mut Call<'_>) -> bool + Send + Sync>;

/// A running engine. Clones share it.
#[derive(Clone)]
pub struct Engine {
    /// Its id, which may outlast a start.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Unix time of its start in milliseconds.
    pub born: u64,
    service: String,
    has_model: bool,
    beats: Arc<AtomicU64>,
    beat_at: Arc<Mutex<Instant>>,
    is_alive: Arc<AtomicBool>,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    /// Starts an engine. `address` may name a port; port 0 picks a free one.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        has_model: bool,
        address: SocketAddr,
        handler: Handler,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("bind an engine");
        listener.set_nonblocking(true).expect("a listener that can end");
        let flag = |value| Arc::new(AtomicBool::new(value));
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address of an engine"),
            born: unix_ms(),
            service: service.to_owned(),
            has_model,
            beats: Arc::default(),
            beat_at: Arc::new(Mutex::new(Instant::now())),
            is_alive: flag(true),
            is_cut: flag(false),
            open: Arc::default(),
        };
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener, &handler));
        let (beating, store) = (engine.clone(), store.clone());
        beating.register(&store);
        thread::spawn(move || {
            while beating.is_alive() {
                thread::sleep(HEARTBEAT);
                beating.register(&store);
            }
        });
        engine
    }

    /// Returns whether it runs.
    pub fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::SeqCst)
    }

    /// Ends it at once: its connections break, and its address refuses others.
    pub fn crash(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
        for stream in self.open.lock().expect("lock the connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Cuts it off from the store for a time, from just before a heartbeat: its registration goes three heartbeat
    /// intervals after the last one, and comes back at the end. Returns for how long it was gone.
    pub fn cut_from_store(&self, store: &Store, time: Duration) -> Duration {
        let last = *self.beat_at.lock().expect("lock the heartbeat");
        let begin = last + HEARTBEAT - BEFORE_HEARTBEAT;
        thread::sleep(begin.saturating_duration_since(Instant::now()));
        self.is_cut.store(true, Ordering::SeqCst);
        let expiry = last + HEARTBEAT * EXPIRY_HEARTBEATS;
        thread::sleep(expiry.saturating_duration_since(Instant::now()));
        store.remove(&format!("servers/{}", self.id));
        let removed = Instant::now();
        thread::sleep((begin + time).saturating_duration_since(Instant::now()));
        self.is_cut.store(false, Ordering::SeqCst);
        self.register(store);
        removed.elapsed()
    }

    fn register(&self, store: &Store) {
        if !self.is_alive() || self.is_cut.load(Ordering::SeqCst) {
            return;
        }
        let beat = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        *self.beat_at.lock().expect("lock the heartbeat") = Instant::now();
        let Self { service, address, born, .. } = self;
        let model = if self.has_model { self.model() } else { String::new() };
        let slots = if self.has_model { 192 } else { 6 };
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":{beat},"born":{born}{model}}}"#
        );
        store.put(&format!("servers/{}", self.id), &text);
    }

    fn model(&self) -> String {
        format!(
            r#","kind":"big","stage":"both","models":[{{"name":"m0","version":1,"adapters":[],"layers":{{"from":0,"target":{LAYERS},"version":1}}}}]"#
        )
    }

    fn accept(&self, listener: &TcpListener, handler: &Handler) {
        while self.is_alive() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_STEP);
                continue;
            };
            let (engine, handler) = (self.clone(), handler.clone());
            thread::spawn(move || engine.serve(stream, &handler));
        }
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(read), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.open.lock().expect("lock the connections").push(kept);
        let mut read = BufReader::new(read);
        while let Ok(Some(head)) = http::head(&mut read) {
            let Ok(body) = http::request_body(&mut read, &head) else { break };
            if !self.is_alive() {
                break;
            }
            let mut call = Call { engine: self, head, body, stream: &mut stream };
            if !self.respond(&mut call, handler) {
                break;
            }
        }
        let own = stream.peer_addr().ok();
        let mut open = self.open.lock().expect("lock the connections");
        open.retain(|other| own.is_some() && other.peer_addr().ok() != own);
    }

    fn respond(&self, call: &mut Call<'_>, handler: &Handler) -> bool {
        match call.head.path() {
            "/v1/report" => {
                let (born, model) = (self.born, self.model());
                let text = format!(
                    r#"{{"born":{born},"busy":false,"sequence":0,"queue_depth":0,"running_requests":0,"kv_used":0,"kv_total":90000,"handles":0,"pace":1.0,"stalled":[]{model}}}"#
                );
                call.write(&http::json("200 OK", &text))
            }
            "/v1/order" => {
                let is_place = String::from_utf8_lossy(&call.body).contains("\"place\"");
                let status = if is_place { "200 OK" } else { "404 Not Found" };
                call.write(&http::json(status, "{}"))
            }
            "/health" => {
                let id = &self.id;
                let head = format!(
                    "HTTP/1.1 200 OK\r\nOriolelanding-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                call.write(head.as_bytes())
            }
            _ => {
                let target = call.head.get("oriolelanding-target-instance");
                if target.is_some_and(|target| target != self.id) {
                    let id = call.id();
                    let head = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nOriolelanding-Request-Id: {id}\r\n\
                         Content-Length: 0\r\n\r\n"
                    );
                    return call.write(head.as_bytes());
                }
                handler(call)
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
