//! Adapter for the key-value service: etcd v3's JSON gateway.
//!
//! - [`Client`]: single calls, with timeouts and counts. It repeats nothing by itself.
//! - [`Documents`]: what revisions of the configuration need of it.
//! - [`message`]: the JSON of the gateway, which the stand-in shares.

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
