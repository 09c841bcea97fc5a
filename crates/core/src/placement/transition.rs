//! What chains serve over the next seconds, with the time that it takes to get there.
//!
//! A chain serves from when all its stages hold their layers. Until then endpoints give layers up, which waits
//! for the requests that pass through them, and load others from a store of weights that all share, one chain
//! after the other ([`schedule`]). A chain that is given up serves no further requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::{self, Assignment, Cost};
use super::inventory::Inventory;
use super::{Candidate, Chain, Model, Range, schedule};
use crate::name;

/// Least time for which chains are compared: about as long as endpoints stay as they are when there is trouble.
const MIN_HORIZON: Duration = Duration::from_secs(10);

/// Longest time for which chains are compared.
const MAX_HORIZON: Duration = Duration::from_secs(300);

/// Worth of a request that could be completed beyond the demand, relative to one within it: it is there for the
/// next burst or loss.
const EXCESS_WEIGHT: f64 = 0.1;

/// What callers ask for, and for how long endpoints have been as they are.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Mean-sized requests per second. Infinite if they are not known.
    pub demand: f64,
    /// Time since an endpoint last joined, left or failed: the longer it is, the longer it is expected to last.
    pub calm: Duration,
}

/// Time after which an endpoint that carries out an order seems to wait for requests that pass through it.
const STUCK_TIME: Duration = Duration::from_secs(2);

/// Time from a plan until an endpoint begins to load, in seconds.
const ORDER_S: f64 = 0.3;

/// Service of a chain that is lost when it is given up, in seconds: requests that wait for it look for another.
const GIVE_UP_S: f64 = 1.0;

/// Estimates the mean-sized requests that `chains` complete while things stay as they are, starting from what the
/// endpoints hold now and from the chains `current`.
pub fn value(
    model: &Model,
    inventory: &Inventory<'_>,
    current: &[Chain],
    chains: &[Chain],
    outlook: Outlook,
) -> f64 {
    let release = Release::of(model, inventory, current);
    let mut by_cost: Vec<(f64, &Chain)> =
        chains.iter().map(|chain| (schedule::cost(inventory, chain), chain)).collect();
    by_cost.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let mut loaded_s = 0.0;
    let ready = by_cost.into_iter().map(|(_, chain)| {
        let way = Way::of(model, inventory, chain, &release);
        loaded_s += way.load_s / f64::from(model.loads_at_once.max(1));
        let ready_s = way.first_s + loaded_s.max(way.longest_load_s);
        (ready_s, inventory.throughput_with_reroutes(chain))
    });
    let served = served(ready.collect(), outlook);
    let in_use = current.iter().filter(|chain| is_loaded(inventory, chain));
    let given_up = in_use.filter(|chain| !chains.contains(chain));
    served - given_up.map(|chain| inventory.throughput(chain) * GIVE_UP_S).sum::<f64>()
}

/// Adds up what chains complete, given when each of them is ready, in seconds, and its throughput.
fn served(mut ready: Vec<(f64, f64)>, outlook: Outlook) -> f64 {
    let horizon_s = outlook.calm.clamp(MIN_HORIZON, MAX_HORIZON).as_secs_f64();
    ready.retain(|(ready_s, _)| *ready_s < horizon_s);
    ready.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let ends = ready.iter().skip(1).map(|(ready_s, _)| *ready_s).chain([horizon_s]);
    let mut throughput = 0.0;
    let parts = ready.iter().zip(ends).map(|((begin_s, more), end_s)| {
        throughput += more;
        let within = outlook.demand.min(throughput);
        (within + (throughput - within) * EXCESS_WEIGHT) * (end_s - begin_s)
    });
    parts.sum()
}

/// What has to be done until a chain serves.
#[derive(Debug, Default)]
struct Way {
    /// Time until its last endpoint begins to load, in seconds.
    first_s: f64,
    /// Times of all its loads at full rate, in seconds.
    load_s: f64,
    longest_load_s: f64,
}

impl Way {
    fn of(model: &Model, inventory: &Inventory<'_>, chain: &Chain, release: &Release<'_>) -> Self {
        let mut way = Self::default();
        for stage in &chain.stages {
            let Some(candidate) = inventory.get(&stage.endpoint) else {
                continue;
            };
            let (held, wanted) = (candidate.held, stage.layers);
            if held == wanted {
                continue;
            }
            let both = held.len() + lacking(held, wanted);
            let must_release = f64::from(both) * model.layer_bytes > candidate.accelerator.memory;
            let is_stuck = candidate.busy >= STUCK_TIME;
            let release_s =
                if must_release || is_stuck { release.time_s(model, candidate) } else { 0.0 };
            way.first_s = way.first_s.max(ORDER_S + release_s);
            let load_s = model.load.as_secs_f64() * f64::from(lacking(held, wanted))
                / f64::from(model.layers);
            way.load_s += load_s;
            way.longest_load_s = way.longest_load_s.max(load_s);
        }
        way
    }
}

/// How long endpoints take to give up layers, in seconds: until the requests that pass through them have been
/// answered. They do so, too, where a chain has lost a stage and goes around it.
struct Release<'a> {
    /// Times of the endpoints of the current chains.
    in_chains: BTreeMap<&'a name::Endpoint, f64>,
}

impl<'a> Release<'a> {
    fn of(model: &Model, inventory: &Inventory<'_>, current: &'a [Chain]) -> Self {
        let mut in_chains = BTreeMap::new();
        for chain in current {
            let answer_s = answer_s(model, &inventory.assignments(chain));
            in_chains.extend(chain.stages.iter().map(|stage| (&stage.endpoint, answer_s)));
        }
        Self { in_chains }
    }

    /// Returns the time of one endpoint. One that is in no current chain may still be in one of an earlier plan,
    /// of which it is not known what else it is made of.
    fn time_s(&self, model: &Model, candidate: &Candidate) -> f64 {
        let alike = Assignment { accelerator: &candidate.accelerator, layers: model.layers };
        let known = self.in_chains.get(&candidate.endpoint).copied();
        let known = known.filter(|_| candidate.busy < STUCK_TIME);
        known.unwrap_or_else(|| answer_s(model, &[alike]))
    }
}

/// Estimates the time of a mean-sized answer of a chain in full use, in seconds.
fn answer_s(model: &Model, stages: &[Assignment<'_>]) -> f64 {
    let tokens = model.mean_prompt_tokens + model.mean_answer_tokens;
    let requests = (estimate::token_capacity(model, stages) / tokens).min(f64::from(model.slots));
    let token_ms = Cost::of(model, stages).token_ms(model, requests, requests * tokens);
    token_ms * model.mean_answer_tokens / 1000.0
}

fn is_loaded(inventory: &Inventory<'_>, chain: &Chain) -> bool {
    let holds =
        |candidate: Option<Range>, layers| candidate.is_some_and(|held: Range| held.covers(layers));
    chain.stages.iter().all(|s| holds(inventory.get(&s.endpoint).map(|c| c.held), s.layers))
}

/// Returns the number of layers that an endpoint lacks.
fn lacking(held: Range, wanted: Range) -> u32 {
    wanted.len() - held.intersection(wanted).len()
}
