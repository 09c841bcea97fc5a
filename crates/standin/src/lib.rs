//! Stand-ins of the outside systems, for tests and measurements, each with fault switches.
//!
//! - [`engine`]: a model engine that holds a range of layers; [`model`] computes the expected
//!   answer of an undisturbed run.
//! - [`kv`], [`hosts`]: a key-value service, and a list of hosts.
//! - [`service`]: a plain service that records how often each call ran.
//! - [`weights`]: a rate-limited weight store.
//! - [`relay`]: a TCP relay that injects faults of the network.
//! - [`fault`], [`http`]: the fault switches and the HTTP server that the stand-ins share.
//! - [`cmd`]: the subcommands of `oriole-standin`.

pub mod cmd;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod model;
pub mod relay;
pub mod service;
pub mod weights;
