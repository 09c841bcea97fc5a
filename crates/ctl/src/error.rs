//! Errors of commands, each with its exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, Error as StdError, From};
use oriole_adapter::{file, kv, settings};
use oriole_core::{config, name};
use oriole_macros::data;

use crate::fleet::Rollout;
use crate::store::Clashes;

/// Why a command failed.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The settings cannot be used.
    #[display("{_0}")]
    Settings(settings::Error),
    /// A file cannot be read or written.
    #[display("{_0}")]
    Files(file::Error),
    /// A log cannot be read.
    #[from(skip)]
    #[display("reading the log {}: {source}", path.display())]
    Logs {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The documents are not a valid configuration.
    #[display("{_0}")]
    Invalid(config::Error),
    /// The folder has no base, so that it is not known which changes it would undo.
    #[from(skip)]
    #[display(
        "the revision that {} is based on is not known: run `oriolectl get --dir` into a new \
         folder and edit that, or use --overwrite to replace what is in force",
        folder.display()
    )]
    NoBase {
        /// The folder.
        folder: PathBuf,
    },
    /// The file that stores a folder's base cannot be decoded, or a base cannot be encoded.
    #[from(skip)]
    #[display("{} does not hold a valid base revision of its folder", path.display())]
    BadBase {
        /// The file.
        path: PathBuf,
    },
    /// Others changed the same documents since the folder's base.
    #[display("{_0}")]
    Conflict(#[error(ignore)] Clashes),
    /// The key-value service cannot be reached or refused the call; nothing was changed.
    #[display("{_0}")]
    Unreachable(kv::Error),
    /// Other changes were accepted first at each attempt.
    #[from(skip)]
    #[display("another change was accepted first at each attempt; nothing was changed")]
    Contended,
    /// It is not known whether the change was accepted.
    #[from(skip)]
    #[display(
        "{cause}; it is not known whether the change was accepted: run the same command again \
         with --change {id}, which applies it at most once"
    )]
    OutcomeUnknown {
        /// Id of the change.
        #[error(not(source))]
        id: String,
        /// The error of the last write that may have been applied.
        cause: kv::Error,
    },
    /// The key-value service holds older contents than were accepted, as after the restoration of
    /// a backup.
    #[from(skip)]
    #[display(
        "the key-value service holds older contents: found revision {found}, but revision {known} \
         was accepted; nothing was changed. Restore it with `apply --restore` from a folder of \
         revision {known}"
    )]
    SetBack {
        /// Revision in the service, 0 for none.
        found: u64,
        /// Latest revision that is known to have been accepted.
        known: u64,
    },
    /// The key-value service does not hold an older revision than the one to restore.
    #[from(skip)]
    #[display(
        "nothing to restore: the key-value service holds revision {found}, which is not older than \
         the folder's revision {folder}"
    )]
    Ahead {
        /// Revision in the service.
        found: u64,
        /// Revision that the folder is based on.
        folder: u64,
    },
    /// The folder to restore from was edited, so that it is no copy of its base revision.
    #[from(skip)]
    #[display("{} is not an unchanged copy of its base revision: {name} differs", folder.display())]
    ModifiedCopy {
        /// The folder.
        folder: PathBuf,
        /// Name of the first document that differs.
        name: String,
    },
    /// The head or a document in the key-value service is damaged.
    #[from(skip)]
    #[display("{name} in the key-value service is missing or damaged")]
    Damaged {
        /// Name of the document, or "the head".
        name: String,
    },
    /// A revision is accepted, but not in force on all processes.
    #[display("{_0}")]
    NotInForce(#[error(ignore)] Rollout),
    /// What a command asks for does not exist.
    #[from(skip)]
    #[display("found no {what}")]
    NotFound {
        /// What was looked for, with its name.
        what: String,
    },
    /// A process did not respond.
    #[from(skip)]
    #[display("the process on {host} did not respond")]
    NoResponse {
        /// The process's host.
        host: name::Host,
    },
}

impl Error {
    /// Returns the exit code. `oriolectl --help` lists all codes.
    pub fn code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Files(_) | Self::Logs { .. } | Self::BadBase { .. } => 1,
            Self::Invalid(_) => 2,
            Self::Conflict(_) | Self::NoBase { .. } => 3,
            Self::Unreachable(_) | Self::Contended => 4,
            Self::OutcomeUnknown { .. } => 5,
            Self::NotInForce(_) => 6,
            Self::SetBack { .. }
            | Self::Ahead { .. }
            | Self::ModifiedCopy { .. }
            | Self::Damaged { .. } => 7,
            Self::NotFound { .. } => 8,
            Self::NoResponse { .. } => 9,
        }
    }
}

/// An error as JSON, for scripts.
#[data]
#[derive(Display)]
#[display("{message}")]
#[serde(rename_all = "kebab-case")]
pub struct Failure {
    /// The exit code.
    pub code: u8,
    /// The error message, for people.
    pub message: String,
    /// What is wrong with the documents, if they are not valid.
    pub faults: Vec<config::Fault>,
    /// The conflicting documents, if there is a conflict.
    pub clashes: Option<Clashes>,
    /// How far the revision has been rolled out, if it is not in force on all processes.
    pub missing: Option<Rollout>,
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
