//! Probes silent endpoints, until they answer or the finding of silence ends.
//!
//! Model engines are asked for reports, which tell their run and need no slot. Endpoints of plain services give no
//! reports and are asked at the health path of their service.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::exchange::{Error, Limit};
use oriole_core::fleet::health::{self, ASK_INTERVAL};
use oriole_core::fleet::{Cause, Contact, Incarnation, Message};
use oriole_core::name;
use oriole_platform::endpoint::Responder;
use tokio::time::sleep;

use crate::ask;
use crate::metrics::Metrics;
use crate::peers;
use crate::state::Shared;
use crate::suspect;

/// Time limits of the first and second attempt to connect. There are two, so that a lost packet
/// alone does not count as silence.
const CONNECT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(120), Duration::from_millis(200)];

/// Longest time that an answer takes: a sound endpoint may send nothing for about a second, and a health check may
/// wait for a slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// How a silent endpoint is probed.
#[derive(Clone, Debug, PartialEq)]
enum Probe {
    /// The report of a model engine.
    Report,
    /// The health of an endpoint of a plain service, at the path that the operator names.
    Health(String),
    /// Any response of an endpoint of a plain service without a health path.
    Response,
}

impl Probe {
    /// Returns whether the answer may have to wait for a slot.
    fn may_wait(&self) -> bool {
        *self != Self::Report
    }
}

/// Asks silent endpoints again until they answer or are no longer silent or listed. Runs until the process exits.
pub async fn run(state: Shared) {
    let asked: Rc<RefCell<BTreeSet<name::Endpoint>>> = Rc::default();
    loop {
        sleep(ASK_INTERVAL).await;
        let silent = to_ask(&state);
        for (incarnation, address) in silent {
            let id = incarnation.endpoint.clone();
            if asked.borrow().contains(&id) || !suspect::may_ask(&state, &incarnation) {
                continue;
            }
            let Some(probe) = choose(&state, &id) else {
                continue;
            };
            asked.borrow_mut().insert(id.clone());
            let (state, asked) = (state.clone(), asked.clone());
            actix_rt::spawn(async move {
                ask_again(&state, &incarnation, address, &probe).await;
                asked.borrow_mut().remove(&id);
            });
        }
    }
}

/// Returns the silent endpoints that this entry asks now, with their addresses.
fn to_ask(state: &Shared) -> Vec<(Incarnation, SocketAddr)> {
    let entries = state.entry_count();
    let turn = |id: &name::Endpoint, since| health::is_turn(state.rank_for(id), entries, since);
    state.inner.borrow().view.to_ask_again(&state.host, turn, state.now())
}

/// Returns how to probe an endpoint, or `None` if it is not known whether its service has a model.
fn choose(state: &Shared, id: &name::Endpoint) -> Option<Probe> {
    let inner = state.inner.borrow();
    let endpoint = inner.view.get(id)?;
    let service = inner.table.as_ref()?.services.get(&endpoint.service)?;
    let plain = || service.health_path.clone().map_or(Probe::Response, Probe::Health);
    Some(service.model.as_ref().map_or_else(plain, |_| Probe::Report))
}

/// Asks a silent endpoint once, and once more if no connection opens, and records what that shows.
async fn ask_again(state: &Shared, incarnation: &Incarnation, address: SocketAddr, probe: &Probe) {
    let mut contact = Contact::Unreachable;
    for connect in CONNECT_TIMEOUTS {
        let limit = Limit { connect, total: connect + ANSWER_TIMEOUT };
        contact = ask_once(state, incarnation, address, probe, limit).await;
        if contact != Contact::Unreachable {
            break;
        }
    }
    log::debug!(endpoint = incarnation.endpoint.as_str(), contact:?; "asked a silent endpoint");
    Metrics::count(&state.metrics.contacts, contact.as_str());
    match contact {
        Contact::Answered => {
            peers::broadcast(state, &Message::Answered(incarnation.clone()));
            state.record_answer(incarnation);
        }
        Contact::Replaced => suspect::mark_unhealthy(state, incarnation, Cause::Restarted),
        Contact::Refused => suspect::mark_unhealthy(state, incarnation, Cause::ConnectionRefused),
        Contact::Rejected | Contact::Unanswered | Contact::Unreachable => {
            let is_silence = contact.is_silence(probe.may_wait());
            if is_silence && state.record_unreachable(incarnation) {
                suspect::record_silence(state, incarnation);
            }
        }
    }
}

async fn ask_once(
    state: &Shared,
    incarnation: &Incarnation,
    address: SocketAddr,
    probe: &Probe,
    limit: Limit,
) -> Contact {
    let answered = match probe {
        Probe::Report => {
            let report = ask::report(state, incarnation, address, limit).await;
            report.map(|report| report.born == incarnation.born)
        }
        Probe::Health(path) => {
            let responder = ask::health(state, incarnation, address, path, limit).await;
            responder.map(|responder| responder == Responder::Target)
        }
        Probe::Response => match ask::report(state, incarnation, address, limit).await {
            Err(error) if !error.is_response() => Err(error),
            _ => Ok(true),
        },
    };
    match answered {
        Ok(true) => Contact::Answered,
        Ok(false) => Contact::Replaced,
        Err(error) => contact(&error),
    }
}

/// Returns what a probe shows that got no usable answer.
fn contact(error: &Error) -> Contact {
    match error {
        error if suspect::is_refusal(error) => Contact::Refused,
        Error::Timeout => Contact::Unanswered,
        error if error.is_silence() => Contact::Unreachable,
        _ => Contact::Rejected,
    }
}
