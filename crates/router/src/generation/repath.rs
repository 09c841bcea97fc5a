//! Moves a request in progress to a chain that replaces an unhealthy stage.
//!
//! The first stage stays the same, and so does the connection to it. Only the new stages prefill
//! the tokens so far; running the request again on another chain would prefill them through all
//! layers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use oriole_core::forward::chain::Chain;
use oriole_core::name;
use oriole_core::time::Instant;
use oriole_platform::endpoint::Move;
use tokio::time::sleep;

use crate::ask;
use crate::metrics::Metrics;
use crate::serve::Request;
use crate::state::Shared;

/// Longest wait for a chain with the same first stage; callers disconnect soon after.
const MAX_CHAIN_WAIT: Duration = Duration::from_millis(1400);

/// Longest time for the transfer of tokens between availability zones that a move may cause; it
/// delays all requests that cross zones.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(600);

/// Timeout for the response of the first stage to the order to move.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after the first stage refused the order or did not answer it.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which a request is not moved to a stage that had no room for it, or was not there.
const REFUSAL_PERIOD: Duration = Duration::from_millis(800);

/// Stages that could not take a request, with the times of the refusals.
#[derive(Debug, Default)]
struct RefusedStages(BTreeMap<name::Endpoint, Instant>);

impl RefusedStages {
    /// Returns whether a chain has none of the stages that refused lately.
    fn allow(&self, chain: &Chain, now: Instant) -> bool {
        let refused_at = chain.hops.iter().filter_map(|hop| self.0.get(&hop.endpoint));
        refused_at.into_iter().all(|at| now.since(*at) >= REFUSAL_PERIOD)
    }

    fn record(&mut self, chain: &Chain, at_fault: SocketAddr, now: Instant) {
        let stages = chain.hops.iter().filter(|hop| hop.address == at_fault);
        self.0.extend(stages.map(|hop| (hop.endpoint.clone(), now)));
    }
}

/// Moves the request to another chain with the same first stage, once there is one.
///
/// Returns the new chain, or `None` if the request has no id, its first stage is unhealthy or is in back-off, or no
/// move succeeds in time.
pub async fn run(state: &Shared, request: &Request, chain: &Chain) -> Option<Chain> {
    let id = request.parameters.request_id.as_deref()?;
    let began = state.now();
    let mut refused = RefusedStages::default();
    loop {
        let mut chains_changed = pin!(state.chains_changed.notified());
        chains_changed.as_mut().enable();
        let is_in_back_off = state.inner.borrow().view.is_waiting(chain.head(), state.now());
        if is_in_back_off || state.is_unhealthy(chain.head()) {
            return None;
        }
        let waited = state.now().since(began);
        let other = find_chain(state, request, chain);
        if let Some(other) = other.filter(|other| refused.allow(other, state.now())) {
            match ask::repath(state, id, &other.hops, ANSWER_TIMEOUT).await {
                Ok(Move::Accepted) => {
                    state.metrics.moves.inc();
                    let waited_ms = waited.as_millis() as u64;
                    log::info!(
                        id, head = chain.head().as_str(), waited_ms;
                        "request moved to other stages"
                    );
                    return Some(other);
                }
                Ok(Move::Refused(at_fault)) => {
                    log::info!(id, at_fault:?; "first stage refused to move the request");
                    Metrics::count(&state.metrics.orders, "move-refused");
                    if let Some(address) = at_fault {
                        refused.record(&other, address, state.now());
                    }
                }
                Err(error) => log::info!(id, error:%; "order to move the request failed"),
            }
            if waited >= MAX_CHAIN_WAIT {
                return None;
            }
            sleep(RETRY_DELAY).await;
            continue;
        }
        let left = MAX_CHAIN_WAIT.saturating_sub(waited);
        if left.is_zero() {
            return None;
        }
        tokio::select! {
            () = chains_changed => {}
            () = sleep(left.min(REFUSAL_PERIOD)) => {}
        }
    }
}

/// Returns a usable chain with the same first stage: the same endpoint with the same layers.
///
/// Returns `None` also if the links between availability zones could not transfer the tokens of all
/// requests on the chain to its new stages in time ([`MAX_TRANSFER_TIME`]).
pub fn find_chain(state: &Shared, request: &Request, chain: &Chain) -> Option<Chain> {
    let now = state.now();
    let model = state.model(&request.service)?;
    let inner = state.inner.borrow();
    let chains = inner.chains.get(&request.service)?;
    let same = |c: &&Chain| c.head() == chain.head() && c.hops[0].layers == chain.hops[0].layers;
    let other = chains.iter().find(same)?;
    let tokens = inner.in_flight.sum(&chain.key, now).tokens;
    let is_timely = chain.move_time(&model, other, tokens) <= MAX_TRANSFER_TIME;
    is_timely.then(|| other.clone())
}
