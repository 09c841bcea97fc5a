//! One HTTP/1.1 request and its answer on a connection of its own.
//!
//! A connection is never used again, so that bytes which belong to another answer, or that come
//! after the end of one, cannot reach a caller, and nothing is sent into a connection that the
//! other end is about to close.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header;
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Time after which a peer that acknowledges nothing is taken for lost.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

thread_local! {
    /// Shared by all codecs, since each configuration runs a task of its own.
    static CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Why an exchange has no complete answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[display("connecting: {_0}")]
    #[from(ignore)]
    Connect(io::Error),
    /// No connection was opened in time; nothing was sent.
    #[display("connecting took too long")]
    ConnectTimeout,
    /// The connection failed after something was sent.
    #[display("exchanging bytes: {_0}")]
    Io(io::Error),
    /// The connection ended before the answer was complete.
    #[display("the connection ended before the answer was complete")]
    Closed,
    /// The answer's head is not HTTP.
    #[display("reading an answer's head: {_0}")]
    Head(ParseError),
    /// The answer's body is not framed as its head says.
    #[display("reading an answer's body: {_0}")]
    Body(PayloadError),
    /// The answer cannot be decoded, or the question not encoded.
    #[display("decoding an answer")]
    Malformed,
    /// The answer is longer than allowed.
    #[display("the answer is too long")]
    TooLong,
    /// No complete answer came in time.
    #[display("no complete answer in time")]
    Timeout,
}

impl Error {
    /// Whether nothing of the request can have reached the other end.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout)
    }
}

/// The head of an answer, and its body as it arrives.
pub struct Answer {
    /// Status and headers.
    pub head: ResponseHead,
    /// The rest.
    pub body: Body,
}

/// The body of an answer as it arrives.
pub struct Body {
    read: OwnedReadHalf,
    // Kept open: a peer may take a closed direction for a caller that left.
    _write: OwnedWriteHalf,
    buffer: BytesMut,
    framing: Framing,
}

/// How the end of a body is told.
enum Framing {
    /// By a length or by chunks.
    Codec(ClientPayloadCodec),
    /// By the end of the connection.
    Connection,
    /// There is nothing more.
    Over,
}

/// Opens a connection.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(limit, connecting).await.map_err(|_| Error::ConnectTimeout)?;
    let stream = stream.map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)).map_err(Error::Connect)?;
    Ok(stream)
}

/// Sends a request and waits for the head of its answer.
pub async fn send(stream: TcpStream, head: RequestHead, body: Bytes) -> Result<Answer, Error> {
    let (mut read, mut write) = stream.into_split();
    let mut codec = new_codec();
    let mut out = BytesMut::with_capacity(1024 + body.len());
    encode(&mut codec, head, body, &mut out)?;
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    loop {
        tokio::select! {
            written = write.write_buf(&mut out), if out.has_remaining() => {
                if written.is_err() {
                    // An answer may have come before the connection broke.
                    out.clear();
                }
            }
            count = read.read_buf(&mut buffer) => {
                let count = count?;
                if let Some(head) = decode(&mut codec, &mut buffer)? {
                    return Ok(answer(head, codec, read, write, buffer));
                }
                if count == 0 {
                    return Err(Error::Closed);
                }
            }
        }
    }
}

/// Sends a request and reads its whole answer.
pub async fn call(
    address: SocketAddr,
    head: RequestHead,
    body: Bytes,
    most: usize,
    limit: Duration,
) -> Result<(ResponseHead, Bytes), Error> {
    let exchange = async {
        let stream = connect(address, limit).await?;
        let Answer { head, mut body } = send(stream, head, body).await?;
        let mut whole = BytesMut::new();
        while let Some(part) = body.next().await? {
            if whole.len() + part.len() > most {
                return Err(Error::TooLong);
            }
            whole.extend_from_slice(&part);
        }
        Ok((head, whole.freeze()))
    };
    timeout(limit, exchange).await.map_err(|_| Error::Timeout)?
}

impl Body {
    /// The next bytes; none when the body is complete.
    ///
    /// A connection that is reset is an error, also where only its end marks that of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match &mut self.framing {
                Framing::Over => return Ok(None),
                Framing::Connection if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Framing::Connection => {}
                Framing::Codec(codec) => match codec.decode(&mut self.buffer)? {
                    Some(Some(bytes)) => return Ok(Some(bytes)),
                    Some(None) => {
                        self.framing = Framing::Over;
                        return Ok(None);
                    }
                    None => {}
                },
            }
            self.buffer.reserve(READ_BYTES);
            if self.read.read_buf(&mut self.buffer).await? == 0 {
                if matches!(self.framing, Framing::Codec(_)) {
                    return Err(Error::Closed);
                }
                self.framing = Framing::Over;
            }
        }
    }
}

fn new_codec() -> ClientCodec {
    ClientCodec::new(CONFIG.with(Clone::clone))
}

fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: Bytes,
    out: &mut BytesMut,
) -> Result<(), Error> {
    let size = if body.is_empty() && !head.method.is_safe() {
        BodySize::Sized(0)
    } else if body.is_empty() {
        BodySize::None
    } else {
        BodySize::Sized(body.len() as u64)
    };
    codec.encode(Message::Item((RequestHeadType::from(head), size)), out)?;
    if !body.is_empty() {
        codec.encode(Message::Chunk(Some(body)), out)?;
    }
    Ok(())
}

/// The head of the final answer, past those of interim ones.
fn decode(codec: &mut ClientCodec, buffer: &mut BytesMut) -> Result<Option<ResponseHead>, Error> {
    while let Some(head) = codec.decode(buffer)? {
        let interim = head.status.is_informational();
        if !interim || head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Ok(Some(head));
        }
        *codec = new_codec();
    }
    Ok(None)
}

fn answer(
    head: ResponseHead,
    codec: ClientCodec,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buffer: BytesMut,
) -> Answer {
    let framing = framing(&head, codec);
    Answer { head, body: Body { read, _write: write, buffer, framing } }
}

/// The codec takes an answer without a length for one without a body, which it need not be.
fn framing(head: &ResponseHead, codec: ClientCodec) -> Framing {
    let headers = head.headers();
    let has_length = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let is_bare = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !is_bare && !has_length.iter().any(|name| headers.contains_key(name)) {
        return Framing::Connection;
    }
    match codec.message_type() {
        MessageType::None => Framing::Over,
        _ => Framing::Codec(codec.into_payload_codec()),
    }
}
