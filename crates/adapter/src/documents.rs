//! Configuration documents stored as files: `DIR/*.toml` and `DIR/contracts/*.toml`.
//!
//! The document `endpoints` is stored in `DIR/endpoints.toml`, the document `contract/NAME` in
//! `DIR/contracts/NAME.toml`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::file::{self, Error};

/// Extension of the files that hold documents.
const EXTENSION: &str = "toml";

/// Subfolder of the contracts, and the prefix of their documents' names.
const CONTRACTS_FOLDER: &str = "contracts";
const CONTRACT_PREFIX: &str = "contract/";

/// Reads all documents of a folder, by name, without parsing them.
///
/// Files whose names start with a dot are skipped.
pub fn read(folder: &Path) -> Result<BTreeMap<String, String>, Error> {
    let mut documents = BTreeMap::new();
    read_into(&mut documents, folder, "")?;
    let contracts = folder.join(CONTRACTS_FOLDER);
    if contracts.is_dir() {
        read_into(&mut documents, &contracts, CONTRACT_PREFIX)?;
    }
    Ok(documents)
}

fn read_into(
    documents: &mut BTreeMap<String, String>,
    folder: &Path,
    prefix: &str,
) -> Result<(), Error> {
    for entry in std::fs::read_dir(folder).map_err(|e| Error::read(folder, e))? {
        let path = entry.map_err(|e| Error::read(folder, e))?.path();
        let Some(stem) = path.file_stem().and_then(|stem| stem.to_str()) else {
            continue;
        };
        if path.extension().is_some_and(|e| e == EXTENSION) && !stem.starts_with('.') {
            documents.insert(format!("{prefix}{stem}"), file::read_text(&path)?);
        }
    }
    Ok(())
}

/// Writes documents, by name, into a folder. Creates the folder if needed and overwrites files of
/// the same names.
pub fn write(folder: &Path, documents: &BTreeMap<String, String>) -> Result<(), Error> {
    let contracts = folder.join(CONTRACTS_FOLDER);
    std::fs::create_dir_all(&contracts).map_err(|e| Error::write(&contracts, e))?;
    for (name, text) in documents {
        file::write(&path(folder, name), text)?;
    }
    Ok(())
}

/// Returns the path of the file that holds the document `name`.
pub fn path(folder: &Path, name: &str) -> PathBuf {
    match name.strip_prefix(CONTRACT_PREFIX) {
        Some(workspace) => folder.join(CONTRACTS_FOLDER).join(format!("{workspace}.{EXTENSION}")),
        None => folder.join(format!("{name}.{EXTENSION}")),
    }
}
