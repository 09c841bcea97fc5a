//! Finds out whether endpoints that are silent, refuse requests or cannot be reached still work.
//!
//! Asks them for reports, marks endpoints as unhealthy and tells the other entries.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::exchange::{self, Error};
use oriole_core::fleet::{Cause, Incarnation, Message, wait};
use oriole_core::forward::chain::{Chain, Hop};
use oriole_core::name;
use oriole_platform::endpoint::Report;

use crate::ask;
use crate::peers;
use crate::run::Target;
use crate::state::{Shared, hold};

/// Timeouts of the first and second request for a report. There are two, so that a lost packet
/// alone does not count as silence.
const REPORT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(200)];

/// Minimum time between two requests for a report to one endpoint.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(450);

/// Fraction of an endpoint's memory in use above which a refusal is taken for want of memory, which
/// passes soon.
const FULL_MEMORY: f64 = 0.9;

/// Minimum time between two probes of all stages of one chain.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(1500);

/// Returns whether an endpoint may be asked for a report now.
///
/// One that limits its rate is asked rarely, and one that is in back-off is not, since reports
/// are requests, too.
pub fn may_ask(state: &Shared, incarnation: &Incarnation) -> bool {
    if is_waiting(state, incarnation) {
        return false;
    }
    let interval = state.limited_probe_interval(incarnation);
    interval.is_none_or(|interval| is_report_due(state, incarnation, interval))
}

fn is_waiting(state: &Shared, incarnation: &Incarnation) -> bool {
    state.inner.borrow().view.is_waiting(&incarnation.endpoint, state.now())
}

/// Returns whether an endpoint was not asked for a report for `interval`, and records that it is now.
fn is_report_due(state: &Shared, incarnation: &Incarnation, interval: Duration) -> bool {
    let now = state.now();
    let mut requested_at = state.report_requested_at.borrow_mut();
    let last = requested_at.get(&incarnation.endpoint);
    let is_due = last.is_none_or(|at| now.since(*at) >= interval);
    if is_due {
        requested_at.insert(incarnation.endpoint.clone(), now);
    }
    is_due
}

/// Requests a report, and once more if the first request times out.
pub async fn request_report(
    state: &Shared,
    incarnation: &Incarnation,
    address: SocketAddr,
) -> Result<Report, Error> {
    match ask::report(state, incarnation, address, REPORT_TIMEOUTS[0]).await {
        Err(Error::Timeout | Error::ConnectTimeout) => {
            ask::report(state, incarnation, address, REPORT_TIMEOUTS[1]).await
        }
        other => other,
    }
}

/// Asks the first endpoint of a chain for a report, and marks stages as unhealthy for which
/// requests wait according to it.
///
/// Runs in the background. Does nothing if the endpoint was asked recently.
pub fn probe_first_stage(state: &Shared, chain: &Chain) {
    let Some(incarnation) = start_probe(state, &chain.hops[0]) else {
        return;
    };
    let (state, chain) = (state.clone(), chain.clone());
    actix_rt::spawn(async move {
        let report = request_report(&state, &incarnation, chain.hops[0].address).await;
        match report {
            Err(error) => {
                log::info!(
                    endpoint = chain.head().as_str(), error:%;
                    "no report from the first stage of a chain"
                );
                record_no_answer(&state, &incarnation, &error);
            }
            Ok(report) => {
                let Report { pace, queued, running, memory_used, .. } = report;
                let stalled = report.stalled.len();
                log::info!(
                    endpoint = chain.head().as_str(), pace, queued, running, memory_used, stalled;
                    "report of the first stage of a silent chain"
                );
                for hop in chain.hops.iter().filter(|h| report.stalled.contains(&h.address)) {
                    mark_unhealthy(&state, &hop.incarnation(), Cause::Stalled);
                }
            }
        }
    });
}

/// Asks every stage of a silent chain for a report.
///
/// A stage that has restarted is marked as unhealthy; one that does not answer is recorded by
/// [`record_no_answer`]. Runs in the background. Does nothing if the chain was probed recently.
pub fn probe_stages(state: &Shared, chain: &Chain) {
    let now = state.now();
    {
        let mut probed_at = state.chain_probed_at.borrow_mut();
        if probed_at.get(&chain.key).is_some_and(|at| now.since(*at) < MIN_PROBE_INTERVAL) {
            return;
        }
        probed_at.insert(chain.key.clone(), now);
    }
    log::info!(chain = chain.key.as_str(); "all streams of a chain are silent, probing its stages");
    for hop in chain.hops.iter().filter(|hop| may_ask(state, &hop.incarnation())) {
        let (state, hop) = (state.clone(), hop.clone());
        actix_rt::spawn(async move {
            match request_report(&state, &hop.incarnation(), hop.address).await {
                Ok(report) if report.born == hop.born => {}
                Ok(_) => mark_unhealthy(&state, &hop.incarnation(), Cause::Restarted),
                Err(error) => record_no_answer(&state, &hop.incarnation(), &error),
            }
        });
    }
}

/// Checks the endpoint that a refusal names as `at_fault`, or else the first one of the chain.
///
/// Pauses new work to the endpoint and asks it for a report in the background. The report shows
/// whether it has restarted or holds other layers than known.
///
/// If the refusal names a wait, nothing goes to the endpoint that refused or through the one at fault until
/// then, reports included.
pub fn check_refusal(
    state: &Shared,
    chain: &Chain,
    at_fault: Option<SocketAddr>,
    wait: wait::Statement,
) {
    let named = chain.hops.iter().find(|h| Some(h.address) == at_fault);
    let hop = named.unwrap_or(&chain.hops[0]);
    if let wait::Statement::For(wait) = wait {
        state.record_wait(&hop.incarnation(), wait);
        return;
    }
    state.pause(&hop.endpoint);
    let Some(incarnation) = start_probe(state, hop) else {
        return;
    };
    let (state, address) = (state.clone(), hop.address);
    actix_rt::spawn(async move {
        let report = request_report(&state, &incarnation, address).await;
        match report {
            Ok(report) if report.born == incarnation.born => {
                let layers = report.layers;
                let is_new = state.inner.borrow_mut().view.record_layers(
                    &incarnation,
                    layers,
                    report.orders,
                );
                let is_full = report.queued > 0 || report.memory_used > FULL_MEMORY;
                if at_fault.is_some() && !is_full {
                    peers::broadcast(&state, &Message::Refusal(incarnation.clone()));
                }
                if is_new {
                    let orders = report.orders;
                    peers::broadcast(&state, &Message::Held(incarnation.clone(), layers, orders));
                    state.refresh();
                }
            }
            Ok(_) => mark_unhealthy(&state, &incarnation, Cause::Restarted),
            // The endpoint that refused has found it to be at fault as well.
            Err(_) if at_fault.is_some() => mark_unhealthy(&state, &incarnation, Cause::AtFault),
            Err(error) => record_no_answer(&state, &incarnation, &error),
        }
    });
}

/// Returns whether the endpoint of a hop is known to have lost its work.
pub fn is_lost(state: &Shared, hop: &Hop) -> bool {
    is_known_lost(state, &hop.endpoint)
}

/// Returns whether an endpoint is known to have lost its work.
pub fn is_known_lost(state: &Shared, endpoint: &name::Endpoint) -> bool {
    state.unhealthy_cause(endpoint).is_some_and(Cause::is_loss)
}

/// Returns whether an endpoint has crashed since it was chosen.
///
/// Asks it unless this is known. One that does not answer in time counts as not crashed.
pub async fn has_crashed(state: &Shared, target: &Target) -> bool {
    let Target { incarnation, address, has_reports } = target;
    if is_known_lost(state, &incarnation.endpoint) {
        return true;
    }
    let asked = if *has_reports {
        if !may_ask(state, incarnation) {
            return false;
        }
        let report = ask::report(state, incarnation, *address, REPORT_TIMEOUTS[0]).await;
        report.map(|r| r.born == incarnation.born)
    } else {
        exchange::connect(*address, REPORT_TIMEOUTS[0]).await.map(|_| true)
    };
    match asked {
        Ok(true) => return false,
        Ok(false) => mark_unhealthy(state, incarnation, Cause::Restarted),
        Err(error) if is_refusal(&error) => {
            mark_unhealthy(state, incarnation, Cause::ConnectionRefused);
        }
        Err(_) => return false,
    }
    true
}

/// Returns whether an endpoint refused the connection: nothing listens on its address.
pub fn is_refusal(error: &Error) -> bool {
    matches!(error, Error::Connect(e) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Records that an endpoint gave no usable answer.
///
/// An endpoint that refuses connections is certainly unhealthy. One that sends something else, or closes the
/// connection, is not silent.
pub fn record_no_answer(state: &Shared, incarnation: &Incarnation, error: &Error) {
    if is_refusal(error) {
        mark_unhealthy(state, incarnation, Cause::ConnectionRefused);
    } else if error.is_silence() {
        record_silence(state, incarnation);
    }
}

/// Records that nothing was heard of an endpoint.
///
/// That may be caused by this entry or its link, so the endpoint is marked as unhealthy only once other entries see it
/// as well. One that is in back-off has answered.
pub fn record_silence(state: &Shared, incarnation: &Incarnation) {
    if is_waiting(state, incarnation) {
        return;
    }
    peers::broadcast(state, &Message::Suspicion(incarnation.clone()));
    state.suspect(incarnation, &state.host);
}

/// Marks an endpoint as unhealthy and tells the other entries.
pub fn mark_unhealthy(state: &Shared, incarnation: &Incarnation, cause: Cause) {
    let is_new = state.mark_unhealthy(incarnation, cause, Duration::ZERO, state.host.as_str());
    if is_new {
        peers::broadcast(state, &Message::Unhealthy(incarnation.clone()));
    }
    if cause.is_loss() {
        hold::record_loss(state, incarnation, is_new);
    }
}

/// Records that an endpoint is being asked for a report, and returns its incarnation.
///
/// Returns `None` if it was asked less than [`MIN_REPORT_INTERVAL`] ago, limits its rate and was
/// asked lately, or is in back-off.
fn start_probe(state: &Shared, hop: &Hop) -> Option<Incarnation> {
    let incarnation = hop.incarnation();
    if is_waiting(state, &incarnation) {
        return None;
    }
    let interval = state.limited_probe_interval(&incarnation).unwrap_or(MIN_REPORT_INTERVAL);
    is_report_due(state, &incarnation, interval).then_some(incarnation)
}
