//! The settings file of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriole_adapter::limits::Limits;
use oriole_core::{name, units};
use oriole_follow::Source;
use serde::{Deserialize, Serialize};

/// Settings of an entry, read from a TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the host on which the entry runs.
    pub host: name::Host,
    /// Address for connections from other processes of the deployment.
    pub listen: SocketAddr,
    /// Address for HTTP requests of callers.
    pub http: SocketAddr,
    /// Address for HTTP requests of operators.
    pub operators: SocketAddr,
    /// File with the secret that the processes of the deployment share.
    pub secret_file: PathBuf,
    /// Source of the configuration.
    pub configuration: Source,
    /// Address of the platform's list of live and leaving hosts; without it, no list is read.
    #[serde(default)]
    pub hosts: Option<SocketAddr>,
    /// Address of the StatsD collector; without it, counters are not exported.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Time for which a stopping entry still takes requests after it has reported itself as not
    /// ready, so that load balancers can notice.
    #[serde(default = "default_stop_wait", with = "units::duration")]
    pub stop_wait: Duration,
    /// What the process may use of its machine.
    #[serde(default)]
    pub limits: Limits,
}

fn default_stop_wait() -> Duration {
    Duration::from_secs(5)
}
