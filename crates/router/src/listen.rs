//! Accepts callers' connections and serves the readiness and metrics routes.

use std::rc::Rc;
use std::time::Duration;

use actix_http::h1::Codec;
use actix_http::{ServiceConfig, StatusCode};
use oriole_adapter::connections::{Admission, Connection, Connections};
use oriole_adapter::eviction::Eviction;
use oriole_adapter::limits::Limits;
use oriole_platform::ingress;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::metrics::{self, Metrics};
use crate::reader::{Failure, Reader};
use crate::reply::{Progress, Writer};
use crate::serve;
use crate::state::Shared;

/// Time without an acknowledgement of sent bytes after which the kernel closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory of a connection that counts for no request: its buffers, and a small request.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Maximum number of connections to each listener that callers do not use.
const MAX_INTERNAL_CONNECTIONS: usize = 16;

/// `retry-after` of a request for which there is no memory: slow ones give way after that time.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Pause after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the number of callers' connections that may be open.
pub fn max_connections(limits: &Limits) -> usize {
    limits.max_connections(CONNECTION_BYTES)
}

/// Accepts connections of callers until the task is aborted.
pub async fn callers(state: Shared, listener: TcpListener) {
    let config = ServiceConfig::default();
    let connections = Connections::new(max_connections(&state.settings.limits), state.clock);
    accept(&state, listener, connections, |stream, connection, mut eviction| {
        let codec = Codec::new(config.clone());
        let serving = serve_callers(state.clone(), stream, codec, connection);
        actix_rt::spawn(async move {
            tokio::select! {
                () = eviction.wait() => log::debug!("connection closed to make room for another one"),
                () = serving => {}
            }
        });
    })
    .await;
}

/// Serves the readiness route until the task is aborted.
pub async fn readiness(state: Shared, listener: TcpListener) {
    serve_internal(state, listener, |state, path| match path {
        ingress::READY_PATH if state.is_ready() => {
            state.announced.set(true);
            (StatusCode::OK, None)
        }
        ingress::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, None),
        _ => (StatusCode::NOT_FOUND, None),
    })
    .await;
}

/// Serves the metrics route until the task is aborted.
pub async fn metrics(state: Shared, listener: TcpListener) {
    serve_internal(state, listener, |state, path| match path {
        metrics::PATH => (StatusCode::OK, Some(state.metrics.text())),
        _ => (StatusCode::NOT_FOUND, None),
    })
    .await;
}

/// Returns the status of the response for a path, and its body if it has one.
type Responder = fn(&Shared, &str) -> (StatusCode, Option<String>);

async fn serve_internal(state: Shared, listener: TcpListener, answer: Responder) {
    let config = ServiceConfig::default();
    let connections = Connections::new(MAX_INTERNAL_CONNECTIONS, state.clock);
    accept(&state, listener, connections, |stream, connection, mut eviction| {
        let codec = Codec::new(config.clone());
        let serving = internal_connection(state.clone(), stream, codec, answer);
        actix_rt::spawn(async move {
            tokio::select! {
                () = eviction.wait() => {}
                () = serving => {}
            }
            drop(connection);
        });
    })
    .await;
}

/// Accepts connections as long as there is room, and closes those beyond.
async fn accept(
    state: &Shared,
    listener: TcpListener,
    connections: Rc<Connections>,
    mut handle: impl FnMut(TcpStream, Connection, Eviction),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (connection, eviction) = match connections.admit() {
                    Admission::Admitted(connection, eviction) => (connection, eviction),
                    Admission::InPlaceOfOther(connection, eviction) => {
                        Metrics::count(&state.metrics.refused, "connection-closed");
                        (connection, eviction)
                    }
                    Admission::Full => {
                        Metrics::count(&state.metrics.refused, "connections");
                        continue;
                    }
                };
                // Ignores errors: without these options a connection still works, but with more
                // delay and later detection of lost callers.
                let _ = stream.set_nodelay(true);
                let socket = socket2::SockRef::from(&stream);
                let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
                handle(stream, connection, eviction);
                if connections.is_full() {
                    // Lets the tasks of connections that gave way end before more are accepted.
                    yield_now().await;
                }
            }
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection of a caller until it ends.
async fn serve_callers(state: Shared, stream: TcpStream, codec: Codec, connection: Connection) {
    let (read, write) = stream.into_split();
    let mut reader = Reader::new(read);
    let mut writer = Writer::new(write, codec);
    // A new connection is about to carry its first request and does not count as idle.
    let mut is_new = true;
    while next(&state, &mut reader, &mut writer, &connection, is_new).await == Next::Continue {
        connection.begin_waiting();
        is_new = false;
    }
}

/// Whether another request may follow on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

/// Reads and serves the next request of a caller.
async fn next(
    state: &Shared,
    reader: &mut Reader,
    writer: &mut Writer,
    connection: &Connection,
    is_new: bool,
) -> Next {
    // A connection on which a request has begun to arrive is not idle.
    let begun = tokio::select! {
        biased;
        begun = reader.begin(state) => begun,
        () = idle_close(state), if !is_new => Err(Failure::Closed),
    };
    let active = Active::new(state);
    let request = match begun {
        Ok(()) => reader.request(state, writer).await,
        Err(failure) => Err(failure),
    };
    let request = match request {
        Ok(request) => request,
        Err(failure) => {
            refuse(state, writer, failure).await;
            // What follows a refusal does not keep the process from stopping.
            drop(active);
            if failure != Failure::Closed {
                reader.discard().await;
            }
            return Next::Close;
        }
    };
    connection.begin_serving();
    if state.exiting.get() {
        // The process exits soon, which might cut an answer of an endpoint short.
        refuse_at_exit(state, writer).await;
        writer.shut_down().await;
        return Next::Close;
    }
    writer.close = state.stopping.get();
    tokio::select! {
        // Polled first, so that a request is not forwarded if its caller has already left.
        biased;
        () = reader.closed() => return Next::Close,
        // On the heap, so that a connection without a request takes little memory.
        result = Box::pin(serve::handle(state, request, writer)) => {
            if result.is_err() {
                return Next::Close;
            }
        }
    }
    match writer.progress() {
        // Closes the connection without the end-of-body marker, so that the caller can tell that the answer is
        // incomplete.
        Progress::Partial => Next::Close,
        _ if writer.may_continue() && reader.may_continue() => Next::Continue,
        _ => {
            writer.shut_down().await;
            Next::Close
        }
    }
}

/// Answers a request that could not be read, and closes the sending half of the connection.
async fn refuse(state: &Shared, writer: &mut Writer, failure: Failure) {
    let (status, reason, retry_after) = match failure {
        Failure::Closed => {
            writer.shut_down().await;
            return;
        }
        Failure::Reject(StatusCode::PAYLOAD_TOO_LARGE) => {
            (StatusCode::PAYLOAD_TOO_LARGE, "too-large", None)
        }
        Failure::Reject(StatusCode::REQUEST_TIMEOUT) => {
            (StatusCode::REQUEST_TIMEOUT, "too-slow", None)
        }
        Failure::Reject(status) => (status, "malformed", None),
        Failure::Full => (StatusCode::SERVICE_UNAVAILABLE, "no-memory", Some(FULL_RETRY_AFTER)),
        Failure::Evicted => (StatusCode::SERVICE_UNAVAILABLE, "made-room", Some(FULL_RETRY_AFTER)),
    };
    log::info!(status = status.as_u16(), reason; "reading a request failed");
    Metrics::count(&state.metrics.refused, reason);
    writer.close = true;
    // Ignores the error, since the caller may have closed the connection already.
    let _ = writer.respond_empty(status, retry_after).await;
    writer.shut_down().await;
}

/// Refuses a request that has arrived after the last answer of a stopping process.
async fn refuse_at_exit(state: &Shared, writer: &mut Writer) {
    log::info!("request refused at the exit");
    Metrics::count(&state.metrics.refused, "exiting");
    writer.close = true;
    let retry_after = Some(state.retry_after_stop());
    // Ignores the error, since the caller may have closed the connection already.
    let _ = writer.respond_empty(StatusCode::SERVICE_UNAVAILABLE, retry_after).await;
}

/// Waits until idle connections are to be closed.
async fn idle_close(state: &Shared) {
    while !state.closing.get() {
        state.closing_changed.notified().await;
    }
}

async fn internal_connection(state: Shared, stream: TcpStream, codec: Codec, answer: Responder) {
    let (read, write) = stream.into_split();
    let mut reader = Reader::new(read);
    let mut writer = Writer::new(write, codec);
    while reader.begin(&state).await.is_ok() {
        let Ok(head) = reader.bodyless(&state, &mut writer).await else {
            break;
        };
        let (status, text) = answer(&state, head.uri.path());
        let written = match text {
            Some(text) => writer.respond(status, metrics::headers(), text.into()).await,
            None => writer.respond_empty(status, None).await,
        };
        if written.is_err() || !writer.may_continue() {
            break;
        }
    }
}

/// Counts a request as in progress, from when it begins to arrive, until it is dropped.
struct Active(Shared);

impl Active {
    fn new(state: &Shared) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self(state.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}
