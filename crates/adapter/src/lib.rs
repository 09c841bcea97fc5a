//! Adapters between the daemons and the systems outside them: operating system, key-value service,
//! model engines, plain services and metrics collector.
//!
//! - [`clock`]: the monotonic clock whose time is passed to the functions of `oriole_core`.
//! - [`metrics`]: export of counters to a StatsD collector.
//! - [`settings`], [`signal`]: settings files, and the signals that stop or reload a process.
//! - [`server`]: an HTTP server on an existing listener.
//! - [`number`]: numbers in settings that other programs write.
//! - [`limits`]: what a process may use of its machine, and the shares of it.
//! - [`connections`]: a bound on the connections of a listener.
//! - [`memory`]: the memory of what peers send, bounded for all of them together.
//! - [`eviction`]: tells a task that it must give way to another.
//! - [`exchange`]: one HTTP request and its response on a connection of its own.
//! - [`head`]: when the head of a message that arrives in pieces is parsed.
//! - [`file`]: files that are read and written as a whole.
//! - [`documents`]: configuration documents stored as files.
//! - [`kv`], [`hosts`]: clients of the key-value service and of the platform's host list.
//! - [`engine`], [`service`]: clients of model engines and plain services.
//! - [`http`]: what the HTTP clients share.

pub mod clock;
pub mod connections;
pub mod documents;
pub mod engine;
pub mod eviction;
pub mod exchange;
pub mod file;
pub mod head;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod limits;
pub mod memory;
pub mod metrics;
pub mod number;
pub mod server;
pub mod service;
pub mod settings;
pub mod signal;
