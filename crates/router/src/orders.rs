//! Orders endpoints to hold the layers that the plan assigns to them.
//!
//! Each order has a precondition: the number of orders that the endpoint has accepted before. If
//! several entries send the same order, the endpoint accepts one of them, and an order that arrives
//! late, after another one, fails its precondition. If an order gets no answer, the endpoint's
//! report shows whether it was accepted.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::exchange::Error;
use oriole_core::fleet::{Incarnation, Message};
use oriole_core::name;
use oriole_core::placement::{Range, order};
use oriole_core::time::Instant;
use oriole_platform::endpoint::{Acceptance, Report};
use tokio::time::sleep;

use crate::ask::{self, Placement};
use crate::metrics::Metrics;
use crate::peers;
use crate::state::Shared;
use crate::suspect;

/// Interval at which the layers of the endpoints are compared with the plan.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an entry waits for each entry that ranks before it for an endpoint.
const DELAY_PER_RANK: Duration = Duration::from_millis(800);

/// Timeout of an order and of a request for a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which an endpoint that loads layers is asked for its report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which an order is monitored beyond four times the estimated load time.
const MONITOR_MARGIN: Duration = Duration::from_secs(3);

/// Longest time for which an order is monitored while its endpoint carries it out.
const MAX_MONITOR_TIME: Duration = Duration::from_secs(60);

/// Interval at which other entries are told that an order is still carried out.
const TELL_INTERVAL: Duration = Duration::from_millis(700);

/// Time beyond twice the estimated load time after which other entries send the same order
/// themselves.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(1500);

/// An order that is to be sent.
#[derive(Clone, Debug)]
struct Order {
    placement: Placement,
    /// Estimated time to load the layers.
    load_time: Duration,
}

impl Order {
    fn endpoint(&self) -> &name::Endpoint {
        &self.placement.incarnation.endpoint
    }
}

/// Endpoints with an order of this entry in progress.
type Busy = Rc<RefCell<BTreeSet<name::Endpoint>>>;

/// Sends orders until the process ends.
pub async fn run(state: Shared) {
    let busy = Busy::default();
    let mut due_since: BTreeMap<(name::Endpoint, Range), Instant> = BTreeMap::new();
    let mut last_changes = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let changes = state.change_count.get();
        let is_idle = due_since.is_empty() && last_changes == Some(changes);
        if state.stopping.get() || is_idle {
            continue;
        }
        last_changes = Some(changes);
        let now = state.now();
        let orders = state.timed("orders", || due_orders(&state, now));
        let key = |o: &Order| (o.endpoint().clone(), o.placement.layers);
        let keys: BTreeSet<_> = orders.iter().map(key).collect();
        due_since.retain(|k, _| keys.contains(k));
        for order in orders {
            let first = *due_since.entry(key(&order)).or_insert(now);
            let wait = DELAY_PER_RANK * state.rank_for(order.endpoint()) as u32;
            let is_turn = now.since(first) >= wait;
            if is_turn && busy.borrow_mut().insert(order.endpoint().clone()) {
                actix_rt::spawn(place_layers(state.clone(), busy.clone(), order));
            }
        }
    }
}

/// Returns the next order for each healthy endpoint whose layers differ from the plan, except those
/// that another entry monitors.
fn due_orders(state: &Shared, now: Instant) -> Vec<Order> {
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
            if inner.view.is_unhealthy(&e.id, now) || inner.view.is_waiting(&e.id, now) {
                continue;
            }
            let next = order::next(model, accelerator.memory, e.layers, stage.layers);
            let Some(layers) = next.filter(|_| !is_monitored_by_peer(state, &e.id, now)) else {
                continue;
            };
            let fraction = f64::from(layers.len()) / f64::from(model.layers);
            let placement = Placement {
                incarnation: e.incarnation(),
                address: e.address,
                layers,
                accepted_orders: e.orders,
                fencing_token: plan.position.fencing_token(),
            };
            all.push(Order { placement, load_time: model.load.mul_f64(fraction) });
        }
    }
    all
}

/// Returns whether another entry monitors an order that an endpoint carries out. It takes no other meanwhile.
fn is_monitored_by_peer(state: &Shared, id: &name::Endpoint, now: Instant) -> bool {
    let monitored = state.peer_orders.borrow();
    monitored.get(id).is_some_and(|until| now < *until)
}

/// Tells the other entries that this one monitors an order for `period`; zero ends it.
fn tell_monitored(state: &Shared, incarnation: &Incarnation, period: Duration) {
    let message = Message::Ordered(incarnation.clone(), period.as_millis() as u64);
    peers::broadcast(state, &message);
}

/// Returns whether the answer shows that the endpoint has not begun to load, so that a single
/// report is conclusive.
fn is_not_begun(answer: &Result<Acceptance, Error>) -> bool {
    matches!(answer, Ok(Acceptance::Done | Acceptance::Conflict | Acceptance::Refused(_)))
}

/// Returns the label of an answer in metrics.
fn answer_label(answer: &Result<Acceptance, Error>) -> &'static str {
    match answer {
        Ok(Acceptance::Begun) => "begun",
        Ok(Acceptance::Done) => "done",
        Ok(Acceptance::Conflict) => "conflict",
        Ok(Acceptance::Refused(_)) => "refused",
        Err(_) => "none",
    }
}

/// Sends an order and monitors the endpoint by its reports.
///
/// Stops when reports show that the order is settled ([`order::Watch`]), or that the endpoint has
/// restarted, when a report fails, or when the time for monitoring is over.
async fn place_layers(state: Shared, busy: Busy, order: Order) {
    let began = state.now();
    let Placement { incarnation, address, layers, accepted_orders, .. } = &order.placement;
    let answer = ask::place(&state, &order.placement, ANSWER_TIMEOUT).await;
    let endpoint = incarnation.endpoint.as_str();
    let (first, end, orders) = (layers.first, layers.end, accepted_orders);
    log::info!(endpoint, first, end, orders, answer:?; "ordered layers");
    Metrics::count(&state.metrics.orders, answer_label(&answer));
    let is_begun = matches!(answer, Ok(Acceptance::Begun));
    if is_begun {
        tell_monitored(&state, incarnation, order.load_time * 2 + TAKEOVER_MARGIN);
        // Starts to request reports well before the estimated end of the load. Loads may share the
        // rate of the weight store, so the actual time differs from the estimate.
        sleep(order.load_time.mul_f64(0.3)).await;
    }
    let mut watch = order::Watch::new(*layers);
    let mut until = began + order.load_time * 4 + MONITOR_MARGIN;
    let mut told_at = state.now();
    while state.now() < until {
        if !suspect::may_ask(&state, incarnation) {
            sleep(REPORT_INTERVAL).await;
            continue;
        }
        match ask::report(&state, incarnation, *address, ANSWER_TIMEOUT).await {
            Ok(report) => {
                apply_report(&state, incarnation, &report);
                let is_resolved = report.orders > *accepted_orders;
                let is_settled = watch.record(report.layers, is_resolved && !report.busy);
                let is_void = is_not_begun(&answer) && !report.busy;
                if is_settled || is_void || report.born != incarnation.born {
                    break;
                }
                let now = state.now();
                if report.busy && now.since(told_at) >= TELL_INTERVAL {
                    // Layers that are given up wait for the requests that pass through them.
                    tell_monitored(&state, incarnation, TAKEOVER_MARGIN);
                    told_at = now;
                    until = until.max(now + TAKEOVER_MARGIN).min(began + MAX_MONITOR_TIME);
                }
            }
            Err(error) => {
                log::info!(endpoint, error:%; "requesting a report failed");
                break;
            }
        }
        sleep(REPORT_INTERVAL).await;
    }
    if is_begun {
        tell_monitored(&state, incarnation, Duration::ZERO);
    }
    busy.borrow_mut().remove(&incarnation.endpoint);
}

/// Records the layers and orders in an endpoint's report and sends them to the other entries.
///
/// Ignores the report of another incarnation.
fn apply_report(state: &Shared, incarnation: &Incarnation, report: &Report) {
    if report.born != incarnation.born {
        return;
    }
    let changed =
        state.inner.borrow_mut().view.record_layers(incarnation, report.layers, report.orders);
    if changed {
        let (first, end, orders) = (report.layers.first, report.layers.end, report.orders);
        log::info!(endpoint = incarnation.endpoint.as_str(), first, end, orders; "layers held");
        let message = Message::Held(incarnation.clone(), report.layers, report.orders);
        peers::broadcast(state, &message);
        state.refresh();
    }
}
