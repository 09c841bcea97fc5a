//! A watch: a stream of changes.

use std::pin::Pin;

use awc::ClientResponse;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

use super::message::{Streamed, Watched};
use super::{Cause, Error, Operation};
use crate::http;

/// Largest answer of a watch, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// A stream of changes. Dropping it ends the watch.
pub struct Watch {
    body: Body,
    buffer: BytesMut,
}

impl Watch {
    pub(super) fn new<S>(response: ClientResponse<S>) -> Self
    where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
    {
        Self { body: Box::pin(response), buffer: BytesMut::new() }
    }

    /// The next answer. An error ends the watch: changes may have been missed, so that the keys
    /// must be read again.
    pub async fn next(&mut self) -> Result<Watched, Error> {
        let fail = |e| Error { operation: Operation::Watch, cause: Cause::Http(e) };
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                let answer = serde_json::from_slice::<Streamed<Watched>>(&line);
                return answer.map(|a| a.result).map_err(|_| fail(http::Error::Malformed));
            }
            if self.buffer.len() > MAX_ANSWER_BYTES {
                return Err(fail(http::Error::Malformed));
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(_)) | None => return Err(fail(http::Error::Lost)),
            }
        }
    }
}
