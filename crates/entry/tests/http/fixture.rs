//! An entry on loopback, with a fake side that serves one engine and one plain service.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use oriole_adapter::limits;
use oriole_core::config::{Config, Endpoint, Kind, Model, Service};
use oriole_core::contract::{Contract, Limits};
use oriole_core::message::{Answer, Hop, Message, Opened, Reply, Sample, Token};
use oriole_core::name;
use oriole_core::units::Rate;
use oriole_entry::{Builder, Handle, Setup};
use oriole_wire::Hub;
use oriole_wire::conn::Liveness;
use oriole_wire::handshake::Identity;
use oriole_wire::hub::{Event, Kind as Wire, Settings};
use serde_json::Value;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// API key of workspace `w`.
pub const KEY: &str = "a key of workspace w";

const SECRET: &[u8] = b"a secret of sixteen bytes or more";

/// Records of what the fake side received, and controls of its behaviour.
#[derive(Default)]
pub struct Side {
    /// Number of feeds received; each yields one token.
    pub feeds: Cell<u32>,
    /// Number of cancellations received.
    pub cancels: Cell<u32>,
    /// Paths of the service calls received.
    pub calls: RefCell<Vec<String>>,
    /// Delay of each token, in microseconds.
    pub token_us: Cell<u64>,
    /// Number of padding bytes after the text of each token.
    pub padding: Cell<usize>,
}

pub struct Fixture {
    pub entry: Option<Handle>,
    pub http: SocketAddr,
    pub side: Rc<Side>,
    _hub: Hub,
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("non-blocking");
    let address = listener.local_addr().expect("an address");
    (TcpListener::from_std(listener).expect("a listener"), address)
}

fn config(side: SocketAddr) -> Config {
    let mut config = Config::default();
    let model = Model { layers: 1, context: 100_000, chunk: 512, version: String::new() };
    config.models.insert("m".into(), model);
    config.services.insert("s".into(), Service { non_idempotent: Vec::new() });
    let engine = Kind::Engine {
        model: "m".into(),
        first_layer: 0,
        end_layer: 1,
        accelerator: String::new(),
        step_us: 10,
        prompt_token_us: 1,
        batch: 8,
        sequences: 64,
    };
    let service = Kind::Service { service: "s".into(), concurrency: 4 };
    for (name, kind) in [("engine", engine), ("service", service)] {
        let endpoint = Endpoint {
            host: "side".into(),
            side,
            address: side,
            zone: "z".into(),
            kind,
            checks_fencing: false,
            drain: false,
        };
        config.endpoints.insert(name.into(), endpoint);
    }
    let contract = Contract {
        workspace: "w".into(),
        keys: BTreeSet::from([hex::encode(Sha256::digest(KEY))]),
        models: BTreeSet::from(["m".into()]),
        services: BTreeSet::from(["s".into()]),
        limits: Limits {
            requests: Rate::from_per_second(1e4),
            request_burst: 10_000,
            tokens: Rate::from_per_second(1e8),
            token_burst: 100_000_000,
            concurrency: 1000,
        },
        service: Default::default(),
    };
    config.contracts.insert("w".into(), contract);
    config
}

/// Starts an entry without a configuration. Returns its handle and its HTTP address.
pub fn start_without_configuration() -> (Handle, SocketAddr) {
    let ((wire, _), (http, address)) = (listener(), listener());
    let (host, secret) = ("entry".into(), SECRET.to_vec());
    let (config, liveness) = (Config::default(), Liveness::default());
    let setup = Setup { host, secret, config, wire, http, liveness, seed: 1 };
    (Builder::new(setup).start(), address)
}

impl Fixture {
    pub async fn start() -> Self {
        Self::with_limits(limits::Limits::default()).await
    }

    /// Starts an entry that may use `limits` of its machine.
    pub async fn with_limits(limits: limits::Limits) -> Self {
        let (listening, side_address) = listener();
        let identity = |host: &str| Identity::new(name::Host::from(host), SECRET.to_vec());
        let settings = Settings { identity: identity("side"), liveness: Liveness::default() };
        let (hub, events) = Hub::new(settings);
        hub.listen(listening);
        let side = Rc::new(Side::default());
        actix_rt::spawn(serve(hub.clone(), events, side.clone()));
        let ((wire, _), (callers, http)) = (listener(), listener());
        let setup = Setup {
            host: "entry".into(),
            secret: SECRET.to_vec(),
            config: config(side_address),
            wire,
            http: callers,
            liveness: Liveness::default(),
            seed: 7,
        };
        let entry =
            Builder::new(setup).stop_wait(Duration::from_millis(300)).limits(limits).start();
        let fixture = Self { entry: Some(entry), http, side, _hub: hub };
        // The token buckets of a new entry start empty; give them time to fill.
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        fixture
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.http)
    }

    /// Posts a body. Returns the status and the JSON of the response, null if it is not JSON.
    pub async fn post(&self, path: &str, key: &str, body: &str) -> (u16, Value) {
        let request = Client::default().post(self.url(path)).bearer_auth(key);
        let mut response = request.send_body(body.to_owned()).await.expect("an answer");
        let bytes = response.body().limit(1 << 24).await.expect("a body");
        (response.status().as_u16(), serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        let mut response = Client::default().get(self.url(path)).send().await.expect("an answer");
        let bytes = response.body().await.expect("a body");
        (response.status().as_u16(), serde_json::from_slice(&bytes).unwrap_or(Value::Null))
    }
}

async fn serve(hub: Hub, mut events: mpsc::Receiver<Event>, side: Rc<Side>) {
    while let Some(event) = events.recv().await {
        let Wire::Message(message) = event.kind else { continue };
        let reply = match message {
            Message::Open(open) => {
                let (request, attempt, stage) = (open.request, open.attempt, open.stage);
                Some(Message::Opened(Opened { request, attempt, stage, held: open.resume }))
            }
            Message::Feed(feed) => {
                side.feeds.set(side.feeds.get() + 1);
                let position = feed.position + feed.tokens.len() as u32;
                let text = format!("{position} {}", "x".repeat(side.padding.get()));
                let sample = Sample { token: position, text, end: false };
                let sampled = feed.sample.then_some(sample);
                let hops = vec![Hop { queue_us: 0, run_us: 10, batch: 1 }];
                let (request, attempt) = (feed.request, feed.attempt);
                let token = Token { request, attempt, position, sampled, hops };
                let (hub, host, wait) = (hub.clone(), event.host.clone(), side.token_us.get());
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(Duration::from_micros(wait)).await;
                    hub.send(&host, None, Message::Token(token));
                });
                None
            }
            Message::Call(call) => {
                side.calls.borrow_mut().push(call.path.clone());
                let body = call.body.clone();
                let answer = Answer { status: 201, content_type: "text/x".to_owned(), body };
                let (request, attempt) = (call.request, call.attempt);
                Some(Message::Reply(Reply { request, attempt, answer }))
            }
            Message::Cancel(_) => {
                side.cancels.set(side.cancels.get() + 1);
                None
            }
            _ => None,
        };
        if let Some(reply) = reply {
            hub.send(&event.host, None, reply);
        }
    }
}
