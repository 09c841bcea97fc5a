//! Writes responses to a caller's connection, as streams or with one body.

use std::io;
use std::time::Duration;

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Response, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// Bytes of a body that are encoded at a time.
const MAX_PART_BYTES: usize = 32 * 1024;

/// Longest time in which a caller must take a response without a body.
const EMPTY_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How much of the response to the current request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing has been written.
    NotStarted,
    /// The head, and perhaps a part of the body.
    Partial,
    /// The complete response.
    Complete,
}

/// Writes responses to one caller's connection.
pub struct Writer {
    write: OwnedWriteHalf,
    /// Encodes responses. It decodes the requests too, since the framing of a response depends on
    /// its request.
    pub codec: Codec,
    out: BytesMut,
    progress: Progress,
    /// Type of the stream in progress, if its head states one.
    stream_type: Option<HeaderValue>,
    /// Whether the connection closes after the current response.
    pub close: bool,
}

impl Writer {
    /// Creates a writer for a connection on which no request has been read yet.
    pub fn new(write: OwnedWriteHalf, codec: Codec) -> Self {
        let out = BytesMut::new();
        Self { write, codec, out, progress: Progress::Complete, stream_type: None, close: false }
    }

    /// Resets the progress for the response to a new request.
    pub fn start_response(&mut self) {
        self.progress = Progress::NotStarted;
    }

    /// Returns how much of the current response has been written.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Returns whether another request may follow on the connection.
    pub fn may_continue(&self) -> bool {
        self.progress == Progress::Complete && self.codec.keep_alive() && !self.close
    }

    /// Writes `100 Continue`, for which a caller waits that sent `Expect: 100-continue`.
    pub async fn send_continue(&mut self) -> io::Result<()> {
        self.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    /// Writes the head of a response whose body follows in chunks.
    pub async fn begin_stream(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.stream_type = headers.get(header::CONTENT_TYPE).cloned();
        self.encode_head(status, headers, BodySize::Stream)?;
        self.progress = Progress::Partial;
        self.flush().await
    }

    /// Returns whether a response with these headers has the type of the stream that has begun.
    pub fn has_type(&self, headers: &HeaderMap) -> bool {
        media_type(self.stream_type.as_ref()) == media_type(headers.get(header::CONTENT_TYPE))
    }

    /// Writes a chunk of the body.
    pub async fn chunk(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(Bytes::from(bytes))), &mut self.out)?;
        self.flush().await
    }

    /// Ends the body of a stream.
    pub async fn end_stream(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.out)?;
        self.progress = Progress::Complete;
        self.flush().await
    }

    /// Writes a complete response.
    pub async fn respond(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.respond_with(status, headers, body, |_| {}).await
    }

    /// Writes a complete response, and calls `on_progress` with the number of bytes of each part of the body
    /// that has been written.
    pub async fn respond_with(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        mut body: Bytes,
        on_progress: impl Fn(usize),
    ) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        self.progress = Progress::Partial;
        // The body is encoded in parts, so that the output buffer does not double its memory.
        while !body.is_empty() {
            let part = body.split_to(body.len().min(MAX_PART_BYTES));
            let bytes = part.len();
            self.codec.encode(Message::Chunk(Some(part)), &mut self.out)?;
            if !body.is_empty() {
                self.flush().await?;
                on_progress(bytes);
            }
        }
        self.codec.encode(Message::Chunk(None), &mut self.out)?;
        self.progress = Progress::Complete;
        self.flush().await
    }

    /// Writes a response without a body, with a `retry-after` header in seconds if one is given.
    pub async fn respond_empty(
        &mut self,
        status: StatusCode,
        retry_after: Option<Duration>,
    ) -> io::Result<()> {
        let mut headers = HeaderMap::new();
        if let Some(retry_after) = retry_after {
            let text = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        let writing = self.respond(status, headers, Bytes::new());
        // A caller that reads none of its answers would keep the connection without end.
        timeout(EMPTY_WRITE_TIMEOUT, writing).await.map_err(io::Error::from)?
    }

    /// Shuts the connection down after everything written so far.
    pub async fn shut_down(&mut self) {
        // Fails if the caller has closed the connection already, which needs no action.
        let _ = self.write.shutdown().await;
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> io::Result<()> {
        let mut response: Response<()> = Response::new(status).drop_body();
        let head: &mut ResponseHead = response.head_mut();
        head.headers = headers;
        if self.close {
            head.set_connection_type(actix_http::ConnectionType::Close);
        }
        self.codec.encode(Message::Item((response, size)), &mut self.out)
    }

    async fn flush(&mut self) -> io::Result<()> {
        while !self.out.is_empty() {
            self.write.write_buf(&mut self.out).await?;
        }
        Ok(())
    }
}

/// Returns a type without its parameters, in lower case; empty if there is none.
fn media_type(value: Option<&HeaderValue>) -> Vec<u8> {
    let whole = value.map_or(&b""[..], HeaderValue::as_bytes);
    let name = whole.split(|byte| *byte == b';').next().unwrap_or_default();
    name.trim_ascii().to_ascii_lowercase()
}
