//! Decisions of oriolelanding: events and the present time in, effects out.
//!
//! Nothing here performs I/O, reads a clock or draws its own random numbers, so that a test can
//! drive the whole from outside. The crates `entry` and `side` are the adapters around it.
//!
//! - [`name`], [`request`], [`time`], [`units`], [`message`]: the shared vocabulary.
//! - [`contract`], [`config`], [`revision`]: what operators write and how it is agreed.
//! - [`engine`]: what sides and engines say to each other.
//! - [`share`]: messages by which entries share a contract's limits.
//! - [`status`]: what every process tells operators about itself.

pub mod config;
pub mod contract;
pub mod engine;
pub mod message;
pub mod name;
pub mod request;
pub mod revision;
pub mod share;
pub mod status;
pub mod time;
pub mod units;
