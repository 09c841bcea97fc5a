//! Follows the store: reads the routing table, the endpoints, the plan and the other entries, and
//! keeps this entry registered.
//!
//! - [`watch`]: watches a prefix, and monitors failed calls.
//! - [`table`]: the operator's configuration, watched, and read when the watch is silent for too long.
//! - [`listing`]: the registrations of endpoints, read at an interval.
//! - [`entries`]: the keys that entries write, watched.
//! - [`registration`]: the registration of this entry.

pub mod entries;
pub mod listing;
pub mod registration;
pub mod table;
pub mod watch;

use oriole_platform::store::Client;

use crate::state::Shared;

pub use entries::{PLAN_KEY, apply_plan};
pub use listing::apply_listing;

/// Starts the tasks that follow the store and keep this entry registered.
pub fn start(state: &Shared, store: Client) {
    actix_rt::spawn(table::run(state.clone(), store));
    actix_rt::spawn(table::read_if_stale(state.clone(), store));
    actix_rt::spawn(listing::run(state.clone(), store));
    actix_rt::spawn(entries::run(state.clone(), store));
    actix_rt::spawn(registration::run(state.clone(), store));
}
