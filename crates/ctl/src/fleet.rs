//! The processes of a deployment, and what they tell about themselves.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use oriole_core::config::Config;
use oriole_core::name;
use oriole_core::status::Status;
use oriole_macros::data;
use serde_json::Value;

use crate::settings::Settings;

const TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Largest answer of a process, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Where the processes of a deployment serve operators.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    processes: BTreeMap<name::Host, SocketAddr>,
}

/// A process and what it tells.
#[data]
pub struct Report {
    /// The host.
    pub host: name::Host,
    /// What it tells; `None` if it did not answer.
    pub status: Option<Status>,
}

/// The processes on which a revision is not in force.
#[data]
pub struct Missing {
    /// The revision.
    pub revision: u64,
    /// Number of all processes.
    pub processes: usize,
    /// Those on which it is not in force.
    pub behind: Vec<Report>,
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let done = self.processes - self.behind.len();
        let (revision, processes) = (self.revision, self.processes);
        write!(f, "revision {revision} is in force on {done} of {processes} processes")?;
        for report in &self.behind {
            match &report.status {
                Some(status) => {
                    write!(f, "\n  {}: revision {}", report.host, status.revision)?;
                    write!(f, ", key-value service {}", status.kv)?;
                }
                None => write!(f, "\n  {}: no answer", report.host)?,
            }
        }
        Ok(())
    }
}

impl Fleet {
    /// The processes that the configuration and the settings name.
    pub fn new(settings: &Settings, config: Option<&Config>) -> Self {
        let mut processes = BTreeMap::new();
        if let Some(config) = config {
            for (host, entry) in &config.entries {
                let address = SocketAddr::new(entry.address.ip(), settings.entry_http_port);
                processes.insert(host.clone(), address);
            }
            for endpoint in config.endpoints.values() {
                let address = SocketAddr::new(endpoint.side.ip(), settings.side_http_port);
                processes.insert(endpoint.host.clone(), address);
            }
        }
        processes.extend(settings.http.clone());
        Self { processes }
    }

    /// The processes' hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &name::Host> {
        self.processes.keys()
    }

    /// Asks all processes for their status.
    pub async fn reports(&self) -> Vec<Report> {
        let ask = |host: &name::Host, address| {
            let host = host.clone();
            async move {
                let answer = get(address, "/v1/status").await;
                let status = answer.and_then(|value| serde_json::from_value(value).ok());
                Report { host, status }
            }
        };
        join_all(self.processes.iter().map(|(host, address)| ask(host, *address))).await
    }

    /// The processes on which `revision` is not in force.
    pub async fn missing(&self, revision: u64) -> Missing {
        let reports = self.reports().await;
        let processes = reports.len();
        let current = |r: &Report| r.status.as_ref().is_some_and(|s| s.revision >= revision);
        let behind = reports.into_iter().filter(|report| !current(report)).collect();
        Missing { revision, processes, behind }
    }

    /// Waits until `revision` is in force on all processes; returns those where it is not in time.
    pub async fn wait(
        &self,
        revision: u64,
        limit: Duration,
        mut progress: impl FnMut(&Missing),
    ) -> Missing {
        let start = Instant::now();
        let mut told = None;
        loop {
            let missing = self.missing(revision).await;
            let behind = missing.behind.len();
            if behind == 0 || start.elapsed() >= limit {
                return missing;
            }
            if told.replace(behind) != Some(behind) {
                progress(&missing);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads a resource of one process, `None` if it does not answer with success.
    pub async fn get(&self, host: &name::Host, path: &str) -> Option<Value> {
        get(*self.processes.get(host)?, path).await
    }

    /// Calls one process to do something, and tells whether it did.
    pub async fn post(&self, host: &name::Host, path: &str) -> bool {
        let Some(address) = self.processes.get(host) else {
            return false;
        };
        let sending = client().post(format!("http://{address}{path}")).send();
        sending.await.is_ok_and(|response| response.status().is_success())
    }
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).disable_redirects().finish()
}

async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let exchange = async {
        let mut response = client().get(format!("http://{address}{path}")).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(TIMEOUT, exchange).await.ok().flatten()
}
