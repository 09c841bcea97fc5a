//! Client of the platform's list of hosts, at `GET /v1/hosts`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use oriole_core::membership::Listing;
use oriole_core::name;
use oriole_macros::data;

use crate::http::{self, Request};

pub use crate::http::Error;

/// Path of the list on the platform's HTTP server.
pub const PATH: &str = "/v1/hosts";

/// The list of hosts. It may lag behind the hosts' actual state.
#[data]
pub struct List {
    /// What the platform reports of each host.
    pub hosts: BTreeMap<name::Host, Listing>,
}

/// A client of the host list.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the list at `address`. It connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: http::client(), address }
    }

    /// Reads the list; any status other than 200 is an error.
    pub async fn list(&self, timeout: Duration) -> Result<List, Error> {
        let (method, body) = (Method::GET, Bytes::new());
        let request = Request { method, path: PATH, content_type: "", body, is_alone: false };
        let response = http::send(&self.http, self.address, request, timeout).await?;
        if response.status != StatusCode::OK {
            return Err(response.status_error());
        }
        response.decode()
    }
}
