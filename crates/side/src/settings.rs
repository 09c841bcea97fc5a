//! Settings of one side.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriole_core::home::Bounds;
use oriole_core::time::as_us;
use oriole_core::{name, units};
use oriole_follow::Source;
use serde::{Deserialize, Serialize};

/// Settings of one side, as they stand in its TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host.
    pub host: name::Host,
    /// Where the side listens for the system's own connections.
    pub listen: SocketAddr,
    /// Where it listens for operators.
    pub http: SocketAddr,
    /// File that holds the secret of the deployment.
    pub secret_file: PathBuf,
    /// Where the configuration comes from.
    pub configuration: Source,
    /// Tokens of requests that wait at one endpoint.
    #[serde(default = "default_queue_tokens")]
    pub queue_tokens: u64,
    /// The home of idempotency keys.
    #[serde(default)]
    pub home: Home,
    /// StatsD collector to which counters are exported.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Whether the side orders its engines to hold what the configuration says; needs the
    /// key-value service.
    #[serde(default = "default_orders")]
    pub orders: bool,
}

fn default_orders() -> bool {
    true
}

fn default_queue_tokens() -> u64 {
    262_144
}

/// Tolerances of the home of idempotency keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Home {
    /// By how much the clocks of callers, and of hosts among each other, may differ.
    #[serde(with = "units::duration")]
    pub skew: Duration,
    /// How long a new home stays silent until the old one has surely stopped.
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
    /// The bounds of a home with these tolerances.
    pub fn bounds(&self) -> Bounds {
        let ms = |duration| as_us(duration) / 1000;
        Bounds { skew_ms: ms(self.skew), takeover_ms: ms(self.takeover), ..Bounds::default() }
    }
}
