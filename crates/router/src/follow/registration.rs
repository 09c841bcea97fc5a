//! Keeps this entry registered in the store.
//!
//! The registration ends with its lease. That the lease runs does not show that the registration is there:
//! the store may have come back from a copy and given the lease to another entry, or a write that was carried
//! out late may have put the registration under an earlier lease. The entry therefore also watches its own key.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use oriole_core::fleet::Position;
use oriole_macros::data;
use oriole_platform::store::{Change, Client, Commit, Error, Write};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::watch::Monitor;
use crate::state::Shared;

/// Prefix of the keys under which entries register, followed by the name of the host.
pub const PREFIX: &str = "oriole/hosts/";

/// Time to live of an entry's registration unless it is renewed.
const TTL: Duration = Duration::from_secs(5);

/// Registration of an entry, as stored.
#[data]
pub struct Registration {
    /// Address on which it listens for other entries.
    pub address: SocketAddr,
}

/// The last registration that the store has acknowledged.
#[derive(Clone, Copy, Debug)]
struct Written {
    lease: u64,
    position: Position,
}

/// This entry's registration as it is known, and what wakes the task that renews it.
#[derive(Debug, Default)]
pub struct Own {
    written: Cell<Option<Written>>,
    lost: Notify,
}

/// Compares this entry's registration with what the store holds at `position`.
///
/// `changes` are all items if `is_snapshot`, else those that were changed since.
pub fn check(state: &Shared, is_snapshot: bool, position: Position, changes: &[Change]) {
    let key = format!("{PREFIX}{}", state.settings.name);
    let own = changes.iter().rev().find(|change| change.key() == key);
    let lease = match own {
        Some(Change::Written(item)) => Some(item.lease),
        Some(Change::Removed(_)) => None,
        None if is_snapshot => None,
        None => return,
    };
    let written = state.registration.written.get();
    let is_lost = |w: &Written| w.position < position && lease != Some(w.lease);
    if written.as_ref().is_some_and(is_lost) {
        log::warn!(position:%; "registration of this entry lost; registering again");
        state.registration.written.set(None);
        state.registration.lost.notify_one();
    }
}

/// Keeps this entry registered until the process ends.
pub async fn run(state: Shared, store: Client) {
    let ttl = TTL.max(Duration::from_millis(state.settings.store.min_lease_ms));
    let mut monitor = Monitor::new(&state, "registration");
    loop {
        let sent = state.now();
        let result = match state.registration.written.get() {
            Some(written) => store.renew_lease(written.lease).await,
            None => register(&state, &store, ttl).await,
        };
        monitor.record(&result);
        match result {
            Ok(()) => state.inner.borrow_mut().presence.record_registration(sent + ttl),
            Err(Error::Missing) => {
                // The next call registers again, with a pause if that is what has failed.
                if state.registration.written.take().is_some() {
                    continue;
                }
            }
            Err(_) => {}
        }
        // Woken early if the registration is found to be lost.
        let _ = timeout(ttl / 3, state.registration.lost.notified()).await;
    }
}

/// Writes this entry's registration under a new lease.
async fn register(state: &Shared, store: &Client, ttl: Duration) -> Result<(), Error> {
    let key = format!("{PREFIX}{}", state.settings.name);
    let registration = Registration { address: state.settings.listen.peers };
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let lease = store.grant_lease(ttl).await?;
    let write = Write { key: &key, value: &value, lease, expected_revision: None };
    if let Commit::Written(position) = store.write(&write).await? {
        state.registration.written.set(Some(Written { lease, position }));
    }
    Ok(())
}
