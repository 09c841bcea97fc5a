//! Failures, each with its exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, Error as StdError, From};
use oriole_adapter::{documents, kv, settings};
use oriole_core::{config, name};
use oriole_macros::data;

use crate::fleet::Missing;
use crate::store::Clashes;

/// Why a command failed.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The settings cannot be used.
    #[display("{_0}")]
    Settings(settings::Error),
    /// A file cannot be read or written.
    #[display("{_0}")]
    Files(documents::Error),
    /// A log cannot be read.
    #[from(skip)]
    #[display("reading the log {}: {source}", path.display())]
    Logs {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The documents are no valid configuration.
    #[display("{_0}")]
    Invalid(config::Error),
    /// The folder was made from no known revision.
    #[from(skip)]
    #[display(
        "{} was made from no known revision: run `oriolectl get --dir` into a new folder and edit \
         that, or use --overwrite to replace what is in force",
        folder.display()
    )]
    NoBase {
        /// The folder.
        folder: PathBuf,
    },
    /// The file with the folder's revision cannot be used.
    #[from(skip)]
    #[display("{} does not hold the revision that its folder was made from", path.display())]
    BadBase {
        /// The file.
        path: PathBuf,
    },
    /// Others changed the same documents.
    #[display("{_0}")]
    Conflict(#[error(ignore)] Clashes),
    /// The key-value service cannot be reached; nothing was changed.
    #[display("{_0}")]
    Unreachable(kv::Error),
    /// Others changed the configuration at each try.
    #[from(skip)]
    #[display("other changes were faster at each try; nothing was changed")]
    Contended,
    /// It is not known whether the change was accepted.
    #[from(skip)]
    #[display(
        "{cause}; it is not known whether the change was accepted: run the same command again \
         with --change {id}, which applies it once at most"
    )]
    Unknown {
        /// The change.
        #[error(not(source))]
        id: String,
        /// The last failure.
        cause: kv::Error,
    },
    /// The key-value service holds older contents than were accepted.
    #[from(skip)]
    #[display(
        "the key-value service went back: it holds revision {found}, but revision {known} was \
         accepted; nothing was changed. Restore it with `apply --restore` from a folder of \
         revision {known}"
    )]
    SetBack {
        /// What the service holds.
        found: u64,
        /// What is known to have been accepted.
        known: u64,
    },
    /// The key-value service does not hold an older revision than the one to be restored.
    #[from(skip)]
    #[display("the key-value service holds revision {found}, the folder only revision {folder}")]
    Ahead {
        /// What the service holds.
        found: u64,
        /// What the folder holds.
        folder: u64,
    },
    /// The folder does not hold the revision that is to be restored.
    #[from(skip)]
    #[display("{} is no unchanged copy of the revision in force: {name} differs", folder.display())]
    NoCopy {
        /// The folder.
        folder: PathBuf,
        /// What differs.
        name: String,
    },
    /// The head or a document in the key-value service is damaged.
    #[from(skip)]
    #[display("{name} in the key-value service is missing or damaged")]
    Damaged {
        /// What is damaged.
        name: String,
    },
    /// A revision is accepted but not in force everywhere.
    #[display("{_0}")]
    NotInForce(#[error(ignore)] Missing),
    /// There is no such thing.
    #[from(skip)]
    #[display("found no {what}")]
    NotFound {
        /// What was asked for.
        what: String,
    },
    /// A process did not answer.
    #[from(skip)]
    #[display("{host} did not answer")]
    Silent {
        /// The host.
        host: name::Host,
    },
}

impl Error {
    /// The exit code; `oriolectl --help` lists them.
    pub fn code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Files(_) | Self::Logs { .. } | Self::BadBase { .. } => 1,
            Self::Invalid(_) => 2,
            Self::Conflict(_) | Self::NoBase { .. } => 3,
            Self::Unreachable(_) | Self::Contended => 4,
            Self::Unknown { .. } => 5,
            Self::NotInForce(_) => 6,
            Self::SetBack { .. }
            | Self::Ahead { .. }
            | Self::NoCopy { .. }
            | Self::Damaged { .. } => 7,
            Self::NotFound { .. } => 8,
            Self::Silent { .. } => 9,
        }
    }
}

/// A failure as JSON, for scripts.
#[data]
#[derive(Display)]
#[display("{message}")]
#[serde(rename_all = "kebab-case")]
pub struct Failure {
    /// The exit code.
    pub code: u8,
    /// The failure, for people.
    pub message: String,
    /// What is wrong with the documents.
    pub faults: Vec<config::Fault>,
    /// The documents that clash.
    pub clashes: Option<Clashes>,
    /// Where a revision is not in force.
    pub missing: Option<Missing>,
}

impl From<&Error> for Failure {
    fn from(e: &Error) -> Self {
        let faults = match e {
            Error::Invalid(e) => e.faults.clone(),
            _ => Vec::new(),
        };
        let (clashes, missing) = match e {
            Error::Conflict(clashes) => (Some(clashes.clone()), None),
            Error::NotInForce(missing) => (None, Some(missing.clone())),
            _ => (None, None),
        };
        Self { code: e.code(), message: e.to_string(), faults, clashes, missing }
    }
}

impl From<&Error> for ExitCode {
    fn from(e: &Error) -> Self {
        Self::from(e.code())
    }
}
