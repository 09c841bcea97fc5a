//! `oriolectl`: what operators drive the system with.
//!
//! - [`cmd`]: one module a subcommand.
//! - [`settings`]: where the key-value service and the processes are.
//! - [`base`]: the revision that a folder of documents was made from.
//! - [`fleet`]: the processes, and what they tell about themselves.
//! - [`logs`]: what the log lines of entries tell afterwards.
//! - [`store`]: the configuration in the key-value service, and changes of it.
//! - [`error`], [`output`]: failures with their exit codes, and what is printed.

pub mod base;
pub mod cmd;
pub mod error;
pub mod fleet;
pub mod logs;
pub mod output;
pub mod settings;
pub mod store;

pub use error::Error;
