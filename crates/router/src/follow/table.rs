//! Follows the operator's configuration.
//!
//! It is watched. A watch whose connection goes silent tells of nothing, so the configuration is also
//! read when neither the store nor another entry has said for too long which version is the newest.

use std::time::Duration;

use oriole_core::fleet::polling;
use oriole_platform::config;
use oriole_platform::store::{Change, Client, Item};
use tokio::time::sleep;

use super::watch::{Monitor, watch};
use crate::state::Shared;

/// Shortest time after which the store answers a watch of the configuration even without changes.
const WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Source of what the store tells, in logs.
const STORE: &str = "store";

/// Watches the configuration until the process ends.
pub async fn run(state: Shared, store: Client) {
    let apply = |_, _, changes: Vec<Change>| {
        let known = state.now();
        for change in changes {
            if let Change::Written(item) = change {
                adopt(&state, &item);
            }
        }
        state.inner.borrow_mut().freshness.confirm(known);
    };
    watch(&state, store, config::PREFIX, WATCH_WAIT, "configuration", apply).await;
}

/// Reads the configuration whenever it has not been known for too long which version is the newest.
/// Runs until the process ends.
pub async fn read_if_stale(state: Shared, store: Client) {
    let mut monitor = Monitor::new(&state, "configuration-read");
    loop {
        let limit = polling::table_age_limit(state.rank_by_name(), state.apply_time());
        // The first read is part of the watch.
        let age = state.inner.borrow().freshness.age(state.now()).unwrap_or_default();
        if age < limit {
            sleep(limit - age).await;
            continue;
        }
        let began = state.now();
        let read = store.item(config::KEY).await;
        monitor.record(&read);
        let is_adopted = match read {
            Ok(Some(item)) => adopt(&state, &item),
            Ok(None) | Err(_) => false,
        };
        if is_adopted {
            state.inner.borrow_mut().freshness.confirm(began);
        } else {
            monitor.pause().await;
        }
    }
}

/// Puts a configuration in force unless a newer one is. Returns false if it cannot be decoded.
fn adopt(state: &Shared, item: &Item) -> bool {
    if item.key != config::KEY {
        return true;
    }
    match state.timed("configuration", || config::decode(&item.value)) {
        Ok(table) => {
            state.adopt_table(table, STORE);
            true
        }
        Err(e) => {
            log::error!(
                position:% = item.position, error:% = e;
                "configuration cannot be decoded; keeping the previous routing table"
            );
            false
        }
    }
}
