//! The process beside each endpoint: adapters around `oriole_core::side`.
//!
//! - [`process`]: owns the decisions of one side and carries out their effects.
//! - [`settings`]: what the process reads at its start.

pub mod process;
pub mod settings;

pub use process::{Handle, Setup, start};
