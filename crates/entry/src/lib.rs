//! The process on the entry hosts: adapters around `oriole_core::entry`.
//!
//! - [`process`]: owns the decisions of one entry and carries out their effects.
//! - [`http`]: what callers and operators see.
//! - [`chat`]: the JSON of chat completions.
//! - [`problem`]: refusals as problem details.
//! - [`auth`]: callers' keys.

pub mod auth;
pub mod chat;
pub mod http;
pub mod problem;
pub mod process;

pub use process::{Handle, Setup, start};
