//! An HTTP server on an existing listener, and reading of request bodies with limits.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, Payload, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::StreamExt;
use oriole_core::forward::memory::Full;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::connections::{Admission, Connection, Connections, Serving};
use crate::http::content_length;
use crate::memory::{Body, Lease, Memory, Refusal};

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after `accept` fails. The usual cause is a temporary lack of resources, such as file
/// descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time for which what follows a body that is refused is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Memory of a connection: what its HTTP decoder reads ahead of the current request, and of its body.
pub const CONNECTION_BYTES: usize = 160 * 1024;

/// Sets the size of the receive buffers of the connections that a listener accepts from now on, in bytes.
pub fn limit_receive_buffers(listener: &TcpListener, bytes: usize) {
    if let Err(error) = socket2::SockRef::from(listener).set_recv_buffer_size(bytes) {
        log::warn!(error:%; "setting the size of receive buffers failed");
    }
}

/// Accepts connections and serves each in a task of its own until the future is dropped. Beyond the bound of
/// `connections`, the one that has waited longest for a complete request is closed.
///
/// Connections that are open at that time are still served.
pub async fn serve<H, F>(listener: TcpListener, connections: Rc<Connections>, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (Admission::Admitted(connection, mut eviction)
                | Admission::InPlaceOfOther(connection, mut eviction)) = connections.admit()
                else {
                    log::debug!("connection closed, since all others are being served");
                    continue;
                };
                let serving = serve_connection(stream, Rc::new(connection), handler.clone());
                actix_rt::spawn(async move {
                    tokio::select! {
                        () = eviction.wait() => log::debug!("connection closed to make room"),
                        () = serving => {}
                    }
                });
                if connections.is_full() {
                    // Lets the tasks of connections that gave way end before more are accepted.
                    yield_now().await;
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, connection: Rc<Connection>, handler: H)
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
        .on_connect_ext(move |_: &TcpStream, extensions| {
            extensions.insert(connection.clone());
        })
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
    /// There is no memory for the body, or others need it and the body hardly arrives.
    #[display("there is no memory for the body")]
    NoMemory,
}

impl From<Refusal> for BodyError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::TooLarge => Self::TooLarge,
            Refusal::Full => Self::NoMemory,
        }
    }
}

/// What a request holds while it is served.
pub struct Held {
    _lease: Lease,
    _serving: Option<Serving>,
}

/// How bodies are read.
#[derive(Clone, Debug)]
pub struct BodyReader {
    /// Memory that all bodies share.
    pub memory: Memory,
    /// Clock by which the pace of bodies is measured.
    pub clock: Clock,
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Longest time in which a body must arrive.
    pub limit: Duration,
    /// Copies of a body that are in memory while its request is served.
    pub copies: usize,
}

impl BodyReader {
    /// Reads bodies that share no bound, for a server whose clients are all our own.
    pub fn unshared(max_bytes: usize, limit: Duration) -> Self {
        let memory = Memory::new(usize::MAX);
        Self { memory, clock: Clock::start(), max_bytes, limit, copies: 1 }
    }

    /// Reads the complete body of a request. Its memory counts, and its connection does not give way to others, until
    /// the second part is dropped.
    ///
    /// What follows a body that is refused is discarded for a while, since the caller gets the refusal only if the
    /// connection is not closed with unread bytes.
    pub async fn read(&self, request: &mut Request) -> Result<(Bytes, Held), BodyError> {
        let length = content_length(request.headers());
        let mut payload = request.take_payload();
        let read = self.read_payload(length, &mut payload).await;
        if let Err(BodyError::TooLarge | BodyError::NoMemory) = read {
            let discarding = async { while let Some(Ok(_)) = payload.next().await {} };
            // A caller that goes on for longer may find the connection reset.
            let _ = timeout(DISCARD_TIME, discarding).await;
        }
        let (bytes, lease) = read?;
        let serving = request.conn_data::<Rc<Connection>>().map(Serving::begin);
        Ok((bytes, Held { _lease: lease, _serving: serving }))
    }

    async fn read_payload(
        &self,
        length: Option<usize>,
        payload: &mut Payload,
    ) -> Result<(Bytes, Lease), BodyError> {
        let mut lease = self.memory.begin(self.clock.now());
        let eviction = lease.eviction().wait();
        let (bytes, lease) = tokio::select! {
            biased;
            () = eviction => return Err(BodyError::NoMemory),
            body = timeout(self.limit, self.collect(length, payload, lease)) => {
                body.map_err(|_| BodyError::Timeout)??
            }
        };
        let held = self.copies * bytes.len();
        lease.resize(held, self.clock.now()).map_err(|Full| BodyError::NoMemory)?;
        lease.pin();
        Ok((bytes, lease))
    }

    async fn collect(
        &self,
        length: Option<usize>,
        payload: &mut Payload,
        lease: Lease,
    ) -> Result<(Bytes, Lease), BodyError> {
        let mut body = Body::new(lease, 0, self.max_bytes);
        if let Some(length) = length {
            body.reserve(length, self.clock.now())?;
        }
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
            body.push(&chunk, self.clock.now())?;
        }
        Ok(body.finish())
    }
}
