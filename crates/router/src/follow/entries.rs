//! Follows the keys that entries write, such as the plan.

use std::time::Duration;

use oriole_core::fleet::Position;
use oriole_core::name;
use oriole_core::placement::Plan;
use oriole_core::placement::stored::Stored;
use oriole_platform::store::{Change, Client, Item};

use super::registration::{self, Registration};
use super::watch::{Update, watch};
use crate::state::{Peer, Shared};
use crate::{hold, quarantine, secret};

/// Prefix of all keys that entries write.
const KEY_PREFIX: &str = "oriole/";

/// Key of the plan.
pub const PLAN_KEY: &str = "oriole/plan";

/// Keys of what all entries know and keep in the store.
const ENTRY_KEYS: [&str; 4] = [PLAN_KEY, secret::KEY, hold::KEY, quarantine::KEY];

/// Shortest time after which the store answers a watch of these keys even without changes.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Watches the keys that entries write until the process ends.
pub async fn run(state: Shared, store: Client) {
    let apply = |update, position, changes: Vec<Change>| {
        if update == Update::Snapshot {
            state.forget_registrations();
            // What the store does not hold any more is written back.
            for key in missing_keys(&changes) {
                remove(&state, key, position);
            }
        }
        registration::check(&state, update == Update::Snapshot, position, &changes);
        state.inner.borrow_mut().knows_peers = true;
        for change in changes {
            match change {
                Change::Written(item) => apply_entry_key(&state, &item),
                Change::Removed(key) => remove(&state, &key, position),
            }
        }
    };
    watch(&state, store, KEY_PREFIX, WATCH_WAIT, "plan", apply).await;
}

/// Returns the keys of which each entry knows the value and that a reading of all keys misses.
fn missing_keys(found: &[Change]) -> Vec<&'static str> {
    let has = |key: &str| found.iter().any(|c| matches!(c, Change::Written(i) if i.key == key));
    ENTRY_KEYS.into_iter().filter(|key| !has(key)).collect()
}

/// Records that a key is not in the store at `position`.
fn remove(state: &Shared, key: &str, position: Position) {
    if let Some(host) = key.strip_prefix(registration::PREFIX) {
        state.forget_registration(&name::Host::from(host));
        log::info!(host; "registration of an entry removed");
    } else if key == PLAN_KEY {
        state.record_stored_plan(Stored::missing(position));
    } else if key == secret::KEY {
        secret::record_missing(state, position);
    } else if key == hold::KEY {
        hold::record_missing(state, position);
    } else if key == quarantine::KEY {
        quarantine::record_missing(state, position);
    }
}

fn apply_entry_key(state: &Shared, item: &Item) {
    if let Some(host) = item.key.strip_prefix(registration::PREFIX) {
        let Ok(registration) = serde_json::from_slice::<Registration>(&item.value) else {
            log::warn!(key = item.key.as_str(); "skipped the undecodable registration of an entry");
            return;
        };
        if host != state.settings.name {
            let peer = Peer { address: registration.address };
            state.inner.borrow_mut().peers.insert(host.into(), peer);
        }
    } else if item.key == hold::KEY {
        hold::apply(state, item);
    } else if item.key == quarantine::KEY {
        quarantine::apply(state, item);
    } else if item.key == secret::KEY {
        secret::apply(state, item);
    } else if item.key == PLAN_KEY {
        apply_plan(state, item);
    }
}

/// Records what the store holds of the plan, and puts it in force if it is newer.
pub fn apply_plan(state: &Shared, item: &Item) {
    match serde_json::from_slice::<Plan>(&item.value) {
        Ok(mut plan) => {
            plan.position = item.position;
            state.record_stored_plan(Stored::plan(&plan));
            state.adopt_plan(plan);
        }
        Err(e) => {
            log::error!(
                position:% = item.position, error:% = e;
                "plan cannot be decoded; keeping the previous plan"
            );
            state.record_stored_plan(Stored::undecodable(item.position));
        }
    }
}
