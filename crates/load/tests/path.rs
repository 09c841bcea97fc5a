//! End-to-end requests over HTTP: an entry, sides, and a chain of stand-in engines.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Entry, Kind, Model};
use oriole_core::contract::{Contract, Limits, ServiceLevel};
use oriole_core::request::Id;
use oriole_core::units::Rate;
use oriole_core::{name, token};
use oriole_standin::engine::{self, Settings};
use oriole_standin::fault::Switch;
use oriole_standin::model;
use oriole_wire::conn::Liveness;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

const LAYERS: u16 = 4;
const KEY: &str = "a caller's key";
const SECRET: &[u8] = b"a secret";

struct Deployment {
    config: Config,
    switches: BTreeMap<name::Endpoint, Switch>,
    _sides: Vec<oriole_side::Handle>,
    _entry: oriole_entry::Handle,
    http: SocketAddr,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn contract() -> Contract {
    Contract {
        workspace: "gate-desk".into(),
        keys: BTreeSet::from([hex::encode(Sha256::digest(KEY))]),
        models: BTreeSet::from(["assist-model".into()]),
        services: BTreeSet::new(),
        limits: Limits {
            requests: Rate::from_per_second(100.0),
            request_burst: 100,
            tokens: Rate::from_per_second(100_000.0),
            token_burst: 100_000,
            concurrency: 100,
        },
        service: ServiceLevel::default(),
    }
}

/// Starts a deployment with one entry and two stages of two replicas each.
async fn start() -> Deployment {
    let mut config = Config::default();
    let model = Model { layers: LAYERS, context: 4096, chunk: 64, version: String::new() };
    config.models.insert("assist-model".into(), model);
    config.contracts.insert("gate-desk".into(), contract());
    let mut side_listeners = Vec::new();
    let mut switches = BTreeMap::new();
    for (index, first_layer) in [0, 2, 0, 2].into_iter().enumerate() {
        let end_layer = first_layer + 2;
        let (engine, address) = listen().await;
        let (wire, side) = listen().await;
        let endpoint = name::Endpoint::from(format!("engine-{index}").as_str());
        let host = name::Host::from(format!("host-{index}").as_str());
        let settings = Settings {
            model: Some("assist-model".into()),
            first_layer,
            end_layer,
            layers: LAYERS,
            step_time: Duration::from_millis(2),
            ..Settings::default()
        };
        let switch = Switch::new();
        actix_rt::spawn(engine::server::serve(engine, settings, switch.clone()));
        switches.insert(endpoint.clone(), switch);
        side_listeners.push((host.clone(), wire));
        let kind = Kind::Engine {
            model: "assist-model".into(),
            first_layer,
            end_layer,
            accelerator: "a".to_owned(),
            step_us: 1000,
            prompt_token_us: 10,
            batch: 16,
            sequences: 64,
        };
        let zone = "hall-a".into();
        let endpoint_config =
            Endpoint { host, side, address, zone, kind, checks_fencing: true, drain: false };
        config.endpoints.insert(endpoint, endpoint_config);
    }
    let (wire, address) = listen().await;
    let (http, http_address) = listen().await;
    config.entries.insert("entry-0".into(), Entry { address, zone: "hall-a".into(), weight: 1 });
    let liveness = Liveness::default();
    let secret = SECRET.to_vec();
    let sides = side_listeners.into_iter().map(|(host, wire)| {
        let (config, secret) = (config.clone(), secret.clone());
        oriole_side::start(oriole_side::Setup { host, secret, config, wire, liveness })
    });
    let sides = sides.collect();
    let entry = oriole_entry::start(oriole_entry::Setup {
        host: "entry-0".into(),
        secret,
        config: config.clone(),
        wire,
        http,
        liveness,
        seed: 7 << 32,
    });
    Deployment { config, switches, _sides: sides, _entry: entry, http: http_address }
}

fn body(text: &str, tokens: u32) -> Value {
    json!({
        "model": "assist-model",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
    })
}

/// Returns the text that a run without faults generates. The request ID in the answer contains the
/// sampling seed.
fn expected_text(text: &str, answer: &Value, tokens: u32) -> String {
    let id: Id = answer["id"].as_str().unwrap().parse().unwrap();
    let prompt = token::encode(&format!("user: {text}\n"));
    let request =
        model::Request { prompt: &prompt, layers: LAYERS, seed: id.seq, max_tokens: tokens };
    model::expected_text(&request)
}

/// Sends a request, and retries it while it is refused with status 429 and a time to wait: entries
/// hold no burst right after their start.
async fn generate(deployment: &Deployment, text: &str, tokens: u32) -> (u16, Value) {
    loop {
        let (status, answer) = generate_once(deployment, text, tokens).await;
        let Some(ms) = answer["retry-after-ms"].as_u64().filter(|_| status == 429) else {
            return (status, answer);
        };
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

async fn generate_once(deployment: &Deployment, text: &str, tokens: u32) -> (u16, Value) {
    let client = awc::Client::builder().timeout(Duration::from_secs(20)).finish();
    let url = format!("http://{}/v1/chat/completions", deployment.http);
    let request = client.post(url).insert_header(("authorization", format!("Bearer {KEY}")));
    let mut answer = request.send_json(&body(text, tokens)).await.unwrap();
    let status = answer.status().as_u16();
    (status, answer.json().await.unwrap())
}

fn content(answer: &Value) -> &str {
    answer["choices"][0]["message"]["content"].as_str().unwrap()
}

/// Guards against prompt positions or tokens that are lost or repeated between the stages of a
/// chain: the prompt is longer than one chunk, and the text depends on every token of it.
#[actix_rt::test]
async fn a_chain_answers_with_the_expected_text() {
    let deployment = start().await;
    assert_eq!(deployment.config.endpoints.len(), 4);
    let text = "Which gate does the passenger in 4C need an aisle chair at? ".repeat(10);
    let (status, answer) = generate(&deployment, &text, 20).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(content(&answer), expected_text(&text, &answer, 20));
}

/// Guards against answers that end or change when an engine dies: one engine of each stage is
/// killed during the answer, and the replicas must continue with the same text.
#[actix_rt::test]
async fn an_answer_continues_when_its_stages_die() {
    let deployment = start().await;
    let text = "Plan the escort from the kerb to gate 7";
    let generating = generate(&deployment, text, 200);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        for endpoint in ["engine-0", "engine-1"] {
            deployment.switches[&name::Endpoint::from(endpoint)].crash();
        }
    };
    let ((status, answer), ()) = futures_util::future::join(generating, kill).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(content(&answer), expected_text(text, &answer, 200));
}

#[actix_rt::test]
async fn a_request_without_a_key_is_refused() {
    let deployment = start().await;
    let url = format!("http://{}/v1/chat/completions", deployment.http);
    let mut answer = awc::Client::default().post(url).send_json(&body("x", 1)).await.unwrap();
    assert_eq!(answer.status().as_u16(), 401);
    let problem: Value = answer.json().await.unwrap();
    assert_eq!(problem["reason"], "unauthorized");
    assert_eq!(problem["ran"], "no");
}
