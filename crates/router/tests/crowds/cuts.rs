//! Plain endpoints that are cut off in a random order beside signals, restarts and changes of several entries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use oriole_platform_standin::caller;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fleet;
use oriole_platform_standin::gate::Gate;
use oriole_platform_standin::store::Store;
use oriole_platform_standin::unframed::Closing;
use oriole_standin::random::Random;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::TURN;
use crate::process::{Process, operator};

/// Number of series that are played unless `ORIOLE_CUT_SEEDS` states another. `ORIOLE_CUT_FIRST_SEED` is the first seed.
const DEFAULT_SEEDS: u64 = 2;

/// Entries of a series.
const ENTRIES: usize = 3;

/// Endpoints of the plain service, each behind a gate.
const ENDPOINTS: usize = 3;

/// Times that all gates are opened, and all endpoints checked, in a series.
const ROUNDS: u32 = 2;

/// Steps before that.
const STEPS: u32 = 8;

/// Longest pause between two steps, in milliseconds.
const MAX_PAUSE_MS: u64 = 1500;

/// Callers of each entry that keep their connections.
const CALLERS: usize = 4;

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Deadline of a caller's request.
const DEADLINE_MS: u64 = 3000;

/// Longest time until an entry uses all endpoints again: silences end after at most 6 s, and requests follow.
const USE_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests that are sent at once so that they are spread over all endpoints.
const REQUESTS_AT_ONCE: usize = 9;

/// The entries, the endpoints, and the random numbers that decide what comes next.
struct Series {
    store: Store,
    fleet: Fleet,
    gates: Vec<Gate>,
    entries: Vec<Process>,
    random: Random,
    version: u64,
    sent: Rc<RefCell<BTreeSet<String>>>,
}

impl Series {
    async fn start(seed: u64) -> Self {
        let store = Store::start().await.unwrap();
        store.put("op/config", &operator(1));
        let fleet = Fleet::new(&store);
        let mut gates = vec![];
        for n in 0..ENDPOINTS {
            let id = format!("plain-{n}");
            fleet.add_unframed_plain(&id, "zone-0").await.unwrap();
            gates.push(fleet.add_gate(&id).await.unwrap());
        }
        let random = Random::new(seed);
        // An endpoint of a plain service need not answer requests to paths other than its own.
        let closings = [Closing::Never, Closing::UnknownPaths, Closing::UnknownPathsLater];
        fleet.set_closing(closings[seed as usize % closings.len()]);
        let mut entries = vec![];
        for n in 0..ENTRIES {
            let (name, host) = (format!("cuts-{seed}-{n}"), format!("entry-{n}"));
            entries.push(Process::start(&name, &host, &store).await);
        }
        Self { store, fleet, gates, entries, random, version: 1, sent: Rc::default() }
    }

    async fn step(&mut self) {
        let entry = self.random.below(ENTRIES as u64) as usize;
        let gate = self.random.below(ENDPOINTS as u64) as usize;
        match self.random.below(10) {
            0..=2 => self.gates[gate].cut(),
            3 => self.gates.iter().for_each(Gate::cut),
            4 | 5 => self.gates[gate].open(),
            6 => self.entries[entry].signal("HUP"),
            7 => {
                self.entries[entry].signal("TERM");
                self.entries[entry].wait_until_gone().await;
                self.entries[entry].restart().await;
            }
            8 => {
                // The process stands still for a while.
                self.entries[entry].signal("STOP");
                sleep(Duration::from_millis(self.random.below(MAX_PAUSE_MS))).await;
                self.entries[entry].signal("CONT");
            }
            _ => self.add_route(),
        }
        sleep(Duration::from_millis(self.random.below(MAX_PAUSE_MS))).await;
    }

    /// Adds a route to the plain service.
    fn add_route(&mut self) {
        self.version += 1;
        let mut operator = operator(self.version);
        let prefix = format!("/added-{}/", self.version);
        let mut route = operator["routes"][1].clone();
        (route["prefix"], route["name"]) = (json!(prefix), json!(prefix));
        operator["routes"].as_array_mut().unwrap().push(route);
        self.store.put("op/config", &operator);
    }

    /// Opens all gates, and checks that each entry uses all endpoints on an old route and one that is added now.
    async fn check(&mut self, round: u32) {
        self.gates.iter().for_each(Gate::open);
        self.add_route();
        for path in ["/once/slow".to_owned(), format!("/added-{}/slow", self.version)] {
            for (n, entry) in self.entries.iter().enumerate() {
                let name = format!("{round}-{n}");
                let is_used = timeout(USE_TIMEOUT, self.use_all(entry, &path, &name)).await;
                assert!(is_used.is_ok(), "entry {n} does not use all endpoints for {path}");
            }
        }
    }

    /// Sends requests until each endpoint has answered one.
    async fn use_all(&self, entry: &Process, path: &str, name: &str) {
        let mut used = BTreeSet::new();
        for turn in 0.. {
            let ids = (0..REQUESTS_AT_ONCE).map(|n| format!("check{path}-{name}-{turn}-{n}"));
            let calls = ids.map(|id| {
                self.sent.borrow_mut().insert(id.clone());
                async move { caller::call(entry.callers, path, &id, KEY, |_| {}).await }
            });
            for answer in join_all(calls).await.into_iter().flatten() {
                used.extend(answer.signature.filter(|_| answer.is_complete));
            }
            if used.len() == ENDPOINTS {
                return;
            }
        }
    }

    /// Checks that no request that may run once ran twice.
    fn assert_ran_once(&self) {
        for id in self.sent.borrow().iter() {
            let runs = self.fleet.runs(id);
            assert!(runs.len() <= 1, "{id} ran at {runs:?}");
        }
    }
}

/// Sends one request after the other on one connection, and on a new one when it ends. Counts complete answers.
async fn call_on(
    entry: SocketAddr,
    name: &str,
    sent: &RefCell<BTreeSet<String>>,
    served: &Cell<u32>,
) {
    for connection in 0.. {
        sleep(CALL_PAUSE).await;
        let Ok(mut stream) = TcpStream::connect(entry).await else {
            continue;
        };
        for number in 0.. {
            let id = format!("{name}-{connection}-{number}");
            sent.borrow_mut().insert(id.clone());
            match exchange(&mut stream, &id).await {
                Ok(true) => served.set(served.get() + 1),
                Ok(false) => {}
                Err(_) => break,
            }
            sleep(CALL_PAUSE).await;
        }
    }
}

/// Sends a request and reads its answer, and returns whether the request was served.
async fn exchange(stream: &mut TcpStream, id: &str) -> std::io::Result<bool> {
    let head = caller::upload_head("/once/a", id, KEY, DEADLINE_MS);
    let request = format!("{head}content-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = vec![];
    loop {
        if stream.read_buf(&mut answer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&answer).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length =
            head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Ok(head.starts_with("http/1.1 200"));
        }
    }
}

async fn play(seed: u64) {
    let mut series = Series::start(seed).await;
    let served = Rc::new(Cell::new(0));
    let mut callers = vec![];
    for (n, entry) in series.entries.iter().enumerate() {
        for caller in 0..CALLERS {
            let (address, sent, served) = (entry.callers, series.sent.clone(), served.clone());
            callers.push(actix_rt::spawn(async move {
                call_on(address, &format!("call-{n}-{caller}"), &sent, &served).await;
            }));
        }
    }
    for round in 0..ROUNDS {
        for _ in 0..STEPS {
            series.step().await;
        }
        series.check(round).await;
        eprintln!("seed {seed}, round {round}: {} served", served.get());
    }
    callers.iter().for_each(|caller| caller.abort());
    series.assert_ran_once();
    assert!(served.get() > 0, "no request was served");
}

/// Guards against endpoints that an entry does not use any more after they were cut off, whatever comes beside it.
#[actix_rt::test]
async fn all_entries_use_all_endpoints_after_any_series_of_cuts() {
    let _turn = TURN.lock().await;
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("ORIOLE_CUT_FIRST_SEED").unwrap_or(0);
    for seed in first..first + number("ORIOLE_CUT_SEEDS").unwrap_or(DEFAULT_SEEDS) {
        play(seed).await;
    }
}
