//! Finds out whether an attempt failed by the crash of its endpoint, and of what it may be suspect.

use std::time::Duration;

use oriole_core::fleet::Message;
use oriole_core::forward::chain::Chain;
use oriole_core::forward::quarantine::Suspect;
use oriole_core::name;
use oriole_core::time::Instant;

use crate::peers;
use crate::serve::Request;
use crate::state::{Shared, quarantine};
use crate::suspect;

/// Time after the first event of an answer from which on its request did not crash the endpoint.
pub(super) const BEGIN_TIME: Duration = Duration::from_secs(1);

/// Records the request as suspect if its endpoint crashed when it had hardly begun to answer.
pub async fn examine(
    state: &Shared,
    request: &Request,
    chain: &Chain,
    first_event_at: Option<Instant>,
) {
    let now = state.now();
    let parts = &request.parameters.shared_parts;
    let unproven = state.inner.borrow().quarantine.unproven(parts, now);
    let is_past_begin = first_event_at.is_some_and(|at| now.since(at) >= BEGIN_TIME);
    if unproven.is_empty() || is_past_begin || !suspect::has_crashed(state, &chain.hops[0]).await {
        return;
    }
    let suspect = Suspect { request: name::hash(request.id()), parts: unproven };
    quarantine::add_suspect(state, chain.hops[0].incarnation(), suspect);
}

/// Records that the request has been answered for a while, and tells the other entries if they
/// may suspect its parts.
pub fn record_sound(state: &Shared, request: &Request) {
    let cleared = state.record_sound(&request.parameters.shared_parts);
    if !cleared.is_empty() {
        peers::broadcast(state, &Message::Sound(cleared));
    }
}

/// Returns whether the request may run again in view of the crashes of which it is suspect.
pub fn may_retry(state: &Shared, request: &Request) -> bool {
    let now = state.now();
    state.inner.borrow().quarantine.may_retry(&request.parameters.shared_parts, now)
}
