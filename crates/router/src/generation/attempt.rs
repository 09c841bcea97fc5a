//! One attempt of a request over one chain.

use std::io;
use std::time::Duration;

use actix_http::StatusCode;
use oriole_adapter::exchange::{self, Body, Response};
use oriole_core::forward::chain::Chain;
use oriole_core::forward::event::Splitter;
use oriole_core::forward::outcome::{Failure, Tries};
use oriole_core::name;
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Additions, Classification};
use tokio::time::sleep;

use crate::generation::{Pace, Slot};
use crate::metrics::Metrics;
use crate::reply::{Progress, Writer};
use crate::serve::Request;
use crate::state::Shared;
use crate::suspect;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Silence before the first event after which the chain is asked about.
const FIRST_SILENCE: Duration = Duration::from_millis(700);

/// Silence between events after which the chain is asked about.
pub(super) const SILENCE: Duration = Duration::from_millis(500);

/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// How an attempt ended.
pub enum End {
    /// The whole answer has been passed on.
    Complete,
    /// It failed.
    Failed(Failure),
    /// Its chain is broken, and there is room on this one.
    Elsewhere(Chain, Slot),
    /// The request's time is over.
    Deadline,
    /// The caller cannot be reached any more.
    Caller(io::Error),
}

/// What an attempt depends on.
#[derive(Clone, Copy)]
pub struct Attempt<'a> {
    /// The process.
    pub state: &'a Shared,
    /// The request.
    pub request: &'a Request,
    /// The attempts before this one.
    pub tries: &'a Tries,
    /// The room that it takes.
    pub slot: &'a Slot,
    /// Times of the events that the caller gets, over all attempts.
    pub pace: &'a Pace,
}

/// Sends the request to the chain and passes its events on.
pub async fn run(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    splitter: &mut Splitter,
    writer: &mut Writer,
) -> End {
    let work = async {
        match open(attempt, chain, splitter).await {
            Ok(answer) => pass_on(attempt, chain, answer, splitter, writer).await,
            Err(end) => end,
        }
    };
    let left = attempt.request.deadline.since(attempt.state.now());
    tokio::select! {
        end = work => end,
        () = sleep(left) => End::Deadline,
    }
}

/// Sends the request and waits for the head of the answer.
async fn open(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    splitter: &Splitter,
) -> Result<Response, End> {
    let Attempt { state, request, .. } = attempt;
    let hop = chain.hops[0].clone();
    let stream = match exchange::connect(hop.address, CONNECT_LIMIT).await {
        Ok(stream) => stream,
        Err(e) => {
            log::info!(id = request.id(), endpoint = hop.endpoint.as_str(), error:% = e; "not sent");
            suspect::missed(state, &hop.incarnation(), &e);
            return Err(End::Failed(Failure::NotSent));
        }
    };
    let additions = Additions {
        target: &hop.endpoint,
        workspace: request.workspace.as_ref().map(|w| &w.name),
        time_left: request.deadline.since(state.now()),
        last_event_id: splitter.last_id(),
        hops: &chain.hops,
    };
    let head = endpoint::request(&request.head, &additions);
    let sending = exchange::send(stream, head, request.body.clone());
    let answer = match attempt.watch(chain, FIRST_SILENCE, sending).await? {
        Ok(answer) => answer,
        Err(e) => {
            log::info!(id = request.id(), error:% = e; "no answer");
            suspect::ask(state, chain);
            return Err(End::Failed(Failure::Unknown));
        }
    };
    match endpoint::classify(&answer.head, request.parameters.request_id.as_deref()) {
        Classification::Answer => Ok(answer),
        Classification::NotExecuted(at_fault) => {
            let status = answer.head.status.as_u16();
            log::info!(id = request.id(), status, at_fault:?; "not executed");
            suspect::refused(state, chain, at_fault);
            Err(End::Failed(Failure::NotExecuted))
        }
        Classification::Foreign => {
            log::warn!(id = request.id(), endpoint = hop.endpoint.as_str(); "foreign answer");
            Err(End::Failed(Failure::Unknown))
        }
    }
}

async fn pass_on(
    attempt: Attempt<'_>,
    chain: &mut Chain,
    answer: Response,
    splitter: &mut Splitter,
    writer: &mut Writer,
) -> End {
    let Attempt { state, request, .. } = attempt;
    let Response { head, mut body } = answer;
    if head.status != StatusCode::OK {
        if head.status.is_server_error() && request.route.may_repeat() {
            return End::Failed(Failure::Unknown);
        }
        return pass_whole(&head, body, writer).await;
    }
    // Bytes of an event that an earlier attempt left incomplete come again.
    *splitter = Splitter::after(splitter.last_id().map(str::to_owned));
    let mut first = writer.progress() == Progress::Nothing;
    let mut silence = FIRST_SILENCE;
    let mut stream = Stream::new(attempt, chain);
    loop {
        let bytes = match attempt.watch(chain, silence, body.next()).await {
            Err(end) => return end,
            Ok(Err(e)) => {
                log::info!(id = request.id(), error:% = e; "stream broke");
                suspect::ask(state, chain);
                return End::Failed(Failure::Unknown);
            }
            Ok(Ok(None)) if splitter.is_partial() => return End::Failed(Failure::Unknown),
            Ok(Ok(None)) => break,
            Ok(Ok(Some(bytes))) => bytes,
        };
        let Some(whole) = splitter.push(&bytes) else {
            return End::Failed(Failure::Unknown);
        };
        if whole.bytes.is_empty() {
            continue;
        }
        silence = SILENCE;
        stream.event(chain);
        if first {
            first = false;
            let headers = endpoint::end_to_end(head.headers());
            if let Err(e) = writer.begin(head.status, headers).await {
                return End::Caller(e);
            }
            note_first(state, request, chain);
        }
        if let Err(e) = writer.piece(whole.bytes).await {
            return End::Caller(e);
        }
    }
    if first {
        // A stream without any event.
        let headers = endpoint::end_to_end(head.headers());
        if let Err(e) = writer.begin(head.status, headers).await {
            return End::Caller(e);
        }
    }
    match writer.end().await {
        Ok(()) => End::Complete,
        Err(e) => End::Caller(e),
    }
}

/// Tells the book of a stream's events while it lives.
struct Stream<'a> {
    attempt: Attempt<'a>,
    head: name::Endpoint,
    last: Option<Instant>,
}

impl<'a> Stream<'a> {
    fn new(attempt: Attempt<'a>, chain: &Chain) -> Self {
        Self { attempt, head: chain.key.clone(), last: None }
    }

    fn event(&mut self, chain: &Chain) {
        let state = self.attempt.state;
        let now = state.now();
        self.attempt.pace.event(now);
        let mut inner = state.inner.borrow_mut();
        inner.progress.insert(chain.key.clone(), now);
        match self.last {
            Some(last) => {
                Metrics::time(&state.metrics.pause, now.since(last));
                inner.in_flight.record_event(&self.head, now.since(last), now);
            }
            None => {
                drop(inner);
                self.attempt.slot.begin();
            }
        }
        self.last = Some(now);
    }
}

fn note_first(state: &Shared, request: &Request, chain: &Chain) {
    let first = state.now().since(request.arrived);
    Metrics::time(&state.metrics.first_event, first);
    let first_ms = first.as_millis() as u64;
    log::debug!(id = request.id(), head = chain.head().as_str(), first_ms; "first event");
}

/// Passes on an answer that is not a stream.
async fn pass_whole(head: &actix_http::ResponseHead, mut body: Body, writer: &mut Writer) -> End {
    if writer.progress() != Progress::Nothing {
        return End::Failed(Failure::Unknown);
    }
    let mut whole = bytes::BytesMut::new();
    loop {
        match body.next().await {
            Ok(Some(bytes)) if whole.len() + bytes.len() <= MAX_ANSWER_BYTES => {
                whole.extend_from_slice(&bytes);
            }
            Ok(None) => break,
            Ok(Some(_)) | Err(_) => return End::Failed(Failure::Unknown),
        }
    }
    let headers = endpoint::end_to_end(head.headers());
    match writer.whole(head.status, headers, whole.freeze()).await {
        Ok(()) => End::Complete,
        Err(e) => End::Caller(e),
    }
}
