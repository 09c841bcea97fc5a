//! Holds requests back that crash endpoints, and keeps them in the store.
//!
//! Entries tell each other of them; the store keeps them for entries that start when no other one runs, and
//! counts the trials of held requests, of which all entries together make few.

use std::time::Duration;

use oriole_adapter::clock::unix_ms;
use oriole_core::fleet::{Message, Position};
use oriole_core::forward::Fingerprint;
use oriole_core::forward::hold::{Gate, Hold, Summary};
use oriole_macros::data;
use oriole_platform::store::{Client, Commit, Item, Write};
use tokio::time::sleep;

use crate::peers;
use crate::state::{Shared, hold};
use crate::stored::Version;

/// Key of the requests that crash endpoints.
pub const KEY: &str = "oriole/holds";

/// Time for which an entry waits for each live one whose name comes before its own.
const DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout of the call that takes a trial: a caller waits for it.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// `retry-after` of a request whose trial could not be taken.
const NO_STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What the store holds.
#[data]
struct Stored {
    /// Unix time of the write in milliseconds.
    written_ms: u64,
    summary: Summary,
}

/// What the store holds, as this entry knows it.
#[derive(Debug, Default)]
pub struct Known {
    version: Version,
    summary: Summary,
}

/// Whether a request is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Run,
    /// It is, as a trial of a request under which endpoints have crashed.
    Trial,
    /// It is not. Contains the time after which it may come again.
    Held(Duration),
}

/// Decides whether a request is run, for which a trial may be taken from the store.
pub async fn admit(state: &Shared, fingerprint: Fingerprint) -> Admission {
    match state.gate(fingerprint) {
        Gate::Open => Admission::Run,
        Gate::Closed(wait) => Admission::Held(wait),
        Gate::Trial if take_trial(state, fingerprint).await => Admission::Trial,
        Gate::Trial => Admission::Held(NO_STORE_RETRY_AFTER),
    }
}

/// Counts a trial of a held request in the store, and returns whether this entry may make it.
async fn take_trial(state: &Shared, fingerprint: Fingerprint) -> bool {
    let store = Client::new(state.settings.store.address, TRIAL_TIMEOUT);
    let now = state.now();
    let (hold, summary) = {
        let inner = state.inner.borrow();
        let Some(hold) = inner.holds.with_trial(fingerprint, now) else {
            return false;
        };
        let mut summary = inner.holds.lasting(now);
        summary.holds.retain(|known| known.fingerprint != fingerprint);
        summary.holds.push(hold.clone());
        (hold, summary)
    };
    if write(state, &store, summary).await != Outcome::Written {
        return false;
    }
    log::warn!(fingerprint:%, trials = hold.trials; "held request runs as a trial");
    adopt_trial(state, hold);
    true
}

fn adopt_trial(state: &Shared, hold: Hold) {
    state.adopt_trial(&hold);
    let summary = Summary { holds: vec![hold], ..Summary::default() };
    peers::broadcast(state, &Message::Holds(summary));
}

/// Takes over what is stored under [`KEY`].
pub fn apply(state: &Shared, item: &Item) {
    let stored = match serde_json::from_slice::<Stored>(&item.value) {
        Ok(stored) => stored,
        Err(error) => {
            log::error!(position:% = item.position, error:%; "held requests cannot be decoded");
            record_stored(state, Version::written(item.position), Summary::default());
            return;
        }
    };
    let elapsed = Duration::from_millis(unix_ms().saturating_sub(stored.written_ms));
    let summary = stored.summary.aged(elapsed);
    hold::hear_summary(state, &summary, "store");
    record_stored(state, Version::written(item.position), summary);
}

/// Records that the store holds nothing, as a reading at `position` shows.
pub fn record_missing(state: &Shared, position: Position) {
    record_stored(state, Version::missing(position), Summary::default());
}

fn record_stored(state: &Shared, version: Version, summary: Summary) {
    let mut stored = state.stored_holds.borrow_mut();
    if stored.version.is_replaced_by(version) {
        *stored = Known { version, summary };
        state.holds_changed.notify_one();
    }
}

/// Writes to the store what it lacks whenever that has changed. Runs until the process exits.
pub async fn run(state: Shared, store: Client) {
    loop {
        state.holds_changed.notified().await;
        let rank = state.rank(|host| *host < state.host);
        sleep(DELAY_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)).await;
        while let Some(summary) = to_store(&state) {
            if write(&state, &store, summary).await == Outcome::Failed {
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn to_store(state: &Shared) -> Option<Summary> {
    let stored = state.stored_holds.borrow();
    state.inner.borrow().holds.to_store(&stored.summary, state.now())
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Written,
    /// Another entry has written since; what it wrote has been taken over.
    Conflict,
    Failed,
}

/// Writes a summary unless another entry has written since.
async fn write(state: &Shared, store: &Client, summary: Summary) -> Outcome {
    let stored = Stored { written_ms: unix_ms(), summary };
    let Ok(value) = serde_json::to_vec(&stored) else {
        log::error!("encoding the held requests failed");
        return Outcome::Failed;
    };
    let expected_revision = Some(state.stored_holds.borrow().version.expected_revision());
    let write = Write { key: KEY, value: &value, lease: 0, expected_revision };
    match store.write(&write).await {
        Ok(Commit::Written(position)) => {
            record_stored(state, Version::written(position), stored.summary);
            Outcome::Written
        }
        Ok(Commit::Conflict(item)) => {
            match item {
                Some(item) => apply(state, &item),
                None => {
                    let lost = state.stored_holds.borrow().version.lost();
                    record_stored(state, lost, Summary::default());
                }
            }
            Outcome::Conflict
        }
        Err(error) => {
            log::warn!(error:%; "writing the held requests failed");
            Outcome::Failed
        }
    }
}
