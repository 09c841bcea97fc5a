//! Callers' keys.

use oriole_core::config::Config;
use oriole_core::name;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Finds the workspace whose contract lists the hash of `key`.
///
/// All hashes are compared, each in constant time, so that the time tells nothing about them.
pub fn find(config: &Config, key: &str) -> Option<name::Workspace> {
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    let mut found = None;
    for (workspace, contract) in &config.contracts {
        for listed in &contract.keys {
            if bool::from(listed.as_bytes().ct_eq(hash.as_bytes())) {
                found = Some(workspace.clone());
            }
        }
    }
    found
}
