//! The process on the entry hosts: adapters around `oriole_core::entry`.
//!
//! - [`cmd`]: the command line.
//! - [`setup`]: starts and stops it.
//! - [`process`]: owns the decisions of one entry and carries out their effects.
//! - [`settings`]: what the process reads at its start.
//! - [`http`]: what callers and operators see; `complete`, `service` and `operate` answer.
//! - `caller`: the channel to one caller, with backpressure.
//! - [`chat`]: the JSON of chat completions.
//! - `hosts`: reads the platform's host list.
//! - [`problem`]: refusals as problem details.
//! - [`auth`]: callers' keys.

pub mod auth;
mod caller;
pub mod chat;
pub mod cmd;
mod complete;
mod hosts;
pub mod http;
pub mod operate;
pub mod problem;
pub mod process;
mod service;
pub mod settings;
pub mod setup;

pub use setup::{Builder, Handle, Setup, start};
