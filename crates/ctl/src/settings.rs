//! The settings file of `oriolectl`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use oriole_adapter::{kv, settings};
use oriole_core::name;
use serde::{Deserialize, Serialize};

use crate::Error;

/// The settings, as in the TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Addresses and timeout of the key-value service.
    pub kv: kv::Settings,
    /// Port at which entries serve operators, on the address in the configuration.
    #[serde(default = "default_entry_http_port")]
    pub entry_http_port: u16,
    /// Port at which sides serve operators, on the address in the configuration.
    #[serde(default = "default_side_http_port")]
    pub side_http_port: u16,
    /// Addresses at which hosts serve operators. They replace those that follow from the
    /// configuration, and are used if the configuration cannot be read.
    #[serde(default)]
    pub http: BTreeMap<name::Host, SocketAddr>,
}

fn default_entry_http_port() -> u16 {
    7301
}

fn default_side_http_port() -> u16 {
    7401
}

impl Settings {
    /// Reads the settings from a TOML file.
    pub fn load(path: &PathBuf) -> Result<Self, Error> {
        settings::load(Path::new(path)).map_err(Error::Settings)
    }
}
