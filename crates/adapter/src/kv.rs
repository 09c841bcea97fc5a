//! Client of the key-value service, which speaks etcd v3's JSON gateway.
//!
//! - [`Client`]: single calls with a timeout, counted by operation. It never retries by itself.
//! - [`Documents`]: reads and writes the configuration's head, documents and history.
//! - [`message`]: the gateway's JSON messages, shared with the stand-in of the service.

mod client;
mod count;
mod documents;
mod error;
pub mod message;
mod watch;

pub use self::client::{Client, Settings};
pub use self::count::{Count, Operation};
pub use self::documents::{Documents, Record};
pub use self::error::{Cause, Error};
pub use self::watch::Watch;
