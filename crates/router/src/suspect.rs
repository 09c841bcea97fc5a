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
const REPORT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(200)];

/// Least time between questions to one endpoint.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(450);

/// Least time between questions to all stages of one chain.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(1500);

/// Asks for a report, once more if the first question gets no answer.
async fn request_report(address: SocketAddr) -> Result<Report, Error> {
    match endpoint::report(address, REPORT_TIMEOUTS[0]).await {
        Err(Error::Timeout | Error::ConnectTimeout) => {
            endpoint::report(address, REPORT_TIMEOUTS[1]).await
        }
        other => other,
    }
}

/// Asks the first endpoint of a chain for which stages its requests wait.
pub fn probe_first_stage(state: &Shared, chain: &Chain) {
    let Some(incarnation) = start_probe(state, &chain.hops[0]) else {
        return;
    };
    let (state, chain) = (state.clone(), chain.clone());
    actix_rt::spawn(async move {
        let report = request_report(chain.hops[0].address).await;
        match report {
            Err(error) => {
                log::info!(endpoint = chain.head().as_str(), error:%; "first stage is silent");
                record_no_answer(&state, &incarnation, &error);
            }
            Ok(report) => {
                let Report { pace, queued, running, memory_used, .. } = report;
                let stalled = report.stalled.len();
                log::info!(
                    endpoint = chain.head().as_str(), pace, queued, running, memory_used, stalled;
                    "asked a silent chain"
                );
                for hop in chain.hops.iter().filter(|h| report.stalled.contains(&h.address)) {
                    mark_unhealthy(&state, &hop.incarnation());
                }
            }
        }
    });
}

/// Asks every stage of a chain that has fallen silent; one that does not answer is lost.
pub fn probe_stages(state: &Shared, chain: &Chain) {
    let now = state.now();
    {
        let mut probed_at = state.chain_probed_at.borrow_mut();
        if probed_at.get(&chain.key).is_some_and(|at| now.since(*at) < MIN_PROBE_INTERVAL) {
            return;
        }
        probed_at.insert(chain.key.clone(), now);
    }
    log::info!(chain = chain.key.as_str(); "all streams of a chain are silent");
    for hop in &chain.hops {
        let (state, hop) = (state.clone(), hop.clone());
        actix_rt::spawn(async move {
            match request_report(hop.address).await {
                Ok(report) if report.born == hop.born => {}
                Ok(_) => mark_unhealthy(&state, &hop.incarnation()),
                Err(error) => record_no_answer(&state, &hop.incarnation(), &error),
            }
        });
    }
}

/// Looks closer at an endpoint that a refusal names, or at the first one.
pub fn check_refusal(state: &Shared, chain: &Chain, at_fault: Option<SocketAddr>) {
    let named = chain.hops.iter().find(|h| Some(h.address) == at_fault);
    let hop = named.unwrap_or(&chain.hops[0]);
    state.pause(&hop.endpoint);
    let Some(incarnation) = start_probe(state, hop) else {
        return;
    };
    let (state, address) = (state.clone(), hop.address);
    actix_rt::spawn(async move {
        let report = request_report(address).await;
        match report {
            Ok(report) if report.born == incarnation.born => {
                let layers = report.layers;
                let is_new = state.inner.borrow_mut().view.record_layers(
                    &incarnation,
                    layers,
                    report.orders,
                );
                if is_new {
                    let orders = report.orders;
                    peers::broadcast(&state, &Message::Held(incarnation.clone(), layers, orders));
                    state.refresh();
                }
            }
            Ok(_) => mark_unhealthy(&state, &incarnation),
            // Another endpoint has named it already.
            Err(_) if at_fault.is_some() => mark_unhealthy(&state, &incarnation),
            Err(error) => record_no_answer(&state, &incarnation, &error),
        }
    });
}

/// Notes that an endpoint did not answer.
///
/// One that refuses connections is lost for certain; silence may be this entry's own fault, so that
/// others must see it too.
pub fn record_no_answer(state: &Shared, incarnation: &Incarnation, error: &Error) {
    if matches!(error, Error::Connect(e) if e.kind() == ErrorKind::ConnectionRefused) {
        mark_unhealthy(state, incarnation);
        return;
    }
    peers::broadcast(state, &Message::Suspicion(incarnation.clone()));
    state.suspect(incarnation, &state.host);
}

/// Notes a doubt and tells the other entries.
fn mark_unhealthy(state: &Shared, incarnation: &Incarnation) {
    if state.mark_unhealthy(incarnation, Duration::ZERO, state.host.as_str()) {
        peers::broadcast(state, &Message::Unhealthy(incarnation.clone()));
    }
}

/// The endpoint to be asked; none if it was asked just now.
fn start_probe(state: &Shared, hop: &Hop) -> Option<Incarnation> {
    let now = state.now();
    let mut requested_at = state.report_requested_at.borrow_mut();
    if requested_at.get(&hop.endpoint).is_some_and(|at| now.since(*at) < MIN_REPORT_INTERVAL) {
        return None;
    }
    requested_at.insert(hop.endpoint.clone(), now);
    Some(hop.incarnation())
}
