//! An HTTP server on an existing listener, and reading of request bodies with limits.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after `accept` fails. The usual cause is a temporary lack of resources, such as file
/// descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections and serves each in a task of its own until the future is dropped.
///
/// Connections that are open at that time are still served.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(stream, handler.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    // With Nagle's algorithm, small chunks would wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = fn_service(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .finish(service)
        .tcp();
    if let Ok(service) = factory.new_service(()).await {
        // An error only means that this connection has ended, and the task ends with it.
        let _ = service.call(stream).await;
    }
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// The body did not arrive within the time limit.
    #[display("the body did not arrive in time")]
    Timeout,
    /// The connection failed before the body was complete.
    #[display("the body is incomplete")]
    Incomplete,
}

/// Reads the complete body of a request, of at most `max_bytes`, within `limit`.
pub async fn read_body(
    request: &mut Request,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    timeout(limit, collect(request, max_bytes)).await.map_err(|_| BodyError::Timeout)?
}

async fn collect(request: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
