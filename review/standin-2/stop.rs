//! Two of the three entries of a zone are stopped in order while streams come; an engine is silent for about a
//! second before they exit.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::client::{self, End};
use crate::config;
use crate::engine::Engine;
use crate::entry::{Entry, Plan};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const ZONE: &str = "hall-a";

/// Time after the signal from which on a request that is cut counts.
const LATE_MS: u64 = 3000;

/// Time after the signal at which the engine falls silent.
const SILENT_AFTER: Duration = Duration::from_millis(6500);

/// How long the engine is silent.
const SILENCE: Duration = Duration::from_millis(1000);

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(30);

struct Sent {
    at: u64,
    front: std::net::SocketAddr,
    id: String,
    end: End,
    end_at: u64,
}

/// Plays the case; returns whether the rule held.
pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&format!("{folder}/record.txt")).map_err(|e| e.to_string())?;
    let work = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    let work = work.to_string_lossy().into_owned();
    std::fs::create_dir_all(&work).map_err(|e| e.to_string())?;
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op/config", &config::config(3));
    let engines: Vec<Engine> = (1..=3)
        .map(|n| Engine::start(&format!("i-m{n}"), config::MODEL, ZONE, true, &store, &record))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let plan = |n: u32| Plan {
        name: format!("frontend-hall-a-{n}"),
        zone: ZONE.into(),
        memory_mb: 260,
        file_descriptors: 4100,
    };
    let entries: Vec<Entry> = (1..=3)
        .map(|n| Entry::start(&work, &plan(n), store.address))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return Err("an entry does not get ready".into());
    }
    let front = entries[0].front;
    let is_served = || {
        let request = stream("warm-up", 40);
        matches!(client::send(front, &request.as_request()), End::Stream(_))
    };
    if !http::wait_for(Duration::from_secs(20), is_served) {
        return Err("no stream is served".into());
    }
    std::thread::sleep(Duration::from_secs(6));
    let balancer = Balancer::start(entries.iter().map(|e| (e.front, e.ready)));
    let sent = Arc::new(Mutex::new(Vec::<Sent>::new()));
    std::thread::sleep(Duration::from_secs(2));
    let begin = Instant::now();
    let (mut signalled, mut silenced) = (None, false);
    let mut threads = vec![];
    let mut number = 0;
    while begin.elapsed() < Duration::from_secs(12) {
        if signalled.is_none() && begin.elapsed() >= Duration::from_secs(2) {
            entries[..2].iter().for_each(|entry| entry.signal("TERM"));
            signalled = Some((Instant::now(), record.add("SIGTERM of two entries")));
        }
        let is_due = |(at, _): &(Instant, u64)| at.elapsed() >= SILENT_AFTER;
        if !silenced && signalled.as_ref().is_some_and(is_due) {
            silenced = true;
            if has_trouble {
                let busiest = engines.iter().max_by_key(|engine| engine.run_count());
                let engine = busiest.ok_or("no engine")?;
                record.add(&format!("{} is silent for {SILENCE:?}", engine.id));
                engine.behaviour.lock().unwrap().silent_until = Some(Instant::now() + SILENCE);
            }
        }
        number += 1;
        let (front, sent, record) = (balancer.pick(), sent.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            let request = stream(&format!("s{number}"), 20 + number * 37 % 240);
            let at = record.add(&format!("sent {} to {front}", request.id));
            let end = client::send(front, &request.as_request());
            let end_at = record.add(&format!("ended {} {end:?}", request.id));
            sent.lock().unwrap().push(Sent { at, front, id: request.id.clone(), end, end_at });
        }));
        std::thread::sleep(INTERVAL);
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let (_, at) = signalled.ok_or("no signal")?;
    let stopped = [entries[0].front, entries[1].front];
    let text = std::fs::read_to_string(format!("{folder}/record.txt")).unwrap_or_default();
    let mut lost = 0;
    for sent in sent.lock().unwrap().iter() {
        let has_run = text.contains(&format!("runs {} at", sent.id));
        let is_cut = matches!(sent.end, End::Cut | End::NoAnswer);
        if stopped.contains(&sent.front) && is_cut {
            println!(
                "{} sent {:+} ms after the signal, cut at {:+}, run: {has_run}",
                sent.id,
                sent.at as i64 - at as i64,
                sent.end_at as i64 - at as i64
            );
            lost += usize::from(has_run && sent.at > at + LATE_MS);
        }
    }
    record.add(&format!("lost: {lost}"));
    println!("lost: {lost}");
    drop(entries);
    let _ = std::fs::remove_dir_all(&work);
    Ok(lost == 0)
}

struct Stream {
    id: String,
    fields: String,
}

fn stream(id: &str, tokens: u64) -> Stream {
    let fields = format!(
        "Oriolelanding-Model: m0\r\nOriolelanding-Token-Usage: 200,{tokens}\r\nOriolelanding-Prompt-Prefix: 5c1e07a2:40,{:x}:160\r\n",
        id.bytes().fold(7_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)))
    );
    Stream { id: id.into(), fields }
}

impl Stream {
    fn as_request(&self) -> client::Request<'_> {
        client::Request {
            id: &self.id,
            method: "POST",
            path: "/stream/a",
            fields: &self.fields,
            body: self.id.as_bytes(),
            deadline: Duration::from_secs(20),
        }
    }
}
