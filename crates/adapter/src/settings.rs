//! Loading of settings files and of the shared secret, for all processes.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

use crate::file;

/// Shortest secret that is accepted.
const MIN_SECRET_BYTES: usize = 16;

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file cannot be read.
    #[display("{_0}")]
    Read(file::Error),
    /// A file does not hold valid settings.
    #[display("parsing the settings in {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parser's error, with the line, the key, what was found and what is allowed.
        source: toml::de::Error,
    },
    /// The secret is too short to resist guessing.
    #[display(
        "reading the secret from {}: found {found} bytes, expected at least {MIN_SECRET_BYTES}",
        path.display()
    )]
    ShortSecret {
        /// The file.
        path: PathBuf,
        /// Length of the secret in bytes, without trailing white space.
        found: usize,
    },
}

/// Reads a TOML file into a settings type.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = file::read_text(path).map_err(Error::Read)?;
    toml::from_str(&text).map_err(|source| Error::Parse { path: path.to_owned(), source })
}

/// Reads the secret that all processes of a deployment share, without trailing white space.
pub fn load_secret(path: &Path) -> Result<Vec<u8>, Error> {
    let text = file::read_text(path).map_err(Error::Read)?;
    let secret = text.trim_end().as_bytes().to_vec();
    if secret.len() < MIN_SECRET_BYTES {
        return Err(Error::ShortSecret { path: path.to_owned(), found: secret.len() });
    }
    Ok(secret)
}
