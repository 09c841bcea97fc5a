//! Frames between the system's processes, over WebSocket connections.
//!
//! - [`frame`]: what stands in one WebSocket message, encoded as CBOR.
//! - [`handshake`]: both ends prove that they know the shared secret.
//! - [`conn`]: one connection, with heartbeats and a deadline for silence.
//! - [`hub`]: all connections of one process; dials, accepts, and hands messages over.
//!
//! A connection may lose messages only by dying, and each death is reported, so that whoever
//! sent them can send them again; every message of the system may safely arrive twice.

pub mod conn;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod hub;

pub use error::Error;
pub use frame::Frame;
pub use hub::Hub;
