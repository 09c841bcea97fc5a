//! A watch: a stream of changes of keys, one JSON reply per line.

use std::pin::Pin;

use awc::ClientResponse;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::task::coop::consume_budget;

use super::message::{StreamReply, WatchReply};
use super::{Cause, Error, Operation};
use crate::http;

/// Largest reply of a watch.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// A stream of changes of keys. Dropping it ends the watch.
pub struct Watch {
    body: Body,
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of a line.
    searched: usize,
}

impl Watch {
    pub(super) fn new<S>(response: ClientResponse<S>) -> Self
    where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
    {
        Self { body: Box::pin(response), buffer: BytesMut::new(), searched: 0 }
    }

    /// Waits for the next reply.
    ///
    /// An error ends the watch. Changes may have been missed, so the caller must read the keys
    /// again.
    pub async fn next(&mut self) -> Result<WatchReply, Error> {
        let fail = |e| Error { operation: Operation::Watch, cause: Cause::Http(e) };
        loop {
            // Without this, a task that gets many small pieces by one read would not let others run.
            consume_budget().await;
            let new = &self.buffer[self.searched..];
            if let Some(end) = new.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(self.searched + end);
                self.buffer.advance(1);
                self.searched = 0;
                let reply = serde_json::from_slice::<StreamReply<WatchReply>>(&line);
                return reply.map(|r| r.result).map_err(|_| fail(http::Error::Malformed));
            }
            self.searched = self.buffer.len();
            if self.buffer.len() > MAX_REPLY_BYTES {
                return Err(fail(http::Error::Malformed));
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(_)) | None => return Err(fail(http::Error::Lost)),
            }
        }
    }
}
