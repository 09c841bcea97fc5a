//! Stand-ins of the outside systems, for tests and measurements, each with fault switches.
//!
//! - [`engine`]: a model engine that holds a range of layers; [`model`] computes the expected
//!   answer of an undisturbed run.
//! - [`fault`], [`http`]: the fault switches and the HTTP server that the stand-ins share.

pub mod engine;
pub mod fault;
pub mod http;
pub mod model;
