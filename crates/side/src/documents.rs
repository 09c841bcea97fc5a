//! Reading of the configuration's documents from a folder.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use oriole_core::config::{self, Config};

/// Folder of the contracts within that of the documents.
const CONTRACTS: &str = "contracts";

/// Why a configuration cannot be read.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file or folder cannot be read.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The documents do not make up a configuration.
    #[display("in {}: {source}", path.display())]
    Invalid {
        /// The folder.
        path: PathBuf,
        /// The faults.
        source: config::Error,
    },
}

/// Loads the configuration whose documents are the TOML files of `folder`; those in its folder
/// `contracts` are contracts.
pub fn load(folder: &Path) -> Result<Config, Error> {
    let mut documents = BTreeMap::new();
    read(folder, "", &mut documents)?;
    let contracts = folder.join(CONTRACTS);
    if contracts.is_dir() {
        read(&contracts, "contract/", &mut documents)?;
    }
    let invalid = |source| Error::Invalid { path: folder.to_owned(), source };
    Config::load(&documents).map_err(invalid)
}

fn read(
    folder: &Path,
    prefix: &str,
    documents: &mut BTreeMap<String, String>,
) -> Result<(), Error> {
    let fail = |path: &Path| {
        let path = path.to_owned();
        move |source| Error::Read { path, source }
    };
    for file in std::fs::read_dir(folder).map_err(fail(folder))? {
        let path = file.map_err(fail(folder))?.path();
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        let Some(stem) = stem.filter(|_| path.extension().is_some_and(|e| e == "toml")) else {
            continue;
        };
        let text = std::fs::read_to_string(&path).map_err(fail(&path))?;
        documents.insert(format!("{prefix}{stem}"), text);
    }
    Ok(())
}
