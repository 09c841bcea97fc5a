//! Sends attempts of requests to endpoints. Every attempt goes through here, with a pass of the retry budget.
//!
//! The head of the response is read, and what it states recorded, also if the attempt has been left meanwhile:
//! by its caller, for another endpoint, or at its deadline.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use oriole_adapter::exchange::{self, Error, Response};
use oriole_adapter::memory::Lease;
use oriole_core::fleet::Incarnation;
use oriole_core::forward::budget::Pass;
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Classification};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::serve::Request;
use crate::state::{Shared, statement};
use crate::suspect;

/// Time after an attempt was left in which the head of its response is still read. An endpoint that turns a request
/// away answers at once; one that has begun to work is not kept at work.
const LEFT_READ_TIME: Duration = Duration::from_millis(100);

/// The head of a response, with its body to come, and what kind of response it is.
pub struct Answer {
    /// The response.
    pub response: Response,
    /// Classification by its head.
    pub class: Classification,
}

/// An attempt whose response has not begun.
struct Sent {
    state: Shared,
    incarnation: Incarnation,
    request_id: Option<String>,
    at: Instant,
    /// An attempt that has been left may still be sending the request.
    _lease: Rc<Lease>,
}

/// Opens the connection of an attempt within `limit`.
///
/// Returns `None` if that fails, or if the endpoint may not get the request any more: it is in back-off since it was
/// chosen, or this process was paused meanwhile and does not know what has changed.
pub async fn open(
    state: &Shared,
    request: &Request,
    incarnation: &Incarnation,
    address: SocketAddr,
    limit: Duration,
) -> Option<TcpStream> {
    let (id, endpoint) = (request.id(), incarnation.endpoint.as_str());
    let stream = match exchange::connect(address, limit).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(id, endpoint, error:%; "connection to endpoint failed, request not sent");
            suspect::record_no_answer(state, incarnation, &error);
            return None;
        }
    };
    let is_in_back_off = state.inner.borrow().view.is_waiting(&incarnation.endpoint, state.now());
    if is_in_back_off || state.is_settling() {
        log::info!(id, endpoint, is_in_back_off; "endpoint may not get the request any more");
        return None;
    }
    Some(stream)
}

/// Sends an attempt of the request to `incarnation` on `stream`, and waits for the head of the response.
pub async fn send(
    state: &Shared,
    request: &Request,
    pass: Pass,
    incarnation: Incarnation,
    stream: TcpStream,
    head: RequestHead,
) -> Result<Answer, Error> {
    state.spend(&request.service, pass);
    let request_id = request.parameters.request_id.clone();
    let lease = request.lease.clone();
    let sent =
        Sent { state: state.clone(), incarnation, request_id, at: state.now(), _lease: lease };
    let exchange = exchange::send(stream, head, request.body.clone());
    let (sender, receiver) = oneshot::channel();
    actix_rt::spawn(read_head(sent, exchange, sender));
    receiver.await.unwrap_or(Err(Error::Closed))
}

/// Reads the head of a response and passes it to `attempt`, unless that has been left.
async fn read_head(
    sent: Sent,
    exchange: impl Future<Output = Result<Response, Error>>,
    mut attempt: oneshot::Sender<Result<Answer, Error>>,
) {
    let mut exchange = pin!(exchange);
    let result = tokio::select! {
        biased;
        result = &mut exchange => result,
        () = attempt.closed() => match timeout(LEFT_READ_TIME, exchange).await {
            Ok(result) => result,
            Err(_) => return,
        },
    };
    let answer = result.map(|response| sent.record(response));
    if attempt.send(answer).is_err() {
        log::debug!(id = sent.id(); "response of an attempt that was left");
    }
}

impl Sent {
    fn id(&self) -> &str {
        self.request_id.as_deref().unwrap_or_default()
    }

    /// Records what the head of the response states.
    fn record(&self, response: Response) -> Answer {
        let class = endpoint::classify(&response.head, self.request_id.as_deref());
        if class.is_of_target(response.head.status) {
            statement::record(&self.state, &self.incarnation, &response.head, self.at);
        }
        Answer { response, class }
    }
}
