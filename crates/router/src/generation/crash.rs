//! Finds out whether an attempt failed by the crash of its endpoint, and of what it may be suspect.

use oriole_core::fleet::Message;
use oriole_core::forward::chain::Chain;
use oriole_core::forward::hold::Caution;
use oriole_core::forward::outcome::Failure;
use oriole_core::forward::quarantine::{BEGIN_TIME, Begin, Suspect};
use tokio::time::sleep;

use crate::peers;
use crate::run::Run;
use crate::serve::Request;
use crate::state::{Shared, hold, quarantine};
use crate::suspect;

/// Finds out whether an attempt broke off by the crash of its endpoint, and records its request as suspect
/// if it had hardly begun to be answered. Returns whether the endpoint is known to have crashed.
pub async fn examine(
    state: &Shared,
    request: &Request,
    run: Option<Run>,
    failure: Failure,
    begin: Option<Begin>,
) -> bool {
    let Some(run) = run else {
        return false;
    };
    let is_answered = failure == Failure::NoMemory;
    if failure.is_not_run() || is_answered || begin.is_some_and(|begin| begin.is_past(state.now()))
    {
        run.finish();
        return false;
    }
    let suspect = suspect(state, request);
    let incarnation = run.target().incarnation.clone();
    let crashed = move |state: &Shared| {
        if !suspect.parts.is_empty() {
            quarantine::add_suspect(state, incarnation, suspect);
        }
    };
    if failure == Failure::Unknown {
        return run.examine(crashed).await;
    }
    let is_lost = suspect::is_known_lost(state, &run.target().incarnation.endpoint);
    if is_lost {
        crashed(state);
    }
    is_lost
}

/// Returns the request as a suspect, with those of its parts that have not been answered lately.
fn suspect(state: &Shared, request: &Request) -> Suspect {
    let parts = &request.parameters.shared_parts;
    let parts = state.inner.borrow().quarantine.unproven(parts, state.now());
    Suspect { request: request.fingerprint.0[0], parts }
}

/// Records that the request has been answered for a while, and tells the other entries if they
/// may suspect it or its parts.
pub fn record_sound(state: &Shared, request: &Request, run: Option<Run>) {
    match run {
        Some(run) => run.record_sound(),
        None => hold::record_sound(state, request.fingerprint),
    }
    let cleared = state.record_sound(&request.parameters.shared_parts);
    if !cleared.is_empty() {
        peers::broadcast(state, &Message::Sound(cleared));
        state.decide_quarantine();
    }
}

/// Records that the request has been answered completely, which shows that it crashes no endpoint
/// once that has worked for a while longer.
pub fn record_complete(
    state: &Shared,
    request: &Request,
    run: Option<Run>,
    chain: &Chain,
    begin: Begin,
) {
    let now = state.now();
    if begin.is_past(now) {
        record_sound(state, request, run);
        return;
    }
    let (parts, fingerprint) = (request.parameters.shared_parts.clone(), request.fingerprint);
    let (state, hop) = (state.clone(), chain.hops[0].clone());
    actix_rt::spawn(async move {
        sleep((begin.first_event_at + BEGIN_TIME).since(now)).await;
        if !suspect::is_lost(&state, &hop) {
            hold::record_sound(&state, fingerprint);
            let cleared = state.record_sound(&parts);
            if !cleared.is_empty() {
                peers::broadcast(&state, &Message::Sound(cleared));
            }
        }
    });
}

/// Returns how the request runs again in view of the crashes of which it is suspect, after an attempt that had
/// begun as `begin` tells.
///
/// Parts of its prompt do not speak against it if that attempt was being answered.
pub fn caution(state: &Shared, request: &Request, begin: Option<Begin>) -> Caution {
    let now = state.now();
    let parts = &request.parameters.shared_parts;
    let is_under_way = begin.is_some_and(|begin| begin.is_under_way(now));
    let may_parts_run = || state.inner.borrow().quarantine.may_retry(parts, now);
    if !is_under_way && !may_parts_run() {
        return Caution::Stopped;
    }
    state.caution(request.fingerprint, state.chain_count(&request.service))
}
