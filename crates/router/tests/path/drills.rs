//! The store comes back from copies again and again, beside changes of everything that is kept there.

use std::thread;
use std::time::Duration;

use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::Fault;
use oriole_platform_standin::store::{self, Copy};
use oriole_standin::random::Random;
use tokio::time::sleep;

use crate::cluster::{Cluster, Entry, LOST_REVISIONS};

/// Rounds of one series. Each ends with a restore.
const ROUNDS: u32 = 6;

/// Longest pause between two steps, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;

/// A cluster and what has been changed so far.
struct Series {
    cluster: Cluster,
    random: Random,
    version: u32,
    copies: Vec<Copy>,
    lost: Vec<String>,
}

impl Series {
    async fn start(seed: u64) -> Self {
        let (cluster, copy) = Cluster::with_empty_copy().await;
        let random = Random::new(seed);
        Self { cluster, random, version: 1, copies: vec![copy], lost: vec![] }
    }

    async fn step(&mut self) {
        let cluster = &self.cluster;
        match self.random.below(7) {
            0 => self.copies.push(cluster.store.copy()),
            1 => {
                self.version += 1;
                cluster.store.put("op/config", &config(u64::from(self.version), &[KEY]));
            }
            2 => {
                let id = format!("engine-{}", self.random.below(8));
                cluster.fleet.set_fault(&id, Fault::Unresponsive);
                self.lost.push(id);
            }
            3 => self.lost.drain(..).for_each(|id| cluster.fleet.set_fault(&id, Fault::None)),
            4 => cluster.store.set_fault(store::Fault::DropWriteResponses),
            5 => cluster.store.set_fault(store::Fault::Silent),
            _ => cluster.store.skip_revisions(self.random.below(2 * LOST_REVISIONS)),
        }
        sleep(Duration::from_millis(self.random.below(MAX_PAUSE_MS))).await;
        self.cluster.store.set_fault(store::Fault::None);
    }

    /// Comes back from one of the copies, at times twice.
    async fn restore(&mut self) {
        for _ in 0..=self.random.below(2) {
            let copy = self.random.below(self.copies.len() as u64) as usize;
            self.cluster.store.restore(&self.copies[copy]);
            sleep(Duration::from_millis(self.random.below(MAX_PAUSE_MS))).await;
        }
    }

    /// Waits until all entries agree with each other and with the store.
    async fn settle(&self) {
        let version = u64::from(self.version);
        let entries = self.cluster.entries.len();
        self.cluster.wait(|c| c.entries.iter().all(|e| e.state.versions().0 == version)).await;
        self.cluster.wait(|c| c.entries.iter().all(|e| plan(e) > 0 && plan(e) == stored(c))).await;
        self.cluster.wait(|c| c.store.text("oriole/secret").is_some()).await;
        let is_registered = |c: &Cluster| {
            let key = |e: &Entry| format!("oriole/hosts/{}", e.state.host);
            c.entries.iter().all(|e| c.store.get(&key(e)).is_some())
        };
        self.cluster.wait(is_registered).await;
        let knows_all = |e: &Entry| e.state.inner.borrow().peers.len() == entries - 1;
        self.cluster.wait(|c| c.entries.iter().all(knows_all)).await;
        let hears_all = |e: &Entry| {
            let (inner, now) = (e.state.inner.borrow(), e.state.now());
            inner.peers.keys().all(|host| inner.liveness.is_live(host, now))
        };
        self.cluster.wait(|c| c.entries.iter().all(hears_all)).await;
    }
}

fn plan(entry: &Entry) -> u64 {
    entry.state.inner.borrow().plans.first().map_or(0, |p| p.number)
}

fn stored(cluster: &Cluster) -> u64 {
    let plan = cluster.store.get("oriole/plan");
    plan.and_then(|plan| plan["number"].as_u64()).unwrap_or_default()
}

/// Plays one series, in the middle of which an entry is added.
async fn play(seed: u64) {
    let mut series = Series::start(seed).await;
    let mut newest = vec![(0, 0); 3];
    for round in 0..ROUNDS {
        for _ in 0..series.random.below(5) + 1 {
            series.step().await;
            for (entry, newest) in series.cluster.entries.iter().zip(&mut newest) {
                let now = (entry.state.versions().0, plan(entry));
                assert!(now.0 >= newest.0 && now.1 >= newest.1, "seed {seed}: a step back");
                *newest = now;
            }
        }
        series.restore().await;
        if round == ROUNDS / 2 {
            let added = series.cluster.entry(2).await;
            series.cluster.entries.push(added);
        }
        series.settle().await;
    }
    series.lost.drain(..).for_each(|id| series.cluster.fleet.set_fault(&id, Fault::None));
    series.cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 1)).await;
    for (number, entry) in series.cluster.entries.iter().enumerate() {
        let answer = entry.call("/draft/a", &format!("r{number}"), KEY).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "seed {seed}");
    }
}

/// Returns the seeds to play: as many as the environment names, from the first one that it names, or a few.
fn seeds() -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("ORIOLE_DRILL_FIRST_SEED").unwrap_or(0);
    first..first + number("ORIOLE_DRILL_SEEDS").unwrap_or(2)
}

/// Guards against entries that do not agree with the store, or with each other, after any series of restores.
///
/// Each series has a thread of its own, with which its entries and endpoints end. They would go on beside all later
/// series otherwise, whose streams then take longer than their routes allow.
#[test]
fn entries_settle_after_any_series_of_restores() {
    // With RUST_LOG set, a failure shows the log lines of all entries.
    let _ = env_logger::builder().is_test(true).try_init();
    for seed in seeds() {
        // Shown if a wait of this seed fails.
        println!("seed {seed}");
        let series = thread::spawn(move || actix_rt::System::new().block_on(play(seed)));
        series.join().unwrap();
    }
}
