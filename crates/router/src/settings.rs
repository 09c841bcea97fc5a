//! Settings of an entry. The platform renders the settings file from `deploy/entry.toml`.
//!
//! The platform may spell any figure as a fraction; those that are whole numbers here are rounded.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::limits::Limits;
use oriole_adapter::number;
use oriole_core::forward::budget::Bound;
use serde::Deserialize;

/// All settings of an entry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's metadata store.
    pub store: Store,
    /// Times that the operators set.
    pub times: Times,
    /// Limit on the retries of each service.
    pub retries: Retries,
    /// How requests are admitted while chains are full.
    #[serde(default)]
    pub admission: Admission,
    /// What the process may use of its machine.
    #[serde(default)]
    pub limits: Limits,
}

/// The settings whose changes take effect without a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Times that the operators set.
    pub times: Times,
    /// Limit on the retries of each service.
    pub retries: Retries,
    /// How requests are admitted while chains are full.
    pub admission: Admission,
}

impl Tunables {
    /// Copies the tunable part of `settings`.
    pub fn of(settings: &Settings) -> Self {
        Self {
            times: settings.times.clone(),
            retries: settings.retries.clone(),
            admission: settings.admission,
        }
    }
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness route.
    pub ready: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Address of the metrics route.
    pub metrics: SocketAddr,
}

/// The platform's metadata store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Shortest time to live of a lease that the store grants, in milliseconds.
    #[serde(deserialize_with = "number::whole")]
    pub min_lease_ms: u64,
}

/// Times that the operators set, in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Times {
    /// Time after the start of draining within which an endpoint must stop getting requests.
    #[serde(deserialize_with = "number::whole")]
    pub drain_ms: u64,
    /// Time between the signal to stop this process and its kill.
    #[serde(deserialize_with = "number::whole")]
    pub grace_ms: u64,
    /// Interval of the heartbeats by which endpoints renew their registrations.
    #[serde(deserialize_with = "number::whole")]
    pub heartbeat_ms: u64,
    /// Time after which engines abort requests that wait for a lost stage. Not used yet.
    #[serde(deserialize_with = "number::whole")]
    pub stall_ms: u64,
    /// Time after the acknowledgement of a configuration within which it must be in force.
    #[serde(default = "default_apply_ms", deserialize_with = "number::whole")]
    pub apply_ms: u64,
    /// Time without disturbance after which this process must keep all bounds again.
    #[serde(default = "default_contact_ms", deserialize_with = "number::whole")]
    pub contact_ms: u64,
}

fn default_apply_ms() -> u64 {
    2000
}

fn default_contact_ms() -> u64 {
    3000
}

/// How requests are admitted while chains are full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Admission {
    /// Which requests go first.
    #[serde(default)]
    pub order: Order,
}

/// Which requests go first while chains are full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By priority, then by arrival. Each waits as long as its answer can begin in time.
    #[default]
    Arrival,
    /// By priority, and first tries before callers that were refused. Those that cannot begin in time are refused
    /// at once.
    Standing,
}

/// Limit on the retries of each service, summed over all entries, in a sliding window.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window regardless of requests.
    pub fixed: f64,
    /// Length of the window, in milliseconds.
    #[serde(deserialize_with = "number::whole")]
    pub window_ms: u64,
}

impl Retries {
    /// Converts the settings to the bound that retry budgets use.
    pub fn bound(&self) -> Bound {
        Bound {
            ratio: self.ratio,
            fixed: self.fixed,
            window: Duration::from_millis(self.window_ms),
        }
    }
}
