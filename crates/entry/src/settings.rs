//! Settings of one entry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriole_core::{name, units};
use oriole_follow::Source;
use serde::{Deserialize, Serialize};

/// Settings of one entry, as they stand in its TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host.
    pub host: name::Host,
    /// Where the entry listens for the system's own connections.
    pub listen: SocketAddr,
    /// Where it listens for callers.
    pub http: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// File that holds the secret of the deployment.
    pub secret_file: PathBuf,
    /// Where the configuration comes from.
    pub configuration: Source,
    /// The platform's list of live and leaving hosts.
    #[serde(default)]
    pub hosts: Option<SocketAddr>,
    /// StatsD collector to which counters are exported.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How long a stopping entry still takes requests after its readiness has failed.
    #[serde(default = "default_stop_wait", with = "units::duration")]
    pub stop_wait: Duration,
}

fn default_stop_wait() -> Duration {
    Duration::from_secs(5)
}
