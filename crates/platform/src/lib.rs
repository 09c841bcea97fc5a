//! Ports and adapters: how the system's processes meet what lies outside of them.
//!
//! - [`clock`]: the process's monotonic clock as the decisions see it.
//! - [`metrics`]: export of counters to a StatsD collector.
//! - [`settings`], [`signal`]: settings files, and signals that ask a process to stop.
//! - [`server`]: an HTTP server on a given listener.
//! - [`engine`], [`service`]: adapters for model engines and plain services over [`http`].

pub mod clock;
pub mod engine;
pub mod http;
pub mod metrics;
pub mod server;
pub mod service;
pub mod settings;
pub mod signal;
