//! An HTTP server on a given listener, and the reading of bounded bodies.

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

/// Pause after a failure to accept, which means a passing lack of resources.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves `handler`, one task a connection, until the future is dropped; open connections go on.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(connection(stream, handler.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    // Without it, small pieces of an answer wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let answer = fn_service(move |request| {
        let answered = handler(request);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .finish(answer)
        .tcp();
    if let Ok(service) = factory.new_service(()).await {
        // The end of a connection, for whatever reason, ends its task.
        let _ = service.call(stream).await;
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// It did not arrive in time.
    #[display("the body did not arrive in time")]
    Slow,
    /// The connection failed.
    #[display("the body is incomplete")]
    Incomplete,
}

/// Reads the whole body of a request: `max_bytes` at most, within `limit`.
pub async fn body(
    request: &mut Request,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    timeout(limit, read(request, max_bytes)).await.map_err(|_| BodyError::Slow)?
}

async fn read(request: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
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
