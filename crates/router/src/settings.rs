//! Settings of an entry. The platform fills in `deploy/entry.toml` with them.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_core::forward::budget::Bound;
use serde::Deserialize;

/// All settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses of this process.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// Times that the operators set.
    pub times: Times,
    /// Retries that a service may get.
    pub retries: Retries,
}

/// The settings that a running process takes over when they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Times that the operators set.
    pub times: Times,
    /// Retries that a service may get.
    pub retries: Retries,
}

impl Tunables {
    /// Those of `settings`.
    pub fn of(settings: &Settings) -> Self {
        Self { times: settings.times.clone(), retries: settings.retries.clone() }
    }
}

/// Addresses of this process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether the entry is ready.
    pub ready: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
    /// For whoever collects metrics.
    pub metrics: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// Shortest life of a lease, in milliseconds.
    pub min_lease_ms: u64,
}

/// Times that the operators set, in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Times {
    /// In which a leaving endpoint must get no more requests.
    pub drain_ms: u64,
    /// Between the signal to stop and the kill.
    pub grace_ms: u64,
    /// Interval at which endpoints register.
    pub heartbeat_ms: u64,
    /// After which engines cut requests that wait for a lost stage.
    pub stall_ms: u64,
}

/// Retries that a service may get from all entries, in a window.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Retries {
    /// For each request.
    pub ratio: f64,
    /// Without requests.
    pub fixed: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

impl Retries {
    /// The bound for the decisions.
    pub fn bound(&self) -> Bound {
        Bound {
            ratio: self.ratio,
            fixed: self.fixed,
            window: Duration::from_millis(self.window_ms),
        }
    }
}
