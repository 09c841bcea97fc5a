//! What the adapters that speak HTTP to endpoints share.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::time::timeout;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most connections to one endpoint.
const MAX_CONNECTIONS: usize = 256;

/// Why a call to an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// No connection could be opened, so that the call certainly did not run.
    #[display("no connection to the endpoint")]
    Unreachable,
    /// The connection failed after the call may have arrived.
    #[display("connection to the endpoint lost")]
    Lost,
    /// No answer within the timeout; the call may have arrived.
    #[display("no answer from the endpoint in time")]
    Timeout,
    /// The endpoint answered with another status than expected.
    #[display("endpoint answered with status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer could not be understood, or is larger than allowed.
    #[display("malformed answer from the endpoint")]
    Malformed,
    /// The call could not be put into an HTTP request, and was not sent.
    #[display("call that cannot be sent")]
    Unsendable,
}

impl Error {
    /// Whether it is certain that the call did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unsendable)
    }

    /// A short name of the failure for counters.
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

/// A request to an endpoint.
pub(crate) struct Request<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) content_type: &'a str,
    pub(crate) body: Bytes,
}

/// An endpoint's answer.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// Creates a client that repeats nothing and follows no redirects on its own.
pub(crate) fn client() -> awc::Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(MAX_CONNECTIONS);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Sends a request and reads the whole answer within `limit`.
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
    let mut sending = client.request(request.method, url);
    if !request.content_type.is_empty() {
        sending = sending.insert_header(("content-type", request.content_type));
    }
    let mut response = sending.send_body(request.body).await.map_err(send_error)?;
    let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|e| match e {
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

pub(crate) fn send_error(error: SendRequestError) -> Error {
    match error {
        SendRequestError::Url(_) | SendRequestError::Http(_) => Error::Unsendable,
        // A pooled connection reports its end as `Disconnected` too, after the call was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => Error::Lost,
        SendRequestError::Connect(_) => Error::Unreachable,
        SendRequestError::Timeout => Error::Timeout,
        SendRequestError::Response(_) => Error::Malformed,
        _ => Error::Lost,
    }
}
