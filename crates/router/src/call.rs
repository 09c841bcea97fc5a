//! A request to a plain service, or any request that is answered in one piece.

use std::io;
use std::time::Duration;

use actix_http::ResponseHead;
use bytes::{Bytes, BytesMut};
use oriole_adapter::exchange::{self, Response};
use oriole_core::fleet::{Endpoint, Incarnation};
use oriole_core::forward::in_flight::Work;
use oriole_core::forward::outcome::{Failure, Tries};
use oriole_core::forward::{choice, queue};
use oriole_core::name;
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Additions, Classification};
use tokio::time::{sleep, timeout};

use crate::generation::Slot;
use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::serve::{Reason, Request, give_up};
use crate::state::Shared;
use crate::suspect;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Part of the objective after which a request that may run again is sent elsewhere.
const PATIENCE: f64 = 1.5;

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Pause between looks for an endpoint with room.
const ROOM_PAUSE: Duration = Duration::from_millis(20);

/// A whole answer.
struct Whole {
    head: ResponseHead,
    body: Bytes,
}

/// Serves the request.
pub async fn run(state: &Shared, request: &Request, writer: &mut Writer) -> io::Result<()> {
    let left = request.deadline.since(state.now());
    if !state.ends_after(left) {
        return give_up(state, request, writer, Reason::Stopping, true).await;
    }
    // The answer of an endpoint that failed, in case no other does better.
    let mut failed = None;
    let mut tries = Tries::default();
    let end = timeout(left, attempts(state, request, &mut tries, &mut failed)).await;
    let waited_ms = state.now().since(request.arrived).as_millis() as u64;
    match (end, failed) {
        (Ok(Ok(whole)), _) => {
            log::info!(id = request.id(), waited_ms; "served");
            state.metrics.served.inc();
            Metrics::time(&state.metrics.answer, state.now().since(request.arrived));
            pass_on(whole, writer).await
        }
        (_, Some(whole)) => {
            let status = whole.head.status.as_u16();
            log::info!(id = request.id(), waited_ms, status; "endpoint's failure passed on");
            pass_on(whole, writer).await
        }
        (Ok(Err(reason)), None) => {
            give_up(state, request, writer, reason, !tries.may_have_run).await
        }
        (Err(_), None) => give_up(state, request, writer, Reason::Timeout, false).await,
    }
}

async fn pass_on(whole: Whole, writer: &mut Writer) -> io::Result<()> {
    let headers = endpoint::end_to_end(whole.head.headers());
    writer.whole(whole.head.status, headers, whole.body).await
}

async fn attempts(
    state: &Shared,
    request: &Request,
    tries: &mut Tries,
    failed: &mut Option<Whole>,
) -> Result<Whole, Reason> {
    let mut tried: Vec<name::Endpoint> = vec![];
    let until = queue::wait_deadline(request.arrived, request.route.objective, request.deadline);
    loop {
        let Some(target) = find(state, request, &tried, until).await else {
            return Err(Reason::NoRoom);
        };
        let slot = Slot::take(state, &target.id, Work { requests: 1, ..Work::default() });
        let result = attempt(state, request, &target, tries).await;
        drop(slot);
        let failure = match result {
            Ok(whole) if whole.head.status.is_server_error() => {
                *failed = Some(whole);
                Failure::Unknown
            }
            Ok(whole) => return Ok(whole),
            Err(failure) => failure,
        };
        log::info!(id = request.id(), endpoint = target.id.as_str(), failure:?; "attempt failed");
        Metrics::count(&state.metrics.failures, failure.as_str());
        state.inner.borrow_mut().failures.add(&target.id, state.clock.now());
        tries.record(&target.id, failure);
        tried.push(target.id);
        let again = tries.may_retry(&request.route, failure);
        if !again || !tries.may_run_elsewhere(&request.route) {
            return Err(Reason::Failed);
        }
        if !state.take_retry(&request.service) {
            return Err(Reason::NoBudget);
        }
    }
}

/// The endpoint with the least work, once one has room.
async fn find(
    state: &Shared,
    request: &Request,
    tried: &[name::Endpoint],
    until: Instant,
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
        if found.is_some() || now >= until {
            return found;
        }
        sleep(ROOM_PAUSE).await;
    }
}

async fn attempt(
    state: &Shared,
    request: &Request,
    target: &Endpoint,
    tries: &Tries,
) -> Result<Whole, Failure> {
    let stream = match exchange::connect(target.address, CONNECT_LIMIT).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(id = request.id(), endpoint = target.id.as_str(), error:%; "not sent");
            let seen = Incarnation { endpoint: target.id.clone(), born: target.born };
            suspect::missed(state, &seen, &error);
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
        finish(request, target, answer).await
    };
    let again =
        request.route.may_repeat() && tries.ran_at.len() + 1 < request.route.max_attempts as usize;
    if !again {
        return exchange.await;
    }
    let limit = request.route.objective.mul_f64(PATIENCE);
    timeout(limit, exchange).await.unwrap_or(Err(Failure::Unknown))
}

/// Judges an answer and reads its body.
async fn finish(
    request: &Request,
    target: &Endpoint,
    answer: Result<Response, exchange::Error>,
) -> Result<Whole, Failure> {
    let Response { head, mut body } = answer.map_err(|error| {
        log::info!(id = request.id(), endpoint = target.id.as_str(), error:%; "no answer");
        Failure::Unknown
    })?;
    match endpoint::classify(&head, request.parameters.request_id.as_deref()) {
        Classification::Answer => {}
        Classification::NotExecuted(_) => return Err(Failure::NotExecuted),
        Classification::Foreign => return Err(Failure::Unknown),
    }
    let mut whole = BytesMut::new();
    loop {
        match body.next().await {
            Ok(Some(bytes)) if whole.len() + bytes.len() <= MAX_ANSWER_BYTES => {
                whole.extend_from_slice(&bytes);
            }
            Ok(None) => return Ok(Whole { head, body: whole.freeze() }),
            Ok(Some(_)) | Err(_) => return Err(Failure::Unknown),
        }
    }
}
