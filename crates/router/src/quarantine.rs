//! Keeps the quarantines of prompt parts in the store.
//!
//! Entries tell each other of quarantines; the store keeps them for entries that start when no other one
//! runs. An entry writes them if none before it does so.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_adapter::clock::unix_ms;
use oriole_core::fleet::{Message, Position};
use oriole_core::forward::Part;
use oriole_core::forward::quarantine::Group;
use oriole_macros::data;
use oriole_platform::store::{Client, Commit, Item, Write};
use tokio::time::sleep;

use crate::peers;
use crate::state::Shared;
use crate::stored::Version;

/// Key of the quarantines.
pub const KEY: &str = "oriole/quarantine";

/// Time for which an entry waits for each live one whose name comes before its own.
const DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Difference in the end of a quarantine that is worth a write.
const MIN_GAIN: Duration = Duration::from_secs(5);

/// One quarantine, as stored.
#[data]
struct Stored {
    parts: Vec<Part>,
    /// Unix time of its end in milliseconds.
    until_ms: u64,
}

/// The quarantines that the store holds, as this entry knows them.
#[derive(Debug, Default)]
pub struct Known {
    version: Version,
    /// Ends as Unix times in milliseconds, by parts.
    until_ms: BTreeMap<Vec<Part>, u64>,
}

impl Known {
    /// Returns whether the store holds a quarantine, up to a small difference of its end.
    fn has(&self, group: &Group, now_ms: u64) -> bool {
        let gain_ms = MIN_GAIN.as_millis() as u64;
        // Of parts on trial only the quarantine before is known, which has ended.
        let known = self.until_ms.get(&group.parts);
        known.is_some_and(|k| {
            group.remaining_ms == 0
                || now_ms.saturating_add(group.remaining_ms) < k.saturating_add(gain_ms)
        })
    }
}

/// Takes over the quarantines that are stored under [`KEY`].
pub fn apply(state: &Shared, item: &Item) {
    let stored = match serde_json::from_slice::<Vec<Stored>>(&item.value) {
        Ok(stored) => stored,
        Err(error) => {
            log::error!(position:% = item.position, error:%; "quarantines cannot be decoded");
            record_stored(state, Version::written(item.position), BTreeMap::new());
            return;
        }
    };
    let now_ms = unix_ms();
    let group = |stored: &Stored| Group {
        parts: stored.parts.clone(),
        remaining_ms: stored.until_ms.saturating_sub(now_ms),
    };
    let groups: Vec<Group> = stored.iter().map(group).collect();
    let until_ms = stored.into_iter().map(|s| (s.parts, s.until_ms)).collect();
    record_stored(state, Version::written(item.position), until_ms);
    let proven = state.adopt_quarantine(&groups);
    if !proven.is_empty() {
        peers::broadcast(state, &Message::Sound(proven));
        state.quarantine_changed.notify_one();
    }
}

/// Records that the store holds none, as a reading at `position` shows.
pub fn record_missing(state: &Shared, position: Position) {
    record_stored(state, Version::missing(position), BTreeMap::new());
}

fn record_stored(state: &Shared, version: Version, until_ms: BTreeMap<Vec<Part>, u64>) {
    let mut stored = state.stored_quarantine.borrow_mut();
    if !stored.version.is_replaced_by(version) {
        return;
    }
    *stored = Known { version, until_ms };
    drop(stored);
    // Entries that know fewer quarantines than the store don't take them away.
    if !is_stored(state) {
        state.quarantine_changed.notify_one();
    }
}

/// Returns whether the store holds all quarantines that this entry knows.
fn is_stored(state: &Shared) -> bool {
    let now_ms = unix_ms();
    let groups = state.inner.borrow().quarantine.groups(state.now());
    let known = state.stored_quarantine.borrow();
    groups.iter().all(|group| known.has(group, now_ms))
}

/// Writes the quarantines to the store whenever they have changed. Runs until the process exits.
pub async fn run(state: Shared, store: Client) {
    loop {
        state.quarantine_changed.notified().await;
        let rank = state.rank(|host| *host < state.host);
        sleep(DELAY_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)).await;
        while let Some(stored) = to_store(&state) {
            if !write(&state, &store, &stored).await {
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the quarantines to store, or `None` if the store holds them.
fn to_store(state: &Shared) -> Option<Vec<Stored>> {
    let now_ms = unix_ms();
    let groups = state.inner.borrow().quarantine.groups(state.now());
    let known = state.stored_quarantine.borrow();
    let until = |group: &Group| match known.until_ms.get(&group.parts) {
        Some(known) => (*known).max(now_ms.saturating_add(group.remaining_ms)),
        None => now_ms.saturating_add(group.remaining_ms),
    };
    if groups.len() == known.until_ms.len() && groups.iter().all(|g| known.has(g, now_ms)) {
        return None;
    }
    let stored = groups.iter().map(|g| Stored { parts: g.parts.clone(), until_ms: until(g) });
    Some(stored.collect())
}

/// Writes the quarantines unless another entry has changed them, and returns whether the store answered.
async fn write(state: &Shared, store: &Client, stored: &[Stored]) -> bool {
    let Ok(value) = serde_json::to_vec(stored) else {
        log::error!("encoding the quarantines failed");
        return false;
    };
    let expected_revision = Some(state.stored_quarantine.borrow().version.expected_revision());
    let write = Write { key: KEY, value: &value, lease: 0, expected_revision };
    match store.write(&write).await {
        Ok(Commit::Written(position)) => {
            let until_ms = stored.iter().map(|s| (s.parts.clone(), s.until_ms)).collect();
            record_stored(state, Version::written(position), until_ms);
        }
        Ok(Commit::Conflict(Some(item))) => apply(state, &item),
        Ok(Commit::Conflict(None)) => {
            let lost = state.stored_quarantine.borrow().version.lost();
            record_stored(state, lost, BTreeMap::new());
        }
        Err(error) => {
            log::warn!(error:%; "writing the quarantines failed");
            return false;
        }
    }
    true
}
