//! Engines drain and exit after the store has come back from an older copy.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, SERVICE};
use crate::engine::{Engine, HEARTBEAT};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, sleep_until};

/// Number of engines, dealt out to the zones.
const ENGINES: u32 = 12;

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(8);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3000);

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2000);

/// Time beyond `contact_ms` after which the engines begin to drain.
const MARGIN: Duration = Duration::from_millis(200);

/// Time without requests after the engines have begun to drain.
const LULL: Duration = Duration::from_millis(1200);

/// Time beyond `drain_ms` for which an engine that drains goes on.
const LONGER: Duration = Duration::from_millis(450);

/// Interval of the requests to one entry after the lull, and their number.
const INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS: u32 = 15;

/// Runs the case, with the drill if `has_trouble`.
pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start(record);
    store.put("op/config", &client::config(1));
    let engine = |n: u32| {
        let zone = ZONES[n as usize % ZONES.len()];
        let phase = HEARTBEAT * n / ENGINES;
        Engine::start(format!("server-{n:02}"), zone, SERVICE, phase, &store, record)
    };
    let engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
    let entry =
        |n: usize| Entry::start(&format!("entry-{n}"), ZONES[n], store.address, folder, record);
    let entries: Vec<Entry> = (0..2).map(entry).collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(20))) {
        record.say("the entries do not get ready");
        return Outcome::Unable;
    }
    thread::sleep(COPY_AGE + Duration::from_secs(4));
    let before = (store.ranges(), Instant::now());
    thread::sleep(Duration::from_secs(2));
    say_reads(&store, before, record);
    if has_trouble {
        store.drill(COPY_AGE, AWAY);
    }
    let back = Instant::now();
    let before = (store.ranges(), back);
    // The store is stable and the entries are in touch when the drill has been over for this long.
    sleep_until(back + CONTACT + MARGIN);
    say_reads(&store, before, record);
    let mut used: Vec<&Engine> = vec![];
    for entry in &entries {
        let answer = client::post(entry.callers, &format!("{}-before", entry.name), record);
        let server = answer.as_ref().and_then(|a| a.header("oriolelanding-response-signature"));
        let Some(engine) = engines.iter().find(|engine| Some(engine.id.as_str()) == server) else {
            record.say("a request before the drain is not served");
            return Outcome::Unable;
        };
        used.push(engine);
    }
    let drained: Vec<(&Engine, Instant)> =
        used.into_iter().map(|engine| (engine, engine.drain())).collect();
    let exits: Vec<JoinHandle<()>> = drained
        .iter()
        .map(|(engine, acknowledged)| {
            let (engine, at) = ((*engine).clone(), *acknowledged + DRAIN + LONGER);
            thread::spawn(move || {
                sleep_until(at);
                engine.exit();
            })
        })
        .collect();
    sleep_until(drained[1].1 + LULL);
    let names_of = |entry: &Entry| (entry.name.clone(), entry.callers);
    let clients: Vec<JoinHandle<u32>> = entries
        .iter()
        .map(|entry| {
            let ((name, callers), record) = (names_of(entry), record.clone());
            thread::spawn(move || send(&name, callers, &record))
        })
        .collect();
    let lost: u32 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    for exit in exits {
        let _ = exit.join();
    }
    let mut late = 0;
    for (engine, acknowledged) in drained {
        let (arrivals, cut) = (engine.arrivals(), engine.cut());
        let after: Vec<u128> = arrivals
            .iter()
            .filter(|arrival| arrival.at > acknowledged + DRAIN)
            .map(|arrival| (arrival.at - acknowledged).as_millis())
            .collect();
        late += after.len();
        let (first, last) = (after.first().unwrap_or(&0), after.last().unwrap_or(&0));
        record.say(&format!(
            "{}: {} requests reached it too late, from {first} to {last} ms after the store had \
             acknowledged that it drains; {cut} were running when it exited",
            engine.id,
            after.len()
        ));
    }
    record.say(&format!("{late} late requests; {lost} requests were neither served nor refused"));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Sends requests to one entry, and returns how many of them were neither served nor refused.
fn send(name: &str, callers: SocketAddr, record: &Record) -> u32 {
    let mut waiting = vec![];
    for number in 0..REQUESTS {
        let (id, record) = (format!("{name}-{number:02}"), record.clone());
        waiting.push(thread::spawn(move || {
            let answer = client::post(callers, &id, &record);
            let is_told = answer.is_some_and(|a| [200, 429, 503].contains(&a.status()));
            u32::from(!is_told)
        }));
        thread::sleep(INTERVAL);
    }
    waiting.into_iter().map(|request| request.join().unwrap_or(1)).sum()
}

fn say_reads(store: &Store, (ranges, since): (usize, Instant), record: &Record) {
    let rate = (store.ranges() - ranges) as f64 / since.elapsed().as_secs_f64();
    record.line(&format!("the entries read {rate:.0} ranges a second"));
}
