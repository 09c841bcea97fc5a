//! Handles one request of a caller: matches it to a route, checks its key and serves it.
//!
//! Streaming requests to a service with a model run over chains ([`generation`]); all others go to
//! single endpoints ([`call`]).

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode, header as http};
use bytes::Bytes;
use oriole_adapter::memory::Lease;
use oriole_core::forward::Fingerprint;
use oriole_core::forward::hold::Gate;
use oriole_core::route::{Denial, Kind, Route, Workspace};
use oriole_core::time::Instant;
use oriole_core::{forward, name};
use oriole_platform::{header, ingress};
use tokio::time::timeout;

use crate::hold::Admission;
use crate::metrics::Metrics;
use crate::reply::{Progress, Writer};
use crate::state::{Shared, pause};
use crate::{call, generation, hold, reader};

/// `retry-after` of an entry that has no routing table yet.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after the deadline of a request within which its caller must have read its answer.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// A request that the routing table allows, with its route, workspace and deadline.
pub struct Request {
    /// The head, as received from the caller.
    pub head: Rc<RequestHead>,
    /// The body.
    pub body: Bytes,
    /// The memory of head and body, held until the last attempt has ended.
    pub lease: Rc<Lease>,
    /// Values of the platform's own headers, as received from the caller.
    pub parameters: ingress::Parameters,
    /// What it asks for; equal for its repeats.
    pub fingerprint: Fingerprint,
    /// Whether it runs as a trial, although endpoints have crashed under it.
    pub is_trial: bool,
    /// The route that matches the request.
    pub route: Route,
    /// The service that the route selected.
    pub service: name::Service,
    /// The workspace of its key; `None` on a public route without a key.
    pub workspace: Option<Workspace>,
    /// Priority in the queue; lower values go first.
    pub priority: u8,
    /// When the entry had read it completely.
    pub arrived: Instant,
    /// When its response must be complete.
    pub deadline: Instant,
}

impl Request {
    /// Returns the id that the caller gave the request, for logs; empty if there is none.
    pub fn id(&self) -> &str {
        self.parameters.request_id.as_deref().unwrap_or_default()
    }
}

/// Why the entry answers a request itself instead of forwarding a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The process is about to exit.
    Stopping,
    /// The routing table is not known yet.
    NoTable,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
    /// No chain or endpoint that could run it has capacity.
    NoRoom,
    /// A request that goes first has taken its place in the queue.
    Displaced,
    /// Only endpoints had capacity whose own limit on requests is reached.
    Limited,
    /// Its deadline or the route's timeout has passed.
    Timeout,
    /// Attempts failed and the route allows no further one.
    Failed,
    /// The route allows another attempt, but the retry budget is used up.
    NoBudget,
    /// There is no memory for its answer.
    NoMemory,
    /// Parts of its prompt crash endpoints.
    Quarantined,
    /// All endpoints that could run it are in back-off. It may come again after the given time.
    Waiting(Duration),
    /// Endpoints crash under it. It may come again after the given time.
    Held(Duration),
}

impl Reason {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::NoTable => "no-table",
            Self::NoRoute => "no-route",
            Self::Unauthorized => "unauthorized",
            Self::NoRoom => "no-room",
            Self::Displaced => "displaced",
            Self::Limited => "limited",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::NoBudget => "no-budget",
            Self::NoMemory => "no-memory",
            Self::Quarantined => "quarantined",
            Self::Waiting(_) => "waiting",
            Self::Held(_) => "held",
        }
    }
}

/// Responds to one request. An error means that the connection to the caller is lost.
pub async fn handle(
    state: &Shared,
    request: reader::Request,
    writer: &mut Writer,
) -> io::Result<()> {
    let arrived = state.now();
    pause::settle(state).await;
    let parameters = ingress::parameters(&request.head.headers);
    let mut request = match authorize(state, request, parameters, arrived) {
        Ok(request) => request,
        Err((reason, id)) => {
            let (table, _) = state.versions();
            let age = state.inner.borrow().freshness.age(state.now());
            let table_age_ms = age.map(|age| age.as_millis() as u64);
            log::info!(id = id.as_str(), reason:?, table, table_age_ms:?; "rejected");
            Metrics::count(&state.metrics.refused, reason.as_str());
            return reject(writer, reason).await;
        }
    };
    let pass = state.count_request(&request.service);
    match hold::admit(state, request.fingerprint).await {
        Admission::Run => {}
        Admission::Trial => request.is_trial = true,
        Admission::Held(wait) => {
            return give_up(state, &request, writer, Reason::Held(wait), true).await;
        }
    }
    let mut pending = Pending { state, request: &request, is_answered: false };
    let has_model = state.model(&request.service).is_some();
    let served = async {
        if has_model && request.route.kind == Kind::Streaming {
            generation::run(state, &request, pass, writer).await
        } else {
            call::run(state, &request, pass, writer).await
        }
    };
    let limit = request.deadline.since(state.now()) + WRITE_TIME;
    let result = timeout(limit, served).await.unwrap_or_else(|_| {
        log::info!(id = request.id(); "caller does not read its answer");
        Err(io::ErrorKind::TimedOut.into())
    });
    pending.is_answered = result.is_ok();
    result
}

/// A request in progress. If it is dropped before it is answered, it logs and counts that the
/// caller disconnected.
struct Pending<'a> {
    state: &'a Shared,
    request: &'a Request,
    is_answered: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let waited_ms = self.state.now().since(self.request.arrived).as_millis() as u64;
        let (table, plan) = self.state.versions();
        let id = self.request.id();
        log::info!(id, waited_ms, table, plan; "caller left");
        Metrics::count(&self.state.metrics.refused, "caller-left");
    }
}

/// Returns why an attempt may not begin, if it may not: endpoints may have crashed under the request, or
/// under others with parts of its prompt, since it came.
pub fn check_crashes(state: &Shared, request: &Request) -> Result<(), Reason> {
    if state.quarantined_until(&request.parameters.shared_parts).is_some() {
        return Err(Reason::Quarantined);
    }
    match state.gate(request.fingerprint) {
        Gate::Closed(wait) if !request.is_trial => Err(Reason::Held(wait)),
        Gate::Trial if !request.is_trial => Err(Reason::Held(Duration::ZERO)),
        _ => Ok(()),
    }
}

/// Matches a request to a route and checks its key.
///
/// Returns the reason and the id of the request if it is rejected.
fn authorize(
    state: &Shared,
    request: reader::Request,
    parameters: ingress::Parameters,
    arrived: Instant,
) -> Result<Request, (Reason, String)> {
    let reader::Request { head, body, lease } = request;
    let id = || parameters.request_id.clone().unwrap_or_default();
    let Some(table) = state.inner.borrow().table.clone() else {
        return Err((Reason::NoTable, id()));
    };
    let host = header::text(&head.headers, &http::HOST).unwrap_or_default();
    let authorized = table.authorize(host, head.uri.path(), parameters.api_key.as_deref());
    let (route, workspace) = authorized.map_err(|denial| match denial {
        Denial::NoRoute => (Reason::NoRoute, id()),
        Denial::Unauthorized => (Reason::Unauthorized, id()),
    })?;
    let Some(service) = route.pick_service(rand::random()) else {
        return Err((Reason::NoRoute, id()));
    };
    let time_limit = parameters.timeout.unwrap_or(route.timeout).min(route.timeout);
    let fingerprint = ingress::fingerprint(&head, &body, workspace.map(|w| &w.name));
    Ok(Request {
        fingerprint,
        is_trial: false,
        priority: forward::priority(route, workspace),
        service: service.clone(),
        workspace: workspace.cloned(),
        route: route.clone(),
        arrived,
        deadline: arrived + time_limit,
        head: Rc::new(head),
        body,
        lease: Rc::new(lease),
        parameters,
    })
}

/// Responds to a request that the routing table does not allow.
async fn reject(writer: &mut Writer, reason: Reason) -> io::Result<()> {
    let (status, retry_after) = match reason {
        Reason::NoRoute => (StatusCode::NOT_FOUND, None),
        Reason::Unauthorized => (StatusCode::UNAUTHORIZED, None),
        _ => (StatusCode::SERVICE_UNAVAILABLE, Some(NO_TABLE_RETRY_AFTER)),
    };
    writer.respond_empty(status, retry_after).await
}

/// Ends a request that cannot be served.
///
/// A caller that gets 503 may safely send the request again, so this status is used only if
/// the request certainly did not run, as `not_run` states. Otherwise the status is 504 for a
/// timeout and 502 for other reasons. If a part of the response has been sent, nothing is written
/// and the connection ends without the end of the body.
pub async fn give_up(
    state: &Shared,
    request: &Request,
    writer: &mut Writer,
    reason: Reason,
    not_run: bool,
) -> io::Result<()> {
    let waited_ms = state.now().since(request.arrived).as_millis() as u64;
    let route = request.route.name.as_str();
    let (table, plan) = state.versions();
    let cut = writer.progress() != Progress::NotStarted;
    log::info!(
        id = request.id(), fingerprint:% = request.fingerprint, route, reason:?, not_run, cut, waited_ms,
        table, plan;
        "given up"
    );
    Metrics::count(&state.metrics.refused, reason.as_str());
    if cut {
        Metrics::count(&state.metrics.cut, reason.as_str());
        return Ok(());
    }
    if not_run {
        let retry_after = match reason {
            Reason::Stopping => state.retry_after_stop(),
            Reason::Quarantined => {
                let until = state.quarantined_until(&request.parameters.shared_parts);
                until.unwrap_or_default().since(state.now())
            }
            Reason::Held(wait) | Reason::Waiting(wait) => wait,
            _ => state.retry_after_refusal(request),
        };
        return writer.respond_empty(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after)).await;
    }
    let status = match reason {
        Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    writer.respond_empty(status, None).await
}
