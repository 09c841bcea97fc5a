//! HTTP calls, on pooled connections or each on its own, shared by the clients of engines, plain services, the host
//! list and the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::header::{self, HeaderMap};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Content type of bodies that [`encode`] returns.
pub(crate) const JSON: &str = "application/json";

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of connections that a client has open at once.
const MAX_CONNECTIONS: usize = 256;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// No connection could be opened, so the call certainly did not run.
    #[display("no connection could be opened")]
    Unreachable,
    /// The connection failed; the call may have arrived.
    #[display("the connection was lost")]
    Lost,
    /// No complete response within the timeout; the call may have arrived.
    #[display("no complete response within the timeout")]
    Timeout,
    /// The response has an unexpected status.
    #[display("the response has unexpected status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The response cannot be decoded, or is larger than allowed.
    #[display("the response is malformed or too large")]
    Malformed,
    /// The call cannot be expressed as an HTTP request, and was not sent.
    #[display("the call cannot be expressed as an HTTP request")]
    Unsendable,
}

impl Error {
    /// Returns whether it is certain that the call did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unsendable)
    }

    /// Returns the name of the failure in counters.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
            Self::Status { .. } => "status",
            Self::Malformed => "malformed",
            Self::Unsendable => "unsendable",
        }
    }
}

/// A request. If `content_type` is empty, the header is not sent.
pub(crate) struct Request<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) content_type: &'a str,
    pub(crate) body: Bytes,
    /// Whether its connection carries no other request. A server may send a second copy of a response
    /// late, which nothing tells from the response to the next request.
    pub(crate) is_alone: bool,
}

/// A complete response. `content_type` is empty if the header is absent or not text.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl Response {
    /// Decodes the body as JSON, whatever the status is.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| Error::Malformed)
    }

    /// Returns the error of a response whose status is not expected.
    pub(crate) fn status_error(&self) -> Error {
        Error::Status { status: self.status.as_u16() }
    }
}

/// Encodes the body of a request as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    serde_json::to_vec(value).map(Bytes::from).map_err(|_| Error::Unsendable)
}

/// Creates a client that does not retry and does not follow redirects.
pub(crate) fn client() -> awc::Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(MAX_CONNECTIONS);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Sends a request and reads the complete response within `limit`.
pub(crate) async fn send(
    client: &awc::Client,
    address: SocketAddr,
    request: Request<'_>,
    limit: Duration,
) -> Result<Response, Error> {
    timeout(limit, exchange(client, address, request)).await.map_err(|_| Error::Timeout)?
}

async fn exchange(
    client: &awc::Client,
    address: SocketAddr,
    request: Request<'_>,
) -> Result<Response, Error> {
    let url = format!("http://{address}{}", request.path);
    let mut client_request = client.request(request.method, url);
    if !request.content_type.is_empty() {
        client_request = client_request.insert_header(("content-type", request.content_type));
    }
    if request.is_alone {
        client_request = client_request.force_close();
    }
    let mut response = client_request.send_body(request.body).await.map_err(send_error)?;
    if !is_final(response.status()) {
        return Err(Error::Malformed);
    }
    let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| match e {
        PayloadError::Overflow => Error::Malformed,
        _ => Error::Lost,
    })?;
    let content_type = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    Ok(Response {
        status: response.status(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body,
    })
}

/// Classifies a failure to send by whether the call may have reached its destination.
pub(crate) fn send_error(error: SendRequestError) -> Error {
    match error {
        SendRequestError::Url(_) | SendRequestError::Http(_) => Error::Unsendable,
        // Also reported when a pooled connection closes after the call was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => Error::Lost,
        SendRequestError::Connect(_) => Error::Unreachable,
        SendRequestError::Timeout => Error::Timeout,
        SendRequestError::Response(_) => Error::Malformed,
        _ => Error::Lost,
    }
}

/// Returns whether an answer may have this status. HTTP has none from 600 on; those below 200 come before an answer, or,
/// as 101, change the protocol, for which no request of ours asks.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns the length that headers state for a body, unless they state another framing.
pub fn content_length(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
