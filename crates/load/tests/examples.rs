//! The example deployments are valid and as large as they say.
#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::collections::BTreeSet;
use std::path::Path;

use oriole_core::config::{Config, Kind};
use oriole_load::{cluster, deployment};
use sha2::{Digest, Sha256};

fn read(name: &str) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    deployment::read(&root.join(name)).unwrap()
}

fn assert_size(name: &str) {
    let config = read(name);
    let zones: BTreeSet<_> = config.endpoints.values().map(|endpoint| &endpoint.zone).collect();
    let is_engine = |kind: &Kind| matches!(kind, Kind::Engine { .. });
    let engines = config.endpoints.values().filter(|e| is_engine(&e.kind)).count();
    assert_eq!((zones.len(), engines, config.endpoints.len()), (3, 40, 43));
    assert_eq!(config.contracts.len(), 10);
    for (workspace, contract) in &config.contracts {
        let hash = hex::encode(Sha256::digest(cluster::api_key(workspace)));
        assert!(contract.keys.contains(&hash), "{workspace}");
    }
}

#[test]
fn kigali_is_whole() {
    assert_size("kigali");
}

#[test]
fn mu_south_is_whole() {
    assert_size("mu-south");
}
