//! Serves requests whose response is forwarded as one body, such as those to plain services.
//!
//! The request goes to the endpoint of the service with the least work, and to another one after a
//! failure if the route and the retry budget allow it.

use std::io;
use std::time::Duration;

use actix_http::{Method, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use oriole_adapter::exchange;
use oriole_core::fleet::{Endpoint, Incarnation};
use oriole_core::forward::event::Splitter;
use oriole_core::forward::in_flight::Work;
use oriole_core::forward::outcome::{Attempts, Failure};
use oriole_core::forward::{choice, queue};
use oriole_core::name;
use oriole_core::route::Kind;
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Additions, Classification};
use tokio::time::{sleep, timeout};

use crate::generation::Slot;
use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::serve::{Reason, Request, give_up};
use crate::state::Shared;
use crate::suspect;

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of an attempt as a multiple of the route's objective, if another attempt may follow.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.5;

/// Maximum body size of a response; larger bodies fail the attempt.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Interval at which a waiting request looks for an endpoint with capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A complete response of an endpoint.
struct Response {
    head: ResponseHead,
    body: Bytes,
}

/// Serves the request. An error means that the connection to the caller is lost.
pub async fn run(state: &Shared, request: &Request, writer: &mut Writer) -> io::Result<()> {
    let left = request.deadline.since(state.now());
    if !state.finishes_before_exit(left) {
        return give_up(state, request, writer, Reason::Stopping, true).await;
    }
    // The last response with a server error, forwarded if no attempt succeeds.
    let mut failed = None;
    let mut attempts = Attempts::default();
    let result = timeout(left, try_endpoints(state, request, &mut attempts, &mut failed)).await;
    let waited_ms = state.now().since(request.arrived).as_millis() as u64;
    match (result, failed) {
        (Ok(Ok(response)), _) => {
            log::info!(id = request.id(), waited_ms; "served");
            state.metrics.served.inc();
            Metrics::time(&state.metrics.answer, state.now().since(request.arrived));
            forward(response, writer).await
        }
        (_, Some(response)) => {
            let status = response.head.status.as_u16();
            log::info!(id = request.id(), waited_ms, status; "endpoint's failure passed on");
            forward(response, writer).await
        }
        (Ok(Err(reason)), None) => {
            give_up(state, request, writer, reason, !attempts.may_have_run).await
        }
        (Err(_), None) => give_up(state, request, writer, Reason::Timeout, false).await,
    }
}

async fn forward(response: Response, writer: &mut Writer) -> io::Result<()> {
    let headers = endpoint::end_to_end(response.head.headers());
    writer.respond(response.head.status, headers, response.body).await
}

/// Attempts the request at one endpoint after the other until one responds without a server error.
///
/// Stores a response with a server error in `failed`. Returns why no further attempt is made.
async fn try_endpoints(
    state: &Shared,
    request: &Request,
    attempts: &mut Attempts,
    failed: &mut Option<Response>,
) -> Result<Response, Reason> {
    let mut tried: Vec<name::Endpoint> = vec![];
    let wait_deadline =
        queue::wait_deadline(request.arrived, request.route.objective, request.deadline);
    loop {
        let Some(target) = wait_for_endpoint(state, request, &tried, wait_deadline).await else {
            return Err(Reason::NoRoom);
        };
        let slot = Slot::reserve(state, &target.id, Work { requests: 1, ..Work::default() });
        let result = attempt(state, request, &target, attempts).await;
        drop(slot);
        let failure = match result {
            Ok(response) if response.head.status.is_server_error() => {
                *failed = Some(response);
                Failure::Unknown
            }
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        log::info!(id = request.id(), endpoint = target.id.as_str(), failure:?; "attempt failed");
        Metrics::count(&state.metrics.failures, failure.as_str());
        state.inner.borrow_mut().failures.add(&target.id, state.clock.now());
        attempts.record(&target.id, failure);
        tried.push(target.id);
        let may_retry = attempts.may_retry(&request.route, failure);
        if !may_retry || !attempts.may_run_elsewhere(&request.route) {
            return Err(Reason::Failed);
        }
        if !state.take_retry(&request.service) {
            return Err(Reason::NoBudget);
        }
    }
}

/// Waits until `wait_deadline` for an endpoint with capacity.
///
/// Returns the one with the least work, or `None` if there is none in time. Endpoints in `tried`
/// are chosen only if there is no other.
async fn wait_for_endpoint(
    state: &Shared,
    request: &Request,
    tried: &[name::Endpoint],
    wait_deadline: Instant,
) -> Option<Endpoint> {
    loop {
        let now = state.now();
        let found = {
            let inner = state.inner.borrow();
            let grace = state.drain_grace();
            let usable = inner
                .view
                .of_service(&request.service)
                .filter(|e| inner.view.is_usable(&e.id, grace, now));
            choice::choose(usable, &inner.in_flight, &inner.failures, &state.zone, tried, now)
                .cloned()
        };
        if found.is_some() || now >= wait_deadline {
            return found;
        }
        sleep(CAPACITY_POLL_INTERVAL).await;
    }
}

/// Sends the request to `target` and reads the response.
async fn attempt(
    state: &Shared,
    request: &Request,
    target: &Endpoint,
    attempts: &Attempts,
) -> Result<Response, Failure> {
    let stream = match exchange::connect(target.address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(
                id = request.id(), endpoint = target.id.as_str(), error:%;
                "connection to endpoint failed, request not sent"
            );
            let incarnation = Incarnation { endpoint: target.id.clone(), born: target.born };
            suspect::record_no_answer(state, &incarnation, &error);
            return Err(Failure::NotSent);
        }
    };
    let additions = Additions {
        target: &target.id,
        workspace: request.workspace.as_ref().map(|w| &w.name),
        time_left: request.deadline.since(state.now()),
        last_event_id: request.parameters.last_event_id.as_deref(),
        hops: &[],
    };
    let head = endpoint::request(&request.head, &additions);
    let exchange = async {
        let answer = exchange::send(stream, head, request.body.clone()).await;
        read_response(request, target, answer).await
    };
    let may_retry = request.route.may_repeat()
        && attempts.ran_at.len() + 1 < request.route.max_attempts as usize;
    if !may_retry {
        return exchange.await;
    }
    let limit = request.route.objective.mul_f64(ATTEMPT_TIMEOUT_FACTOR);
    timeout(limit, exchange).await.unwrap_or(Err(Failure::Unknown))
}

/// Checks that the response belongs to the request, and reads its body.
async fn read_response(
    request: &Request,
    target: &Endpoint,
    answer: Result<exchange::Response, exchange::Error>,
) -> Result<Response, Failure> {
    let exchange::Response { head, mut body } = answer.map_err(|error| {
        log::info!(
            id = request.id(), endpoint = target.id.as_str(), error:%;
            "no valid response head from the endpoint"
        );
        Failure::Unknown
    })?;
    match endpoint::classify(&head, request.parameters.request_id.as_deref()) {
        Classification::Answer => {}
        Classification::NotExecuted(_) => return Err(Failure::NotExecuted),
        Classification::Foreign => return Err(Failure::Unknown),
    }
    let mut content = BytesMut::new();
    loop {
        match body.next().await {
            Ok(Some(bytes)) if content.len() + bytes.len() <= MAX_RESPONSE_BYTES => {
                content.extend_from_slice(&bytes);
            }
            Ok(None) if is_cut_off(request, &head, &content) => return Err(Failure::Unknown),
            Ok(None) => return Ok(Response { head, body: content.freeze() }),
            Ok(Some(_)) | Err(_) => return Err(Failure::Unknown),
        }
    }
}

/// Returns whether the body is a stream that was broken off, although its framing is complete.
fn is_cut_off(request: &Request, head: &ResponseHead, body: &[u8]) -> bool {
    let is_stream = request.route.kind == Kind::Streaming && request.head.method != Method::HEAD;
    if !is_stream || head.status != StatusCode::OK {
        return false;
    }
    let mut splitter = Splitter::after(request.parameters.last_event_id.clone());
    splitter.push(body).is_none() || splitter.is_cut_off()
}
