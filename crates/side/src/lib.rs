//! The process beside each endpoint: adapters around `oriole_core::side`.
//!
//! - [`cmd`]: the command line.
//! - [`process`]: owns the decisions of one side and carries out their effects.
//! - [`settings`]: what the process reads at its start.
//! - [`status`]: what operators are told; served over HTTP.

mod builder;
pub mod cmd;
mod endpoint;
mod http;
mod lock;
mod orders;
pub mod process;
pub mod settings;
pub mod status;

pub use builder::{Builder, Setup, start};
pub use process::Handle;
