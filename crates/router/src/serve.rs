//! One caller's request.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode, header as http};
use bytes::Bytes;
use oriole_core::route::{Denial, Kind, Route, Workspace};
use oriole_core::time::Instant;
use oriole_core::{forward, name};
use oriole_platform::{header, ingress};

use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::state::Shared;
use crate::{call, generation};

/// When to come back to an entry that does not know the routing table yet.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that the routing table allows.
pub struct Request {
    /// The head, as the caller sent it.
    pub head: Rc<RequestHead>,
    /// The body.
    pub body: Bytes,
    /// What the caller says of it.
    pub terms: ingress::Terms,
    /// The route.
    pub route: Route,
    /// The service that it goes to.
    pub service: name::Service,
    /// The workspace that it counts for.
    pub workspace: Option<Workspace>,
    /// Its rank.
    pub rank: u8,
    /// When it had been read.
    pub arrived: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
}

impl Request {
    /// The caller's identity of the attempt, for logs.
    pub fn id(&self) -> &str {
        self.terms.id.as_deref().unwrap_or_default()
    }
}

/// Why a request is answered by the entry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The process is about to end.
    Stopping,
    /// The routing table is not known yet.
    NoTable,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
    /// Nothing that could run it has room.
    NoRoom,
    /// Its deadline or the route's timeout has passed.
    Timeout,
    /// Attempts failed and no other is allowed.
    Failed,
    /// Another attempt would be allowed by the route, but not by the retry budget.
    NoBudget,
}

impl Reason {
    /// The reason as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::NoTable => "no-table",
            Self::NoRoute => "no-route",
            Self::Unauthorized => "unauthorized",
            Self::NoRoom => "no-room",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::NoBudget => "no-budget",
        }
    }
}

/// Answers one request. An error means that the connection cannot be used any more.
pub async fn handle(
    state: &Shared,
    head: Rc<RequestHead>,
    body: Bytes,
    writer: &mut Writer,
) -> io::Result<()> {
    let arrived = state.now();
    let terms = ingress::terms(&head.headers);
    let request = match authorize(state, head, body, terms, arrived) {
        Ok(request) => request,
        Err((reason, id)) => {
            let (table, _) = state.versions();
            log::info!(id = id.as_str(), reason:?, table; "rejected");
            Metrics::count(&state.metrics.refused, reason.as_str());
            return reject(writer, reason).await;
        }
    };
    state.count_request(&request.service);
    let mut pending = Pending { state, request: &request, is_answered: false };
    let has_model = state.model(&request.service).is_some();
    let result = if has_model && request.route.kind == Kind::Streaming {
        generation::run(state, &request, writer).await
    } else {
        call::run(state, &request, writer).await
    };
    pending.is_answered = result.is_ok();
    result
}

/// A request in progress; one that is dropped without an answer was left by its caller.
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

fn authorize(
    state: &Shared,
    head: Rc<RequestHead>,
    body: Bytes,
    terms: ingress::Terms,
    arrived: Instant,
) -> Result<Request, (Reason, String)> {
    let id = || terms.id.clone().unwrap_or_default();
    let Some(table) = state.inner.borrow().table.clone() else {
        return Err((Reason::NoTable, id()));
    };
    let host = header::text(&head.headers, &http::HOST).unwrap_or_default();
    let authorized = table.authorize(host, head.uri.path(), terms.key.as_deref());
    let (route, workspace) = authorized.map_err(|denial| match denial {
        Denial::NoRoute => (Reason::NoRoute, id()),
        Denial::Unauthorized => (Reason::Unauthorized, id()),
    })?;
    let Some(service) = route.pick_service(rand::random()) else {
        return Err((Reason::NoRoute, id()));
    };
    let time_limit = terms.patience.unwrap_or(route.timeout).min(route.timeout);
    Ok(Request {
        rank: forward::rank(route, workspace),
        service: service.clone(),
        workspace: workspace.cloned(),
        route: route.clone(),
        arrived,
        deadline: arrived + time_limit,
        head,
        body,
        terms,
    })
}

async fn reject(writer: &mut Writer, reason: Reason) -> io::Result<()> {
    let (status, retry_after) = match reason {
        Reason::NoRoute => (StatusCode::NOT_FOUND, None),
        Reason::Unauthorized => (StatusCode::UNAUTHORIZED, None),
        _ => (StatusCode::SERVICE_UNAVAILABLE, Some(NO_TABLE_RETRY_AFTER)),
    };
    writer.respond_empty(status, retry_after).await
}

/// Ends a request that will not be served.
///
/// Only if it has certainly not run may the caller be told so; a started answer is broken off.
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
    log::info!(id = request.id(), route, reason:?, not_run, waited_ms, table, plan; "given up");
    Metrics::count(&state.metrics.refused, reason.as_str());
    if writer.progress() != crate::reply::Progress::NotStarted {
        return Ok(());
    }
    if not_run {
        let retry_after = match reason {
            Reason::Stopping => state.retry_after_restart(),
            _ => {
                let mut inner = state.inner.borrow_mut();
                let refusals = inner.refusals.entry(request.service.clone()).or_default();
                refusals.refuse(state.now(), rand::random())
            }
        };
        return writer.respond_empty(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after)).await;
    }
    let status = match reason {
        Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    writer.respond_empty(status, None).await
}
