//! Stand-ins of engines: model engines that write streams, and plain ones.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Layers of the model; one engine holds them all.
const LAYERS: u64 = 80;

/// Tokens in one event of a stream.
const STRIDE: u64 = 4;

/// Time to load all layers.
const LOAD_TIME: Duration = Duration::from_millis(200);

/// Interval at which an engine writes its registration.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time after which work that depends on a dead engine is cut off, or refused if it has not begun.
const STALL_TIME: Duration = Duration::from_millis(2500);

/// Time for which an engine that has crashed is away.
const CRASH_TIME: Duration = Duration::from_secs(3);

/// Most connections that are kept to be closed by a crash.
const MAX_CONNECTIONS: usize = 2000;

/// All engines by address, as they reach each other.
pub type Fleet = Arc<Mutex<BTreeMap<SocketAddr, Engine>>>;

/// What an engine does, which a test may change.
pub struct Behaviour {
    /// Time between two events of a stream.
    pub event_time: Duration,
    /// Time that a plain request takes.
    pub work_time: Duration,
    /// Until when nothing is written.
    pub silent_until: Option<Instant>,
    /// Further header lines of all answers.
    pub fields: String,
    /// Whether the registration says that the engine is draining.
    pub is_draining: bool,
    /// A part of prompts that crashes the engine that begins to write an answer on it.
    pub deadly_part: Option<&'static str>,
}

/// One engine. Clones share it.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// The stages of each stream in progress that this engine has received.
    paths: Arc<Mutex<BTreeMap<String, Vec<SocketAddr>>>>,
    fleet: Fleet,
    is_model: bool,
    /// The kind of accelerator of a model engine.
    kind: &'static str,
    service: String,
    zone: String,
    record: Record,
    layers: Arc<Mutex<(u64, u64, u64)>>,
    orders: Arc<AtomicU64>,
    runs: Arc<AtomicU64>,
    pub behaviour: Arc<Mutex<Behaviour>>,
}

impl Engine {
    /// Starts an engine, which registers in the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        is_model: bool,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        Self::start_in(&Fleet::default(), "big", id, service, zone, is_model, store, record)
    }

    /// Starts an engine among others, which it reaches.
    pub fn start_in(
        fleet: &Fleet,
        kind: &'static str,
        id: &str,
        service: &str,
        zone: &str,
        is_model: bool,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let behaviour = Behaviour {
            event_time: Duration::from_millis(25),
            work_time: Duration::from_millis(60),
            silent_until: None,
            fields: String::new(),
            is_draining: false,
            deadly_part: None,
        };
        let mut engine = Self {
            id: id.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born: Arc::new(AtomicU64::new(born.as_millis() as u64)),
            is_down: Arc::default(),
            connections: Arc::default(),
            paths: Arc::default(),
            fleet: fleet.clone(),
            is_model,
            kind,
            service: service.into(),
            zone: zone.into(),
            record: record.clone(),
            layers: Arc::default(),
            orders: Arc::default(),
            runs: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
        };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        engine.address = listener.local_addr()?;
        fleet.lock().unwrap().insert(engine.address, engine.clone());
        let listening = engine.clone();
        std::thread::spawn(move || listening.listen(listener));
        let (registering, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            loop {
                if registering.is_down() {
                    std::thread::sleep(Duration::from_millis(50));
                    sequence = 0;
                    continue;
                }
                sequence += 1;
                let registration = registering.registration(sequence);
                store.put(&format!("servers/{}", registering.id), &registration);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    /// Accepts connections; while the engine is down nothing listens on its address.
    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down() {
                listener = None;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                let mut connections = self.connections.lock().unwrap();
                connections.push(copy);
                if connections.len() > MAX_CONNECTIONS {
                    connections.drain(..MAX_CONNECTIONS / 2);
                }
            }
            let engine = self.clone();
            std::thread::spawn(move || engine.serve(Conn::new(stream)));
        }
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Crashes: all connections end, and some seconds later the engine is back under its id, empty.
    fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.add(&format!("crash of {}", self.id));
        let engine = self.clone();
        std::thread::spawn(move || {
            engine.close_connections();
            std::thread::sleep(CRASH_TIME);
            engine.close_connections();
            *engine.layers.lock().unwrap() = (0, 0, 0);
            engine.orders.store(0, Ordering::SeqCst);
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            engine.born.store(now.as_millis() as u64, Ordering::SeqCst);
            engine.is_down.store(false, Ordering::SeqCst);
            engine.record.add(&format!("start of {}", engine.id));
        });
    }

    fn close_connections(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the first stage of a path that is down.
    fn dead_stage(&self, path: &[SocketAddr]) -> Option<SocketAddr> {
        let fleet = self.fleet.lock().unwrap();
        path.iter().find(|stage| fleet.get(*stage).is_none_or(Engine::is_down)).copied()
    }

    /// Returns the first stage of a path of `ADDRESS=FROM-TO` parts that does not hold its layers.
    fn stage_without_layers(&self, hops: &str) -> Option<SocketAddr> {
        let fleet = self.fleet.lock().unwrap();
        hops.split(',').find_map(|hop| {
            let (address, range) = hop.split_once('=')?;
            let (from, target) = range.split_once('-')?;
            let address = address.parse().ok()?;
            let (from, target): (u64, u64) = (from.parse().ok()?, target.parse().ok()?);
            let held = fleet.get(&address).map(Engine::layers).unwrap_or_default();
            (held.0 > from || held.1 < target).then_some(address)
        })
    }

    /// Returns the number of requests that have run.
    pub fn run_count(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    fn layers(&self) -> (u64, u64, u64) {
        *self.layers.lock().unwrap()
    }

    fn registration(&self, sequence: u64) -> String {
        let Self { service, address, zone, .. } = self;
        let born = self.born.load(Ordering::SeqCst);
        let state = if self.behaviour.lock().unwrap().is_draining { "draining" } else { "ready" };
        let kind = self.kind;
        let (from, target, version) = self.layers();
        let model = match self.is_model {
            true => format!(
                r#","kind":"{kind}","stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"layers":{{"from":{from},"target":{target},"version":{version}}}"#
            ),
            false => String::new(),
        };
        let slots = if self.is_model { 192 } else { 6 };
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"born":{born}{model},"sequence":{sequence}}}"#
        )
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(head) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            let is_closed =
                head.field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
            if self.answer(&mut conn, &head, &body).is_err() || is_closed {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head, body: &[u8]) -> std::io::Result<()> {
        const JSON: &str = "Content-Type: application/json\r\n";
        self.wait_while_silent();
        let target = head.field("oriolelanding-target-instance");
        let id = head.field("oriolelanding-request-id").unwrap_or_default();
        if target.is_some_and(|target| target != self.id) {
            let fields = format!(
                "Oriolelanding-Request-Id: {id}\r\nOriolelanding-Instance-Id: {}\r\n",
                self.id
            );
            return conn.respond("421 Misdirected Request", &fields, b"");
        }
        match head.path() {
            "/v1/report" => {
                let (from, target, version) = self.layers();
                let (born, orders) =
                    (self.born.load(Ordering::SeqCst), self.orders.load(Ordering::SeqCst));
                let stalled = self.stalled();
                let report = format!(
                    r#"{{"born":{born},"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"layers":{{"from":{from},"target":{target},"version":{version}}},"busy":false,"sequence":{orders},"queue_depth":0,"running_requests":1,"kv_used":0,"kv_total":8000000,"handles":0,"pace":1.0,"stalled":[{stalled}]}}"#
                );
                conn.respond("200 OK", JSON, report.as_bytes())
            }
            "/v1/order" => {
                let status = self.order(body);
                conn.respond(status, JSON, b"{}")
            }
            _ => self.run(conn, head, id),
        }
    }

    fn order(&self, body: &[u8]) -> &'static str {
        let Some(order) = Json::parse(&String::from_utf8_lossy(body)) else {
            return "400 Bad Request";
        };
        if order.get("operation").text() == "repath" {
            return self.repath(order.get("id").text(), order.get("path").text());
        }
        if order.get("operation").text() != "place" {
            return "400 Bad Request";
        }
        let accepted = self.orders.load(Ordering::SeqCst);
        if order.get("precondition") != &Json::Null
            && order.get("precondition").number() != accepted
        {
            return "409 Conflict";
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        let (from, target) = (order.get("from").number(), order.get("target").number().min(LAYERS));
        let layers = self.layers.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LOAD_TIME);
            let mut layers = layers.lock().unwrap();
            *layers = (from, target, layers.2 + 1);
        });
        "202 Accepted"
    }

    /// Moves a stream in progress to other stages.
    fn repath(&self, id: &str, hops: &str) -> &'static str {
        let mut paths = self.paths.lock().unwrap();
        let Some(path) = paths.get_mut(id) else {
            return "404 Not Found";
        };
        let stages = stages(hops);
        if self.dead_stage(&stages).is_some() || self.stage_without_layers(hops).is_some() {
            return "409 Conflict";
        }
        *path = stages;
        "202 Accepted"
    }

    /// Crashes the stage that returns the tokens of a stream, as it begins to write them.
    fn crash_last_stage(&self, id: &str) {
        let path = self.paths.lock().unwrap().get(id).cloned().unwrap_or_default();
        let last = path.last().and_then(|last| self.fleet.lock().unwrap().get(last).cloned());
        last.as_ref().unwrap_or(self).crash();
    }

    /// Returns the streams that wait for a dead stage, as reports list them.
    fn stalled(&self) -> String {
        let paths = self.paths.lock().unwrap();
        let stalled = paths.iter().filter_map(|(id, path)| {
            let address = self.dead_stage(path)?;
            Some(format!(r#"{{"id":"{id}","address":"{address}"}}"#))
        });
        stalled.collect::<Vec<_>>().join(",")
    }

    /// Waits while a stage of a stream is dead; returns that stage if it is for too long.
    fn wait_while_stalled(&self, id: &str) -> Option<SocketAddr> {
        let began = Instant::now();
        loop {
            let path = self.paths.lock().unwrap().get(id).cloned().unwrap_or_default();
            let dead = self.dead_stage(&path)?;
            if began.elapsed() >= STALL_TIME || self.is_down() {
                return Some(dead);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Runs a request: a stream of events for a model, else one body.
    fn run(&self, conn: &mut Conn, head: &Head, id: &str) -> std::io::Result<()> {
        let (name, path) = (&self.id, head.path());
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.record.add(&format!("runs {id} at {name} {path}"));
        let (event_time, work_time, extra) = {
            let behaviour = self.behaviour.lock().unwrap();
            (behaviour.event_time, behaviour.work_time, behaviour.fields.clone())
        };
        let fields = format!(
            "Oriolelanding-Request-Id: {id}\r\nOriolelanding-Response-Signature: {name}.{id}\r\n{extra}"
        );
        if !self.is_model {
            std::thread::sleep(work_time);
            self.wait_while_silent();
            return conn.respond("200 OK", &fields, &[b'x'; 800]);
        }
        let hops = head.field("oriolelanding-hop-count").unwrap_or_default();
        if let Some(address) = self.stage_without_layers(hops) {
            let fields = format!(
                "Oriolelanding-Request-Id: {id}\r\nOriolelanding-Not-Executed: 1\r\nAt-Server: {address}\r\n"
            );
            return conn.respond("421 Misdirected Request", &fields, b"");
        }
        self.paths.lock().unwrap().insert(id.to_owned(), stages(hops));
        let result = self.stream(conn, head, id, event_time, &fields);
        self.paths.lock().unwrap().remove(id);
        result
    }

    /// Writes a stream.
    fn stream(
        &self,
        conn: &mut Conn,
        head: &Head,
        id: &str,
        event_time: Duration,
        fields: &str,
    ) -> std::io::Result<()> {
        let name = &self.id;
        let usage = head.field("oriolelanding-token-usage").unwrap_or_default();
        let tokens: u64 =
            usage.split(',').nth(1).and_then(|t| t.trim().parse().ok()).unwrap_or(STRIDE);
        let after = head.field("last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0);
        std::thread::sleep(event_time);
        self.wait_while_silent();
        let deadly = self.behaviour.lock().unwrap().deadly_part;
        let parts = head.field("oriolelanding-prompt-prefix").unwrap_or_default();
        let is_deadly = deadly.is_some_and(|part| parts.contains(part));
        loop {
            if is_deadly {
                self.crash_last_stage(id);
            }
            if let Some(address) = self.wait_while_stalled(id) {
                let fields = format!(
                    "Oriolelanding-Request-Id: {id}\r\nOriolelanding-Not-Executed: 1\r\nAt-Server: {address}\r\n"
                );
                return conn.respond("503 Service Unavailable", &fields, b"");
            }
            if !is_deadly {
                break;
            }
        }
        conn.write(
            format!("HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .as_bytes(),
        )?;
        for event in after + 1..=tokens.div_ceil(STRIDE) {
            self.wait_while_silent();
            if self.wait_while_stalled(id).is_some() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if conn.write(chunk.as_bytes()).is_err() {
                self.record.add(&format!("caller of {id} has left {name} at event {event}"));
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            std::thread::sleep(event_time);
        }
        conn.write(b"0\r\n\r\n")?;
        self.record.add(&format!("ends {id} at {name}"));
        Ok(())
    }

    fn wait_while_silent(&self) {
        loop {
            let until = self.behaviour.lock().unwrap().silent_until;
            match until.map(|until| until.saturating_duration_since(Instant::now())) {
                Some(left) if !left.is_zero() => std::thread::sleep(left),
                _ => return,
            }
        }
    }
}

/// Returns the addresses of a path of `ADDRESS=FROM-TO` parts.
fn stages(hops: &str) -> Vec<SocketAddr> {
    hops.split(',').filter_map(|hop| hop.split('=').next()?.parse().ok()).collect()
}
