//! Callers' connections and the readiness route.

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

use crate::metrics;
use crate::reply::{Progress, Writer};
use crate::serve;
use crate::state::Shared;

/// Bytes read at once.
const READ_BYTES: usize = 4 * 1024;

/// Most bytes that are read ahead of the present request.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Time after which a caller that acknowledges nothing is taken for gone.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);

/// Time for a body, and idle time before the routing table is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the task is aborted.
pub async fn callers(state: Shared, listener: TcpListener) {
    let config = ServiceConfig::default();
    accept(listener, |stream| {
        let codec = Codec::new(config.clone());
        actix_rt::spawn(connection(state.clone(), stream, codec));
    })
    .await;
}

/// Answers whether the entry is ready, until the task is aborted.
pub async fn readiness(state: Shared, listener: TcpListener) {
    small(state, listener, |state, path| match path {
        ingress::READY_PATH if state.is_ready() => (StatusCode::OK, None),
        ingress::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, None),
        _ => (StatusCode::NOT_FOUND, None),
    })
    .await;
}

/// Serves metrics until the task is aborted.
pub async fn metrics(state: Shared, listener: TcpListener) {
    small(state, listener, |state, path| match path {
        metrics::PATH => (StatusCode::OK, Some(state.metrics.text())),
        _ => (StatusCode::NOT_FOUND, None),
    })
    .await;
}

/// What is answered to a path: a status, and perhaps metrics.
type Small = fn(&Shared, &str) -> (StatusCode, Option<String>);

async fn small(state: Shared, listener: TcpListener, answer: Small) {
    let config = ServiceConfig::default();
    accept(listener, |stream| {
        let codec = Codec::new(config.clone());
        actix_rt::spawn(small_connection(state.clone(), stream, codec, answer));
    })
    .await;
}

async fn accept(listener: TcpListener, mut handle: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without these options a connection works, only less well.
                let _ = stream.set_nodelay(true);
                let socket = socket2::SockRef::from(&stream);
                let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
                handle(stream);
            }
            Err(error) => {
                log::warn!(error:%; "a connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Why no request could be read.
enum Stop {
    /// The connection is over, or idle for too long.
    Over,
    /// What was sent is not acceptable.
    Reject(StatusCode),
}

struct Reader {
    read: OwnedReadHalf,
    buffer: BytesMut,
}

async fn connection(state: Shared, stream: TcpStream, codec: Codec) {
    let (read, write) = stream.into_split();
    let mut reader = Reader { read, buffer: BytesMut::with_capacity(READ_BYTES) };
    let mut writer = Writer::new(write, codec);
    // A connection that was opened lately is about to carry its first request.
    let mut is_new = true;
    loop {
        let request = tokio::select! {
            biased;
            request = reader.request(&state, &mut writer) => request,
            () = idle_end(&state), if !is_new => Err(Stop::Over),
        };
        is_new = false;
        let (head, body) = match request {
            Ok(request) => request,
            Err(Stop::Over) => break,
            Err(Stop::Reject(status)) => {
                log::info!(status = status.as_u16(); "request not readable");
                writer.close = true;
                // The caller may have gone already.
                let _ = writer.respond_empty(status, None).await;
                break;
            }
        };
        if state.exiting.get() {
            // An answer might not be whole before the exit; the caller knows that nothing ran.
            return;
        }
        writer.close = state.stopping.get();
        let _active = Active::new(&state);
        tokio::select! {
            // First, so that nothing is sent on for a caller that left before it was read.
            biased;
            () = reader.gone() => return,
            result = serve::handle(&state, Rc::new(head), body, &mut writer) => {
                if result.is_err() {
                    return;
                }
            }
        }
        if writer.progress() == Progress::Partial {
            // Ends the connection without the mark of a complete body.
            return;
        }
        if !writer.may_continue() {
            break;
        }
    }
    writer.shut_down().await;
}

/// Returns when idle connections are to be closed.
async fn idle_end(state: &Shared) {
    while !state.closing.get() {
        state.closing_changed.notified().await;
    }
}

async fn small_connection(state: Shared, stream: TcpStream, codec: Codec, answer: Small) {
    let (read, write) = stream.into_split();
    let mut reader = Reader { read, buffer: BytesMut::with_capacity(READ_BYTES) };
    let mut writer = Writer::new(write, codec);
    while let Ok((head, _)) = reader.request(&state, &mut writer).await {
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
    /// Reads one request with its whole body.
    async fn request(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
    ) -> Result<(RequestHead, Bytes), Stop> {
        let limits = state.inner.borrow().table.as_ref().map(|t| t.limits.clone());
        let idle = limits.as_ref().map_or(DEFAULT_TIMEOUT, |l| l.idle_timeout);
        let head_timeout = limits.as_ref().map_or(DEFAULT_TIMEOUT, |l| l.head_timeout);
        let head_bytes = limits.as_ref().map_or(READ_AHEAD_BYTES, |l| l.head_bytes);
        let body_bytes = limits.as_ref().map_or(READ_AHEAD_BYTES, |l| l.body_bytes);
        if self.buffer.is_empty() {
            let filled = timeout(idle, self.fill()).await;
            filled.map_err(|_| Stop::Over)?.map_err(|_| Stop::Over)?;
        }
        let head = timeout(head_timeout, self.head(writer, head_bytes)).await;
        let head = head.map_err(|_| Stop::Reject(StatusCode::REQUEST_TIMEOUT))??;
        writer.start_response();
        if writer.codec.message_type() == MessageType::None {
            return Ok((head, Bytes::new()));
        }
        if head.expect() {
            writer.send_continue().await.map_err(|_| Stop::Over)?;
        }
        let body = timeout(DEFAULT_TIMEOUT, self.body(writer, body_bytes)).await;
        Ok((head, body.map_err(|_| Stop::Reject(StatusCode::REQUEST_TIMEOUT))??))
    }

    async fn head(&mut self, writer: &mut Writer, most: usize) -> Result<RequestHead, Stop> {
        loop {
            let before = self.buffer.len();
            match writer.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => {
                    if before - self.buffer.len() > most {
                        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                        return Err(Stop::Reject(status));
                    }
                    return Ok(request.head().clone());
                }
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) if self.buffer.len() > most => {
                    return Err(Stop::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Ok(None) => self.fill().await.map_err(|_| Stop::Over)?,
                Err(_) => return Err(Stop::Reject(StatusCode::BAD_REQUEST)),
            }
        }
    }

    async fn body(&mut self, writer: &mut Writer, most: usize) -> Result<Bytes, Stop> {
        let mut body = BytesMut::new();
        loop {
            match writer.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    if body.len() + bytes.len() > most {
                        return Err(Stop::Reject(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    body.extend_from_slice(&bytes);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(Stop::Reject(StatusCode::BAD_REQUEST));
                }
                Ok(None) => self.fill().await.map_err(|_| Stop::Over)?,
            }
        }
    }

    /// Reads bytes; an error if there are none left.
    async fn fill(&mut self) -> std::io::Result<()> {
        self.buffer.reserve(READ_BYTES);
        match self.read.read_buf(&mut self.buffer).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Returns when the caller has closed the connection.
    async fn gone(&mut self) {
        while self.buffer.len() < READ_AHEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }
}

/// Counts a request as in progress while it lives.
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
