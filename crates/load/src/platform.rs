//! The path on the operators' platform, on embedded stand-ins of it.
//!
//! Two entries, a store, eight engines in two zones and two plain services run as tasks of one
//! process over loopback.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use oriole_adapter::exchange;
use oriole_platform_standin::caller::{self, Answer};
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::{self, Fleet};
use oriole_platform_standin::store::Store;
use oriole_router::process::{self, Sockets};
use oriole_router::settings::{self, Settings};
use oriole_router::state::Shared;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::demo::Part;

/// Longest wait for chains to be placed, or for a change to be in force.
const LIMIT: Duration = Duration::from_secs(30);

/// Why the path cannot be shown.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// A stand-in cannot be started.
    #[display("starting a stand-in: {_0}")]
    Standin(io::Error),
    /// An entry cannot be started.
    #[display("starting an entry: {_0}")]
    Entry(process::Error),
    /// An entry does not answer.
    #[display("calling an entry: {_0}")]
    Exchange(exchange::Error),
    /// Something did not come true in time.
    #[display("waiting for {_0}")]
    #[from(ignore)]
    Wait(#[error(not(source))] &'static str),
}

struct Scene {
    store: Store,
    fleet: Fleet,
    entries: Vec<(Shared, SocketAddr)>,
}

/// Runs all parts; `progress` sees each as it ends.
pub async fn run(progress: impl Fn(&Part)) -> Result<Vec<Part>, Failure> {
    let scene = Scene::start().await?;
    let mut parts = vec![];
    for part in [
        scene.generation().await?,
        scene.call_once().await?,
        scene.refusal().await?,
        scene.lost_stage().await?,
        scene.key_taken_away().await?,
    ] {
        progress(&part);
        parts.push(part);
    }
    Ok(parts)
}

impl Scene {
    async fn start() -> Result<Self, Failure> {
        let store = Store::start().await?;
        store.put("op/config", &config(1, &[KEY]));
        let fleet = Fleet::new(&store);
        for n in 0..8 {
            fleet.add_engine(&format!("engine-{n}"), &format!("zone-{}", n % 2)).await?;
        }
        for n in 0..2 {
            fleet.add_plain(&format!("plain-{n}"), &format!("zone-{n}")).await?;
        }
        let mut scene = Self { store, fleet, entries: vec![] };
        for n in 0..2 {
            let entry = scene.entry(n)?;
            scene.entries.push(entry);
        }
        let has_chains = |scene: &Self| {
            let chains = |state: &Shared| {
                state.inner.borrow().chains.values().map(|c| c.len()).sum::<usize>()
            };
            scene.entries.iter().all(|(state, _)| chains(state) >= 2)
        };
        scene.wait("chains", has_chains).await?;
        Ok(scene)
    }

    fn entry(&self, number: usize) -> Result<(Shared, SocketAddr), Failure> {
        let (sockets, listen) = Sockets::loopback()?;
        let address = listen.callers;
        let settings = Settings {
            name: format!("entry-{number}"),
            zone: format!("zone-{number}"),
            listen,
            store: settings::Store { address: self.store.address(), min_lease_ms: 1000 },
            times: settings::Times {
                drain_ms: 1000,
                grace_ms: 8000,
                heartbeat_ms: 100,
                stall_ms: 2500,
            },
            retries: settings::Retries { ratio: 0.2, fixed: 200.0, window_ms: 10_000 },
        };
        Ok((process::start(settings, sockets), address))
    }

    async fn call(&self, path: &str, id: &str, key: &str) -> Result<Answer, Failure> {
        Ok(caller::call(self.entries[0].1, path, id, key, |_| {}).await?)
    }

    async fn generation(&self) -> Result<Part, Failure> {
        let answer = self.call("/draft/a", "generation", KEY).await?;
        let runs = self.fleet.runs("generation").len();
        let right = answer.status == 200 && is_whole(&answer) && runs == 1;
        Ok(self.part("a generation over a chain", right, "generation", &answer))
    }

    async fn call_once(&self) -> Result<Part, Failure> {
        self.set_plain(fleet::Fault::ResetResponses);
        let answer = self.call("/once/a", "once", KEY).await?;
        self.set_plain(fleet::Fault::None);
        let right = answer.status == 502 && self.fleet.runs("once").len() == 1;
        Ok(self.part("a call that may run once, its answer lost", right, "once", &answer))
    }

    async fn refusal(&self) -> Result<Part, Failure> {
        self.set_plain(fleet::Fault::Full);
        let answer = self.call("/page/a", "refused", KEY).await?;
        self.set_plain(fleet::Fault::None);
        let not_run = self.fleet.runs("refused").is_empty();
        let right = answer.status == 503 && answer.retry_after.is_some() && not_run;
        Ok(self.part("a refusal, with a time to come back", right, "refused", &answer))
    }

    async fn lost_stage(&self) -> Result<Part, Failure> {
        let lost = Cell::new(false);
        let lose = |body: &str| {
            if !body.contains("id: 10\n") || lost.replace(true) {
                return;
            }
            let path = self.fleet.path("stage").unwrap_or_default();
            let second = path.split(',').nth(1).and_then(|part| part.split('=').next());
            if let Some(id) = second.and_then(|address| self.fleet.endpoint_at(address)) {
                self.fleet.set_fault(&id, fleet::Fault::Unresponsive);
            }
        };
        let answer = caller::call(self.entries[0].1, "/draft/a", "stage", KEY, lose).await?;
        let right = lost.get() && is_whole(&answer);
        Ok(self.part("a stage's death in mid-stream", right, "stage", &answer))
    }

    async fn key_taken_away(&self) -> Result<Part, Failure> {
        self.store.put("op/config", &config(2, &["another"]));
        let is_in_force = |scene: &Self| {
            let version = |state: &Shared| state.versions().0;
            scene.entries.iter().all(|(state, _)| version(state) == 2)
        };
        self.wait("the change of keys", is_in_force).await?;
        let answer = self.call("/page/a", "revoked", KEY).await?;
        let right = answer.status == 401 && self.fleet.runs("revoked").is_empty();
        Ok(self.part("a key that was taken away", right, "revoked", &answer))
    }

    fn set_plain(&self, fault: fleet::Fault) {
        for id in ["plain-0", "plain-1"] {
            self.fleet.set_fault(id, fault);
        }
    }

    fn part(&self, title: &str, right: bool, id: &str, answer: &Answer) -> Part {
        let (status, bytes) = (answer.status, answer.body.len());
        let runs = self.fleet.runs(id).join(", ");
        let whole = if answer.is_complete { "whole" } else { "broken off" };
        Part {
            title: title.to_owned(),
            right,
            seen: format!("status {status}, {bytes} bytes, {whole}, run at [{runs}]"),
            request: Some(id.to_owned()),
            explain: Value::Null,
        }
    }

    async fn wait(&self, what: &'static str, holds: impl Fn(&Self) -> bool) -> Result<(), Failure> {
        let wait = async {
            while !holds(self) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(LIMIT, wait).await.map_err(|_| Failure::Wait(what))
    }
}

/// Whether all events have come, each once and in order.
fn is_whole(answer: &Answer) -> bool {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u32>().ok());
    answer.is_complete && ids.eq(1..=fleet::EVENTS_PER_STREAM)
}
