//! One attempt of a request: sends it to the first endpoint of a chain and forwards the events.
//!
//! During the attempt, stages of the chain may be replaced; see [`super::repath`].

use std::cell::Cell;
use std::io;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use oriole_adapter::exchange::{Body, Response};
use oriole_core::forward::budget::Pass;
use oriole_core::forward::chain::Chain;
use oriole_core::forward::event::{self, Batch, Splitter};
use oriole_core::forward::outcome::{Attempts, Failure};
use oriole_core::forward::quarantine::Begin;
use oriole_platform::endpoint::{self, Additions, Classification};
use tokio::time::sleep;

use crate::call::is_unproven;
use crate::dispatch::{self, Answer};
use crate::generation::stream::Stream;
use crate::generation::watch::Silence;
use crate::generation::{Slot, Timing};
use crate::metrics::Metrics;
use crate::reply::{Progress, Writer};
use crate::response;
use crate::run::{Run, Target};
use crate::serve::Request;
use crate::state::Shared;
use crate::suspect;

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a first event after which the first stage is asked for a report.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(700);

/// Time without a further event after which the first stage is asked for a report.
pub(super) const EVENT_SILENCE: Duration = Duration::from_millis(500);

/// Maximum body size of a response that is not a stream; larger bodies fail the attempt.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// How an attempt ended.
pub enum Outcome {
    /// The complete response has been forwarded.
    Complete,
    /// The attempt failed.
    Failed(Failure),
    /// The chain broke or stalled, and capacity on another chain has been reserved.
    Rerouted(Box<Detour>),
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// Writing to the caller failed.
    CallerLost(io::Error),
}

/// Capacity on another chain, reserved for a request whose chain is broken or stalls.
pub struct Detour {
    /// The other chain.
    pub chain: Chain,
    /// Capacity on it.
    pub slot: Slot,
    /// The retry that it takes.
    pub pass: Pass,
    /// The response of the chain that is left, if its head has arrived.
    pub left: Option<Response>,
}

/// Where an attempt gets its response from.
pub enum Source {
    /// The request is sent to the chain.
    Send(Pass),
    /// The response of an earlier attempt goes on.
    Continue(Box<Continued>),
}

/// A response whose events are still to be forwarded.
pub struct Continued {
    /// The response, without what has been forwarded.
    pub response: Response,
    /// Events that have been read of it and not been forwarded, or why what was read is none.
    pub unread: Option<Result<Batch, event::Error>>,
}

/// Context of an attempt.
#[derive(Clone, Copy)]
pub struct Attempt<'a> {
    /// State of the process.
    pub state: &'a Shared,
    /// The request.
    pub request: &'a Request,
    /// Earlier attempts of the request.
    pub attempts: &'a Attempts,
    /// Capacity reserved on the chain.
    pub slot: &'a Slot,
    /// Arrival times of the events over all attempts.
    pub timing: &'a Timing,
    /// The beginning of the answer of this attempt, once it has had an event.
    pub begin: &'a Cell<Option<Begin>>,
    /// The run of this attempt, until it is known whether it may crash its endpoint.
    pub run: &'a Cell<Option<Run>>,
    /// Whether the request may leave the chain of this attempt for another one.
    pub may_leave: bool,
}

/// Sends the request to the chain, or goes on with the response of an earlier attempt, and forwards the
/// events to the caller.
///
/// `chain` is updated when the request moves to other stages. `splitter` holds the id of the last
/// event that was forwarded, after which the endpoint resumes.
pub async fn run(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    source: Source,
    splitter: &mut Splitter,
    writer: &mut Writer,
) -> Outcome {
    let exchange = async {
        let pass = match source {
            Source::Send(pass) => pass,
            Source::Continue(continued) => {
                return forward_events(attempt, chain, *continued, splitter, writer).await;
            }
        };
        match send(attempt, chain, pass, splitter).await {
            Ok(answer) => forward_stream(attempt, chain, answer, splitter, writer).await,
            Err(outcome) => outcome,
        }
    };
    let left = attempt.request.deadline.since(attempt.state.now());
    tokio::select! {
        outcome = exchange => outcome,
        () = sleep(left) => Outcome::DeadlineExceeded,
    }
}

/// Sends the request and waits for the head of the response.
async fn send(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    pass: Pass,
    splitter: &Splitter,
) -> Result<Response, Outcome> {
    let Attempt { state, request, .. } = attempt;
    let hop = chain.hops[0].clone();
    let (incarnation, address) = (hop.incarnation(), hop.address);
    let opening = dispatch::open(state, request, &incarnation, address, CONNECT_TIMEOUT);
    let Some(stream) = opening.await else {
        return Err(Outcome::Failed(Failure::NotSent));
    };
    let additions = Additions {
        target: &hop.endpoint,
        workspace: request.workspace.as_ref().map(|w| &w.name),
        time_left: request.deadline.since(state.now()),
        last_event_id: splitter.last_id(),
        hops: &chain.hops,
    };
    let head = endpoint::request(&request.head, &additions);
    let target = Target { incarnation: incarnation.clone(), address, has_reports: true };
    attempt.run.set(Some(Run::begin(state, request, target)));
    let sending = dispatch::send(state, request, pass, incarnation, stream, head);
    let mut silence = Silence::begin(FIRST_EVENT_SILENCE, state.now());
    let Answer { response, class } = match attempt.watch(chain, &mut silence, sending).await? {
        Ok(answer) => answer,
        Err(e) => {
            log::info!(id = request.id(), error:% = e; "no valid response head from the endpoint");
            if e.is_invalid() {
                state.record_no_answer(chain.head());
            }
            suspect::probe_first_stage(state, chain);
            return Err(Outcome::Failed(Failure::Unknown));
        }
    };
    match class {
        Classification::Answer => Ok(response),
        Classification::NotExecuted(at_fault) => {
            let status = response.head.status.as_u16();
            log::info!(
                id = request.id(), status, at_fault:?;
                "endpoint did not execute the request"
            );
            let wait = endpoint::wait(&response.head);
            suspect::check_refusal(state, chain, at_fault, wait);
            Err(Outcome::Failed(Failure::NotExecuted))
        }
        Classification::Foreign => {
            log::warn!(
                id = request.id(), endpoint = hop.endpoint.as_str();
                "response is for another request, or lacks its id or signature"
            );
            state.record_no_answer(&hop.endpoint);
            Err(Outcome::Failed(Failure::Unknown))
        }
    }
}

/// Forwards a response to the caller.
///
/// A response without status 200, or to `HEAD`, is not a stream and is forwarded as one body, unless
/// it is a server error and the request may run again.
async fn forward_stream(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    answer: Response,
    splitter: &mut Splitter,
    writer: &mut Writer,
) -> Outcome {
    let Attempt { request, .. } = attempt;
    let status = answer.head.status;
    if status != StatusCode::OK || request.head.method == Method::HEAD {
        if status.is_server_error() && request.route.may_repeat() || is_unproven(request, status) {
            return Outcome::Failed(Failure::Unknown);
        }
        return forward_unstreamed(attempt.state, &answer.head, answer.body, writer).await;
    }
    // After a stream that broke off, a mere close before any event may be another break.
    let is_first = writer.progress() == Progress::NotStarted;
    if !is_first && !writer.has_type(answer.head.headers()) {
        log::warn!(
            id = request.id(), endpoint = chain.head().as_str();
            "response of another type where a stream is to go on"
        );
        return Outcome::Failed(Failure::Unknown);
    }
    splitter.resume(!is_first, answer.body.is_unframed());
    let continued = Continued { response: answer, unread: None };
    forward_events(attempt, chain, continued, splitter, writer).await
}

/// Forwards complete events to the caller until the stream ends.
async fn forward_events(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    continued: Continued,
    splitter: &mut Splitter,
    writer: &mut Writer,
) -> Outcome {
    let Attempt { state, request, .. } = attempt;
    let Continued { response: Response { head, mut body }, mut unread } = continued;
    let mut is_first = writer.progress() == Progress::NotStarted;
    let mut silence = Silence::begin(FIRST_EVENT_SILENCE, state.now());
    let mut stream = Stream::new(attempt, chain);
    loop {
        let events = match unread.take() {
            Some(events) => events,
            None => match attempt.watch(chain, &mut silence, body.next()).await {
                Err(Outcome::Rerouted(detour)) => {
                    let left = Some(Response { head, body });
                    return Outcome::Rerouted(Box::new(Detour { left, ..*detour }));
                }
                Err(outcome) => return outcome,
                Ok(Err(e)) => {
                    let id = request.id();
                    log::info!(id, error:% = e; "reading the response stream failed");
                    if e.is_invalid() {
                        state.record_no_answer(chain.head());
                    }
                    suspect::probe_first_stage(state, chain);
                    return Outcome::Failed(Failure::Unknown);
                }
                Ok(Ok(None)) if splitter.is_cut_off() => return Outcome::Failed(Failure::Unknown),
                Ok(Ok(None)) => break,
                Ok(Ok(Some(bytes))) => splitter.push(&bytes),
            },
        };
        let events = match events {
            Ok(events) => events,
            Err(error) => {
                let endpoint = chain.head().as_str();
                log::warn!(id = request.id(), endpoint, error:%; "response is no stream of events");
                state.record_no_answer(chain.head());
                return Outcome::Failed(Failure::Unknown);
            }
        };
        if let Err(error) = stream.keep(splitter.partial_bytes()) {
            log::warn!(id = request.id(), error:%; "no memory for an event");
            return Outcome::Failed(Failure::Unknown);
        }
        if events.bytes.is_empty() {
            continue;
        }
        if events.count > 0 {
            silence = Silence::begin(EVENT_SILENCE, state.now());
            stream.record_event(chain);
            stream.record_sound();
        }
        if is_first {
            is_first = false;
            let headers = endpoint::end_to_end(head.headers());
            if let Err(e) = writer.begin_stream(head.status, headers).await {
                return Outcome::CallerLost(e);
            }
            record_first_event(state, request, chain);
        }
        if let Err(e) = writer.chunk(events.bytes).await {
            return Outcome::CallerLost(e);
        }
    }
    if is_first {
        // The caller had the last event already; it still needs the head.
        let headers = endpoint::end_to_end(head.headers());
        if let Err(e) = writer.begin_stream(head.status, headers).await {
            return Outcome::CallerLost(e);
        }
    }
    match writer.end_stream().await {
        Ok(()) => Outcome::Complete,
        Err(e) => Outcome::CallerLost(e),
    }
}

/// Records the time to the first event that the caller gets.
fn record_first_event(state: &Shared, request: &Request, chain: &Chain) {
    let first = state.now().since(request.arrived);
    Metrics::time(&state.metrics.first_event, first);
    let first_ms = first.as_millis() as u64;
    log::debug!(id = request.id(), head = chain.head().as_str(), first_ms; "first event");
}

/// Forwards a response that is not a stream, such as an error.
///
/// The body is buffered, so that an attempt that breaks can be repeated. Fails if a part of a
/// stream has been sent to the caller already.
async fn forward_unstreamed(
    state: &Shared,
    head: &actix_http::ResponseHead,
    body: Body,
    writer: &mut Writer,
) -> Outcome {
    if writer.progress() != Progress::NotStarted {
        return Outcome::Failed(Failure::Unknown);
    }
    let (body, lease) = match response::read(state, head, body, MAX_RESPONSE_BYTES).await {
        Ok(read) => read,
        Err(error) => {
            log::info!(error:%; "reading the body of a response failed");
            return Outcome::Failed(error.of_attempt());
        }
    };
    match response::forward(state, head, body, lease, writer).await {
        Ok(()) => Outcome::Complete,
        Err(e) => Outcome::CallerLost(e),
    }
}
