//! `oriolectl`: the command line by which operators manage a deployment.
//!
//! - [`cmd`]: one module for each subcommand.
//! - [`settings`]: addresses of the key-value service and of the processes.
//! - [`base`]: the revision that a folder of documents is based on.
//! - [`fleet`]: the processes of a deployment, and their status over HTTP.
//! - [`logs`]: analysis of the log files of entries.
//! - [`store`]: the configuration in the key-value service, and its changes.
//! - [`error`], [`output`]: errors with their exit codes, and printing of results.

pub mod base;
pub mod cmd;
pub mod error;
pub mod fleet;
pub mod logs;
pub mod output;
pub mod settings;
pub mod store;

pub use error::Error;
