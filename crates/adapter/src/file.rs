//! Files that are read and written as a whole.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// A failure to read or write a file or folder.
#[derive(Debug, Display, Error)]
#[display("{action} {}: {source}", path.display())]
pub struct Error {
    /// What was being done.
    pub action: Action,
    /// The file or folder.
    pub path: PathBuf,
    /// The error of the operating system.
    pub source: io::Error,
}

/// What was being done with a file.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Action {
    /// Reading it.
    #[display("reading")]
    Read,
    /// Writing it.
    #[display("writing")]
    Write,
}

impl Error {
    /// Creates the error of a failure to read `path`.
    pub(crate) fn read(path: &Path, source: io::Error) -> Self {
        Self { action: Action::Read, path: path.to_owned(), source }
    }

    /// Creates the error of a failure to write `path`.
    pub(crate) fn write(path: &Path, source: io::Error) -> Self {
        Self { action: Action::Write, path: path.to_owned(), source }
    }
}

/// Reads a file.
pub fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|e| Error::read(path, e))
}

/// Reads a file that must hold UTF-8 text.
pub fn read_text(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error::read(path, e))
}

/// Writes a file, and replaces its contents if it exists.
pub fn write(path: &Path, contents: impl AsRef<[u8]>) -> Result<(), Error> {
    std::fs::write(path, contents).map_err(|e| Error::write(path, e))
}
