//! Proposes plans, which assign layers of the models to endpoints.
//!
//! Any entry may propose a plan. The store accepts it by compare-and-swap, so the first proposal
//! after each plan takes effect. Each entry waits for those whose names come before its own, so
//! that usually only one entry calls the store. The first few compare whole plans, in steps between which other
//! tasks run; the others only repair.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::fleet::{View, polling};
use oriole_core::placement::search::{Finding, Search};
use oriole_core::placement::transition::Outlook;
use oriole_core::placement::{Candidate, Chain, Model, Plan, revise};
use oriole_core::time::Instant;
use oriole_core::{fleet, name};
use oriole_platform::store::{Client, Commit, Write};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::follow::PLAN_KEY;
use crate::metrics::Metrics;
use crate::peers;
use crate::state::Shared;

/// Interval at which an entry checks whether the plan has to be revised.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a better plan must be possible before it is proposed, so that endpoints that come back one
/// after the other are planned together. A broken chain is replaced without this delay.
const EXTENSION_DELAY: Duration = Duration::from_millis(1000);

/// Time after its start in which an entry does not know enough to replace a broken chain without
/// delay.
const STARTUP_PERIOD: Duration = Duration::from_millis(1500);

/// Time for which an entry waits for each entry whose name comes before its own.
const DELAY_PER_RANK: Duration = Duration::from_millis(400);

/// Interval at which plans are compared while nothing changes: what costs too much in trouble may be worth it when
/// endpoints stay as they are.
const CALM_INTERVAL: Duration = Duration::from_secs(5);

/// Number of entries that compare whole plans.
const SEARCHERS: usize = 3;

/// What the chains of one service are planned from.
struct Input {
    service: name::Service,
    model: Model,
    current: Vec<Chain>,
    endpoints: Vec<Candidate>,
    /// Mean-sized requests per second at all entries.
    demand: f64,
}

/// For how long the endpoints on which layers may be placed have been the same ones.
#[derive(Debug, Default)]
struct Calm {
    endpoints: BTreeSet<name::Endpoint>,
    since: Instant,
}

impl Calm {
    fn record(&mut self, inputs: &[Input], now: Instant) -> Duration {
        let endpoints = inputs.iter().flat_map(|input| &input.endpoints);
        let endpoints: BTreeSet<name::Endpoint> = endpoints.map(|e| e.endpoint.clone()).collect();
        if endpoints != self.endpoints {
            *self = Self { endpoints, since: now };
        }
        now.since(self.since)
    }
}

/// Chains that differ from those of a plan.
struct Revision {
    chains: Vec<(name::Service, Vec<Chain>)>,
    /// Number of the plan.
    number: u64,
    /// Revision of the plan in the store.
    revision: u64,
}

/// A revision of the current plan, and the time since when it has been due.
struct Proposal {
    revision: Revision,
    since: Instant,
}

/// Proposes plans until the process ends.
pub async fn run(state: Shared, store: Client) {
    let mut proposal: Option<Proposal> = None;
    let mut seen_changes = None;
    let mut planned_at = state.now();
    let mut calm = Calm::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        let changes = state.change_count.get();
        let now = state.now();
        let wait = proposal_delay(&state, now) + DELAY_PER_RANK * state.rank_by_name() as u32;
        let is_due = |p: &Proposal| now.since(p.since) >= wait;
        let is_calm = seen_changes == Some(changes) && now.since(planned_at) < CALM_INTERVAL;
        if is_calm && !proposal.as_ref().is_some_and(is_due) {
            continue;
        }
        seen_changes = Some(changes);
        planned_at = now;
        let Some(revised) = revised_chains(&state, &mut calm, now).await else {
            proposal = None;
            continue;
        };
        let is_same = proposal.as_ref().is_some_and(|p| p.revision.chains == revised.chains);
        let since = match &proposal {
            // The first plan waits until the endpoints stop changing. A later plan keeps its time,
            // so that further changes do not delay it.
            Some(p) if is_same || has_plan(&state) => p.since,
            _ => now,
        };
        proposal = Some(Proposal { revision: revised, since });
        if now.since(since) < wait {
            continue;
        }
        if let Some(Proposal { revision, since }) = proposal.take() {
            propose(&state, &store, revision).await;
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
async fn revised_chains(state: &Shared, calm: &mut Calm, now: Instant) -> Option<Revision> {
    let (number, revision) = plan_version(state);
    let inputs = state.timed("planning inputs", || inputs(state, now))?;
    let calm = calm.record(&inputs, now);
    let is_searcher = state.rank_by_name() < SEARCHERS;
    let mut all = vec![];
    let mut is_same = true;
    for input in inputs {
        let chains = if is_searcher && !input.current.is_empty() {
            search(state, &input, calm).await
        } else {
            let Input { model, current, endpoints, .. } = &input;
            state.timed("planning", || revise::revise(model, current, endpoints))
        };
        is_same &= chains == input.current;
        all.push((input.service, chains));
    }
    (!is_same).then_some(Revision { chains: all, number, revision })
}

/// Searches the best chains of a service, in steps between which other tasks run.
async fn search(state: &Shared, input: &Input, calm: Duration) -> Vec<Chain> {
    let Input { model, current, endpoints, demand, .. } = input;
    let outlook = Outlook { demand: *demand, calm };
    let mut search = state.timed("planning", || Search::new(model, current, endpoints, outlook));
    while state.timed("planning", || search.step()) {
        yield_now().await;
    }
    let finding = search.finding();
    let chains = search.finish();
    if chains != *current {
        let (service, calm_ms) = (input.service.as_str(), calm.as_millis() as u64);
        let Finding { best, current, compared } = finding;
        log::info!(service, best, current, compared, demand, calm_ms; "a better plan is possible");
    }
    chains
}

/// Returns what each service that has a model is planned from, or `None` if too little is known or the process
/// is stopping.
fn inputs(state: &Shared, now: Instant) -> Option<Vec<Input>> {
    let entries = state.entry_count();
    let inner = state.inner.borrow();
    let table = inner.table.as_ref()?;
    let plan = inner.plans.first();
    let is_incomplete = inner.view.listing().endpoints.is_empty()
        || plan.is_some_and(|p| inner.view.may_reregister(p, now));
    if state.stopping.get() || is_incomplete {
        return None;
    }
    let models = table.services.iter().filter_map(|(service, s)| Some((service, s.model.clone()?)));
    let input = |(service, model): (&name::Service, Model)| {
        let current = plan.and_then(|p| p.services.get(service)).cloned().unwrap_or_default();
        let mut endpoints = candidates(&model, &inner.view, service, plan, now);
        for endpoint in &mut endpoints {
            endpoint.busy = state.order_time(&endpoint.endpoint, now);
        }
        let rate = inner.budgets.get(service).map(|budget| budget.requests_per_s(now));
        let demand = rate.unwrap_or_default() * entries as f64;
        Input { service: service.clone(), model, current, endpoints, demand }
    };
    Some(models.map(input).collect())
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

/// Returns an endpoint as one to which layers may be assigned, if its kind of accelerator is known.
pub fn candidate(model: &Model, endpoint: &fleet::Endpoint, is_slow: bool) -> Option<Candidate> {
    let accelerator = model.accelerators.get(endpoint.accelerator.as_ref()?)?;
    Some(Candidate {
        endpoint: endpoint.id.clone(),
        zone: endpoint.zone.clone(),
        accelerator: accelerator.clone(),
        held: endpoint.layers,
        is_slow,
        busy: Duration::ZERO,
    })
}

/// Returns the number of the current plan and its revision in the store.
fn plan_version(state: &Shared) -> (u64, u64) {
    let inner = state.inner.borrow();
    inner.plans.first().map_or((0, 0), |p| (p.number, p.revision))
}

async fn propose(state: &Shared, store: &Client, proposed: Revision) {
    let Revision { chains, number, revision } = proposed;
    let services = chains.into_iter().collect();
    let mut plan = Plan { number: number + 1, revision: 0, services };
    let Ok(value) = serde_json::to_vec(&plan) else {
        log::error!(number = plan.number; "encoding the plan failed");
        return;
    };
    let write = Write { key: PLAN_KEY, value: &value, lease: 0, expected_revision: Some(revision) };
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
        Ok(Commit::Conflict(None)) => log::warn!(revision; "plan is missing from the store"),
        Err(e) => log::warn!(number = plan.number, error:% = e; "writing the plan failed"),
    }
}
