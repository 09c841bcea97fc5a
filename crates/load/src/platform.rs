//! Checks the router of the operators' platform against stand-ins of the platform.
//!
//! Two entries, a store, eight engines in two zones and two plain services run as tasks of one
//! process over loopback.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use oriole_adapter::exchange;
use oriole_adapter::limits::Limits;
use oriole_platform_standin::caller::{self, Answer};
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::{self, Fleet};
use oriole_platform_standin::store::Store;
use oriole_router::process::{self, Sockets};
use oriole_router::settings::{self, Settings};
use oriole_router::state::Shared;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::demo::Check;

/// Time within which chains must be placed, or a change of the configuration must be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The checks could not be run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A stand-in cannot be started.
    #[display("starting a stand-in: {_0}")]
    Standin(io::Error),
    /// An entry cannot be started.
    #[display("starting an entry: {_0}")]
    Entry(process::Error),
    /// An entry does not answer.
    #[display("calling an entry: {_0}")]
    Exchange(exchange::Error),
    /// A condition did not hold within `WAIT_TIMEOUT`.
    #[display("timed out waiting for {_0}")]
    #[from(ignore)]
    Wait(#[error(not(source))] &'static str),
}

/// Running entries, and the stand-ins that they use.
struct Deployment {
    store: Store,
    fleet: Fleet,
    entries: Vec<(Shared, SocketAddr)>,
}

/// Runs all checks and calls `progress` after each.
pub async fn run(progress: impl Fn(&Check)) -> Result<Vec<Check>, Error> {
    let deployment = Deployment::start().await?;
    let mut checks = vec![];
    for check in [
        deployment.generation().await?,
        deployment.call_once().await?,
        deployment.refusal().await?,
        deployment.lost_stage().await?,
        deployment.revoked_key().await?,
    ] {
        progress(&check);
        checks.push(check);
    }
    Ok(checks)
}

impl Deployment {
    async fn start() -> Result<Self, Error> {
        let store = Store::start().await?;
        store.put("op/config", &config(1, &[KEY]));
        let fleet = Fleet::new(&store);
        for n in 0..8 {
            fleet.add_engine(&format!("engine-{n}"), &format!("zone-{}", n % 2)).await?;
        }
        for n in 0..2 {
            fleet.add_plain(&format!("plain-{n}"), &format!("zone-{n}")).await?;
        }
        let mut deployment = Self { store, fleet, entries: vec![] };
        for n in 0..2 {
            let entry = deployment.entry(n)?;
            deployment.entries.push(entry);
        }
        let has_chains = |deployment: &Self| {
            let chains = |state: &Shared| {
                state.inner.borrow().chains.values().map(|c| c.len()).sum::<usize>()
            };
            deployment.entries.iter().all(|(state, _)| chains(state) >= 2)
        };
        deployment.wait_until("chains", has_chains).await?;
        Ok(deployment)
    }

    fn entry(&self, number: usize) -> Result<(Shared, SocketAddr), Error> {
        let (sockets, listen) = Sockets::loopback()?;
        let address = listen.callers;
        let settings = Settings {
            admission: settings::Admission { order: settings::Order::Standing },
            limits: Limits::default(),
            name: format!("entry-{number}"),
            zone: format!("zone-{number}"),
            listen,
            store: settings::Store { address: self.store.address(), min_lease_ms: 1000 },
            times: settings::Times {
                drain_ms: 1000,
                grace_ms: 8000,
                heartbeat_ms: 100,
                stall_ms: 2500,
                apply_ms: 2000,
                contact_ms: 3000,
            },
            retries: settings::Retries { ratio: 0.2, fixed: 200.0, window_ms: 10_000 },
        };
        Ok((process::start(settings, sockets), address))
    }

    async fn call(&self, path: &str, id: &str, api_key: &str) -> Result<Answer, Error> {
        Ok(caller::call(self.entries[0].1, path, id, api_key, |_| {}).await?)
    }

    async fn generation(&self) -> Result<Check, Error> {
        let answer = self.call("/draft/a", "generation", KEY).await?;
        let runs = self.fleet.runs("generation").len();
        let passed = answer.status == 200 && has_all_events(&answer) && runs == 1;
        Ok(self.check("a generation over a chain", passed, "generation", &answer))
    }

    /// Calls a service that must run each request at most once, and resets the connection instead
    /// of the response. The entry must answer 502 and must not retry.
    async fn call_once(&self) -> Result<Check, Error> {
        self.set_plain_fault(fleet::Fault::ResetResponses);
        let answer = self.call("/once/a", "once", KEY).await?;
        self.set_plain_fault(fleet::Fault::None);
        let passed = answer.status == 502 && self.fleet.runs("once").len() == 1;
        Ok(self.check("a call that may run once, its answer lost", passed, "once", &answer))
    }

    /// Calls a service whose endpoints are full. The entry must refuse with a `Retry-After`.
    async fn refusal(&self) -> Result<Check, Error> {
        self.set_plain_fault(fleet::Fault::Full);
        let answer = self.call("/page/a", "refused", KEY).await?;
        self.set_plain_fault(fleet::Fault::None);
        let not_run = self.fleet.runs("refused").is_empty();
        let passed = answer.status == 503 && answer.retry_after.is_some() && not_run;
        Ok(self.check("a refusal, with a time to come back", passed, "refused", &answer))
    }

    /// Makes the second stage of a chain unresponsive after ten events. The stream must still be
    /// complete.
    async fn lost_stage(&self) -> Result<Check, Error> {
        let is_broken = Cell::new(false);
        let break_stage = |body: &str| {
            if !body.contains("id: 10\n") || is_broken.replace(true) {
                return;
            }
            let path = self.fleet.path("stage").unwrap_or_default();
            let second_stage = path.split(',').nth(1).and_then(|stage| stage.split('=').next());
            if let Some(id) = second_stage.and_then(|address| self.fleet.endpoint_at(address)) {
                self.fleet.set_fault(&id, fleet::Fault::Unresponsive);
            }
        };
        let answer = caller::call(self.entries[0].1, "/draft/a", "stage", KEY, break_stage).await?;
        let passed = is_broken.get() && has_all_events(&answer);
        Ok(self.check("a stage's death in mid-stream", passed, "stage", &answer))
    }

    /// Removes the API key from the configuration. Requests with it must be refused and not run.
    async fn revoked_key(&self) -> Result<Check, Error> {
        self.store.put("op/config", &config(2, &["another"]));
        let is_in_force = |deployment: &Self| {
            let version = |state: &Shared| state.versions().0;
            deployment.entries.iter().all(|(state, _)| version(state) == 2)
        };
        self.wait_until("the change of keys", is_in_force).await?;
        let answer = self.call("/page/a", "revoked", KEY).await?;
        let passed = answer.status == 401 && self.fleet.runs("revoked").is_empty();
        Ok(self.check("a key that was taken away", passed, "revoked", &answer))
    }

    fn set_plain_fault(&self, fault: fleet::Fault) {
        for id in ["plain-0", "plain-1"] {
            self.fleet.set_fault(id, fault);
        }
    }

    fn check(&self, title: &str, passed: bool, id: &str, answer: &Answer) -> Check {
        let (status, bytes) = (answer.status, answer.body.len());
        let runs = self.fleet.runs(id).join(", ");
        let completeness = if answer.is_complete { "complete" } else { "incomplete" };
        Check {
            title: title.to_owned(),
            passed,
            observed: format!("status {status}, {bytes} bytes, {completeness}, run at [{runs}]"),
            request: Some(id.to_owned()),
            explain: Value::Null,
        }
    }

    /// Waits until `condition` holds; `what` names it in the error.
    async fn wait_until(
        &self,
        what: &'static str,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), Error> {
        let wait = async {
            while !condition(self) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.map_err(|_| Error::Wait(what))
    }
}

/// Returns whether the body is complete and contains each event once and in order.
fn has_all_events(answer: &Answer) -> bool {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u32>().ok());
    answer.is_complete && ids.eq(1..=fleet::EVENTS_PER_STREAM)
}
