//! Ports and adapters: how the system's processes meet what lies outside of them.
//!
//! - [`clock`]: the process's monotonic clock as the decisions see it.
//! - [`server`]: an HTTP server on a given listener.

pub mod clock;
pub mod server;
