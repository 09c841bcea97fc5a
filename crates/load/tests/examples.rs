//! The example deployments are valid configurations of the size that they document.
#![allow(clippy::unwrap_used)] // test helpers fail by panicking

use std::collections::BTreeSet;
use std::path::Path;

use oriole_core::config::{Config, Kind};
use oriole_load::{cluster, deployment};
use sha2::{Digest, Sha256};

fn read(name: &str) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    deployment::read(&root.join(name)).unwrap()
}

/// Checks the numbers of zones, engines, endpoints and contracts, and that the contract of each
/// workspace contains its example key.
fn check(name: &str) {
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
fn kigali_is_valid_and_has_its_documented_size() {
    check("kigali");
}

#[test]
fn mu_south_is_valid_and_has_its_documented_size() {
    check("mu-south");
}
