//! One HTTP/1.1 request and its response on a connection of its own.
//!
//! Connections are never reused. Bytes that belong to another response, or that follow the end of
//! one, therefore cannot reach a caller, and no request is sent on a connection that the peer is
//! about to close.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::coop::consume_budget;
use tokio::time::timeout;

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

/// Why an exchange yielded no complete response.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[display("opening a connection: {_0}")]
    #[from(ignore)]
    Connect(io::Error),
    /// No connection was opened within the limit; nothing was sent.
    #[display("opening a connection: time limit exceeded")]
    ConnectTimeout,
    /// The connection failed; the peer may have received the request.
    #[display("exchanging data with the peer: {_0}")]
    Io(io::Error),
    /// The peer closed the connection before the response was complete.
    #[display("the peer closed the connection before the response was complete")]
    Closed,
    /// The response head is not valid HTTP/1.1.
    #[display("parsing the response head: {_0}")]
    Head(ParseError),
    /// The body does not match the framing that the response head declares.
    #[display("reading the response body: {_0}")]
    Body(PayloadError),
    /// The request cannot be encoded, or the response body cannot be decoded.
    #[display("the request cannot be encoded, or the response cannot be decoded")]
    Malformed,
    /// The head has a status that no final answer has.
    #[display("the response has status {_0}, which no answer has")]
    #[from(ignore)]
    #[error(ignore)]
    NoAnswer(StatusCode),
    /// The peer answered with a status that is not one of success.
    #[display("the peer answered with status {_0}")]
    #[from(ignore)]
    #[error(ignore)]
    Status(StatusCode),
    /// The response or its body is larger than allowed.
    #[display("the response exceeds the size limit")]
    TooLong,
    /// The response was not complete within the limit.
    #[display("no complete response within the time limit")]
    Timeout,
}

impl Error {
    /// Returns whether the peer sent a response, whatever is wrong with it.
    pub fn is_response(&self) -> bool {
        self.is_invalid() || matches!(self, Self::Status(_))
    }

    /// Returns whether nothing was heard of the peer.
    ///
    /// A lack of descriptors or ports of this process says nothing of the peer, and one that closes a connection has
    /// been heard of.
    pub fn is_silence(&self) -> bool {
        match self {
            Self::ConnectTimeout | Self::Timeout => true,
            Self::Connect(error) => matches!(
                error.kind(),
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
            ),
            _ => false,
        }
    }

    /// Returns whether the peer sent what is no answer, and not merely none or a part of one.
    pub fn is_invalid(&self) -> bool {
        matches!(
            self,
            Self::Head(_) | Self::Body(_) | Self::Malformed | Self::NoAnswer(_) | Self::TooLong
        )
    }

    /// Returns whether it is certain that the peer received no part of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout)
    }
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
                    let body = Body { read, _write: write, buffer, framing };
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
            match &mut self.framing {
                Framing::Complete => return Ok(None),
                Framing::UntilClose { .. } if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Framing::UntilClose { .. } => {}
                Framing::Codec(codec) => match codec.decode(&mut self.buffer)? {
                    Some(Some(bytes)) => return Ok(Some(bytes)),
                    Some(None) => {
                        self.framing = Framing::Complete;
                        return Ok(None);
                    }
                    None => {}
                },
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
