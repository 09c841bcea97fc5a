//! Reads a deployment from a directory of documents.

use std::path::Path;

use derive_more::{Display, Error, From};
use oriole_adapter::{documents, file};
use oriole_core::config::{self, Config};

/// A deployment could not be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A file or directory could not be read.
    #[display("{_0}")]
    Documents(file::Error),
    /// The documents are not a valid configuration.
    #[display("{_0}")]
    Config(config::Error),
}

/// Reads the configuration from the documents in `directory`.
pub fn read(directory: &Path) -> Result<Config, Error> {
    Ok(Config::load(&documents::read(directory)?)?)
}
