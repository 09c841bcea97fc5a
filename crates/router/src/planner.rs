//! Proposes plans, which assign layers of the models to endpoints.
//!
//! Any entry may propose a plan. The store accepts it by compare-and-swap, so the first proposal
//! after each plan takes effect. Each entry waits for those whose names come before its own, so
//! that usually only one entry calls the store.

use std::time::Duration;

use oriole_core::fleet::{Position, View, polling};
use oriole_core::placement::stored::Stored;
use oriole_core::placement::{Candidate, Chain, Model, Plan, revise};
use oriole_core::route::Table;
use oriole_core::time::Instant;
use oriole_core::{fleet, name};
use oriole_platform::store::{Client, Commit, Write};
use tokio::time::sleep;

use crate::follow::{self, PLAN_KEY};
use crate::metrics::Metrics;
use crate::peers;
use crate::state::Shared;

/// Interval at which an entry checks whether the plan has to be revised.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which further chains must be possible before they are planned. A broken chain is
/// replaced without this delay.
const EXTENSION_DELAY: Duration = Duration::from_millis(2500);

/// Time after its start in which an entry does not know enough to replace a broken chain without
/// delay.
const STARTUP_PERIOD: Duration = Duration::from_millis(1500);

/// Time for which the store must have lacked the plan before it is written back.
const WRITE_BACK_DELAY: Duration = Duration::from_secs(1);

/// Time for which an entry waits for each entry whose name comes before its own.
const DELAY_PER_RANK: Duration = Duration::from_millis(400);

/// Chains that differ from the current plan, and the time since when they have been due.
struct Proposal {
    chains: Vec<(name::Service, Vec<Chain>)>,
    since: Instant,
}

/// Proposes plans until the process ends.
pub async fn run(state: Shared, store: Client) {
    let mut proposal: Option<Proposal> = None;
    let mut seen_changes = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let changes = state.change_count.get();
        if proposal.is_none() && seen_changes == Some(changes) {
            continue;
        }
        seen_changes = Some(changes);
        let now = state.now();
        let Some(revised) = state.timed("planning", || revised_chains(&state, now)) else {
            proposal = None;
            continue;
        };
        let is_same = proposal.as_ref().is_some_and(|p| p.chains == revised);
        let since = match &proposal {
            // The first plan waits until the endpoints stop changing. A later plan keeps its time,
            // so that further changes do not delay it.
            Some(p) if is_same || has_plan(&state) => p.since,
            _ => now,
        };
        proposal = Some(Proposal { chains: revised, since });
        let delay = proposal_delay(&state, now);
        if now.since(since) < delay + DELAY_PER_RANK * state.rank_by_name() as u32 {
            continue;
        }
        if let Some(Proposal { chains, since }) = proposal.take() {
            propose(&state, &store, chains).await;
            Metrics::time(&state.metrics.replan, state.now().since(since));
        }
    }
}

/// Returns the time for which a revision must have been due before it is proposed.
fn proposal_delay(state: &Shared, now: Instant) -> Duration {
    if !has_plan(state) {
        return polling::settling_time(state.drain_time());
    }
    if now.since(state.started) < STARTUP_PERIOD || !is_urgent(state, now) {
        return EXTENSION_DELAY;
    }
    Duration::ZERO
}

/// Returns whether a stage of the plan is on an endpoint that is draining, unhealthy or not
/// registered.
fn is_urgent(state: &Shared, now: Instant) -> bool {
    let inner = state.inner.borrow();
    let chains = inner.plans.first().into_iter().flat_map(|p| p.services.values().flatten());
    let mut stages = chains.flat_map(|c| &c.stages);
    let is_impaired =
        |id: &name::Endpoint| !inner.view.keeps_place(id, now) || inner.view.is_slow(id, now);
    stages.any(|s| is_impaired(&s.endpoint))
}

fn has_plan(state: &Shared) -> bool {
    !state.inner.borrow().plans.is_empty()
}

/// Returns the revised chains of all services, or `None` if they equal the current plan, too little
/// is known, or the process is stopping.
fn revised_chains(state: &Shared, now: Instant) -> Option<Vec<(name::Service, Vec<Chain>)>> {
    let inner = state.inner.borrow();
    let table = inner.table.as_ref()?;
    let is_incomplete = inner.view.listing().endpoints.is_empty()
        || inner.plans.first().is_some_and(|p| inner.view.may_reregister(p, now));
    if state.stopping.get() || is_incomplete {
        return None;
    }
    let chains = revise_all(table, inner.plans.first(), &inner.view, now);
    let is_same = |(service, chains): &(name::Service, Vec<Chain>)| {
        let current = inner.plans.first().and_then(|p| p.services.get(service));
        current.map_or(&[][..], Vec::as_slice) == chains.as_slice()
    };
    (!chains.iter().all(is_same)).then_some(chains)
}

/// Returns the chains of each service that has a model, revised for the endpoints in `view`.
fn revise_all(
    table: &Table,
    plan: Option<&Plan>,
    view: &View,
    now: Instant,
) -> Vec<(name::Service, Vec<Chain>)> {
    let mut all = vec![];
    for (service, s) in &table.services {
        let Some(model) = &s.model else {
            continue;
        };
        let current = plan.and_then(|p| p.services.get(service));
        let endpoints = candidates(model, view, service, plan, now);
        let chains = revise::revise(model, current.map_or(&[], Vec::as_slice), &endpoints);
        all.push((service.clone(), chains));
    }
    all
}

/// Returns the endpoints on which layers may be placed.
///
/// Endpoints that may still register again, or that are silent for a short time, keep their layers, but
/// get no others.
fn candidates(
    model: &Model,
    view: &View,
    service: &name::Service,
    plan: Option<&Plan>,
    now: Instant,
) -> Vec<Candidate> {
    let is_planned = |id| plan.is_some_and(|plan| plan.layers_of(id).is_some());
    let ready = view.of_service(service).filter(|e| view.keeps_place(&e.id, now));
    let is_free = |e: &fleet::Endpoint| view.is_registered(&e.id) && view.is_ready(&e.id, now);
    let able = ready.filter(|e| is_free(e) || is_planned(&e.id));
    able.filter_map(|e| candidate(model, e, view.is_slow(&e.id, now))).collect()
}

fn candidate(model: &Model, endpoint: &fleet::Endpoint, is_slow: bool) -> Option<Candidate> {
    let accelerator = model.accelerators.get(endpoint.accelerator.as_ref()?)?;
    Some(Candidate {
        endpoint: endpoint.id.clone(),
        zone: endpoint.zone.clone(),
        accelerator: accelerator.clone(),
        held: endpoint.layers,
        is_slow,
    })
}

/// Writes the plan in force to the store again whenever the store has lost it, until the process ends.
pub async fn keep_stored(state: Shared, store: Client) {
    let mut lost_since = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(plan) = state.lost_plan() else {
            lost_since = None;
            continue;
        };
        let since = *lost_since.get_or_insert(state.now());
        let delay = WRITE_BACK_DELAY + DELAY_PER_RANK * state.rank_by_name() as u32;
        if state.now().since(since) >= delay {
            log::warn!(number = plan.number; "writing back the plan that the store has lost");
            write(&state, &store, plan).await;
            lost_since = None;
        }
    }
}

async fn propose(state: &Shared, store: &Client, chains: Vec<(name::Service, Vec<Chain>)>) {
    let number = state.inner.borrow().plans.first().map_or(0, |p| p.number);
    let services = chains.into_iter().collect();
    write(state, store, Plan { number: number + 1, position: Position::default(), services }).await;
}

/// Writes a plan to the store unless another one has been written since, and puts in force which one it is.
async fn write(state: &Shared, store: &Client, mut plan: Plan) {
    let number = plan.number;
    plan.position = Position::default();
    let Ok(value) = serde_json::to_vec(&plan) else {
        log::error!(number; "encoding the plan failed");
        return;
    };
    let expected_revision = Some(state.expected_plan_revision());
    let write = Write { key: PLAN_KEY, value: &value, lease: 0, expected_revision };
    match store.write(&write).await {
        Ok(Commit::Written(position)) => {
            plan.position = position;
            log::info!(number, position:%; "plan proposed and accepted");
            state.record_stored_plan(Stored::plan(&plan));
            peers::broadcast(state, &fleet::Message::Plan(plan.clone()));
            state.adopt_plan(plan);
        }
        Ok(Commit::Conflict(Some(item))) => follow::apply_plan(state, &item),
        // The watch of the entries' keys tells that the store has lost it.
        Ok(Commit::Conflict(None)) => log::warn!(number; "the store has lost the plan before"),
        Err(e) => log::warn!(number, error:% = e; "writing the plan failed"),
    }
}
