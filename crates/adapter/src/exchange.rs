//! One HTTP/1.1 request and its response on a connection of its own.
//!
//! Connections are never reused. Bytes that belong to another response, or that follow the end of
//! one, therefore cannot reach a caller, and no request is sent on a connection that the peer is
//! about to close.

mod error;

use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::coop::consume_budget;
use tokio::time::timeout;

pub use self::error::Error;
use crate::head::Progress;
use crate::http;

/// Sent data may stay unacknowledged for this long before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Interim (1xx) responses before a final one above which the peer is taken not to send any.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that may arrive without a part of the body, such as the lines between chunks.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// Free space in the read buffer before each read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

thread_local! {
    /// Shared by all codecs of the thread, since each `ServiceConfig` spawns a task.
    static SERVICE_CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Time limits of a complete exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Longest time until the connection is open.
    pub connect: Duration,
    /// Longest time until the response is complete, from the beginning.
    pub total: Duration,
}

impl From<Duration> for Limit {
    fn from(total: Duration) -> Self {
        Self { connect: total, total }
    }
}

/// The head of a response, and its body as it arrives.
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body, of which nothing may have arrived yet.
    pub body: Body,
}

/// The body of a response as it arrives.
pub struct Body {
    read: OwnedReadHalf,
    // Kept open, since a peer may take a half-closed connection for a caller that has gone.
    _write: OwnedWriteHalf,
    buffer: BytesMut,
    framing: Framing,
    /// Chunks that have been decoded and not been returned.
    decoded: BytesMut,
}

/// How the end of a body is determined.
enum Framing {
    /// By `Content-Length` or chunked encoding.
    Codec(ClientPayloadCodec),
    /// The body ends when the peer closes the connection.
    UntilClose {
        /// Whether writing the request failed, which only a lost or reset connection explains. The
        /// kernel reports a reset once, so that reading then sees what looks like a regular end.
        is_reset: bool,
    },
    /// The body has been read completely.
    Complete,
    /// The framing is broken from here on; `None` once this has been returned.
    Broken(Option<PayloadError>),
}

/// What decoding yields.
enum Decoded {
    /// Bytes of the body, or its end.
    Body(Option<Bytes>),
    /// A chunk that is kept; there may be more.
    Chunk,
    /// Nothing, until more bytes arrive.
    Incomplete,
}

/// Opens a connection within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(limit, connecting).await.map_err(|_| Error::ConnectTimeout)?;
    let stream = stream.map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)).map_err(Error::Connect)?;
    Ok(stream)
}

/// Sends a request and waits, without a time limit, for the head of its response.
pub async fn send(stream: TcpStream, head: RequestHead, body: Bytes) -> Result<Response, Error> {
    let (mut read, mut write) = stream.into_split();
    let mut codec = new_codec();
    let mut encoded = BytesMut::with_capacity(1024);
    let is_head = head.method == Method::HEAD;
    encode_head(&mut codec, head, body.len(), &mut encoded)?;
    // The body is not copied, which would double the memory of each request in progress.
    let mut outgoing = encoded.chain(body);
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let (mut is_reset, mut interim, mut progress) = (false, 0, Progress::default());
    loop {
        tokio::select! {
            written = write.write_buf(&mut outgoing), if outgoing.has_remaining() => {
                if written.is_err() {
                    // The peer may have responded before it closed the connection; keep reading.
                    outgoing.advance(outgoing.remaining());
                    is_reset = true;
                }
            }
            count = read.read_buf(&mut buffer) => {
                let count = count?;
                let before = buffer.len();
                let is_due = progress.is_due(&buffer);
                let head = match is_due {
                    true => decode(&mut codec, &mut buffer, &mut interim)?,
                    false => None,
                };
                if buffer.len() < before {
                    progress = Progress::default();
                }
                if let Some(head) = head {
                    let framing = match is_head {
                        true => Framing::Complete,
                        false => framing(&head, codec, is_reset),
                    };
                    let decoded = BytesMut::new();
                    let body = Body { read, _write: write, buffer, framing, decoded };
                    return Ok(Response { head, body });
                }
                if count == 0 {
                    return Err(Error::Closed);
                }
                if buffer.len() > MAX_HEAD_BYTES {
                    return Err(Error::TooLong);
                }
            }
        }
    }
}

/// Sends a request and reads its complete response, all within `limit`.
///
/// Returns [`Error::TooLong`] if the body exceeds `max_bytes`.
pub async fn call(
    address: SocketAddr,
    head: RequestHead,
    body: Bytes,
    max_bytes: usize,
    limit: impl Into<Limit>,
) -> Result<(ResponseHead, Bytes), Error> {
    let limit = limit.into();
    let exchange = async {
        let stream = connect(address, limit.connect).await?;
        let Response { head, mut body } = send(stream, head, body).await?;
        let mut received = BytesMut::new();
        while let Some(chunk) = body.next().await? {
            if received.len() + chunk.len() > max_bytes {
                return Err(Error::TooLong);
            }
            received.extend_from_slice(&chunk);
        }
        Ok((head, received.freeze()))
    };
    timeout(limit.total, exchange).await.map_err(|_| Error::Timeout)?
}

impl Body {
    /// Returns whether only the end of the connection will show that the body is complete.
    pub fn is_unframed(&self) -> bool {
        matches!(self.framing, Framing::UntilClose { .. })
    }

    /// Waits for the next bytes of the body; returns `None` when it is complete.
    ///
    /// A connection reset is always an error, even where closing the connection ends the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let mut framing_bytes = 0;
        loop {
            // Without this, a task that gets many small pieces by one read would not let others run.
            consume_budget().await;
            match self.decode()? {
                Decoded::Body(bytes) => return Ok(bytes),
                Decoded::Chunk => continue,
                Decoded::Incomplete => {}
            }
            self.buffer.reserve(READ_BUFFER_BYTES);
            let count = self.read.read_buf(&mut self.buffer).await?;
            framing_bytes += count;
            if framing_bytes > MAX_FRAMING_BYTES && matches!(self.framing, Framing::Codec(_)) {
                return Err(Error::TooLong);
            }
            if count == 0 {
                let Framing::UntilClose { is_reset: false } = self.framing else {
                    return Err(Error::Closed);
                };
                self.framing = Framing::Complete;
            }
        }
    }
}

impl Body {
    /// Decodes at most one chunk of what has arrived.
    fn decode(&mut self) -> Result<Decoded, Error> {
        match &mut self.framing {
            Framing::Codec(codec) => match codec.decode(&mut self.buffer) {
                Ok(Some(Some(bytes))) => return Ok(self.keep(bytes)),
                Ok(Some(None)) => self.framing = Framing::Complete,
                Ok(None) => {}
                Err(failure) => self.framing = Framing::Broken(Some(failure)),
            },
            Framing::UntilClose { .. } if !self.buffer.is_empty() => {
                return Ok(Decoded::Body(Some(self.buffer.split().freeze())));
            }
            _ => {}
        }
        if !self.decoded.is_empty() {
            return Ok(Decoded::Body(Some(self.decoded.split().freeze())));
        }
        match &mut self.framing {
            Framing::Complete => Ok(Decoded::Body(None)),
            Framing::Broken(failure) => Err(failure.take().map_or(Error::Closed, Error::Body)),
            _ => Ok(Decoded::Incomplete),
        }
    }

    /// Keeps a chunk until no whole one is left or there are many bytes: each piece that is returned costs its reader
    /// more than its bytes, and a chunk may be a single one.
    fn keep(&mut self, bytes: Bytes) -> Decoded {
        if self.buffer.is_empty() && self.decoded.is_empty() {
            return Decoded::Body(Some(bytes));
        }
        self.decoded.extend_from_slice(&bytes);
        match self.decoded.len() < READ_BUFFER_BYTES {
            true => Decoded::Chunk,
            false => Decoded::Body(Some(self.decoded.split().freeze())),
        }
    }
}

fn new_codec() -> ClientCodec {
    ClientCodec::new(SERVICE_CONFIG.with(Clone::clone))
}

/// Encodes the head of a request whose body, of `length` bytes, follows as it is.
fn encode_head(
    codec: &mut ClientCodec,
    head: RequestHead,
    length: usize,
    outgoing: &mut BytesMut,
) -> Result<(), Error> {
    let size = match length {
        0 if head.method.is_safe() => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    codec.encode(Message::Item((RequestHeadType::from(head), size)), outgoing)?;
    Ok(())
}

/// Decodes the head of the final response and discards interim (1xx) ones, which are counted in
/// `interim`; `None` if more bytes are needed.
fn decode(
    codec: &mut ClientCodec,
    buffer: &mut BytesMut,
    interim: &mut usize,
) -> Result<Option<ResponseHead>, Error> {
    while let Some(head) = codec.decode(buffer)? {
        if http::is_final(head.status) {
            return Ok(Some(head));
        }
        let is_interim = head.status.is_informational();
        if !is_interim || head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Error::NoAnswer(head.status));
        }
        *interim += 1;
        if *interim > MAX_INTERIM_RESPONSES {
            return Err(Error::TooLong);
        }
        *codec = new_codec();
    }
    Ok(None)
}

/// Chooses the framing of a body, of a response to any method but `HEAD`.
///
/// A response without a length header may have a body that ends with the connection, but the codec
/// treats it as empty.
fn framing(head: &ResponseHead, codec: ClientCodec, is_reset: bool) -> Framing {
    let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_length = head.headers().contains_key(header::CONTENT_LENGTH) || is_encoded(head);
    if !has_no_body && !has_length {
        return Framing::UntilClose { is_reset };
    }
    match codec.message_type() {
        MessageType::None => Framing::Complete,
        _ => Framing::Codec(codec.into_payload_codec()),
    }
}

/// Returns whether a transfer encoding marks the end of the body, which `identity` does not.
fn is_encoded(head: &ResponseHead) -> bool {
    let encoding = head.headers().get(header::TRANSFER_ENCODING);
    encoding.is_some_and(|e| !e.as_bytes().trim_ascii().eq_ignore_ascii_case(b"identity"))
}
