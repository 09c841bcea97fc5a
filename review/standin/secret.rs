//! An entry is added after the store has come back from a copy from before the first start.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, SERVICE};
use crate::engine::Engine;
use crate::entry::Entry;
use crate::limit;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, sleep_until};

/// Time from the first start of the entries to the drill, and the age of the copy.
const DRILL_AFTER: Duration = Duration::from_secs(7);
const COPY_AGE: Duration = Duration::from_secs(8);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// Numbers of the entries that start first, and of the one that is added: by the names, the one that grants
/// the engine's permits.
const FIRST: [usize; 2] = [1, 3];
const ADDED: usize = 2;

/// Runs the case, with the drill if `has_trouble`.
pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start(record);
    store.put("op/config", &client::config(1));
    let engine =
        Engine::start("server-1".to_owned(), "zone-1", SERVICE, Duration::ZERO, &store, record);
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let entry =
        |n: usize| Entry::start(&format!("entry-{n}"), "zone-1", store.address, folder, record);
    let mut entries: Vec<Entry> = FIRST.into_iter().map(entry).collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(20))) {
        record.say("the entries do not get ready");
        return Outcome::Unable;
    }
    sleep_until(began + DRILL_AFTER);
    if has_trouble {
        store.drill(COPY_AGE, AWAY);
    }
    thread::sleep(Duration::from_secs(15));
    say_keys(&store, &entries, record);
    let added = entry(ADDED);
    if !added.wait_until_ready(Duration::from_secs(20)) {
        record.say("the entry that is added does not get ready");
        return Outcome::Unable;
    }
    entries.push(added);
    // All entries are in touch well before the limit is named.
    thread::sleep(Duration::from_secs(10));
    say_keys(&store, &entries, record);
    limit::measure(&engine, &entries, record)
}

fn say_keys(store: &Store, entries: &[Entry], record: &Record) {
    let has_secret = store.has("oriole/secret");
    record.line(&format!("the store has a secret: {has_secret}"));
    for entry in entries {
        let is_registered = store.has(&format!("oriole/hosts/{}", entry.name));
        record.line(&format!("{}: registered: {is_registered}", entry.name));
    }
}
