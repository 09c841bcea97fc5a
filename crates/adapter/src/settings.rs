//! Loading of settings files, shared by all processes.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

/// Shortest secret that is accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file cannot be read.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file does not hold valid settings.
    #[display("reading settings from {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with line, key, what was found and what is allowed.
        source: toml::de::Error,
    },
    /// The secret is too short to protect anything.
    #[display(
        "reading the secret from {}: found {found} bytes, expected at least {MIN_SECRET_BYTES}",
        path.display()
    )]
    ShortSecret {
        /// The file.
        path: PathBuf,
        /// Bytes found, without white space at the end.
        found: usize,
    },
}

/// Loads a settings type from a TOML file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = read(path)?;
    toml::from_str(&text).map_err(|source| Error::Parse { path: path.to_owned(), source })
}

/// Loads the secret that all processes of a deployment share; white space at its end is no part.
pub fn load_secret(path: &Path) -> Result<Vec<u8>, Error> {
    let secret = read(path)?.trim_end().as_bytes().to_vec();
    if secret.len() < MIN_SECRET_BYTES {
        return Err(Error::ShortSecret { path: path.to_owned(), found: secret.len() });
    }
    Ok(secret)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}
