//! Engines that name a limit, one of which is cut off from the store for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::deployment::Deployment;
use crate::engine::{Engine, Handler};

/// Engines, and the one that is cut off: one in five, as the share of the disruption.
const ENGINES: usize = 5;
const CUT_ENGINE: usize = 0;

/// Requests a second that each engine takes from all machines together.
const LIMIT: f64 = 1.0;

/// Time that an engine in need takes for an answer.
const WORK: Duration = Duration::from_millis(400);

/// Clients, and the pause of each between two requests.
const CLIENTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(400);

/// Time until the cut, its length, and the time after it.
const BEFORE: Duration = Duration::from_secs(12);
const CUT: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(12);

/// `contact_ms`, and the window of the rule.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// When requests reached each engine, and when it first named its limit.
#[derive(Default)]
struct World {
    arrivals: Mutex<BTreeMap<String, Vec<Instant>>>,
    named: Mutex<BTreeMap<String, Instant>>,
}

/// Runs the case.
pub fn run(folder: &Path, work: &Path, is_troubled: bool) -> Verdict {
    let deployment = Deployment::start(folder, work);
    let record = deployment.record.clone();
    let world = Arc::new(World::default());
    let engines: Vec<Engine> =
        (1..=ENGINES).map(|n| deployment.desk_engine(&format!("i-{n}"), handler(&world))).collect();
    let entry = deployment.entry("entry-1");
    if !entry.is_ready() {
        record.say("the entry is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (callers, is_over) = (entry.callers, is_over.clone());
            thread::spawn(move || ask(callers, number, &is_over))
        })
        .collect();
    thread::sleep(BEFORE);
    if is_troubled {
        record.line(format!("{} is cut off from the store", engines[CUT_ENGINE].id));
        let gone = engines[CUT_ENGINE].cut_from_store(&deployment.store, CUT);
        record.line(format!("{} is registered again, after {gone:?}", engines[CUT_ENGINE].id));
    } else {
        thread::sleep(CUT);
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    let allowed = (1.5 * LIMIT * WINDOW.as_secs_f64()) as usize + 5;
    let named = world.named.lock().expect("lock the limits");
    let mut worst = 0;
    for (engine, arrivals) in world.arrivals.lock().expect("lock the arrivals").iter() {
        let binding = named.get(engine).map(|at| *at + CONTACT);
        let most = most_in_window(arrivals, binding);
        record.line(format!("{engine}: {} requests, {most} in the worst 4 s", arrivals.len()));
        worst = worst.max(most);
    }
    record.say(format!(
        "{served} requests served; {worst} in the worst 4 s of an engine, {allowed} allowed"
    ));
    if served < 20 {
        return Verdict::NotRun;
    }
    if worst > allowed { Verdict::Broken } else { Verdict::Held }
}

/// Returns the most arrivals in any window that begins at `binding` or later.
fn most_in_window(arrivals: &[Instant], binding: Option<Instant>) -> usize {
    let Some(binding) = binding else { return 0 };
    let bound: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= binding).collect();
    let count = |first: &Instant| {
        bound.iter().filter(|at| *at >= first && at.duration_since(*first) < WINDOW).count()
    };
    bound.iter().map(count).max().unwrap_or(0)
}

/// Sends requests one after the other. Returns how many were served.
fn ask(callers: SocketAddr, client: usize, is_over: &AtomicBool) -> usize {
    let mut served = 0;
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("c{client:02}n{number:03}");
        number += 1;
        let path = format!("/filing/{id}");
        let answer = client::call(callers, "POST", &path, &id, 3000, b"note", "");
        served += usize::from(answer.is_ok_and(|(head, _)| head.status() == 200));
        thread::sleep(PAUSE);
    }
    served
}

fn handler(world: &Arc<World>) -> Handler {
    let world = world.clone();
    Arc::new(move |call| {
        let engine = call.engine.id.clone();
        let mut arrivals = world.arrivals.lock().expect("lock the arrivals");
        arrivals.entry(engine.clone()).or_default().push(Instant::now());
        drop(arrivals);
        thread::sleep(WORK);
        world.named.lock().expect("lock the limits").entry(engine).or_insert_with(Instant::now);
        call.answer("200 OK", &format!("Server-Limit: {LIMIT}\r\n"), b"filed")
    })
}
