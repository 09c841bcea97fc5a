//! Generates deployments of any size, to measure how costs grow with it.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Entry, Kind, Model};
use oriole_core::contract::{Contract, Limits, ServiceLevel};
use oriole_core::name;
use oriole_core::units::Rate;
use sha2::{Digest, Sha256};

use crate::cluster::api_key;

/// Number of layers of the model.
const LAYERS: u16 = 32;

/// Number of availability zones.
const ZONES: usize = 3;

/// Name of the model.
const MODEL: &str = "synthetic";

/// Size of a deployment.
#[derive(Clone, Copy, Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Size {
    /// Number of engines, one per host, each with one half of the model.
    pub endpoints: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of workspaces.
    pub workspaces: usize,
}

/// Generates the configuration of a deployment of this size.
pub fn config(size: Size) -> Config {
    let mut config = Config::default();
    let model = Model { layers: LAYERS, context: 4096, chunk: 256, version: "1".to_owned() };
    config.models.insert(MODEL.into(), model);
    // `Cluster::start` replaces the addresses.
    let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    for index in 0..size.endpoints {
        let endpoint = endpoint(index, unassigned);
        config.endpoints.insert(format!("engine-{index:03}").as_str().into(), endpoint);
    }
    for index in 0..size.entries {
        let entry = Entry { address: unassigned, zone: zone(index), weight: 1 };
        config.entries.insert(format!("entry-{index:02}").as_str().into(), entry);
    }
    for index in 0..size.workspaces {
        let workspace = name::Workspace::from(format!("workspace-{index:03}").as_str());
        config.contracts.insert(workspace.clone(), contract(workspace));
    }
    config
}

fn zone(index: usize) -> name::Zone {
    format!("zone-{}", index % ZONES).as_str().into()
}

fn endpoint(index: usize, unassigned: SocketAddr) -> Endpoint {
    let half = LAYERS / 2;
    // Consecutive endpoints hold the two halves, so that each availability zone has complete
    // chains.
    let (first_layer, end_layer) = if index % 2 == 0 { (0, half) } else { (half, LAYERS) };
    Endpoint {
        host: format!("host-{index:03}").as_str().into(),
        side: unassigned,
        address: unassigned,
        zone: zone(index / 2),
        kind: Kind::Engine {
            model: MODEL.into(),
            first_layer,
            end_layer,
            accelerator: "synthetic".to_owned(),
            step_us: 4000,
            prompt_token_us: 50,
            batch: 16,
            sequences: 96,
        },
        checks_fencing: true,
        drain: false,
    }
}

fn contract(workspace: name::Workspace) -> Contract {
    let hash = Sha256::digest(api_key(&workspace).as_bytes());
    Contract {
        keys: BTreeSet::from([hex::encode(hash)]),
        workspace,
        models: BTreeSet::from([MODEL.into()]),
        services: BTreeSet::new(),
        limits: Limits {
            requests: Rate::from_per_second(200.0),
            request_burst: 400,
            tokens: Rate::from_per_second(200_000.0),
            token_burst: 400_000,
            concurrency: 1000,
        },
        service: ServiceLevel {
            default_deadline: Duration::from_secs(30),
            ..ServiceLevel::default()
        },
    }
}
