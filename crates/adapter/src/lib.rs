//! Ports and adapters: how the system's processes meet what lies outside of them.
//!
//! - [`clock`]: the process's monotonic clock as the decisions see it.
//! - [`metrics`]: export of counters to a StatsD collector.
//! - [`settings`], [`signal`]: settings files, and signals that ask a process to stop.
//! - [`server`]: an HTTP server on a given listener.
//! - [`exchange`]: one HTTP exchange on a connection of its own.
//! - [`documents`]: the configuration as files.
//! - [`kv`], [`hosts`]: adapters for the key-value service and the host list.
//! - [`engine`], [`service`]: adapters for model engines and plain services over [`http`].

pub mod clock;
pub mod documents;
pub mod engine;
pub mod exchange;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod metrics;
pub mod server;
pub mod service;
pub mod settings;
pub mod signal;
