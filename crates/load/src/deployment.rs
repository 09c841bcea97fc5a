//! Reads a deployment from a directory of documents.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use oriole_core::config::{self, Config, is_document};

/// Ending of the files that hold documents.
const EXTENSION: &str = "toml";

/// Directory of the contracts, and start of their documents' names.
const CONTRACTS: [(&str, &str); 2] = [("", ""), ("contracts", "contract/")];

/// Why a deployment could not be read.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file or directory could not be read.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// The file or directory.
        path: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The documents hold faults.
    #[display("{_0}")]
    Faults(config::Error),
}

/// Reads the configuration that `directory` holds.
pub fn read(directory: &Path) -> Result<Config, Error> {
    let mut documents = BTreeMap::new();
    for (subdirectory, prefix) in CONTRACTS {
        read_into(&mut documents, &directory.join(subdirectory), prefix)?;
    }
    Config::load(&documents).map_err(Error::Faults)
}

fn read_into(
    documents: &mut BTreeMap<String, String>,
    directory: &Path,
    prefix: &str,
) -> Result<(), Error> {
    let failure = |path: &Path, source| Error::Read { path: path.to_owned(), source };
    for entry in std::fs::read_dir(directory).map_err(|e| failure(directory, e))? {
        let path = entry.map_err(|e| failure(directory, e))?.path();
        let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
        let name = format!("{prefix}{stem}");
        if path.extension().is_some_and(|e| e == EXTENSION) && is_document(&name) {
            let text = std::fs::read_to_string(&path).map_err(|e| failure(&path, e))?;
            documents.insert(name, text);
        }
    }
    Ok(())
}
