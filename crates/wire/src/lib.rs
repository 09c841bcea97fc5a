//! Connections between the processes of a deployment: authenticated frames over WebSocket.
//!
//! - [`frame`]: the content of one WebSocket message, encoded as CBOR.
//! - [`handshake`]: mutual proof that both ends know the shared secret.
//! - [`conn`]: one open connection, with batching, heartbeats and a silence timeout.
//! - [`hub`]: all connections of one process; dials, accepts, sends, and delivers messages.
//!
//! A connection loses messages only if it fails, and the hub reports each failure so that the
//! sender can send them again. Receivers tolerate duplicates of every message.

pub mod conn;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod hub;

pub use error::Error;
pub use frame::Frame;
pub use hub::Hub;
