//! Serves requests whose response is forwarded as one body, such as those to plain services.
//!
//! The request goes to the endpoint of the service with the least work, and to another one after a
//! failure if the route and the retry budget allow it.

use std::io;
use std::time::Duration;

use actix_http::{Method, ResponseHead, StatusCode};
use bytes::Bytes;
use oriole_adapter::exchange;
use oriole_adapter::memory::Lease;
use oriole_core::fleet::Endpoint;
use oriole_core::forward::budget::Pass;
use oriole_core::forward::event::Splitter;
use oriole_core::forward::in_flight::Work;
use oriole_core::forward::outcome::{Attempts, Failure};
use oriole_core::forward::{choice, queue};
use oriole_core::name;
use oriole_core::route::Kind;
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Additions, Classification};
use tokio::time::{sleep, timeout};

use crate::dispatch::{self, Answer};
use crate::generation::Slot;
use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::response;
use crate::run::{Run, Target};
use crate::serve::{Reason, Request, check_crashes, give_up};
use crate::state::{Shared, pause};

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an attempt is left for another endpoint, if there is one, as a multiple of the
/// route's objective.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.5;

/// Interval at which an attempt that is past that time looks for another endpoint.
const LEAVE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum body size of a response; larger bodies fail the attempt.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Interval at which a waiting request looks for an endpoint with capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A complete response of an endpoint.
struct Response {
    head: ResponseHead,
    body: Bytes,
    lease: Lease,
}

/// How an attempt ended.
enum Outcome {
    /// The endpoint responded.
    Response(Response),
    /// The attempt failed.
    Failed(Failure),
    /// The endpoint took too long, and this other one has been found, with a retry.
    Left(Endpoint, Pass),
}

/// Serves the request; `pass` is that of its first attempt. An error means that the connection to the caller
/// is lost.
pub async fn run(
    state: &Shared,
    request: &Request,
    pass: Pass,
    writer: &mut Writer,
) -> io::Result<()> {
    let left = request.deadline.since(state.now());
    // The last response with a server error, forwarded if no attempt succeeds.
    let mut failed = None;
    let mut attempts = Attempts::default();
    let result =
        timeout(left, try_endpoints(state, request, pass, &mut attempts, &mut failed)).await;
    let waited_ms = state.now().since(request.arrived).as_millis() as u64;
    match (result, failed) {
        (Ok(Ok(response)), _) => {
            log::info!(id = request.id(), waited_ms; "served");
            state.metrics.served.inc();
            Metrics::time(&state.metrics.answer, state.now().since(request.arrived));
            forward(state, response, writer).await
        }
        (_, Some(response)) => {
            let status = response.head.status.as_u16();
            log::info!(id = request.id(), waited_ms, status; "endpoint's failure passed on");
            forward(state, response, writer).await
        }
        (Ok(Err(reason)), None) => {
            give_up(state, request, writer, reason, !attempts.may_have_run).await
        }
        (Err(_), None) => give_up(state, request, writer, Reason::Timeout, false).await,
    }
}

async fn forward(state: &Shared, response: Response, writer: &mut Writer) -> io::Result<()> {
    let Response { head, body, lease } = response;
    response::forward(state, &head, body, lease, writer).await
}

/// Attempts the request at one endpoint after the other until one responds without a server error.
///
/// Stores a response with a server error in `failed`. Returns why no further attempt is made.
async fn try_endpoints(
    state: &Shared,
    request: &Request,
    mut pass: Pass,
    attempts: &mut Attempts,
    failed: &mut Option<Response>,
) -> Result<Response, Reason> {
    let mut tried: Vec<name::Endpoint> = vec![];
    let wait_deadline =
        queue::wait_deadline(request.arrived, request.route.objective, request.deadline);
    let mut found = None;
    loop {
        pause::settle(state).await;
        let target = match found.take() {
            Some(target) => target,
            None => {
                let may_refuse = !attempts.may_have_run;
                wait_for_endpoint(state, request, &tried, may_refuse, wait_deadline).await?
            }
        };
        check_crashes(state, request)?;
        state.record_run(&request.parameters.shared_parts);
        let slot = Slot::reserve(state, &target.id, Work { requests: 1, ..Work::default() });
        let outcome = attempt(state, request, pass, &target, attempts, &tried).await;
        drop(slot);
        let mut left = None;
        let failure = match outcome {
            Outcome::Response(response) if response.head.status.is_server_error() => {
                *failed = Some(response);
                Failure::Unknown
            }
            Outcome::Response(response) => return Ok(response),
            Outcome::Failed(failure) => failure,
            Outcome::Left(other, retry) => {
                left = Some((other, retry));
                Failure::Unknown
            }
        };
        log::info!(
            id = request.id(), fingerprint:% = request.fingerprint, endpoint = target.id.as_str(),
            failure:?;
            "attempt failed"
        );
        Metrics::count(&state.metrics.failures, failure.as_str());
        attempts.record(&target.id, failure);
        if failure == Failure::NoMemory {
            // Another attempt would need that memory, too.
            return Err(Reason::NoMemory);
        }
        record_failure(state, &target.id, failure);
        tried.push(target.id);
        if let Some((other, retry)) = left {
            (found, pass) = (Some(other), retry);
            continue;
        }
        let may_retry = attempts.may_retry(&request.route, failure);
        if !failure.is_not_run() && !state.may_run_again(request.fingerprint) {
            return Err(Reason::Failed);
        }
        if !may_retry || !attempts.may_run_elsewhere(&request.route) {
            return Err(Reason::Failed);
        }
        pass = state.take_retry(&request.service).ok_or(Reason::NoBudget)?;
    }
}

/// Records that an attempt at an endpoint failed, so that others are preferred for a while.
fn record_failure(state: &Shared, endpoint: &name::Endpoint, failure: Failure) {
    let now = state.now();
    let failures = &mut state.inner.borrow_mut().failures;
    match failure {
        Failure::NotSent => failures.add_unreached(endpoint, now),
        _ => failures.add(endpoint, now),
    }
}

/// Waits until `wait_deadline` for an endpoint with capacity.
///
/// Returns the one with the least work, for which a permit is used if it needs one, or why there is none
/// in time. Endpoints in `tried` are chosen only if there is no other. A request that `may_refuse` states has not
/// run gets none if the process exits before its answer is certain to end.
async fn wait_for_endpoint(
    state: &Shared,
    request: &Request,
    tried: &[name::Endpoint],
    may_refuse: bool,
    wait_deadline: Instant,
) -> Result<Endpoint, Reason> {
    loop {
        let left = request.deadline.since(state.now());
        if may_refuse && !state.finishes_before_exit(None, left) {
            return Err(Reason::Stopping);
        }
        if let Some(wait) = state.wait_of_all(&request.service) {
            return Err(Reason::Waiting(wait));
        }
        let closed = state.closed_endpoints();
        if let Some(found) = choose(state, request, tried, &closed) {
            state.take_permit(&found.id);
            return Ok(found);
        }
        let limited = choose(state, request, tried, &[]).filter(|_| !closed.is_empty());
        if let Some(limited) = &limited {
            state.request_permit(&limited.id);
        }
        if state.now() >= wait_deadline {
            return Err(if limited.is_some() { Reason::Limited } else { Reason::NoRoom });
        }
        sleep(CAPACITY_POLL_INTERVAL).await;
    }
}

/// Returns the usable endpoint with the least work that is not in `closed`, one of `tried` only if there
/// is no other.
fn choose(
    state: &Shared,
    request: &Request,
    tried: &[name::Endpoint],
    closed: &[name::Endpoint],
) -> Option<Endpoint> {
    let (now, grace) = (state.now(), state.drain_grace());
    let inner = state.inner.borrow();
    let endpoints = inner.view.of_service(&request.service);
    let open = endpoints.filter(|e| !closed.contains(&e.id));
    let usable = open.filter(|e| inner.view.is_usable(&e.id, grace, now));
    choice::choose(usable, &inner.in_flight, &inner.failures, &state.zone, tried, now).cloned()
}

/// Sends the request to `target` and reads the response.
async fn attempt(
    state: &Shared,
    request: &Request,
    pass: Pass,
    target: &Endpoint,
    attempts: &Attempts,
    tried: &[name::Endpoint],
) -> Outcome {
    let (incarnation, address) = (target.incarnation(), target.address);
    let opening = dispatch::open(state, request, &incarnation, address, CONNECT_TIMEOUT);
    let Some(stream) = opening.await else {
        return Outcome::Failed(Failure::NotSent);
    };
    let additions = Additions {
        target: &target.id,
        workspace: request.workspace.as_ref().map(|w| &w.name),
        time_left: request.deadline.since(state.now()),
        last_event_id: request.parameters.last_event_id.as_deref(),
        hops: &[],
    };
    let head = endpoint::request(&request.head, &additions);
    let run_target = Target { incarnation: incarnation.clone(), address, has_reports: false };
    let run = Run::begin(state, request, run_target);
    let exchange = async {
        let answer = dispatch::send(state, request, pass, incarnation, stream, head).await;
        read_response(state, request, target, answer).await
    };
    let leaving = leave(state, request, target, attempts, tried);
    let result = tokio::select! {
        biased;
        result = exchange => result,
        (other, retry) = leaving => return Outcome::Left(other, retry),
    };
    record_end(run, &result).await;
    result.map_or_else(Outcome::Failed, Outcome::Response)
}

/// Records what the end of an attempt tells of the request and its endpoint.
async fn record_end(run: Run, result: &Result<Response, Failure>) {
    match result {
        Ok(response) if response.head.status.is_server_error() => run.finish(),
        Ok(_) => run.record_sound(),
        Err(Failure::NoMemory) => run.finish(),
        Err(failure) if failure.is_not_run() => run.finish(),
        Err(_) => {
            run.examine(|_| {}).await;
        }
    }
}

/// Waits until the request should leave `target` for another endpoint, and returns that one and a retry.
///
/// Silence alone is no reason to leave: an endpoint that is slow is waited for unless the route, the
/// retry budget and another endpoint allow a further attempt.
async fn leave(
    state: &Shared,
    request: &Request,
    target: &Endpoint,
    attempts: &Attempts,
    tried: &[name::Endpoint],
) -> (Endpoint, Pass) {
    let mut tried = tried.to_vec();
    tried.push(target.id.clone());
    let runs = attempts.ran_at.len() + 1;
    if !request.route.may_repeat() || runs >= request.route.max_attempts as usize {
        return std::future::pending().await;
    }
    sleep(request.route.objective.mul_f64(ATTEMPT_TIMEOUT_FACTOR)).await;
    loop {
        let other = choose(state, request, &tried, &state.closed_endpoints());
        let other = other.filter(|other| !tried.contains(&other.id));
        let pass = other.as_ref().and_then(|_| state.take_retry(&request.service));
        if let (Some(other), Some(pass)) = (other, pass) {
            state.take_permit(&other.id);
            return (other, pass);
        }
        sleep(LEAVE_RECHECK_INTERVAL).await;
    }
}

/// Checks that the response to a request belongs to it, and reads its body.
async fn read_response(
    state: &Shared,
    request: &Request,
    target: &Endpoint,
    answer: Result<Answer, exchange::Error>,
) -> Result<Response, Failure> {
    let Answer { response, class } = answer.map_err(|error| {
        log::info!(
            id = request.id(), endpoint = target.id.as_str(), error:%;
            "no valid response head from the endpoint"
        );
        Failure::Unknown
    })?;
    let exchange::Response { head, body } = response;
    match class {
        Classification::Answer => {}
        Classification::NotExecuted(_) => return Err(Failure::NotExecuted),
        Classification::Foreign => return Err(Failure::Unknown),
    }
    if is_unproven(request, head.status) {
        log::warn!(
            id = request.id(), endpoint = target.id.as_str(), status = head.status.as_u16();
            "the endpoint does not state that the request has not run"
        );
        return Err(Failure::Unknown);
    }
    let read = response::read(state, &head, body, MAX_RESPONSE_BYTES).await;
    let (body, lease) = read.map_err(|error| {
        log::info!(
            id = request.id(), endpoint = target.id.as_str(), error:%;
            "reading the body of a response failed"
        );
        error.of_attempt()
    })?;
    if is_cut_off(request, &head, &body) {
        return Err(Failure::Unknown);
    }
    Ok(Response { head, body, lease })
}

/// Returns whether an answer with this status would tell the caller of a request that may not be repeated
/// that it has not run, which is not certain.
pub(crate) fn is_unproven(request: &Request, status: StatusCode) -> bool {
    !request.route.may_repeat() && endpoint::is_promise(status)
}

/// Returns whether the body is a stream that was broken off, although its framing is complete.
fn is_cut_off(request: &Request, head: &ResponseHead, body: &[u8]) -> bool {
    let is_stream = request.route.kind == Kind::Streaming && request.head.method != Method::HEAD;
    if !is_stream || head.status != StatusCode::OK {
        return false;
    }
    let mut splitter = Splitter::after(request.parameters.last_event_id.clone());
    splitter.push(body).is_err() || splitter.is_cut_off()
}
