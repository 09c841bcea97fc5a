//! The `oriole-side` process, which runs on a host beside its endpoints. It admits and queues the
//! work for them and gives orders to the engines among them.
//!
//! It connects the state machine of `oriole_core::side` to the endpoints of the host, to the
//! connections with other processes, and to the clock.
//!
//! - [`cmd`]: the command line.
//! - [`process`]: the task that owns the state machine and carries out its effects.
//! - [`settings`]: the settings file.
//! - [`status`]: status, counters and explanations for operators; `http` serves them.
//! - `builder`: starts a side.
//! - `endpoint`: the adapters of engines and plain services.
//! - `orders`: brings an engine to what the configuration assigns to it, under the locks of `lock`.

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
