//! A request that crashes engines comes again after a drill of the store and a restart of all entries.

use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, SERVICE};
use crate::engine::{Arrival, Engine};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, sleep_until};

const ENGINES: u32 = 8;

const ENTRIES: usize = 3;

/// Number of crashes that a request may cause.
const CRASHES: usize = 3;

/// Number of retries that may reach engines later.
const RETRIES: usize = 3;

/// Time from the third crash to the drill, and the age of the copy.
const DRILL_AFTER: Duration = Duration::from_secs(3);
const COPY_AGE: Duration = Duration::from_secs(8);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// Time from the drill to the end of all entries.
const QUIET: Duration = Duration::from_secs(20);

/// Time after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_secs(1);

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3000);

/// Runs the case, with the drill if `has_trouble`. All entries are killed in either case.
pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start(record);
    store.put("op/config", &client::config(1));
    let engine = |n: u32| {
        Engine::start(format!("server-{n}"), "zone-1", SERVICE, Duration::ZERO, &store, record)
    };
    let engines: Vec<Engine> = (1..=ENGINES).map(engine).collect();
    let entry =
        |n: usize| Entry::start(&format!("entry-{n}"), "zone-1", store.address, folder, record);
    let mut entries: Vec<Entry> = (1..=ENTRIES).map(entry).collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(20))) {
        record.say("the entries do not get ready");
        return Outcome::Unable;
    }
    thread::sleep(COPY_AGE + Duration::from_secs(2));
    // The request comes again until it is held.
    for number in 0..4 {
        client::get_crashing(entries[0].callers, &format!("first-{number}"), record);
        thread::sleep(Duration::from_millis(500));
    }
    let crashes = arrivals(&engines);
    if crashes.len() != CRASHES {
        record.say(&format!("the request reached {} engines before it was held", crashes.len()));
        return Outcome::Unable;
    }
    let third = crashes[CRASHES - 1].at;
    sleep_until(third + DRILL_AFTER);
    record.line(&format!("the store has the held request: {}", store.has("oriole/holds")));
    if has_trouble {
        store.drill(COPY_AGE, AWAY);
    }
    thread::sleep(QUIET);
    record.line(&format!("the store has the held request: {}", store.has("oriole/holds")));
    for entry in &entries {
        client::get_crashing(entry.callers, &format!("held-{}", entry.name), record);
    }
    thread::scope(|scope| {
        for entry in &mut entries {
            scope.spawn(|| entry.restart(RESTART));
        }
    });
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(20))) {
        record.say("the entries do not get ready again");
        return Outcome::Unable;
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    // It comes again at all entries at the same time.
    let sending: Vec<JoinHandle<()>> = entries
        .iter()
        .map(|entry| {
            let (id, callers) = (format!("again-{}", entry.name), entry.callers);
            let record = record.clone();
            thread::spawn(move || {
                client::get_crashing(callers, &id, &record);
            })
        })
        .collect();
    for request in sending {
        let _ = request.join();
    }
    thread::sleep(Duration::from_secs(1));
    let late = arrivals(&engines).iter().filter(|a| a.at > third + CONTACT).count();
    record.say(&format!(
        "the request reached engines {late} times later than {} s after it had crashed the third, \
         at most {RETRIES} are allowed",
        CONTACT.as_secs()
    ));
    if late > RETRIES { Outcome::Broken } else { Outcome::Held }
}

/// Returns the requests that reached any engine, by time.
fn arrivals(engines: &[Engine]) -> Vec<Arrival> {
    let mut all: Vec<Arrival> = engines.iter().flat_map(Engine::arrivals).collect();
    all.sort_by_key(|arrival: &Arrival| -> Instant { arrival.at });
    all
}
