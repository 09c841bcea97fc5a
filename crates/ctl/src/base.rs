//! The revision that a folder of documents was made from, kept in a file of the folder.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use oriole_adapter::documents::{self, Action};
use oriole_core::revision::{Hash, Head};
use oriole_macros::data;

use crate::Error;

const FILE: &str = ".oriole-base.json";

/// What a folder was made from.
#[data]
pub struct Base {
    /// The latest revision that the folder's operator saw accepted.
    pub head: Head,
    /// The folder's documents at that time. They are those of the revision, but for documents
    /// that others changed at the same time.
    pub documents: BTreeMap<String, Hash>,
}

/// The hashes of documents by name.
pub fn hashes(documents: &BTreeMap<String, String>) -> BTreeMap<String, Hash> {
    let hash = |(name, text): (&String, &String)| (name.clone(), Hash::of(text.as_bytes()));
    documents.iter().map(hash).collect()
}

/// The file with the folder's revision.
pub fn path(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

/// Reads what a folder was made from, `None` if that is not known.
pub fn read(folder: &Path) -> Result<Option<Base>, Error> {
    let path = path(folder);
    if !path.exists() {
        return Ok(None);
    }
    let fail = |source| documents::Error { action: Action::Read, path: path.clone(), source };
    let bytes = std::fs::read(&path).map_err(fail)?;
    let base: Option<Base> = serde_json::from_slice(&bytes).ok();
    let valid = base.filter(|base| base.head.check().is_ok());
    valid.map(Some).ok_or(Error::BadBase { path })
}

/// Notes what a folder holds now.
pub fn write(folder: &Path, base: &Base) -> Result<(), Error> {
    let path = path(folder);
    let bytes = serde_json::to_vec(base).map_err(|_| Error::BadBase { path: path.clone() })?;
    let fail = |source| documents::Error { action: Action::Write, path: path.clone(), source };
    Ok(std::fs::write(&path, bytes).map_err(fail)?)
}
