//! The processes of a deployment, and what they report of themselves over HTTP.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Largest response body that is read from a process.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The addresses at which the processes of a deployment serve operators, by host.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    processes: BTreeMap<name::Host, SocketAddr>,
}

/// A process and its status.
#[data]
pub struct Report {
    /// The process's host.
    pub host: name::Host,
    /// Its status; `None` if it did not respond.
    pub status: Option<Status>,
}

/// How far a revision has been rolled out.
#[data]
pub struct Rollout {
    /// Number of the revision.
    pub revision: u64,
    /// Number of all processes.
    pub processes: usize,
    /// Processes on which the revision is not in force.
    pub behind: Vec<Report>,
}

impl fmt::Display for Rollout {
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
                None => write!(f, "\n  {}: no response", report.host)?,
            }
        }
        Ok(())
    }
}

impl Fleet {
    /// Collects the processes of the configuration and of the settings. For a host in both, the
    /// address in the settings applies.
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

    /// Returns the processes' hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &name::Host> {
        self.processes.keys()
    }

    /// Queries the status of all processes at once.
    pub async fn reports(&self) -> Vec<Report> {
        let query = |host: &name::Host, address| {
            let host = host.clone();
            async move {
                let response = get(address, "/v1/status").await;
                let status = response.and_then(|value| serde_json::from_value(value).ok());
                Report { host, status }
            }
        };
        join_all(self.processes.iter().map(|(host, address)| query(host, *address))).await
    }

    /// Queries all processes, and returns how far `revision` has been rolled out.
    pub async fn rollout(&self, revision: u64) -> Rollout {
        let reports = self.reports().await;
        let processes = reports.len();
        let is_current = |r: &Report| r.status.as_ref().is_some_and(|s| s.revision >= revision);
        let behind = reports.into_iter().filter(|report| !is_current(report)).collect();
        Rollout { revision, processes, behind }
    }

    /// Waits until `revision` is in force on all processes, but no longer than `limit`.
    ///
    /// Returns the last state that was seen, and calls `progress` whenever the number of processes
    /// that are behind changes.
    pub async fn wait(
        &self,
        revision: u64,
        limit: Duration,
        mut progress: impl FnMut(&Rollout),
    ) -> Rollout {
        let start = Instant::now();
        let mut last_reported = None;
        loop {
            let rollout = self.rollout(revision).await;
            let behind = rollout.behind.len();
            if behind == 0 || start.elapsed() >= limit {
                return rollout;
            }
            if last_reported.replace(behind) != Some(behind) {
                progress(&rollout);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads a JSON resource of one process; `None` if the host is not known or the call fails.
    pub async fn get(&self, host: &name::Host, path: &str) -> Option<Value> {
        get(*self.processes.get(host)?, path).await
    }

    /// Sends a POST request without a body to one process; returns whether it succeeded.
    pub async fn post(&self, host: &name::Host, path: &str) -> bool {
        let Some(address) = self.processes.get(host) else {
            return false;
        };
        let request = client().post(format!("http://{address}{path}")).send();
        request.await.is_ok_and(|response| response.status().is_success())
    }
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(CALL_TIMEOUT).disable_redirects().finish()
}

async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let exchange = async {
        let mut response = client().get(format!("http://{address}{path}")).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
}
