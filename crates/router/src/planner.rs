//! Proposes plans.
//!
//! Any entry may propose; the store accepts the first proposal after each plan. Entries wait in
//! the order of their names before they propose, so that usually one call is made.

use std::time::Duration;

use oriole_core::fleet::View;
use oriole_core::placement::{Candidate, Chain, Model, Plan, revise};
use oriole_core::route::Table;
use oriole_core::time::Instant;
use oriole_core::{fleet, name};
use oriole_platform::store::{Client, Commit, Write};
use tokio::time::sleep;

use crate::follow::PLAN;
use crate::metrics::Metrics;
use crate::peers;
use crate::state::Shared;

/// Interval at which the need for a plan is looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// How long the set of endpoints must be unchanged before the first plan.
const SETTLE: Duration = Duration::from_millis(700);

/// How long further chains must be possible before they are planned; a broken one is urgent.
const GROWTH_WAIT: Duration = Duration::from_millis(2500);

/// Time since the start in which an entry does not know enough to change a plan.
const LEARNING: Duration = Duration::from_millis(1500);

/// Wait of each entry for those before it.
const RANK_WAIT: Duration = Duration::from_millis(400);

/// Since when a plan other than the present one is wanted.
struct Need {
    chains: Vec<(name::Service, Vec<Chain>)>,
    since: Instant,
}

/// Proposes plans until the process ends.
pub async fn run(state: Shared, store: Client) {
    let mut need: Option<Need> = None;
    let mut seen = None;
    loop {
        sleep(INTERVAL).await;
        let changes = state.change_count.get();
        if need.is_none() && seen == Some(changes) {
            continue;
        }
        seen = Some(changes);
        let now = state.now();
        let Some(wanted) = state.timed("planning", || wanted(&state, now)) else {
            need = None;
            continue;
        };
        let same = need.as_ref().is_some_and(|n| n.chains == wanted);
        let since = match &need {
            // A first plan waits until the endpoints are all there, a later one is urgent.
            Some(n) if same || has_plan(&state) => n.since,
            _ => now,
        };
        need = Some(Need { chains: wanted, since });
        let settle = settle(&state, now);
        if now.since(since) < settle + RANK_WAIT * rank(&state) {
            continue;
        }
        if let Some(Need { chains, since }) = need.take() {
            propose(&state, &store, chains).await;
            Metrics::time(&state.metrics.replan, state.now().since(since));
        }
    }
}

/// How long the need for a plan must last.
fn settle(state: &Shared, now: Instant) -> Duration {
    if !has_plan(state) {
        return SETTLE;
    }
    if now.since(state.started) < LEARNING || !is_urgent(state, now) {
        return GROWTH_WAIT;
    }
    Duration::ZERO
}

/// Whether a chain of the plan runs through an endpoint that does not stay.
fn is_urgent(state: &Shared, now: Instant) -> bool {
    let inner = state.inner.borrow();
    let chains = inner.plans.first().into_iter().flat_map(|p| p.services.values().flatten());
    let mut stages = chains.flat_map(|c| &c.stages);
    stages.any(|s| !inner.view.is_ready(&s.endpoint, now))
}

fn has_plan(state: &Shared) -> bool {
    !state.inner.borrow().plans.is_empty()
}

/// Known entries whose names come before this one's.
fn rank(state: &Shared) -> u32 {
    let inner = state.inner.borrow();
    inner.peers.keys().filter(|host| **host < state.host).count() as u32
}

/// Chains of all services, if they differ from the present plan.
fn wanted(state: &Shared, now: Instant) -> Option<Vec<(name::Service, Vec<Chain>)>> {
    let inner = state.inner.borrow();
    let table = inner.table.as_ref()?;
    let is_unknown = inner.view.listing().endpoints.is_empty()
        || inner.plans.first().is_some_and(|p| inner.view.may_reregister(p, now));
    if state.stopping.get() || is_unknown {
        return None;
    }
    let chains = next(table, inner.plans.first(), &inner.view, now);
    let is_same = |(service, chains): &(name::Service, Vec<Chain>)| {
        let present = inner.plans.first().and_then(|p| p.services.get(service));
        present.map_or(&[][..], Vec::as_slice) == chains.as_slice()
    };
    (!chains.iter().all(is_same)).then_some(chains)
}

fn next(
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
        let endpoints = candidates(model, view, service, now);
        let chains = revise::revise(model, current.map_or(&[], Vec::as_slice), &endpoints);
        all.push((service.clone(), chains));
    }
    all
}

fn candidates(model: &Model, view: &View, service: &name::Service, now: Instant) -> Vec<Candidate> {
    let staying = view.of_service(service).filter(|e| view.is_ready(&e.id, now));
    staying.filter_map(|endpoint| candidate(model, endpoint)).collect()
}

fn candidate(model: &Model, endpoint: &fleet::Endpoint) -> Option<Candidate> {
    let accelerator = model.accelerators.get(endpoint.accelerator.as_ref()?)?;
    Some(Candidate {
        endpoint: endpoint.id.clone(),
        zone: endpoint.zone.clone(),
        accelerator: accelerator.clone(),
        held: endpoint.layers,
    })
}

async fn propose(state: &Shared, store: &Client, chains: Vec<(name::Service, Vec<Chain>)>) {
    let (number, revision) = {
        let inner = state.inner.borrow();
        inner.plans.first().map_or((0, 0), |p| (p.number, p.revision))
    };
    let services = chains.into_iter().collect();
    let mut plan = Plan { number: number + 1, revision: 0, services };
    let Ok(value) = serde_json::to_vec(&plan) else {
        log::error!(number = plan.number; "plan cannot be encoded");
        return;
    };
    let write = Write { key: PLAN, value: &value, lease: 0, expected: Some(revision) };
    match store.write(&write).await {
        Ok(Commit::Written(revision)) => {
            plan.revision = revision;
            log::info!(number = plan.number, revision; "plan proposed and accepted");
            peers::broadcast(state, &fleet::Message::Plan(plan.clone()));
            state.adopt_plan(plan);
        }
        Ok(Commit::Conflict(Some(item))) => {
            if let Ok(mut plan) = serde_json::from_slice::<Plan>(&item.value) {
                plan.revision = item.revision;
                state.adopt_plan(plan);
            }
        }
        Ok(Commit::Conflict(None)) => log::warn!(revision; "the plan has been removed"),
        Err(e) => log::warn!(number = plan.number, error:% = e; "plan not written"),
    }
}
