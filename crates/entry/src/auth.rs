//! Authentication of callers by API key.

use oriole_core::config::Config;
use oriole_core::name;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the workspace whose contract lists the SHA-256 hash of `key`, or `None` if no contract
/// does.
///
/// Always compares all hashes, each in constant time, so that the duration reveals nothing about
/// them.
pub fn find_workspace(config: &Config, key: &str) -> Option<name::Workspace> {
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
