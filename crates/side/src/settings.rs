//! Settings of one side.

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error};
use oriole_core::name;
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
    /// Folder of the configuration's documents.
    pub config: PathBuf,
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file cannot be read.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file does not hold valid settings.
    #[display("in {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: toml::de::Error,
    },
}

/// Loads settings from a TOML file.
pub fn load(path: &PathBuf) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Read { path: path.clone(), source })?;
    toml::from_str(&text).map_err(|source| Error::Parse { path: path.clone(), source })
}
