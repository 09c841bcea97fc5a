//! One part of prompts crashes each engine that begins to write an answer on it: the last stage of a chain.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, End, Request};
use crate::config;
use crate::engine::{Engine, Fleet};
use crate::entry::{Entry, Plan};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Memory of a big engine for layers, in megabytes. One big and one small engine hold a model; the small one is the
/// first stage, since it holds fewer layers.
const SIZE_MB: u64 = 130_000;

/// The part that crashes engines.
const DEADLY_PART: &str = "dead0bad:60";

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3000;

/// Number of the crash after which few requests with the part may reach engines.
const CRASHES: usize = 5;

/// How many of them may.
const MOST: usize = 3;

/// How long requests come.
const LENGTH: Duration = Duration::from_secs(45);

/// Interval between two sound requests, and between two with the part.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
const DEADLY_INTERVAL: Duration = Duration::from_millis(500);

/// Plays the case; returns whether the rule held.
pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let path = format!("{folder}/record.txt");
    let record = Record::create(&path).map_err(|e| e.to_string())?;
    let work = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    let work = work.to_string_lossy().into_owned();
    std::fs::create_dir_all(&work).map_err(|e| e.to_string())?;
    let played = play(&record, &work, has_trouble);
    let _ = std::fs::remove_dir_all(&work);
    played?;
    judge(&record, &std::fs::read_to_string(path).unwrap_or_default())
}

fn play(record: &Record, work: &str, has_trouble: bool) -> Result<(), String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op/config", &config::config(3, SIZE_MB));
    let fleet = Fleet::default();
    for zone in ZONES {
        for (name, kind) in [("big", "big"), ("small-1", "small"), ("small-2", "small")] {
            let id = format!("i-{name}-{zone}");
            let engine =
                Engine::start_in(&fleet, kind, &id, config::MODEL, zone, true, &store, record);
            let engine = engine.map_err(|e| e.to_string())?;
            engine.behaviour.lock().unwrap().deadly_part = Some(DEADLY_PART);
        }
    }
    let plan = |zone: &str| Plan {
        name: format!("frontend-{zone}-1"),
        zone: zone.into(),
        memory_mb: 260,
        file_descriptors: 4100,
    };
    let entries: Vec<Entry> = ZONES
        .iter()
        .map(|zone| Entry::start(work, &plan(zone), store.address))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return Err("an entry does not get ready".into());
    }
    let front = entries[0].front;
    let is_served = || matches!(send(front, "warm-up", ""), End::Stream(_));
    if !http::wait_for(Duration::from_secs(20), is_served) {
        return Err("no stream is served".into());
    }
    std::thread::sleep(Duration::from_secs(8));
    let begin = Instant::now();
    let ends = Arc::new(Mutex::new((0, 0)));
    let (mut threads, mut number, mut next_deadly) = (vec![], 0, Instant::now());
    while begin.elapsed() < LENGTH {
        number += 1;
        let is_deadly = has_trouble && Instant::now() >= next_deadly;
        if is_deadly {
            next_deadly = Instant::now() + DEADLY_INTERVAL;
        }
        let (front, record, ends) =
            (entries[number % entries.len()].front, record.clone(), ends.clone());
        threads.push(std::thread::spawn(move || {
            let (id, part) = match is_deadly {
                true => (format!("deadly-{number}"), format!("{DEADLY_PART},")),
                false => (format!("sound-{number}"), String::new()),
            };
            record.add(&format!("sent {id} to {front}"));
            let end = send(front, &id, &part);
            record.add(&format!("ended {id} {end:?}"));
            if !is_deadly {
                let mut ends = ends.lock().unwrap();
                ends.0 += 1;
                ends.1 += u32::from(matches!(end, End::Stream(_)));
            }
        }));
        std::thread::sleep(SOUND_INTERVAL);
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let (sound, served) = *ends.lock().unwrap();
    record.add(&format!("sound requests: {sound}, served: {served}"));
    println!("sound requests: {sound}, served: {served}");
    Ok(())
}

fn send(front: std::net::SocketAddr, id: &str, part: &str) -> End {
    let own = id.bytes().fold(7_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    let fields = format!(
        "Oriolelanding-Model: m0\r\nOriolelanding-Token-Usage: 200,80\r\nOriolelanding-Prompt-Prefix: 5c1e07a2:40,{part}{own:x}:100\r\n"
    );
    let request = Request {
        id,
        method: "POST",
        path: "/stream/a",
        fields: &fields,
        body: id.as_bytes(),
        deadline: Duration::from_secs(20),
    };
    client::send(front, &request)
}

/// Counts the requests with the part that reached engines and were sent too late after the crashes.
fn judge(record: &Record, text: &str) -> Result<bool, String> {
    let words = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    let lines: Vec<Vec<String>> = text.lines().map(words).filter(|l| l.len() > 2).collect();
    let at = |line: &Vec<String>| line[0].parse::<u64>().unwrap_or(0);
    let crashes: Vec<u64> = lines.iter().filter(|l| l[1] == "crash").map(at).collect();
    let reached: Vec<u64> =
        lines.iter().filter(|l| l[1] == "runs" && l[2].starts_with("deadly-")).map(at).collect();
    let from = crashes.get(CRASHES - 1).map_or(u64::MAX, |fifth| fifth + CONTACT_MS);
    let late = reached.iter().filter(|at| **at > from).count();
    let told = format!(
        "crashes: {}, requests with the part at engines: {}, of these {CONTACT_MS} ms after the fifth crash: {late}, allowed: {MOST}",
        crashes.len(),
        reached.len()
    );
    record.add(&told);
    println!("{told}");
    Ok(late <= MOST)
}
