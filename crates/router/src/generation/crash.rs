//! Finds out whether an attempt failed by the crash of its endpoint, and of what it may be suspect.

use std::time::Duration;

use oriole_core::fleet::Message;
use oriole_core::forward::chain::{Chain, Hop};
use oriole_core::forward::outcome::Failure;
use oriole_core::forward::quarantine::{BEGIN_TIME, Begin, Suspect};
use oriole_core::name;
use tokio::time::sleep;

use crate::peers;
use crate::serve::Request;
use crate::state::{Shared, quarantine};
use crate::suspect;

/// Time after which an endpoint whose connection broke, and that did not seem to have crashed, is
/// asked once more: it may close its listener after its connections.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(250);

/// Records the request as suspect if its endpoint crashed when it had hardly begun to answer.
pub async fn examine(
    state: &Shared,
    request: &Request,
    chain: &Chain,
    failure: Failure,
    begin: Option<Begin>,
) {
    let now = state.now();
    let parts = &request.parameters.shared_parts;
    let unproven = state.inner.borrow().quarantine.unproven(parts, now);
    let is_past_begin = begin.is_some_and(|begin| begin.is_past(now));
    if failure.is_not_run() || unproven.is_empty() || is_past_begin {
        return;
    }
    let hop = &chain.hops[0];
    let suspect = Suspect { request: name::hash(request.id()), parts: unproven };
    if suspect::is_lost(state, hop) {
        quarantine::add_suspect(state, hop.incarnation(), suspect);
    } else if failure == Failure::Unknown {
        ask(state, hop, suspect).await;
    }
}

/// Asks the endpoint at once, and again a little later in the background.
async fn ask(state: &Shared, hop: &Hop, suspect: Suspect) {
    if suspect::has_crashed(state, hop).await {
        quarantine::add_suspect(state, hop.incarnation(), suspect);
        return;
    }
    let (state, hop) = (state.clone(), hop.clone());
    actix_rt::spawn(async move {
        sleep(ASK_AGAIN_DELAY).await;
        if suspect::has_crashed(&state, &hop).await {
            quarantine::add_suspect(&state, hop.incarnation(), suspect);
        }
    });
}

/// Records that the request has been answered for a while, and tells the other entries if they
/// may suspect its parts.
pub fn record_sound(state: &Shared, request: &Request) {
    let cleared = state.record_sound(&request.parameters.shared_parts);
    if !cleared.is_empty() {
        peers::broadcast(state, &Message::Sound(cleared));
        state.decide_quarantine();
    }
}

/// Records that the request has been answered completely, which shows that it crashes no endpoint
/// once that has worked for a while longer.
pub fn record_complete(state: &Shared, request: &Request, chain: &Chain, begin: Begin) {
    let now = state.now();
    if begin.is_past(now) {
        record_sound(state, request);
        return;
    }
    let parts = request.parameters.shared_parts.clone();
    if parts.is_empty() {
        return;
    }
    let (state, hop) = (state.clone(), chain.hops[0].clone());
    actix_rt::spawn(async move {
        sleep((begin.first_event_at + BEGIN_TIME).since(now)).await;
        if !suspect::is_lost(&state, &hop) {
            let cleared = state.record_sound(&parts);
            if !cleared.is_empty() {
                peers::broadcast(&state, &Message::Sound(cleared));
            }
        }
    });
}

/// Returns whether the request may run again in view of the crashes of which it is suspect.
pub fn may_retry(state: &Shared, request: &Request) -> bool {
    let now = state.now();
    state.inner.borrow().quarantine.may_retry(&request.parameters.shared_parts, now)
}
