//! Stand-ins for the external systems, used in tests and measurements. Faults can be injected into
//! each of them.
//!
//! - [`engine`]: a model engine that holds a range of layers; [`model`] computes the answer that
//!   is expected of a run without faults.
//! - [`kv`], [`hosts`]: a key-value service, and a host list.
//! - [`service`]: a plain service that counts how often each call ran.
//! - [`weights`]: a rate-limited weight store.
//! - [`relay`]: a TCP relay that injects network faults.
//! - [`crowd`]: clients that send many bodies and do not finish them; [`usage`]: what a process uses.
//! - [`random`]: random numbers of a seed.
//! - [`fault`], [`http`]: the fault switches and the HTTP server that the stand-ins share.
//! - [`cmd`]: the subcommands of `oriole-standin`.

pub mod cmd;
pub mod crowd;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod model;
pub mod random;
pub mod relay;
pub mod service;
pub mod usage;
pub mod weights;
