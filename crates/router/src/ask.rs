//! Calls of our own to endpoints. What their answers state is recorded as that of answers to callers.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::exchange::{Error, Limit};
use oriole_core::fleet::Incarnation;
use oriole_core::forward::chain::Hop;
use oriole_core::placement::Range;
use oriole_platform::endpoint::{self, Acceptance, Answer, Move, Report, Responder};

use crate::state::{Shared, statement};

/// An order to hold layers.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The endpoint.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Layers that it is to hold.
    pub layers: Range,
    /// Number of orders that it has accepted before.
    pub accepted_orders: u64,
    /// Token by which it rejects orders of earlier plans.
    pub fencing_token: u64,
}

/// Requests the report of an endpoint.
pub async fn report(
    state: &Shared,
    incarnation: &Incarnation,
    address: SocketAddr,
    limit: impl Into<Limit>,
) -> Result<Report, Error> {
    record(state, incarnation, endpoint::report(address, limit).await?)
}

/// Asks an endpoint at the health path of its service whether it works, and returns which endpoint answers.
pub async fn health(
    state: &Shared,
    incarnation: &Incarnation,
    address: SocketAddr,
    path: &str,
    limit: Limit,
) -> Result<Responder, Error> {
    let answer = endpoint::health(address, path, &incarnation.endpoint, limit).await?;
    match answer.content? {
        Responder::Other => Ok(Responder::Other),
        Responder::Target => {
            statement::record_own(state, incarnation, answer.statements);
            Ok(Responder::Target)
        }
    }
}

/// Orders an endpoint to hold layers.
pub async fn place(
    state: &Shared,
    order: &Placement,
    timeout: Duration,
) -> Result<Acceptance, Error> {
    let Placement { incarnation, address, layers, accepted_orders, fencing_token } = order;
    let answer = endpoint::place(
        *address,
        &incarnation.endpoint,
        *layers,
        *accepted_orders,
        *fencing_token,
        timeout,
    );
    record(state, incarnation, answer.await?)
}

/// Asks the first endpoint of the chain `hops` to move a request in progress to it.
pub async fn repath(
    state: &Shared,
    request_id: &str,
    hops: &[Hop],
    timeout: Duration,
) -> Result<Move, Error> {
    let first = hops.first().ok_or(Error::Malformed)?.incarnation();
    record(state, &first, endpoint::repath(request_id, hops, timeout).await?)
}

fn record<T>(state: &Shared, incarnation: &Incarnation, answer: Answer<T>) -> Result<T, Error> {
    statement::record_own(state, incarnation, answer.statements);
    answer.content
}
