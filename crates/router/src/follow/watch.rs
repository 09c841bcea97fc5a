//! Watches a prefix of the store, and monitors failed calls.

use std::time::Duration;

use oriole_core::fleet::{Position, polling};
use oriole_platform::store::{Change, Client, Error, Item, Read};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::state::Shared;

/// Shortest pause after changes were reported, so that changes in quick succession come with one
/// answer.
const CHANGES_PAUSE: Duration = Duration::from_millis(200);

/// Counts failed calls to the store for one purpose, and logs when they start to fail and when they
/// succeed again.
pub(super) struct Monitor {
    state: Shared,
    purpose: &'static str,
    is_lost: bool,
}

impl Monitor {
    pub(super) fn new(state: &Shared, purpose: &'static str) -> Self {
        Self { state: state.clone(), purpose, is_lost: false }
    }

    pub(super) fn record<T>(&mut self, result: &Result<T, Error>) {
        let purpose = self.purpose;
        if result.is_err() {
            Metrics::count(&self.state.metrics.store_failures, purpose);
        }
        match result {
            Err(error) if !self.is_lost => {
                self.is_lost = true;
                log::warn!(purpose, error:% = error; "store lost");
            }
            Ok(_) if self.is_lost => {
                self.is_lost = false;
                log::info!(purpose; "store regained");
            }
            _ => {}
        }
    }

    /// Waits before a call that follows a failed one.
    pub(super) async fn pause(&self) {
        let (entries, contact) = (self.state.entry_count(), self.state.contact_time());
        sleep(polling::retry_pause(entries, contact, rand::random())).await;
    }
}

/// Whether changes are the full contents of a prefix or those since the last update.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Update {
    Snapshot,
    Delta,
}

/// Reads all items under `prefix`, then watches it. Passes the items and each later answer of the
/// store to `apply`, with its position, also one without changes.
///
/// Reads all items again after a failure, when the store no longer has the history, and when it has come
/// back from a copy. Never passes on an answer of an older era than the one before. `wait` is the
/// shortest time after which the store answers a watch even without changes.
pub(super) async fn watch(
    state: &Shared,
    store: Client,
    prefix: &str,
    wait: Duration,
    purpose: &'static str,
    mut apply: impl FnMut(Update, Position, Vec<Change>),
) {
    let mut monitor = Monitor::new(state, purpose);
    let mut newest_era = 0;
    loop {
        let read = store.range(prefix).await;
        monitor.record(&read);
        let Some(read) = read.ok().filter(|read| is_current(read, newest_era, purpose)) else {
            monitor.pause().await;
            continue;
        };
        let mut position = read.position;
        newest_era = position.era();
        let items = read.found.into_iter().map(Change::Written).collect();
        apply(Update::Snapshot, position, items);
        loop {
            let changes = store.watch(prefix, position, spread(state, wait)).await;
            monitor.record(&changes);
            match changes {
                Ok(changes) if changes.position.era() != newest_era => {
                    // Revisions have been given out again, so that changes may be missing. All
                    // entries notice it at about the same time.
                    log::info!(purpose, position:% = changes.position; "reading all items again");
                    sleep(spread(state, CHANGES_PAUSE)).await;
                    break;
                }
                Ok(Read { found, position: seen }) => {
                    position = position.max(seen);
                    let has_changes = !found.is_empty();
                    apply(Update::Delta, position, found);
                    if has_changes {
                        sleep(spread(state, CHANGES_PAUSE)).await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(_) => {
                    monitor.pause().await;
                    break;
                }
            }
        }
    }
}

/// Returns whether a reading is of no older era than the one before.
fn is_current(read: &Read<Item>, newest_era: u64, purpose: &str) -> bool {
    let (position, is_current) = (read.position, read.position.era() >= newest_era);
    if !is_current {
        log::warn!(purpose, position:%, newest_era; "ignored an answer of an older era");
    }
    is_current
}

/// Lengthens a wait or a pause by the number of entries, and spreads it.
fn spread(state: &Shared, shortest: Duration) -> Duration {
    polling::spread(shortest, state.entry_count(), rand::random())
}
