//! Sends attempts of requests to endpoints. Every attempt goes through here, with a pass of the retry budget.

use actix_http::RequestHead;
use oriole_adapter::exchange::{self, Error, Response};
use oriole_core::forward::budget::Pass;
use tokio::net::TcpStream;

use crate::serve::Request;
use crate::state::State;

/// Sends an attempt of the request on `stream`, and waits for the head of the response.
pub async fn send(
    state: &State,
    request: &Request,
    pass: Pass,
    stream: TcpStream,
    head: RequestHead,
) -> Result<Response, Error> {
    state.spend(&request.service, pass);
    exchange::send(stream, head, request.body.clone()).await
}
