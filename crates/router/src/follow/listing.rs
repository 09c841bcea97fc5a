//! Follows the registrations of endpoints.
//!
//! They change with each heartbeat, and the store counts each answered watch as a call, so they are
//! read at an interval instead.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::fleet::{Listing, Position, Update, polling};
use oriole_core::time::Instant;
use oriole_platform::registry;
use oriole_platform::store::{Client, Item, Read};
use tokio::time::sleep;

use super::watch::Monitor;
use crate::metrics::Metrics;
use crate::state::Shared;

/// Interval at which an entry checks whether to read the registrations.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest pause after an outdated answer.
const OUTDATED_PAUSE: Duration = Duration::from_millis(150);

/// Reads the registrations whenever the listing is too old, or from before a pause of the process, until
/// the process ends.
pub async fn run(state: Shared, store: Client) {
    let mut monitor = Monitor::new(&state, "endpoints");
    loop {
        let limit = polling::listing_age_limit(state.rank_by_name(), state.drain_time());
        let age = state.inner.borrow().view.age(state.now());
        if age.is_some_and(|age| age < limit) && !state.is_settling() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let began = state.now();
        let read = store.range(registry::PREFIX).await;
        monitor.record(&read);
        Metrics::time(&state.metrics.store_call, state.now().since(began));
        match read {
            Ok(read) => {
                let listing = state.timed("listing", || decode_listing(&state, &read));
                let update = apply_listing(&state, listing, began);
                let age = state.inner.borrow().view.age(state.now());
                if update == Update::Ignored && age.is_some_and(|age| age >= limit) {
                    // The next answer may be as old as this one. One that is ignored since a peer has
                    // sent a newer one meanwhile needs no pause.
                    sleep(polling::spread(OUTDATED_PAUSE, state.entry_count(), rand::random()))
                        .await;
                }
            }
            Err(_) => monitor.pause().await,
        }
    }
}

fn decode_listing(state: &Shared, read: &Read<Item>) -> Listing {
    let mut listing = Listing { position: read.position, endpoints: BTreeMap::new() };
    for item in &read.found {
        match registry::decode(&item.key, &item.value) {
            Some(endpoint) => {
                listing.endpoints.insert(endpoint.id.clone(), endpoint);
            }
            None => {
                state.metrics.skipped_registrations.inc();
                log::debug!(key = item.key.as_str(); "skipped an undecodable registration");
            }
        }
    }
    listing
}

/// Replaces the listing by one that was read at `read_at`, unless it is older.
pub fn apply_listing(state: &Shared, listing: Listing, read_at: Instant) -> Update {
    let (count, position) = (listing.endpoints.len(), listing.position);
    let (before, last) = {
        let inner = state.inner.borrow();
        let known = inner.view.listing();
        (known.endpoints.len(), known.position)
    };
    let update = state.inner.borrow_mut().view.update_listing(listing, read_at);
    if update == Update::Ignored {
        state.metrics.outdated_listings.inc();
        log::debug!(position:%, last:%; "ignored an outdated listing");
        return update;
    }
    if position.era() != last.era() && last != Position::default() {
        log::warn!(position:%, last:%; "store has come back from a copy");
    }
    if count != before {
        log::info!(count, before; "number of endpoints changed");
    }
    if update == Update::Changed {
        state.forget_gone_endpoints();
        state.refresh();
    }
    update
}
