//! Orders endpoints to hold the layers that the plan gives them.
//!
//! Each order is conditional on the number of orders that the endpoint has accepted. Of several
//! entries that order the same, one is obeyed; an order that is carried out late, after another,
//! fails its condition. An order without an answer is resolved by the endpoint's own report.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::exchange::Error;
use oriole_core::fleet::{Incarnation, Message};
use oriole_core::name;
use oriole_core::placement::{Range, order};
use oriole_core::time::Instant;
use oriole_platform::endpoint::{self, Acceptance, Report};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::peers;
use crate::state::Shared;

/// Interval at which endpoints are compared with the plan.
const INTERVAL: Duration = Duration::from_millis(100);

/// Wait of each entry for those before it.
const RANK_WAIT: Duration = Duration::from_millis(800);

/// Longest wait for an answer to an order or a report.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// Interval at which a loading endpoint is asked.
const POLL: Duration = Duration::from_millis(200);

/// Longest time that an order is followed, beyond the estimated time to load.
const FOLLOW_SLACK: Duration = Duration::from_secs(3);

/// Time beyond twice the estimated one after which other entries order the same themselves.
const OTHERS_SLACK: Duration = Duration::from_millis(1500);

/// One order that is due.
#[derive(Clone, Debug)]
struct Due {
    seen: Incarnation,
    address: SocketAddr,
    layers: Range,
    orders: u64,
    fencing_token: u64,
    /// Estimated time to load.
    load: Duration,
}

/// Endpoints that are being ordered.
type Busy = Rc<RefCell<BTreeSet<name::Endpoint>>>;

/// Orders until the process ends.
pub async fn run(state: Shared) {
    let busy = Busy::default();
    let mut since: BTreeMap<(name::Endpoint, Range), Instant> = BTreeMap::new();
    let mut seen = None;
    loop {
        sleep(INTERVAL).await;
        let changes = state.change_count.get();
        let is_idle = since.is_empty() && seen == Some(changes);
        if state.stopping.get() || is_idle {
            continue;
        }
        seen = Some(changes);
        let now = state.now();
        let due = state.timed("orders", || due(&state, now));
        let key = |d: &Due| (d.seen.endpoint.clone(), d.layers);
        let keys: BTreeSet<_> = due.iter().map(key).collect();
        since.retain(|k, _| keys.contains(k));
        for order in due {
            let first = *since.entry(key(&order)).or_insert(now);
            let wait = RANK_WAIT * rank(&state, &order.seen.endpoint);
            let is_new = now.since(first) >= wait;
            if is_new && busy.borrow_mut().insert(order.seen.endpoint.clone()) {
                actix_rt::spawn(carry_out(state.clone(), busy.clone(), order));
            }
        }
    }
}

/// Entries that order this endpoint before this entry does; spreads endpoints over entries.
fn rank(state: &Shared, endpoint: &name::Endpoint) -> u32 {
    let inner = state.inner.borrow();
    let weight = |host: &name::Host| {
        let bytes = host.as_str().bytes().chain(endpoint.as_str().bytes());
        bytes.fold(0_u64, |sum, b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
    };
    let own = weight(&state.host);
    inner.peers.keys().filter(|host| weight(host) < own).count() as u32
}

fn due(state: &Shared, now: Instant) -> Vec<Due> {
    let inner = state.inner.borrow();
    let (Some(table), Some(plan)) = (&inner.table, inner.plans.first()) else {
        return vec![];
    };
    let mut all = vec![];
    for (service, chains) in &plan.services {
        let Some(model) = table.services.get(service).and_then(|s| s.model.as_ref()) else {
            continue;
        };
        for stage in chains.iter().flat_map(|c| &c.stages) {
            let Some(e) = inner.view.get(&stage.endpoint) else {
                continue;
            };
            let accelerator = e.accelerator.as_ref().and_then(|a| model.accelerators.get(a));
            let Some(accelerator) = accelerator else {
                continue;
            };
            if inner.view.is_unhealthy(&e.id, now) {
                continue;
            }
            let next = order::next(model, accelerator.memory, e.layers, stage.layers);
            let Some(layers) = next.filter(|layers| !is_followed(state, &e.id, *layers, now))
            else {
                continue;
            };
            let part = f64::from(layers.len()) / f64::from(model.layers);
            all.push(Due {
                seen: Incarnation { endpoint: e.id.clone(), born: e.born },
                address: e.address,
                layers,
                orders: e.orders,
                fencing_token: plan.revision,
                load: model.load.mul_f64(part),
            });
        }
    }
    all
}

/// Whether another entry has ordered the same and sees to it.
fn is_followed(state: &Shared, id: &name::Endpoint, layers: Range, now: Instant) -> bool {
    let ordered = state.peer_orders.borrow();
    ordered.get(id).is_some_and(|(of, until)| *of == layers && now < *until)
}

/// Whether the endpoint did not begin what it was told, so that its report says all there is.
fn answer_is_other(answer: &Result<Acceptance, Error>) -> bool {
    matches!(answer, Ok(Acceptance::Done | Acceptance::Conflict | Acceptance::Refused(_)))
}

/// An answer as metrics name it.
fn name(answer: &Result<Acceptance, Error>) -> &'static str {
    match answer {
        Ok(Acceptance::Begun) => "begun",
        Ok(Acceptance::Done) => "done",
        Ok(Acceptance::Conflict) => "conflict",
        Ok(Acceptance::Refused(_)) => "refused",
        Err(_) => "none",
    }
}

async fn carry_out(state: Shared, busy: Busy, due: Due) {
    let began = state.now();
    let answer = endpoint::place(
        due.address,
        &due.seen.endpoint,
        due.layers,
        due.orders,
        due.fencing_token,
        ANSWER_LIMIT,
    );
    let answer = answer.await;
    let endpoint = due.seen.endpoint.as_str();
    let (first, end, orders) = (due.layers.first, due.layers.end, due.orders);
    log::info!(endpoint, first, end, orders, answer:?; "ordered layers");
    Metrics::count(&state.metrics.orders, name(&answer));
    if let Ok(Acceptance::Begun) = answer {
        let follow_ms = (due.load * 2 + OTHERS_SLACK).as_millis() as u64;
        peers::broadcast(&state, &Message::Ordered(due.seen.clone(), due.layers, follow_ms));
        // Loads may share the weight store's rate.
        sleep(due.load.mul_f64(0.3)).await;
    }
    let limit = due.load * 4 + FOLLOW_SLACK;
    while state.now().since(began) < limit {
        match endpoint::report(due.address, ANSWER_LIMIT).await {
            Ok(report) => {
                take_report(&state, &due.seen, &report);
                let has_begun = report.orders > due.orders || answer_is_other(&answer);
                if (has_begun && !report.busy) || report.born != due.seen.born {
                    break;
                }
            }
            Err(error) => {
                log::info!(endpoint, error:%; "no report");
                break;
            }
        }
        sleep(POLL).await;
    }
    busy.borrow_mut().remove(&due.seen.endpoint);
}

/// Notes and passes on what an endpoint reports of itself.
fn take_report(state: &Shared, seen: &Incarnation, report: &Report) {
    if report.born != seen.born {
        return;
    }
    let changed = state.inner.borrow_mut().view.record_layers(seen, report.layers, report.orders);
    if changed {
        let (first, end, orders) = (report.layers.first, report.layers.end, report.orders);
        log::info!(endpoint = seen.endpoint.as_str(), first, end, orders; "layers held");
        let message = Message::Held(seen.clone(), report.layers, report.orders);
        peers::broadcast(state, &message);
        state.refresh();
    }
}
