//! Contracts for tests and measurements.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::contract::{Contract, Limits, ServiceLevel};
use oriole_core::name::Workspace;
use oriole_core::units::Rate;

/// Returns a contract with the given bounds and longest deadline.
pub fn contract(workspace: &Workspace, limits: Limits, longest: Duration) -> Contract {
    Contract {
        workspace: workspace.clone(),
        keys: BTreeSet::new(),
        models: BTreeSet::new(),
        services: BTreeSet::new(),
        limits,
        service: ServiceLevel { longest_deadline: longest, ..ServiceLevel::default() },
    }
}

pub fn limits(requests: f64, request_burst: u32, tokens: f64, token_burst: u32) -> Limits {
    Limits {
        requests: Rate::from_per_second(requests),
        request_burst,
        tokens: Rate::from_per_second(tokens),
        token_burst,
        concurrency: 1000,
    }
}
