//! The secret by which entries authenticate to each other, which all of them read from the store.
//!
//! The store holds the secret in force. If it has lost the secret, an entry that knows one writes it back; if
//! an entry that started meanwhile has made another one, all take over that one.

use std::time::Duration;

use oriole_core::fleet::Position;
use oriole_platform::store::{Client, Commit, Error, Item, Write};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::state::Shared;

/// Key of the secret.
pub const KEY: &str = "oriole/secret";

/// Length of the secret before hexadecimal encoding.
const SECRET_BYTES: usize = 32;

/// Pause after a call has failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time for which an entry waits for each live one whose name comes before its own.
const DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// What this entry knows of the secret in the store.
#[derive(Debug, Default)]
pub struct Known {
    /// Position of the last write; the first one if it is not known.
    position: Position,
    /// The secret; empty until it is known.
    value: Vec<u8>,
    /// Whether the store has lost it.
    is_missing: bool,
}

/// The secret, and what wakes the task that writes it back.
#[derive(Debug, Default)]
pub struct Secret {
    known: std::cell::RefCell<Known>,
    missing: Notify,
}

/// Returns the shared secret, creating one if the store has none. Retries until the store answers.
pub async fn read(state: &Shared, store: &Client) -> Vec<u8> {
    loop {
        match read_or_create(state, store).await {
            Ok(secret) => return secret,
            Err(e) => log::warn!(error:% = e; "reading the shared secret failed; retrying"),
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn read_or_create(state: &Shared, store: &Client) -> Result<Vec<u8>, Error> {
    let mut bytes = [0; SECRET_BYTES];
    if getrandom::fill(&mut bytes).is_err() {
        return Err(Error::Missing);
    }
    write(state, store, hex::encode(bytes).into_bytes()).await?;
    Ok(state.secret.known.borrow().value.clone())
}

/// Writes a secret unless the store has one, and takes over the one that it has then.
async fn write(state: &Shared, store: &Client, value: Vec<u8>) -> Result<(), Error> {
    let write = Write { key: KEY, value: &value, lease: 0, expected_revision: Some(0) };
    match store.write(&write).await? {
        Commit::Written(position) => adopt(state, position, value),
        Commit::Conflict(Some(item)) => adopt(state, item.position, item.value),
        Commit::Conflict(None) => return Err(Error::Missing),
    }
    Ok(())
}

/// Takes over the secret that the store holds.
pub fn apply(state: &Shared, item: &Item) {
    adopt(state, item.position, item.value.clone());
}

fn adopt(state: &Shared, position: Position, value: Vec<u8>) {
    let mut known = state.secret.known.borrow_mut();
    if position < known.position || value.is_empty() {
        return;
    }
    let is_replaced = !known.value.is_empty() && known.value != value;
    *known = Known { position, value: value.clone(), is_missing: false };
    if is_replaced {
        log::warn!(position:%; "the store has another shared secret");
    }
    if let Some(hub) = state.hub.borrow().as_ref() {
        hub.set_secret(value);
    }
}

/// Records that the store has no secret at `position`.
pub fn record_missing(state: &Shared, position: Position) {
    let mut known = state.secret.known.borrow_mut();
    if known.position < position && !known.value.is_empty() {
        known.is_missing = true;
        state.secret.missing.notify_one();
    }
}

/// Writes the secret to the store whenever the store has lost it, until the process ends.
pub async fn keep_stored(state: Shared, store: Client) {
    loop {
        state.secret.missing.notified().await;
        let rank = state.rank_by_name();
        sleep(DELAY_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)).await;
        while let Some(value) = lost(&state) {
            log::warn!("writing back the shared secret that the store has lost");
            if let Err(error) = write(&state, &store, value).await {
                log::warn!(error:%; "writing back the shared secret failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn lost(state: &Shared) -> Option<Vec<u8>> {
    let known = state.secret.known.borrow();
    known.is_missing.then(|| known.value.clone())
}
