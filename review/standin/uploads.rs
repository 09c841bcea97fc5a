//! Many clients send large bodies at the same time.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::Outcome;
use crate::client::{self, SERVICE};
use crate::engine::Engine;
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

/// `memory_mb` of the site's entries, in bytes. A process that exceeds it is killed.
const MEMORY: u64 = 260 * 1024 * 1024;

/// Bytes of a body; `max_body_bytes` of the site is 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// Time that a client takes to send its body, over a link of 16 Mbit/s.
const UPLOAD: Duration = Duration::from_secs(2);

/// Clients that send to one entry at the same time, usually and in a burst of 1.7 times the usual traffic.
const USUAL: u32 = 25;
const BURST: u32 = 42;

/// Number of times that they come, and the pause between.
const WAVES: u32 = 5;
const PAUSE: Duration = Duration::from_secs(6);

/// Time after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_secs(1);

/// Number of times that processes of a machine may not end in a day.
const MAX_ENDS: u32 = 3;

/// Interval at which the memory of an entry is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the case, with the bursts if `has_trouble`.
pub fn run(has_trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start(record);
    store.put("op/config", &client::config(1));
    let engine = |n: u32| {
        Engine::start(format!("server-{n}"), "zone-1", SERVICE, Duration::ZERO, &store, record)
    };
    let engines: Vec<Engine> = (1..4).map(engine).collect();
    let entry =
        |n: usize| Entry::start(&format!("entry-{n}"), "zone-1", store.address, folder, record);
    let entries: Vec<Entry> = (1..3).map(entry).collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(20))) {
        record.say("the entries do not get ready");
        return Outcome::Unable;
    }
    let clients = if has_trouble { BURST } else { USUAL };
    let watched: Vec<JoinHandle<Ends>> = entries
        .into_iter()
        .map(|entry| {
            let record = record.clone();
            thread::spawn(move || watch(entry, clients, &record))
        })
        .collect();
    let all: Vec<Ends> =
        watched.into_iter().map(|entry| entry.join().unwrap_or_default()).collect();
    let ran: usize = engines.iter().map(|engine| engine.arrivals().len()).sum();
    for (number, Ends { ends, most, unanswered }) in all.iter().enumerate() {
        record.say(&format!(
            "entry-{}: {ends} ends for want of memory, at most {} MB, {unanswered} requests got \
             no answer",
            number + 1,
            most / 1024 / 1024
        ));
    }
    record.say(&format!("{ran} requests reached engines"));
    let is_broken = all.iter().filter(|entry| entry.ends >= MAX_ENDS).count() >= 2;
    if is_broken { Outcome::Broken } else { Outcome::Held }
}

/// What happened to one entry.
#[derive(Default)]
struct Ends {
    /// Number of times that its process was killed since it exceeded its memory.
    ends: u32,
    /// Most memory that it used.
    most: u64,
    /// Requests that got no answer.
    unanswered: usize,
}

/// Sends the waves to an entry, and kills and restarts it as the platform does.
fn watch(mut entry: Entry, clients: u32, record: &Record) -> Ends {
    let mut found = Ends::default();
    for wave in 0..WAVES {
        let (name, callers) = (entry.name.clone(), entry.callers);
        let sending: Vec<JoinHandle<bool>> = (0..clients)
            .map(|n| upload(format!("{name}-{wave}-{n:02}"), callers, record))
            .collect();
        while !sending.iter().all(JoinHandle::is_finished) {
            let memory = entry.memory();
            found.most = found.most.max(memory);
            if memory > MEMORY {
                found.ends += 1;
                record.line(&format!("{name}: uses {memory} bytes and is killed"));
                entry.restart(RESTART);
            }
            thread::sleep(CHECK_INTERVAL);
        }
        let answered = sending.into_iter().filter_map(|client| client.join().ok());
        found.unanswered += answered.filter(|is_answered| !is_answered).count();
        thread::sleep(PAUSE);
    }
    found
}

fn upload(id: String, callers: SocketAddr, record: &Record) -> JoinHandle<bool> {
    let record = record.clone();
    thread::spawn(move || client::upload(callers, &id, BODY_BYTES, UPLOAD, &record).is_some())
}
