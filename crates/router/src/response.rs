//! Keeps responses of endpoints until their callers have read them.

use std::io;

use actix_http::ResponseHead;
use bytes::Bytes;
use oriole_adapter::memory::{Body, Lease};
use oriole_platform::endpoint;

use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::state::Shared;

/// Begins a response of at most `max_bytes`, which keeps its memory while it is read from its endpoint.
pub fn begin(state: &Shared, max_bytes: usize) -> Body {
    let lease = state.response_memory.begin(state.now());
    lease.pin();
    Body::new(lease, 0, max_bytes)
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
