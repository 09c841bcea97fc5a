//! Tests of orders in running sides: rollouts over replicas, with lost replies of the key-value
//! service and of an engine.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::engine::Client;
use oriole_adapter::kv;
use oriole_core::config::{Config, Endpoint, Kind, Model};
use oriole_side::{Builder, Handle, Setup};
use oriole_standin::engine::{self, Settings};
use oriole_standin::fault::Switch;
use oriole_standin::kv::Service;
use oriole_wire::conn::Liveness;
use tokio::net::TcpListener;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

struct Fleet {
    engines: Vec<Client>,
    engine_faults: Vec<Switch>,
    kv_faults: Switch,
    sides: Vec<Handle>,
}

/// Starts `replicas` sides with one engine each. The engines hold version 1 of the model; the
/// configuration assigns version 2.
async fn fleet(replicas: usize) -> Fleet {
    let mut config = Config::default();
    let model = Model { layers: 4, context: 4096, chunk: 64, version: "2".to_owned() };
    config.models.insert("assist-model".into(), model);
    let (mut wires, mut engines, mut engine_faults) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..replicas {
        let ((engine, address), (wire, side)) = (listen().await, listen().await);
        let settings = Settings {
            model: Some("assist-model".into()),
            version: "1".to_owned(),
            layers: 4,
            end_layer: 4,
            ..Settings::default()
        };
        let engine_fault = Switch::new();
        actix_rt::spawn(engine::server::serve(engine, settings, engine_fault.clone()));
        engine_faults.push(engine_fault);
        engines.push(Client::new(address));
        let host = format!("host-{index}");
        wires.push((host.clone(), wire));
        let kind = Kind::Engine {
            model: "assist-model".into(),
            first_layer: 0,
            end_layer: 4,
            accelerator: "a".to_owned(),
            step_us: 1000,
            prompt_token_us: 10,
            batch: 16,
            sequences: 64,
        };
        let (host, zone) = (host.as_str().into(), "hall-a".into());
        let endpoint =
            Endpoint { host, side, address, zone, kind, checks_fencing: true, drain: false };
        config.endpoints.insert(format!("engine-{index}").as_str().into(), endpoint);
    }
    let (listener, address) = listen().await;
    let kv_faults = Switch::new();
    actix_rt::spawn(oriole_standin::kv::serve(listener, Service::default(), kv_faults.clone()));
    let sides = wires.into_iter().map(|(host, wire)| {
        let (host, secret) = (host.as_str().into(), b"a secret of a test".to_vec());
        let (config, liveness) = (config.clone(), Liveness::default());
        let setup = Setup { host, secret, config, wire, liveness };
        Builder::new(setup).kv(kv::Settings::new(address)).orders().start()
    });
    let sides = sides.collect();
    Fleet { engines, engine_faults, kv_faults, sides }
}

impl Fleet {
    /// Returns the version of each engine, or `None` if it is loading.
    async fn versions(&self) -> Vec<Option<String>> {
        let mut versions = Vec::new();
        for engine in &self.engines {
            let state = engine.state(READ_TIMEOUT).await.ok();
            versions.push(state.filter(|state| !state.busy).map(|state| state.version));
        }
        versions
    }
}

/// A rollout must change one replica of a stage at a time, so that the other one serves, and must
/// end even if replies to lock calls and orders are lost.
#[actix_rt::test]
async fn a_rollout_keeps_one_replica_up_and_survives_lost_replies() {
    let fleet = fleet(2).await;
    fleet.kv_faults.lose_replies(2);
    fleet.engine_faults[0].lose_replies(2);
    let wanted = Some("2".to_owned());
    let mut rolled_out = false;
    // More readings than a rollout of two replicas can take, so that a stuck one fails the test.
    for _ in 0..5_000 {
        let versions = fleet.versions().await;
        assert!(versions.iter().any(Option::is_some), "no replica is ready");
        rolled_out = versions.iter().all(|version| *version == wanted);
        if rolled_out {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(rolled_out);
    for side in fleet.sides {
        side.stop().await;
    }
}

/// Loading a new version would leave the stage without a replica.
#[actix_rt::test]
async fn the_only_replica_is_not_reloaded() {
    let fleet = fleet(1).await;
    for _ in 0..60 {
        assert_eq!(fleet.versions().await, [Some("1".to_owned())]);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
