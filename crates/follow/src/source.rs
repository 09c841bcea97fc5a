//! Where a process has its configuration from, as its settings say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use oriole_adapter::{documents, kv};
use oriole_core::config::{self, Config};
use oriole_core::name;
use serde::{Deserialize, Serialize};

/// Where a process has its configuration from: a folder that never changes, or the revisions that
/// the key-value service holds and entries pass on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Source {
    /// Folder of documents; excludes the others.
    pub folder: Option<PathBuf>,
    /// Where entries listen for the system's own connections, by host.
    pub seeds: BTreeMap<name::Host, SocketAddr>,
    /// The key-value service.
    pub kv: Option<kv::Settings>,
}

/// Why a configuration cannot be had.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings name no source.
    #[display(
        "table configuration of the settings: found nothing, expected folder, or seeds and kv"
    )]
    Missing,
    /// The settings name sources that exclude each other.
    #[display(
        "table configuration of the settings: found folder with seeds or kv, expected one of them"
    )]
    Ambiguous,
    /// A folder cannot be read.
    Folder(documents::Error),
    /// The documents of a folder do not make up a configuration.
    #[display("loading the configuration: {_0}")]
    Invalid(config::Error),
}

impl Source {
    /// The configuration to start with; empty if it is to come from the key-value service or from
    /// peers.
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
