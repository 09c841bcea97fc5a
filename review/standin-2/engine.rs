//! Stand-ins of engines: model engines that write streams, and plain ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Conn, Head};
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
}

/// One engine. Clones share it.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    is_model: bool,
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
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let behaviour = Behaviour {
            event_time: Duration::from_millis(25),
            work_time: Duration::from_millis(60),
            silent_until: None,
            fields: String::new(),
            is_draining: false,
        };
        let mut engine = Self {
            id: id.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born: born.as_millis() as u64,
            is_model,
            service: service.into(),
            zone: zone.into(),
            record: record.clone(),
            layers: Arc::default(),
            orders: Arc::default(),
            runs: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
        };
        let serving = Arc::new(Mutex::new(None::<Engine>));
        let shared = serving.clone();
        engine.address = http::listen(move |conn| {
            let engine = shared.lock().unwrap().clone();
            if let Some(engine) = engine {
                engine.serve(conn);
            }
        })?;
        *serving.lock().unwrap() = Some(engine.clone());
        let (registering, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            loop {
                sequence += 1;
                let registration = registering.registration(sequence);
                store.put(&format!("servers/{}", registering.id), &registration);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    /// Returns the number of requests that have run.
    pub fn run_count(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    fn layers(&self) -> (u64, u64, u64) {
        *self.layers.lock().unwrap()
    }

    fn registration(&self, sequence: u64) -> String {
        let Self { service, address, zone, born, .. } = self;
        let state = if self.behaviour.lock().unwrap().is_draining { "draining" } else { "ready" };
        let (from, target, version) = self.layers();
        let model = match self.is_model {
            true => format!(
                r#","kind":"big","stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"layers":{{"from":{from},"target":{target},"version":{version}}}"#
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
                let (born, orders) = (self.born, self.orders.load(Ordering::SeqCst));
                let report = format!(
                    r#"{{"born":{born},"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"layers":{{"from":{from},"target":{target},"version":{version}}},"busy":false,"sequence":{orders},"queue_depth":0,"running_requests":1,"kv_used":0,"kv_total":8000000,"handles":0,"pace":1.0,"stalled":[]}}"#
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
        if order.get("operation").text() != "place" {
            return "404 Not Found";
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
        let usage = head.field("oriolelanding-token-usage").unwrap_or_default();
        let tokens: u64 =
            usage.split(',').nth(1).and_then(|t| t.trim().parse().ok()).unwrap_or(STRIDE);
        let after = head.field("last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0);
        std::thread::sleep(event_time);
        self.wait_while_silent();
        conn.write(
            format!("HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .as_bytes(),
        )?;
        for event in after + 1..=tokens.div_ceil(STRIDE) {
            self.wait_while_silent();
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
