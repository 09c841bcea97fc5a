//! Finds out which stages make a chain slow.
//!
//! One entry asks the stages of a slow chain for their pace and tells the others.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::fleet::{Incarnation, Message, pace};
use oriole_core::forward::chain::{Chain, Hop};
use oriole_core::name;
use oriole_core::time::Instant;
use tokio::time::sleep;

use crate::peers;
use crate::state::Shared;
use crate::suspect;

/// Interval at which the chains are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between two requests for the paces of one chain.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum number of requests in progress; the pauses of fewer say little about the chain.
const MIN_REQUESTS: u32 = 4;

/// Asks the stages of slow chains for their pace until the process ends.
pub async fn run(state: Shared) {
    let mut asked_at: BTreeMap<name::Endpoint, Instant> = BTreeMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = state.now();
        for chain in slow_chains(&state, now) {
            let is_recent = |at: &Instant| now.since(*at) < ASK_INTERVAL;
            if asked_at.get(&chain.key).is_some_and(is_recent) || state.rank_for(&chain.key) > 0 {
                continue;
            }
            asked_at.insert(chain.key.clone(), now);
            let hops = chain.hops.into_iter();
            for hop in hops.filter(|hop| suspect::may_ask(&state, &hop.incarnation())) {
                actix_rt::spawn(ask(state.clone(), hop));
            }
        }
        asked_at.retain(|_, at| now.since(*at) < ASK_INTERVAL);
    }
}

/// Returns the chains whose events come late, or that have a slow stage.
fn slow_chains(state: &Shared, now: Instant) -> Vec<Chain> {
    let inner = state.inner.borrow();
    let is_slow = |chain: &&Chain| {
        let is_late = inner.in_flight.sum(&chain.key, now).requests >= MIN_REQUESTS
            && inner.in_flight.slowdown_factor(&chain.key, now) >= pace::SUSPICIOUS_SLOWDOWN;
        is_late || chain.hops.iter().any(|hop| inner.view.is_slow(&hop.endpoint, now))
    };
    inner.chains.values().flat_map(|chains| chains.iter()).filter(is_slow).cloned().collect()
}

async fn ask(state: Shared, hop: Hop) {
    let Ok(report) = suspect::request_report(&state, &hop.incarnation(), hop.address).await else {
        return;
    };
    if report.born != hop.born {
        return;
    }
    let incarnation = hop.incarnation();
    let changed = record(&state, &incarnation, report.pace);
    let is_slow = state.inner.borrow().view.is_slow(&incarnation.endpoint, state.now());
    if changed || is_slow {
        peers::broadcast(&state, &Message::Pace(incarnation, report.pace));
    }
}

/// Records the pace that an endpoint reported, and returns whether it became slow or ceased to be.
pub fn record(state: &Shared, incarnation: &Incarnation, pace: f64) -> bool {
    let now = state.now();
    let changed = state.inner.borrow_mut().view.record_pace(incarnation, pace, now);
    if changed {
        log::info!(endpoint = incarnation.endpoint.as_str(), pace; "pace of an endpoint changed");
        state.refresh();
    }
    changed
}
