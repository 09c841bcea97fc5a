//! Answers the HTTP requests of operators: readiness, status, counters and explanations.

use std::collections::BTreeMap;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use oriole_core::request::{Id, Refusal};
use oriole_core::revision::Follower;
use oriole_core::revision::follower::Role;
use oriole_core::status::{self, Readiness};
use oriole_core::{entry, name};
use oriole_macros::data;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::http::{Problem, Shared, json, text};
use crate::process::Command;

/// Prefix of the paths of explanations.
pub(crate) const EXPLAIN_PREFIX: &str = "/v1/explain/";

/// The status of an entry.
#[data]
pub struct Status {
    /// Status that all processes report. Revision 0 means a configuration from a folder, or none.
    #[serde(flatten)]
    pub process: status::Status,
    /// Work in progress, unreachable hosts and degraded links.
    #[serde(flatten)]
    pub machine: entry::Status,
}

impl Status {
    /// Combines the status of the entry on `host`.
    pub(crate) fn new(
        host: name::Host,
        ready: Readiness,
        follower: &Follower,
        machine: entry::Status,
    ) -> Self {
        Self { process: status::Status::new(host, Role::Entry, ready, follower), machine }
    }
}

/// Answers 200 if the entry takes new requests, else 503.
pub(crate) async fn readiness(shared: &Shared) -> Result<Response<BoxBody>, Problem> {
    let ready = query_process(shared, Command::IsReady).await.unwrap_or(false);
    Ok(match ready {
        true => text(StatusCode::OK, "ready\n"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    })
}

/// Answers with [`Status`].
pub(crate) async fn status(shared: &Shared) -> Result<Response<BoxBody>, Problem> {
    let status = query_process(shared, Command::Status).await?;
    Ok(json(None, &serde_json::to_value(status).unwrap_or_default()))
}

/// Answers with all counters: for each name its total and its value for each workspace.
pub(crate) async fn counters(shared: &Shared) -> Result<Response<BoxBody>, Problem> {
    let mut counters: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
    for count in query_process(shared, Command::Counters).await? {
        let by_workspace = counters.entry(count.name).or_default();
        *by_workspace.entry("total".to_owned()).or_default() += count.value;
        if let Some(workspace) = count.workspace {
            by_workspace.insert(format!("workspace/{workspace}"), count.value);
        }
    }
    Ok(json(None, &serde_json::to_value(counters).unwrap_or_default()))
}

/// Answers with the record of a request. If `workspace` is given, records of other workspaces are
/// reported as not found.
pub(crate) async fn explain(
    path: &str,
    workspace: Option<name::Workspace>,
    shared: &Shared,
) -> Result<Response<BoxBody>, Problem> {
    let text = path.strip_prefix(EXPLAIN_PREFIX).unwrap_or_default();
    let id: Id = text.parse().map_err(|e| {
        Problem::new(Refusal::Malformed, format!("reading the request id {text:?}: {e}"))
    })?;
    let record = query_process(shared, |reply| Command::Explain(id, reply)).await?;
    let visible = |of: &name::Workspace| workspace.as_ref().is_none_or(|own| own == of);
    match record.filter(|record| visible(&record.workspace)) {
        Some(record) => {
            let value: Value = serde_json::to_value(record).unwrap_or_default();
            Ok(json(Some(text), &value))
        }
        None => {
            let detail = format!(
                "no record of {text}; records are kept for a while, by the entry \
                that the id names"
            );
            Err(Problem::new(Refusal::NotFound, detail))
        }
    }
}

/// Sends a command to the process and waits for the reply.
async fn query_process<T>(
    shared: &Shared,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, Problem> {
    let (reply, answer) = oneshot::channel();
    shared.send(command(reply)).await?;
    answer.await.map_err(|_| Problem::stopping())
}
