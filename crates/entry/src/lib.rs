//! The `oriole-entry` process, which takes the requests of callers.
//!
//! It connects the state machine of `oriole_core::entry` to HTTP, to the connections with other
//! processes (the other entries, and the sides, which run beside the endpoints), and to the clock.
//!
//! - [`cmd`]: the command line.
//! - [`setup`]: starts and stops an entry.
//! - [`process`]: the task that owns the state machine and carries out its effects.
//! - [`settings`]: the settings file.
//! - [`http`]: routes HTTP requests; `completion`, `service` and [`operator`] answer them.
//! - `caller`: the channel to one caller, with backpressure.
//! - [`chat`]: the JSON of chat completions.
//! - `hosts`: polls the platform's host list.
//! - [`problem`]: refusals as problem details.
//! - [`auth`]: the API keys of callers.

pub mod auth;
mod caller;
pub mod chat;
pub mod cmd;
mod completion;
mod hosts;
pub mod http;
pub mod operator;
pub mod problem;
pub mod process;
mod service;
pub mod settings;
pub mod setup;

pub use setup::{Builder, Handle, Setup, start};
