//! An engine names a limit after entries have lost their registrations to late writes.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, SERVICE};
use crate::engine::Engine;
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, sleep_until};

/// Requests a second that the engine takes.
const LIMIT: u32 = 20;

/// Requests a second that clients send to each entry.
const DEMAND: u32 = 40;

/// Time after which the store carries out a write whose answer it loses.
const LATE: Duration = Duration::from_secs(4);

/// Time for which one entry stands still.
const FREEZE: Duration = Duration::from_secs(4);

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3000);

/// Window of the rule.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which requests are counted.
const MEASURE: Duration = Duration::from_secs(10);

/// Runs the case, with the lost answers and the freeze if `has_trouble`.
pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start(record);
    store.put("op/config", &client::config(1));
    let engine =
        Engine::start("server-1".to_owned(), "zone-1", SERVICE, Duration::ZERO, &store, record);
    if has_trouble {
        store.lose_answers("oriole/hosts/", 2, LATE);
    }
    let began = Instant::now();
    let entry =
        |n: usize| Entry::start(&format!("entry-{n}"), "zone-1", store.address, folder, record);
    let entries: Vec<Entry> = (1..3).map(entry).collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(20))) {
        record.say("the entries do not get ready");
        return Outcome::Unable;
    }
    sleep_until(began + Duration::from_secs(10));
    let (writes, lost) = store.writes();
    record.line(&format!("the store has had {writes} writes, {lost} of them without an answer"));
    for entry in &entries {
        let is_registered = store.has(&format!("oriole/hosts/{}", entry.name));
        record.line(&format!("{}: registered: {is_registered}", entry.name));
    }
    if has_trouble {
        entries[1].freeze(FREEZE);
    }
    // All entries are in touch again well before the limit is named.
    thread::sleep(CONTACT * 2);
    measure(&engine, &entries, record)
}

/// Lets the engine name its limit while each entry gets more requests than that, and counts what reaches it.
pub fn measure(engine: &Engine, entries: &[Entry], record: &Record) -> Outcome {
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = entries
        .iter()
        .map(|entry| {
            let (name, callers) = (entry.name.clone(), entry.callers);
            let (is_over, record) = (is_over.clone(), record.clone());
            thread::spawn(move || send(&name, callers, &is_over, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    engine.name_limit(&LIMIT.to_string());
    let named = Instant::now();
    sleep_until(named + CONTACT + MEASURE);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = engine.arrivals();
    let times: Vec<Instant> =
        arrivals.iter().map(|a| a.at).filter(|at| *at >= named + CONTACT).collect();
    let in_window =
        |from: &Instant| times.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    let most = times.iter().map(in_window).max().unwrap_or(0);
    let bound = 1.5 * f64::from(LIMIT) * WINDOW.as_secs_f64() + 5.0;
    for entry in entries {
        let of_entry = |a: &&crate::engine::Arrival| {
            a.request.starts_with(&entry.name) && a.at >= named + CONTACT
        };
        let count = arrivals.iter().filter(of_entry).count();
        record.say(&format!("{} sent {count} requests in {} s", entry.name, MEASURE.as_secs()));
    }
    record.say(&format!("{most} requests in {} s, at most {bound} are allowed", WINDOW.as_secs()));
    if most < LIMIT as usize {
        record.say("too few requests to tell");
        return Outcome::Unable;
    }
    if most as f64 > bound { Outcome::Broken } else { Outcome::Held }
}

/// Sends requests to one entry, each from a thread of its own, until `is_over`.
fn send(name: &str, callers: std::net::SocketAddr, is_over: &AtomicBool, record: &Record) {
    let mut sent = 0;
    let mut waiting = vec![];
    while !is_over.load(Ordering::Relaxed) {
        let (id, record) = (format!("{name}-{sent}"), record.clone());
        sent += 1;
        waiting.push(thread::spawn(move || client::get(callers, &id, &record)));
        thread::sleep(Duration::from_secs(1) / DEMAND);
    }
    for request in waiting {
        let _ = request.join();
    }
}
