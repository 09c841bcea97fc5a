//! What is done about endpoints that fall silent, refuse, or cannot be reached.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::exchange::Error;
use oriole_core::fleet::{Incarnation, Message};
use oriole_core::forward::chain::{Chain, Hop};
use oriole_platform::endpoint::{self, Report};

use crate::peers;
use crate::state::Shared;

/// Longest waits for an endpoint's report; a lost packet alone must not make it fail.
const REPORT_LIMITS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(200)];

/// Least time between questions to one endpoint.
const ASK_INTERVAL: Duration = Duration::from_millis(450);

/// Least time between questions to all stages of one chain.
const PROBE_INTERVAL: Duration = Duration::from_millis(1500);

/// Asks for a report, once more if the first question gets no answer.
async fn report(address: SocketAddr) -> Result<Report, Error> {
    match endpoint::report(address, REPORT_LIMITS[0]).await {
        Err(Error::Timeout | Error::ConnectTimeout) => {
            endpoint::report(address, REPORT_LIMITS[1]).await
        }
        other => other,
    }
}

/// Asks the first endpoint of a chain for which stages its requests wait.
pub fn ask(state: &Shared, chain: &Chain) {
    let Some(seen) = begin(state, &chain.hops[0]) else {
        return;
    };
    let (state, chain) = (state.clone(), chain.clone());
    actix_rt::spawn(async move {
        let report = report(chain.hops[0].address).await;
        match report {
            Err(error) => {
                log::info!(endpoint = chain.head().as_str(), error:%; "first stage is silent");
                missed(&state, &seen, &error);
            }
            Ok(report) => {
                let Report { pace, queued, running, memory_used, .. } = report;
                let stalled = report.stalled.len();
                log::info!(
                    endpoint = chain.head().as_str(), pace, queued, running, memory_used, stalled;
                    "asked a silent chain"
                );
                for hop in chain.hops.iter().filter(|h| report.stalled.contains(&h.address)) {
                    doubt(&state, &hop.incarnation());
                }
            }
        }
    });
}

/// Asks every stage of a chain that has fallen silent; one that does not answer is lost.
pub fn ask_all(state: &Shared, chain: &Chain) {
    let now = state.now();
    {
        let mut probed = state.probed.borrow_mut();
        if probed.get(&chain.key).is_some_and(|at| now.since(*at) < PROBE_INTERVAL) {
            return;
        }
        probed.insert(chain.key.clone(), now);
    }
    log::info!(chain = chain.key.as_str(); "all streams of a chain are silent");
    for hop in &chain.hops {
        let (state, hop) = (state.clone(), hop.clone());
        actix_rt::spawn(async move {
            match report(hop.address).await {
                Ok(report) if report.born == hop.born => {}
                Ok(_) => doubt(&state, &hop.incarnation()),
                Err(error) => missed(&state, &hop.incarnation(), &error),
            }
        });
    }
}

/// Looks closer at an endpoint that a refusal names, or at the first one.
pub fn refused(state: &Shared, chain: &Chain, at_fault: Option<SocketAddr>) {
    let named = chain.hops.iter().find(|h| Some(h.address) == at_fault);
    let hop = named.unwrap_or(&chain.hops[0]);
    state.pause(&hop.endpoint);
    let Some(seen) = begin(state, hop) else {
        return;
    };
    let (state, address) = (state.clone(), hop.address);
    actix_rt::spawn(async move {
        let report = report(address).await;
        match report {
            Ok(report) if report.born == seen.born => {
                let layers = report.layers;
                let held =
                    state.inner.borrow_mut().view.record_layers(&seen, layers, report.orders);
                if held {
                    let orders = report.orders;
                    peers::broadcast(&state, &Message::Held(seen.clone(), layers, orders));
                    state.refresh();
                }
            }
            Ok(_) => doubt(&state, &seen),
            // Another endpoint has named it already.
            Err(_) if at_fault.is_some() => doubt(&state, &seen),
            Err(error) => missed(&state, &seen, &error),
        }
    });
}

/// Notes that an endpoint did not answer.
///
/// One that refuses connections is lost for certain; silence may be this entry's own fault, so that
/// others must see it too.
pub fn missed(state: &Shared, seen: &Incarnation, error: &Error) {
    if matches!(error, Error::Connect(e) if e.kind() == ErrorKind::ConnectionRefused) {
        doubt(state, seen);
        return;
    }
    peers::broadcast(state, &Message::Suspicion(seen.clone()));
    state.suspect(seen, &state.host);
}

/// Notes a doubt and tells the other entries.
fn doubt(state: &Shared, seen: &Incarnation) {
    if state.doubt(seen, Duration::ZERO, state.host.as_str()) {
        peers::broadcast(state, &Message::Unhealthy(seen.clone()));
    }
}

/// The endpoint to be asked; none if it was asked just now.
fn begin(state: &Shared, hop: &Hop) -> Option<Incarnation> {
    let now = state.now();
    let mut asked = state.asked.borrow_mut();
    if asked.get(&hop.endpoint).is_some_and(|at| now.since(*at) < ASK_INTERVAL) {
        return None;
    }
    asked.insert(hop.endpoint.clone(), now);
    Some(hop.incarnation())
}
