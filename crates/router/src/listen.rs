//! Accepts callers' connections and serves the readiness and metrics routes.

use std::rc::Rc;
use std::time::Duration;

use actix_codec::Decoder;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{RequestHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use oriole_platform::ingress;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::metrics::{self, Metrics};
use crate::reply::{Progress, Writer};
use crate::serve;
use crate::state::Shared;

/// Free space that is reserved in the buffer before each read.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Maximum number of bytes that are read ahead of the current request. Also limits the head and the
/// body of a request before the routing table is known.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Time without an acknowledgement of sent bytes after which the kernel closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a body, and of heads and idle connections before the routing table is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the task is aborted.
pub async fn callers(state: Shared, listener: TcpListener) {
    let config = ServiceConfig::default();
    accept(listener, |stream| {
        let codec = Codec::new(config.clone());
        actix_rt::spawn(connection(state.clone(), stream, codec));
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
    accept(listener, |stream| {
        let codec = Codec::new(config.clone());
        actix_rt::spawn(internal_connection(state.clone(), stream, codec, answer));
    })
    .await;
}

async fn accept(listener: TcpListener, mut handle: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Ignores errors: without these options a connection still works, but with more
                // delay and later detection of lost callers.
                let _ = stream.set_nodelay(true);
                let socket = socket2::SockRef::from(&stream);
                let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
                handle(stream);
            }
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reasons for which reading a request fails.
enum Failure {
    /// The connection is closed or has been idle for too long.
    Closed,
    /// The request is malformed, too large or too slow; it is answered with the status.
    Reject(StatusCode),
}

struct Reader {
    read: OwnedReadHalf,
    buffer: BytesMut,
}

async fn connection(state: Shared, stream: TcpStream, codec: Codec) {
    let (read, write) = stream.into_split();
    let mut reader = Reader { read, buffer: BytesMut::with_capacity(MIN_READ_BYTES) };
    let mut writer = Writer::new(write, codec);
    // A new connection is about to carry its first request and does not count as idle.
    let mut is_new = true;
    loop {
        // A connection on which a request has begun to arrive is not idle.
        let begun = tokio::select! {
            biased;
            begun = reader.begin(&state) => begun,
            () = idle_close(&state), if !is_new => Err(Failure::Closed),
        };
        is_new = false;
        let _active = Active::new(&state);
        let request = match begun {
            Ok(()) => reader.request(&state, &mut writer).await,
            Err(failure) => Err(failure),
        };
        let (head, body) = match request {
            Ok(request) => request,
            Err(Failure::Closed) => break,
            Err(Failure::Reject(status)) => {
                log::info!(status = status.as_u16(); "reading a request failed");
                writer.close = true;
                // Ignores the error, since the caller may have closed the connection already.
                let _ = writer.respond_empty(status, None).await;
                break;
            }
        };
        if state.exiting.get() {
            // The process exits soon, which might cut an answer of an endpoint short.
            refuse_at_exit(&state, &mut writer).await;
            break;
        }
        writer.close = state.stopping.get();
        tokio::select! {
            // Polled first, so that a request is not forwarded if its caller has already left.
            biased;
            () = reader.closed() => return,
            result = serve::handle(&state, Rc::new(head), body, &mut writer) => {
                if result.is_err() {
                    return;
                }
            }
        }
        if writer.progress() == Progress::Partial {
            // Closes the connection without the end-of-body marker, so that the caller can tell
            // that the answer is incomplete.
            return;
        }
        if !writer.may_continue() {
            break;
        }
    }
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
    let mut reader = Reader { read, buffer: BytesMut::with_capacity(MIN_READ_BYTES) };
    let mut writer = Writer::new(write, codec);
    while reader.begin(&state).await.is_ok() {
        let Ok((head, _)) = reader.request(&state, &mut writer).await else {
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

impl Reader {
    /// Waits until a request begins to arrive, for as long as a connection may be idle.
    async fn begin(&mut self, state: &Shared) -> Result<(), Failure> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let table = state.inner.borrow().table.clone();
        let idle = table.map_or(DEFAULT_TIMEOUT, |table| table.limits.idle_timeout);
        let filled = timeout(idle, self.fill()).await;
        filled.map_err(|_| Failure::Closed)?.map_err(|_| Failure::Closed)
    }

    /// Reads one request with its complete body.
    async fn request(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
    ) -> Result<(RequestHead, Bytes), Failure> {
        let limits = state.inner.borrow().table.as_ref().map(|t| t.limits.clone());
        let head_timeout = limits.as_ref().map_or(DEFAULT_TIMEOUT, |l| l.head_timeout);
        let head_bytes = limits.as_ref().map_or(MAX_READ_AHEAD_BYTES, |l| l.head_bytes);
        let body_bytes = limits.as_ref().map_or(MAX_READ_AHEAD_BYTES, |l| l.body_bytes);
        let head = timeout(head_timeout, self.head(writer, head_bytes)).await;
        let head = head.map_err(|_| Failure::Reject(StatusCode::REQUEST_TIMEOUT))??;
        writer.start_response();
        if writer.codec.message_type() == MessageType::None {
            return Ok((head, Bytes::new()));
        }
        if head.expect() {
            writer.send_continue().await.map_err(|_| Failure::Closed)?;
        }
        let body = timeout(DEFAULT_TIMEOUT, self.body(writer, body_bytes)).await;
        Ok((head, body.map_err(|_| Failure::Reject(StatusCode::REQUEST_TIMEOUT))??))
    }

    async fn head(
        &mut self,
        writer: &mut Writer,
        max_bytes: usize,
    ) -> Result<RequestHead, Failure> {
        loop {
            let before = self.buffer.len();
            match writer.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => {
                    if before - self.buffer.len() > max_bytes {
                        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                        return Err(Failure::Reject(status));
                    }
                    return Ok(request.head().clone());
                }
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) if self.buffer.len() > max_bytes => {
                    return Err(Failure::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Ok(None) => self.fill().await.map_err(|_| Failure::Closed)?,
                Err(_) => return Err(Failure::Reject(StatusCode::BAD_REQUEST)),
            }
        }
    }

    async fn body(&mut self, writer: &mut Writer, max_bytes: usize) -> Result<Bytes, Failure> {
        let mut body = BytesMut::new();
        loop {
            match writer.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    if body.len() + bytes.len() > max_bytes {
                        return Err(Failure::Reject(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    body.extend_from_slice(&bytes);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(Failure::Reject(StatusCode::BAD_REQUEST));
                }
                Ok(None) => self.fill().await.map_err(|_| Failure::Closed)?,
            }
        }
    }

    /// Reads at least one byte into the buffer; fails if the connection is closed.
    async fn fill(&mut self) -> std::io::Result<()> {
        self.buffer.reserve(MIN_READ_BYTES);
        match self.read.read_buf(&mut self.buffer).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Waits until the caller has closed the connection. Stops reading, and never returns, once the
    /// buffer is full.
    async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending().await
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
