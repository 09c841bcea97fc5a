//! The settings file of a side.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriole_core::home::Bounds;
use oriole_core::time::as_us;
use oriole_core::{name, units};
use oriole_follow::Source;
use serde::{Deserialize, Serialize};

/// Settings of a side, read from a TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the host on which the side runs.
    pub host: name::Host,
    /// Address for connections from other processes of the deployment.
    pub listen: SocketAddr,
    /// Address for HTTP requests of operators.
    pub http: SocketAddr,
    /// File with the secret that the processes of the deployment share.
    pub secret_file: PathBuf,
    /// Source of the configuration.
    pub configuration: Source,
    /// Maximum total of the tokens of the requests that wait at one endpoint.
    #[serde(default = "default_queue_tokens")]
    pub queue_tokens: u64,
    /// Tolerances of the home of idempotency keys.
    #[serde(default)]
    pub home: Home,
    /// Address of the StatsD collector; without it, counters are not exported.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Whether the side gives its engines orders to load what the configuration assigns to them.
    /// Needs the key-value service.
    #[serde(default = "default_orders")]
    pub orders: bool,
}

fn default_orders() -> bool {
    true
}

fn default_queue_tokens() -> u64 {
    262_144
}

/// Tolerances of the home of idempotency keys, which is the side that decides on a shard of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Home {
    /// Largest difference between the wall clocks of callers and hosts, and between those of two
    /// hosts.
    #[serde(with = "units::duration")]
    pub skew: Duration,
    /// Time for which a new home refuses claims, so that every reachable process stops using the
    /// old home first.
    #[serde(with = "units::duration")]
    pub takeover: Duration,
}

impl Default for Home {
    fn default() -> Self {
        let bounds = Bounds::default();
        Self {
            skew: Duration::from_millis(bounds.skew_ms),
            takeover: Duration::from_millis(bounds.takeover_ms),
        }
    }
}

impl Home {
    /// Returns the bounds of a home with these tolerances.
    pub fn bounds(&self) -> Bounds {
        let ms = |duration| as_us(duration) / 1000;
        Bounds { skew_ms: ms(self.skew), takeover_ms: ms(self.takeover), ..Bounds::default() }
    }
}
