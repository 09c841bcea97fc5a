//! Tests of a running side: the HTTP interface for operators, drains and graceful stops.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Entry, Kind, Service};
use oriole_core::message::{Call, Load, Message};
use oriole_core::request::{Id, Refusal, host_hash};
use oriole_follow::Source;
use oriole_side::settings::Settings;
use oriole_side::{Builder, Handle, Setup};
use oriole_wire::conn::Liveness;
use oriole_wire::handshake::Identity;
use oriole_wire::hub::{self, Event};
use oriole_wire::{Hub, hub::Kind as Wire};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

const SECRET: &[u8] = b"a secret of a test";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A plain service that reports the arrival of its only call and answers it after `release`.
async fn service(
    listener: TcpListener,
    arrived: oneshot::Sender<()>,
    release: oneshot::Receiver<()>,
) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    arrived.send(()).unwrap();
    release.await.unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
}

struct Fixture {
    side: Option<Handle>,
    http: SocketAddr,
    wire: SocketAddr,
    entry: Hub,
    events: mpsc::Receiver<Event>,
    load: Load,
}

impl Fixture {
    async fn start(service: SocketAddr) -> Self {
        let ((wire, wire_address), (http, http_address)) = (listen().await, listen().await);
        let mut config = Config::default();
        config.services.insert("app".into(), Service { non_idempotent: Vec::new() });
        let endpoint = Endpoint {
            host: "host".into(),
            side: wire_address,
            address: service,
            zone: "hall-a".into(),
            kind: Kind::Service { service: "app".into(), concurrency: 2 },
            checks_fencing: false,
            drain: false,
        };
        config.endpoints.insert("app-1".into(), endpoint);
        let entry = Entry { address: wire_address, zone: "hall-a".into(), weight: 1 };
        config.entries.insert("entry".into(), entry);
        let liveness = Liveness::default();
        let (host, secret) = ("host".into(), SECRET.to_vec());
        let setup = Setup { host, secret, config, wire, liveness };
        let side = Builder::new(setup).http(http).start();
        let identity = Identity::new("entry".into(), SECRET.to_vec());
        let (entry, events) = Hub::new(hub::Settings { identity, liveness });
        let cancel = oriole_core::message::Cancel { request: id(99), attempt: 1 };
        entry.send(&"host".into(), Some(wire_address), Message::Cancel(cancel));
        let load = Load {
            endpoint: "app-1".into(),
            open: false,
            queued: 0,
            running: 0,
            batch_us: 0,
            free: 0,
            prefixes: Vec::new(),
            term: Default::default(),
        };
        let (http, wire) = (http_address, wire_address);
        let mut fixture = Self { side: Some(side), http, wire, entry, events, load };
        fixture.load = fixture
            .wait(|m| match m {
                Message::Load(load) => Some(load),
                _ => None,
            })
            .await;
        fixture
    }

    async fn wait<T>(&mut self, wanted: impl Fn(Message) -> Option<T>) -> T {
        loop {
            let event = self.events.recv().await.unwrap();
            if let Wire::Message(message) = event.kind {
                if let Some(found) = wanted(message) {
                    return found;
                }
            }
        }
    }

    fn call(&self, seq: u64) {
        let call = Call {
            request: id(seq),
            attempt: 1,
            endpoint: "app-1".into(),
            workspace: "desk".into(),
            priority: 3,
            weight: 10,
            deadline_ms: 60_000,
            idempotent: false,
            method: "POST".into(),
            path: "/".into(),
            content_type: String::new(),
            body: Vec::new(),
            roster: 0,
            term: self.load.term,
        };
        self.entry.send(&"host".into(), Some(self.wire), Message::Call(call));
    }

    async fn get(&self, method: awc::http::Method, path: &str) -> (u16, serde_json::Value) {
        let client = awc::Client::builder().timeout(Duration::from_secs(20)).finish();
        let request = client.request(method, format!("http://{}{path}", self.http));
        let mut answer = request.send().await.unwrap();
        (answer.status().as_u16(), answer.json().await.unwrap())
    }
}

fn id(seq: u64) -> Id {
    Id { host: host_hash(&"entry".into()), boot: 1, seq }
}

/// A drain must refuse new calls without ending the one in progress, and a stop must wait for it;
/// otherwise each planned change loses answers.
#[actix_rt::test]
async fn a_drain_refuses_new_calls_and_a_stop_waits_for_those_in_progress() {
    use awc::http::Method;
    let (listener, address) = listen().await;
    let ((arrived, arrival), (release, released)) = (oneshot::channel(), oneshot::channel());
    actix_rt::spawn(service(listener, arrived, released));
    let mut fixture = Fixture::start(address).await;
    assert!(fixture.load.open);
    assert_eq!(fixture.get(Method::GET, "/healthz").await.0, 200);
    assert_eq!(fixture.get(Method::GET, "/readyz").await.0, 200);
    fixture.call(1);
    arrival.await.unwrap();
    assert_eq!(fixture.get(Method::POST, "/v1/drain?endpoint=nothing").await.0, 404);
    let (code, status) = fixture.get(Method::POST, "/v1/drain?endpoint=app-1").await;
    assert_eq!((code, &status["endpoints"][0]["leaving"][0]), (200, &"operator".into()));
    let closed = |m| matches!(m, Message::Load(Load { open: false, .. })).then_some(());
    fixture.wait(closed).await;
    assert_eq!(fixture.get(Method::GET, "/readyz").await.0, 503);
    fixture.call(2);
    let refusal = |m| match m {
        Message::Refuse(refuse) => Some((refuse.request, refuse.refused.reason)),
        _ => None,
    };
    assert_eq!(fixture.wait(refusal).await, (id(2), Refusal::Leaving));
    let (_, explained) = fixture.get(Method::GET, &format!("/v1/explain/{}", id(1))).await;
    assert_eq!(explained["notes"][1]["what"]["started"]["batch"], 1);
    let (_, counters) = fixture.get(Method::GET, "/v1/counters").await;
    assert!(counters.as_array().unwrap().iter().any(|c| c["name"] == "refused.leaving"));
    assert_eq!(fixture.get(Method::GET, "/v1/explain/nonsense").await.0, 400);
    // The stop must not end before the call in progress has been answered.
    let stopping = actix_rt::spawn(fixture.side.take().unwrap().stop());
    while !fixture.get(Method::GET, "/v1/status").await.1.to_string().contains("signal") {}
    assert!(!stopping.is_finished());
    release.send(()).unwrap();
    let answer = |m| match m {
        Message::Reply(reply) => Some((reply.request, reply.answer.body)),
        _ => None,
    };
    assert_eq!(fixture.wait(answer).await, (id(1), b"ok".to_vec()));
    stopping.await.unwrap();
}

/// An unknown key or a duration without a unit is an error that names the allowed ones.
#[test]
fn settings_errors_name_the_allowed_keys_and_units() {
    let good = "host = 'h'\nlisten = '127.0.0.1:0'\nhttp = '127.0.0.1:0'\n\
                secret-file = 's'\nconfiguration = { folder = 'c' }\nhome = { takeover = '30s' }\n";
    let settings: Settings = toml::from_str(good).unwrap();
    assert_eq!(settings.home.bounds().takeover_ms, 30_000);
    let unknown = toml::from_str::<Settings>(&format!("queue = 1\n{good}"));
    assert!(unknown.unwrap_err().to_string().contains("queue-tokens"));
    let unit = toml::from_str::<Settings>(&good.replace("30s", "30"));
    assert!(unit.unwrap_err().to_string().contains("unit"));
}

/// The example configurations must stay valid.
#[test]
fn the_example_configurations_load() {
    for name in ["kigali", "mu-south"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
        assert!(
            Source { folder: Some(folder.clone()), ..Source::default() }
                .load()
                .unwrap()
                .contracts
                .len()
                >= 10
        );
    }
}
