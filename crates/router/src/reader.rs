//! Reads the requests of one caller's connection.

use std::time::Duration;

use actix_codec::Decoder;
use actix_http::h1::{Message, MessageType};
use actix_http::{RequestHead, StatusCode};
use bytes::{Bytes, BytesMut};
use oriole_adapter::head::Progress;
use oriole_adapter::http::content_length;
use oriole_adapter::memory::{Body, Lease, Refusal};
use oriole_core::forward::memory::Full;
use oriole_core::route::Limits;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::coop::consume_budget;
use tokio::time::timeout;

use crate::reply::Writer;
use crate::state::Shared;

/// Free space that is reserved in the buffer before each read.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Bytes that are read ahead of the current request.
const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;

/// Limits the head and the body of a request before the routing table is known.
const DEFAULT_MAX_BYTES: usize = 64 * 1024;

/// Timeout of a body, and of heads and idle connections before the routing table is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Memory of a request's head while it is served, as a multiple of its bytes: as received, as it is forwarded, and its
/// parameters, of which the parts of a prompt may take four times their text.
const HEAD_COPIES: usize = 7;

/// Time for which what a caller goes on sending is discarded after its request was refused, so that it gets the
/// refusal: closing a connection with unread bytes resets it.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Reasons for which reading a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection is closed or has been idle for too long.
    Closed,
    /// The request is malformed, too large or too slow; it is answered with the status.
    Reject(StatusCode),
    /// There is no memory for the request.
    Full,
    /// The request has made hardly any progress, and others need its memory.
    Evicted,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::TooLarge => Self::Reject(StatusCode::PAYLOAD_TOO_LARGE),
            Refusal::Full => Self::Full,
        }
    }
}

impl From<Full> for Failure {
    fn from(Full: Full) -> Self {
        Self::Full
    }
}

/// A request that has been read completely.
pub struct Request {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// The memory of both.
    pub lease: Lease,
}

/// Reads requests.
pub struct Reader {
    read: OwnedReadHalf,
    buffer: BytesMut,
    /// Whether bytes that followed the current request have been discarded.
    has_discarded: bool,
}

/// What a request may have.
struct Bounds {
    head_timeout: Duration,
    head_bytes: usize,
    body_bytes: usize,
}

impl Bounds {
    fn of(limits: Option<&Limits>) -> Self {
        limits.map_or(
            Self {
                head_timeout: DEFAULT_TIMEOUT,
                head_bytes: DEFAULT_MAX_BYTES,
                body_bytes: DEFAULT_MAX_BYTES,
            },
            |limits| Self {
                head_timeout: limits.head_timeout,
                head_bytes: limits.head_bytes,
                body_bytes: limits.body_bytes,
            },
        )
    }
}

impl Reader {
    /// Reads from a connection.
    pub fn new(read: OwnedReadHalf) -> Self {
        Self { read, buffer: BytesMut::new(), has_discarded: false }
    }

    /// Waits until a request begins to arrive, for as long as a connection may be idle.
    pub async fn begin(&mut self, state: &Shared) -> Result<(), Failure> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let table = state.inner.borrow().table.clone();
        let idle = table.map_or(DEFAULT_TIMEOUT, |table| table.limits.idle_timeout);
        let filled = timeout(idle, self.fill()).await;
        filled.map_err(|_| Failure::Closed)?.map_err(|_| Failure::Closed)
    }

    /// Reads one request with its complete body.
    pub async fn request(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
    ) -> Result<Request, Failure> {
        let mut lease = state.request_memory.begin(state.now());
        let eviction = lease.eviction().wait();
        tokio::select! {
            biased;
            () = eviction => Err(Failure::Evicted),
            request = self.request_with(state, writer, lease) => request,
        }
    }

    /// Reads the head of a request that may have no body.
    pub async fn bodyless(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
    ) -> Result<RequestHead, Failure> {
        let lease = state.request_memory.begin(state.now());
        let head = timeout(DEFAULT_TIMEOUT, self.head(state, writer, &lease, DEFAULT_MAX_BYTES));
        let head = head.await.map_err(|_| Failure::Reject(StatusCode::REQUEST_TIMEOUT))?;
        let (head, _) = head?;
        writer.start_response();
        match writer.codec.message_type() {
            MessageType::None => Ok(head),
            _ => Err(Failure::Reject(StatusCode::PAYLOAD_TOO_LARGE)),
        }
    }

    async fn request_with(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
        lease: Lease,
    ) -> Result<Request, Failure> {
        let bounds = {
            let inner = state.inner.borrow();
            Bounds::of(inner.table.as_ref().map(|table| &table.limits))
        };
        let head =
            timeout(bounds.head_timeout, self.head(state, writer, &lease, bounds.head_bytes));
        let head = head.await.map_err(|_| Failure::Reject(StatusCode::REQUEST_TIMEOUT))?;
        let (head, head_bytes) = head?;
        writer.start_response();
        let mut body = Body::new(lease, HEAD_COPIES * head_bytes, bounds.body_bytes);
        if writer.codec.message_type() != MessageType::None {
            if let Some(length) = content_length(&head.headers) {
                body.reserve(length, state.now())?;
            }
            if head.expect() {
                writer.send_continue().await.map_err(|_| Failure::Closed)?;
            }
            let reading = timeout(DEFAULT_TIMEOUT, self.body(state, writer, &mut body));
            reading.await.map_err(|_| Failure::Reject(StatusCode::REQUEST_TIMEOUT))??;
        }
        body.lease().pin();
        let (body, lease) = body.finish();
        Ok(Request { head, body, lease })
    }

    /// Reads a head, of which the bytes are returned too.
    async fn head(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
        lease: &Lease,
        max_bytes: usize,
    ) -> Result<(RequestHead, usize), Failure> {
        const TOO_LARGE: Failure = Failure::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        let mut progress = Progress::default();
        loop {
            let before = self.buffer.len();
            let decoded = match progress.is_due(&self.buffer) {
                true => writer.codec.decode(&mut self.buffer),
                false => Ok(None),
            };
            match decoded {
                Ok(Some(Message::Item(request))) => {
                    let bytes = before - self.buffer.len();
                    if bytes > max_bytes {
                        return Err(TOO_LARGE);
                    }
                    lease.resize(HEAD_COPIES * bytes, state.now())?;
                    return Ok((request.head().clone(), bytes));
                }
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) if self.buffer.len() > max_bytes => return Err(TOO_LARGE),
                Ok(None) => {
                    lease.resize(HEAD_COPIES * self.buffer.len(), state.now())?;
                    self.fill().await.map_err(|_| Failure::Closed)?;
                }
                Err(_) => return Err(Failure::Reject(StatusCode::BAD_REQUEST)),
            }
        }
    }

    async fn body(
        &mut self,
        state: &Shared,
        writer: &mut Writer,
        body: &mut Body,
    ) -> Result<(), Failure> {
        loop {
            // Without this, a body that comes in many small chunks would not let other tasks run.
            consume_budget().await;
            match writer.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(bytes)))) => body.push(&bytes, state.now())?,
                Ok(Some(Message::Chunk(None))) => return Ok(()),
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

    /// Waits until the caller has closed the connection. What it sends beyond a small request is discarded, since
    /// unread bytes use memory, too; the connection then cannot be used again.
    pub async fn closed(&mut self) {
        while self.fill().await.is_ok() {
            if self.buffer.len() > MAX_READ_AHEAD_BYTES {
                self.buffer.truncate(MAX_READ_AHEAD_BYTES);
                self.has_discarded = true;
            }
        }
    }

    /// Returns whether another request may be read from the connection.
    pub fn may_continue(&self) -> bool {
        !self.has_discarded
    }

    /// Discards what the caller goes on sending, until it closes the connection or for [`DISCARD_TIME`].
    pub async fn discard(&mut self) {
        let discarding = async {
            self.buffer.clear();
            while self.fill().await.is_ok() {
                self.buffer.clear();
            }
        };
        // A caller that goes on for longer may find the connection reset.
        let _ = timeout(DISCARD_TIME, discarding).await;
    }
}
