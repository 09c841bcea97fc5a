//! Moves a request in progress around a stage that does not work.
//!
//! The first stage stays, and with it the caller's stream; only the new stages read the tokens so
//! far. Running the request again elsewhere would read all of them through all layers.

use std::pin::pin;
use std::time::Duration;

use oriole_core::forward::chain::Chain;
use oriole_platform::endpoint::{self, Acceptance};
use tokio::time::sleep;

use crate::serve::Request;
use crate::state::Shared;

/// Longest wait for a chain with the same first stage; callers leave soon after.
const MAX_CHAIN_WAIT: Duration = Duration::from_millis(1400);

/// Longest wait for the first stage's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after an order was not obeyed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Moves the request; the chain that it runs over now, or none if it cannot go on.
pub async fn run(state: &Shared, request: &Request, chain: &Chain) -> Option<Chain> {
    let id = request.terms.id.as_deref()?;
    let began = state.now();
    loop {
        let mut chains_changed = pin!(state.chains_changed.notified());
        chains_changed.as_mut().enable();
        if state.is_unhealthy(chain.head()) {
            return None;
        }
        let waited = state.now().since(began);
        if let Some(other) = find_chain(state, request, chain) {
            match endpoint::repath(id, &other.hops, ANSWER_TIMEOUT).await {
                Ok(Acceptance::Begun | Acceptance::Done) => {
                    state.metrics.moves.inc();
                    let waited_ms = waited.as_millis() as u64;
                    log::info!(id, head = chain.head().as_str(), waited_ms; "moved to another chain");
                    return Some(other);
                }
                Ok(answer) => log::info!(id, answer:?; "move refused"),
                Err(error) => log::info!(id, error:%; "move not answered"),
            }
            if waited >= MAX_CHAIN_WAIT {
                return None;
            }
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let left = MAX_CHAIN_WAIT.saturating_sub(waited);
        if left.is_zero() {
            return None;
        }
        tokio::select! {
            () = chains_changed => {}
            () = sleep(left) => {}
        }
    }
}

/// A usable chain with the same first stage.
pub fn find_chain(state: &Shared, request: &Request, chain: &Chain) -> Option<Chain> {
    let inner = state.inner.borrow();
    let chains = inner.chains.get(&request.service)?;
    let same = |c: &&Chain| c.head() == chain.head() && c.hops[0].layers == chain.hops[0].layers;
    chains.iter().find(same).cloned()
}
