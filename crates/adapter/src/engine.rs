//! Client of model engines, for the HTTP interface that [`oriole_core::engine`] describes.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use oriole_core::engine::{Batch, Cache, CacheEvents, Load, Order, Outcomes, State};
use serde::de::DeserializeOwned;

use crate::http::{self, JSON, Request, Response, encode};

pub use crate::http::Error;

/// A client of one engine. Each request has a connection of its own.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the engine at `address`. It connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: http::client(), address }
    }

    /// Runs a batch of steps.
    pub async fn steps(&self, batch: &Batch, timeout: Duration) -> Result<Outcomes, Error> {
        let response = self.send(Method::POST, "/v1/steps", encode(batch)?, timeout).await?;
        decode(response)
    }

    /// Frees the KV cache of a sequence. Succeeds if the engine does not hold the sequence.
    pub async fn free(&self, sequence: &str, timeout: Duration) -> Result<(), Error> {
        let path = format!("/v1/sequences/{sequence}");
        let response = self.send(Method::DELETE, &path, Bytes::new(), timeout).await?;
        if response.status == StatusCode::NOT_FOUND { Ok(()) } else { check_status(&response) }
    }

    /// Exports the KV cache of a sequence.
    pub async fn export(&self, sequence: &str, timeout: Duration) -> Result<Cache, Error> {
        let path = format!("/v1/sequences/{sequence}/cache");
        decode(self.send(Method::GET, &path, Bytes::new(), timeout).await?)
    }

    /// Imports the KV cache of a sequence.
    pub async fn import(
        &self,
        sequence: &str,
        cache: &Cache,
        timeout: Duration,
    ) -> Result<(), Error> {
        let path = format!("/v1/sequences/{sequence}/cache");
        check_status(&self.send(Method::PUT, &path, encode(cache)?, timeout).await?)
    }

    /// Reads the engine's load, which may be out of date.
    pub async fn load(&self, timeout: Duration) -> Result<Load, Error> {
        decode(self.send(Method::GET, "/v1/load", Bytes::new(), timeout).await?)
    }

    /// Reads the changes of the prefix cache that follow event number `after`.
    pub async fn cache_events(&self, after: u64, timeout: Duration) -> Result<CacheEvents, Error> {
        let path = format!("/v1/cache-events?after={after}");
        decode(self.send(Method::GET, &path, Bytes::new(), timeout).await?)
    }

    /// Reads what the engine holds.
    pub async fn state(&self, timeout: Duration) -> Result<State, Error> {
        decode(self.send(Method::GET, "/v1/state", Bytes::new(), timeout).await?)
    }

    /// Sends an order, and returns the engine's state.
    ///
    /// [`Error::Status`] 409 means that the order's fencing token is out of date.
    pub async fn order(&self, order: &Order, timeout: Duration) -> Result<State, Error> {
        decode(self.send(Method::POST, "/v1/orders", encode(order)?, timeout).await?)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let content_type = if body.is_empty() { "" } else { JSON };
        let request = Request { method, path, content_type, body, is_alone: true };
        http::send(&self.http, self.address, request, timeout).await
    }
}

fn decode<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    check_status(&response)?;
    response.decode()
}

fn check_status(response: &Response) -> Result<(), Error> {
    if response.status.is_success() { Ok(()) } else { Err(response.status_error()) }
}
