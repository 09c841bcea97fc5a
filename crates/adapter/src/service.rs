//! Client of plain services, which passes HTTP calls through unchanged.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use oriole_core::message::{Answer, Call};

use crate::http::{self, Request};

pub use crate::http::Error;

/// A client of one plain service. Each call has a connection of its own.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the service at `address`. It connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: http::client(), address }
    }

    /// Makes a call once, without retries. Any HTTP status is an answer, not an error.
    ///
    /// [`Error::is_not_run`] returns whether a failed call certainly did not run.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Answer, Error> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| Error::Unsendable)?;
        if !call.path.starts_with('/') {
            return Err(Error::Unsendable);
        }
        let request = Request {
            method,
            path: &call.path,
            content_type: &call.content_type,
            body: Bytes::copy_from_slice(&call.body),
            is_alone: true,
        };
        let response = http::send(&self.http, self.address, request, timeout).await?;
        Ok(Answer {
            status: response.status.as_u16(),
            content_type: response.content_type,
            body: response.body.to_vec(),
        })
    }
}
