//! The HTTP server that the stand-ins share. It ends as a crashed process does when the fault
//! switch says so, and can close a connection in place of an answer.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::{self, Stream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

use crate::fault::Switch;

/// Limit on the size of a request's body. Larger ones are answered with 413.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Time for which an idle connection stays open; also the time limit on reading a request's head.
const KEEP_ALIVE: Duration = Duration::from_secs(600);

/// A request whose body has been read to its end.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, or an empty text if there is none.
    pub query: String,
    /// Content type, or an empty text if there is none or it is not ASCII.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Decodes the body from JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// How the stand-in responds to a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends an answer.
    Answer {
        /// HTTP status.
        status: StatusCode,
        /// Content type of the body.
        content_type: String,
        /// Body.
        body: Bytes,
    },
    /// Sends a JSON answer with status 200 in chunks, as they arrive, until the channel is closed.
    Stream(mpsc::Receiver<Bytes>),
    /// Closes the connection without an answer.
    Disconnect,
}

impl Reply {
    /// Returns an answer without a body.
    pub fn status(status: StatusCode) -> Self {
        Self::Answer { status, content_type: "text/plain".to_owned(), body: Bytes::new() }
    }

    /// Returns an answer in JSON, or one with status 500 if `value` cannot be encoded.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::Answer {
                status,
                content_type: "application/json".to_owned(),
                body: body.into(),
            },
            Err(_) => Self::status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

/// Answers calls with `handler` until `switch` makes the stand-in crash.
///
/// A crash closes the listener and all connections, as the crash of a process does.
pub async fn serve<H, F>(listener: TcpListener, switch: Switch, handler: H)
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let mut crash = pin!(switch.wait_for_crash());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut crash => return,
        };
        if let Ok((stream, _)) = accepted {
            actix_rt::spawn(connection(stream, switch.clone(), handler.clone()));
        }
    }
}

async fn connection<H, F>(stream: TcpStream, switch: Switch, handler: H)
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    // With Nagle's algorithm, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let disconnect = Rc::new(Notify::new());
    let served = serve_connection(stream, disconnect.clone(), handler);
    tokio::select! {
        () = served => {}
        () = disconnect.notified() => {}
        () = switch.wait_for_crash() => {}
    }
}

async fn serve_connection<H, F>(stream: TcpStream, disconnect: Rc<Notify>, handler: H)
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(KEEP_ALIVE)
        .finish(fn_service(move |request| answer(request, disconnect.clone(), handler.clone())))
        .tcp();
    if let Ok(service) = factory.new_service(()).await {
        // The task ends with its connection, for whatever reason that ends.
        let _ = service.call(stream).await;
    }
}

async fn answer<H, F>(
    request: Request,
    disconnect: Rc<Notify>,
    handler: H,
) -> Result<Response<BoxBody>, Infallible>
where
    H: Fn(Call) -> F,
    F: Future<Output = Reply>,
{
    let Some(call) = read_call(request).await else {
        return Ok(Response::new(StatusCode::PAYLOAD_TOO_LARGE).set_body(BoxBody::new(())));
    };
    match handler(call).await {
        Reply::Answer { status, content_type, body } => Ok(Response::build(status)
            .insert_header(("content-type", content_type))
            .body(body)
            .map_into_boxed_body()),
        Reply::Stream(chunks) => Ok(Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(BodyStream::new(chunk_stream(chunks)))
            .map_into_boxed_body()),
        Reply::Disconnect => {
            disconnect.notify_one();
            std::future::pending().await
        }
    }
}

fn chunk_stream(chunks: mpsc::Receiver<Bytes>) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold(chunks, |mut chunks| async {
        chunks.recv().await.map(|chunk| (Ok(chunk), chunks))
    })
}

/// Reads a request with its body; returns `None` if the body is too large or breaks off.
async fn read_call(mut request: Request) -> Option<Call> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    let content_type = request.headers().get("content-type").and_then(|v| v.to_str().ok());
    Some(Call {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: body.freeze(),
    })
}
