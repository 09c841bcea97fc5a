//! The revision that a folder of documents is based on, stored in a file of the folder.
//!
//! The base tells an operator's own edits from changes that others made since.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use oriole_adapter::file;
use oriole_core::revision::{Hash, Head};
use oriole_macros::data;

use crate::Error;

const FILE_NAME: &str = ".oriole-base.json";

/// The base of a folder.
#[data]
pub struct Base {
    /// Head of the revision that `get` wrote into the folder, or that the last `apply` from the
    /// folder made or found.
    pub head: Head,
    /// Hashes of the folder's documents at that time. They differ from the head's for documents
    /// that others changed before that `apply`.
    pub documents: BTreeMap<String, Hash>,
}

/// Returns the hashes of documents, by name.
pub fn hashes(documents: &BTreeMap<String, String>) -> BTreeMap<String, Hash> {
    let hash = |(name, text): (&String, &String)| (name.clone(), Hash::of(text.as_bytes()));
    documents.iter().map(hash).collect()
}

/// Returns the path of the file that stores a folder's base.
pub fn path(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Reads the base of a folder; `None` if the folder has none.
pub fn read(folder: &Path) -> Result<Option<Base>, Error> {
    let path = path(folder);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = file::read(&path)?;
    let base: Option<Base> = serde_json::from_slice(&bytes).ok();
    let valid = base.filter(|base| base.head.check().is_ok());
    valid.map(Some).ok_or(Error::BadBase { path })
}

/// Stores the base of a folder.
pub fn write(folder: &Path, base: &Base) -> Result<(), Error> {
    let path = path(folder);
    let bytes = serde_json::to_vec(base).map_err(|_| Error::BadBase { path: path.clone() })?;
    Ok(file::write(&path, bytes)?)
}
