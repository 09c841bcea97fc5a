//! Keeps responses of endpoints until their callers have read them.

use std::io;

use actix_http::ResponseHead;
use bytes::Bytes;
use derive_more::{Display, Error, From};
use oriole_adapter::exchange;
use oriole_adapter::http::content_length;
use oriole_adapter::memory::{Body, Lease, Refusal};
use oriole_core::forward::outcome;
use oriole_platform::endpoint;

use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::state::Shared;

/// Why the body of a response could not be read.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The exchange with the endpoint failed.
    #[display("{_0}")]
    Exchange(exchange::Error),
    /// There is no memory for a body of the length that its head states.
    #[display("there is no memory for the body")]
    NoMemory,
    /// The body does not fit. One whose head states no length may have no end.
    #[display("the body does not fit: {_0}")]
    #[error(ignore)]
    Refused(Refusal),
}

impl Failure {
    /// Returns how the attempt ended.
    pub fn of_attempt(&self) -> outcome::Failure {
        match self {
            Self::NoMemory => outcome::Failure::NoMemory,
            Self::Exchange(_) | Self::Refused(_) => outcome::Failure::Unknown,
        }
    }
}

/// Reads the body of a response, of at most `max_bytes`. It keeps its memory while it is read, whatever others need.
pub async fn read(
    state: &Shared,
    head: &ResponseHead,
    mut received: exchange::Body,
    max_bytes: usize,
) -> Result<(Bytes, Lease), Failure> {
    let lease = state.response_memory.begin(state.now());
    lease.pin();
    let mut body = Body::new(lease, 0, max_bytes);
    while let Some(bytes) = received.next().await? {
        // A length without a body, as in a response to HEAD, needs no memory.
        if let Some(length) = content_length(head.headers()).filter(|_| body.is_empty()) {
            body.reserve(length, state.now()).map_err(|refusal| match refusal {
                Refusal::Full => Failure::NoMemory,
                Refusal::TooLarge => Failure::Refused(refusal),
            })?;
        }
        body.push(&bytes, state.now())?;
    }
    Ok(body.finish())
}

/// Writes a response that has been read. If others need its memory and the caller hardly reads it, it ends midway.
pub async fn forward(
    state: &Shared,
    head: &ResponseHead,
    body: Bytes,
    mut lease: Lease,
    writer: &mut Writer,
) -> io::Result<()> {
    let eviction = lease.eviction().wait();
    lease.unpin(state.now());
    let headers = endpoint::end_to_end(head.headers());
    let writing = writer.respond_with(head.status, headers, body, |n| lease.record_progress(n));
    tokio::select! {
        biased;
        written = writing => written,
        () = eviction => {
            log::info!("answer ended to make room, since its caller hardly reads it");
            Metrics::count(&state.metrics.cut, "made-room");
            Err(io::ErrorKind::TimedOut.into())
        }
    }
}
