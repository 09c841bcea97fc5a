//! In calm, some requests have very many short header fields, within the limit on the bytes of a head.

use std::time::Duration;

use crate::client::{self, End, Request};
use crate::config;
use crate::engine::Engine;
use crate::entry::{Entry, Plan};
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Requests that are sent, one after the other.
const REQUESTS: usize = 400;

/// One request in so many has many fields.
const ONE_IN: usize = 10;

/// Fields of such a request, and of one in a run without trouble, beyond the usual ones.
const FIELDS: [usize; 2] = [150, 60];

/// Bytes that the configuration allows for a head.
const MAX_HEADER_BYTES: usize = 16_384;

/// Plays the case; returns whether the rule held.
pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&format!("{folder}/record.txt")).map_err(|e| e.to_string())?;
    let work = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    let work = work.to_string_lossy().into_owned();
    std::fs::create_dir_all(&work).map_err(|e| e.to_string())?;
    let result = play(&record, &work, has_trouble);
    let _ = std::fs::remove_dir_all(&work);
    result
}

fn play(record: &Record, work: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op/config", &config::config(3, config::WHOLE_MB));
    let _engines: Vec<Engine> = ["i-p1", "i-p2"]
        .iter()
        .map(|id| Engine::start(id, config::PLAIN, "hall-a", false, &store, record))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let plan = |n: u32| Plan {
        name: format!("frontend-hall-a-{n}"),
        zone: "hall-a".into(),
        memory_mb: 260,
        file_descriptors: 4100,
    };
    let entries: Vec<Entry> = (1..=2)
        .map(|n| Entry::start(work, &plan(n), store.address))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return Err("an entry does not get ready".into());
    }
    let front = entries[0].front;
    let is_served = || client::send(front, &request("warm-up", "")) == End::Answer(200);
    if !http::wait_for(Duration::from_secs(10), is_served) {
        return Err("no request is served".into());
    }
    // The machines are in touch from here on.
    std::thread::sleep(Duration::from_secs(4));
    let many = many_fields(FIELDS[usize::from(!has_trouble)]);
    let (mut denied, mut served) = (0, 0);
    for number in 0..REQUESTS {
        let fields = if number % ONE_IN == 0 { many.as_str() } else { "" };
        let id = format!("r{number}");
        let request = request(&id, fields);
        let (bytes, count) = (request.bytes().len(), fields.lines().count());
        if bytes > MAX_HEADER_BYTES {
            return Err("a head is over the limit".into());
        }
        let end = client::send(entries[number % entries.len()].front, &request);
        record.add(&format!("{id}: {bytes} bytes, {count} fields more, ended {end:?}"));
        match end {
            End::Answer(200) => served += 1,
            End::Answer(status)
                if (300..500).contains(&status) && ![408, 421, 429].contains(&status) =>
            {
                denied += 1;
            }
            _ => {}
        }
    }
    let most = 5 + REQUESTS / 500;
    record.add(&format!("served {served}, denied {denied}, allowed {most}"));
    println!("served {served}, denied {denied}, allowed {most}");
    drop(entries);
    Ok(denied <= most)
}

fn many_fields(count: usize) -> String {
    (0..count).map(|number| format!("x{number}: {number}\r\n")).collect()
}

fn request<'a>(id: &'a str, fields: &'a str) -> Request<'a> {
    Request {
        id,
        method: "POST",
        path: "/once/a",
        fields,
        body: b"",
        deadline: Duration::from_secs(3),
    }
}
