//! The settings that say where a process reads its configuration from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use oriole_adapter::{documents, file, kv};
use oriole_core::config::{self, Config};
use oriole_core::name;
use serde::{Deserialize, Serialize};

/// Where a process reads its configuration from: either a folder, which is read once at the start,
/// or the revisions that the key-value service stores and entries pass on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Source {
    /// Folder of documents. Excludes `seeds` and `kv`.
    pub folder: Option<PathBuf>,
    /// Addresses at which entries listen for connections of other processes, by host.
    pub seeds: BTreeMap<name::Host, SocketAddr>,
    /// The key-value service; absent if the process must not call it.
    pub kv: Option<kv::Settings>,
}

/// Why the configuration cannot be loaded.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings name no source.
    #[display(
        "table configuration of the settings: found nothing, expected folder, or seeds and kv"
    )]
    Missing,
    /// The settings name a folder together with seeds or a key-value service.
    #[display(
        "table configuration of the settings: found folder with seeds or kv, expected one of them"
    )]
    Ambiguous,
    /// The folder cannot be read.
    Folder(file::Error),
    /// The documents of the folder are not a valid configuration.
    #[display("loading the configuration: {_0}")]
    Invalid(config::Error),
}

impl Source {
    /// Loads the initial configuration. It is empty if the process obtains its configuration from
    /// the key-value service or from peers.
    pub fn load(&self) -> Result<Config, Error> {
        let is_followed = self.kv.is_some() || !self.seeds.is_empty();
        match &self.folder {
            Some(_) if is_followed => Err(Error::Ambiguous),
            Some(folder) => Ok(Config::load(&documents::read(folder)?)?),
            None if is_followed => Ok(Config::default()),
            None => Err(Error::Missing),
        }
    }
}
