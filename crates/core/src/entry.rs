//! The state machine of one entry, which takes each caller's request to exactly one outcome.
//!
//! [`Machine`] takes events and the current time and returns effects; it does no I/O. It drives
//! each generation: it opens the stages of a chain, feeds tokens to the first stage and takes the
//! sampled token from the last one. When a stage fails, it resumes the generation from the last
//! position that was delivered.
//!
//! - `generation`: the normal path of a generation; `attempt`: choice and opening of its chain;
//!   `inflight`: the state of one generation.
//! - `recovery`: retransmission, failed stages and lost hosts; `migrate`: slow generations.
//! - `admission`: admission by contract, with limits that are shared with other entries.
//! - `call`, `idempotency`: calls of plain services and their idempotency keys; `failover`: calls
//!   that are refused; `lost`: calls at sides that are silent or lost; `pending`: the state of one
//!   call.
//! - `hosts`: feeds the state of hosts into the choice of endpoints.
//! - [`count`]: counters for each reason of a refusal or a retry.

mod admission;
mod attempt;
mod call;
pub mod count;
mod event;
mod failover;
mod generation;
mod hosts;
mod idempotency;
mod inflight;
mod lost;
mod migrate;
mod pending;
mod recovery;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::Config;
use crate::estimate::Rng;
use crate::explain::{self, Fact};
use crate::limit::{self, Limiter};
use crate::membership::{self, Directory};
use crate::message::{Message, Stage, Term};
use crate::plan::Planner;
use crate::request::{Id, Refusal, Refused};
use crate::retry;
use crate::roster::Roster;
use crate::time::{Instant, as_us};
use crate::{contract, home, name};

use admission::Parked;
use count::{Counter, Counters};
use inflight::Generation;
use pending::Pending;

pub use event::{Effect, Event, Generate, Outcome, Request};

/// Interval at which the planner drops link observations that have decayed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// The state machine of one entry.
pub struct Machine {
    config: Config,
    revision: u64,
    planner: Planner,
    generations: BTreeMap<Id, Generation>,
    calls: BTreeMap<Id, Pending>,
    /// Hosts whose connection ended and that have not answered since, with the time it ended.
    probing: BTreeMap<name::Host, Instant>,
    /// Hosts that are considered dead, with the time until which nothing is sent to them.
    dead: BTreeMap<name::Host, Instant>,
    /// When each endpoint last made progress with any request.
    last_progress: BTreeMap<name::Endpoint, Instant>,
    /// The latest term that each endpoint has reported.
    terms: BTreeMap<name::Endpoint, Term>,
    retry_budget: retry::Budget,
    migration_budget: retry::Budget,
    /// Moving average of the fraction of `max_tokens` that answers use, by model.
    length_ratios: BTreeMap<name::Model, f64>,
    limiter: Limiter,
    /// Requests that wait for a loan of their contract's limits from another entry.
    parked: BTreeMap<Id, Parked>,
    /// Workspaces for which a loan has arrived.
    loaned: BTreeSet<name::Workspace>,
    last_limit_tick: Instant,
    /// The host that decides on each shard of idempotency keys.
    key_homes: Vec<name::Host>,
    records: explain::Store,
    counters: Counters,
    directory: Directory,
    last_assessed: Instant,
    rng: Rng,
    last_prune: Instant,
    stopping: bool,
}

/// The state of an entry as operators see it.
#[oriole_macros::data]
pub struct Status {
    /// Generations in progress.
    pub generations: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Hosts that cannot be reached.
    pub lost: Vec<name::Host>,
    /// Links whose latency is well above the configured one.
    pub degraded: Vec<explain::Link>,
    /// Whether the entry is stopping.
    pub stopping: bool,
}

impl Machine {
    /// Creates a machine that does not share limits with other entries. `seed` seeds the random
    /// choice among equally good chains.
    pub fn new(config: Config, seed: u64) -> Self {
        let now = Instant::default();
        let host = name::Host::from("");
        let mut machine = Self {
            config: Config::default(),
            revision: 0,
            planner: Planner::new(host.clone(), "".into()),
            generations: BTreeMap::new(),
            calls: BTreeMap::new(),
            probing: BTreeMap::new(),
            dead: BTreeMap::new(),
            last_progress: BTreeMap::new(),
            terms: BTreeMap::new(),
            retry_budget: retry::Budget::new(now, retry::RETRY_RATE),
            migration_budget: retry::Budget::new(now, retry::MIGRATION_RATE),
            length_ratios: BTreeMap::new(),
            limiter: Limiter::new(now, host.clone(), 0, limit::Settings::default()),
            parked: BTreeMap::new(),
            loaned: BTreeSet::new(),
            last_limit_tick: now,
            key_homes: Vec::new(),
            records: explain::Store::default(),
            counters: Counters::default(),
            directory: Directory::new(now, membership::Settings::default(), Vec::new()),
            last_assessed: now,
            rng: Rng::new(seed),
            last_prune: now,
            stopping: false,
        };
        let roster = Roster::first(BTreeMap::from([(host, 1)]));
        machine.configure(now, 0, config, Some(roster), &mut Vec::new());
        machine
    }

    /// Turns this into the machine of `host`, which shares the limits with the other entries of
    /// the configuration. `boot` is a random number that identifies this run of the process.
    pub fn on_host(mut self, now: Instant, host: &name::Host, boot: u32) -> Self {
        let zone = self.config.entries.get(host).map_or("".into(), |entry| entry.zone.clone());
        self.planner = Planner::new(host.clone(), zone);
        self.limiter = Limiter::new(now, host.clone(), boot, limit::Settings::default());
        let roster = self.initial_roster(host);
        let config = self.config.clone();
        // The effects can be dropped: the first tick asks again which entries to greet.
        self.configure(now, self.revision, config, roster, &mut Vec::new());
        self
    }

    /// Returns the roster of the configuration that the process was started with. An entry that
    /// starts without a configuration has no roster until it adopts its first revision.
    fn initial_roster(&self, host: &name::Host) -> Option<Roster> {
        let entries = self.config.entries.iter();
        let mut weights: BTreeMap<name::Host, u32> =
            entries.map(|(host, entry)| (host.clone(), entry.weight)).collect();
        if weights.is_empty() {
            if self.config.contracts.is_empty() {
                return None;
            }
            weights.insert(host.clone(), 1);
        }
        Some(Roster::first(weights))
    }

    /// Puts `config`, which is revision `number`, in force.
    fn configure(
        &mut self,
        now: Instant,
        number: u64,
        config: Config,
        roster: Option<Roster>,
        effects: &mut Vec<Effect>,
    ) {
        self.planner.configure(&config);
        let endpoint_hosts = hosts::endpoint_hosts(&config);
        if self.config.endpoints.is_empty() {
            // It is not known how long the hosts of a first configuration have existed.
            self.directory = Directory::new(now, membership::Settings::default(), endpoint_hosts);
        } else {
            self.directory.on_config_hosts(now, endpoint_hosts);
        }
        let endpoints = &config.endpoints;
        self.last_progress.retain(|endpoint, _| endpoints.contains_key(endpoint));
        self.terms.retain(|endpoint, _| endpoints.contains_key(endpoint));
        self.length_ratios.retain(|model, _| config.models.contains_key(model));
        self.key_homes = home::shard_hosts(&config);
        self.config = config;
        self.revision = number;
        let mut out = Vec::new();
        self.limiter.on_contracts(now, &self.config.contracts, &mut out);
        if let Some(roster) = roster {
            self.limiter.on_roster(now, roster, &mut out);
        }
        self.apply_limit_effects(out, effects);
        self.assess_hosts(now);
    }

    /// Handles one event and returns the effects to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Generate(id, generate) => self.on_generate(now, id, generate, &mut effects),
            Event::Call(id, request) => self.on_call(now, id, request, &mut effects),
            Event::CallerLeft(id) => self.on_caller_left(now, id, &mut effects),
            Event::Pause(id) => self.on_pause(id),
            Event::Resume(id) => self.on_resume(now, id, &mut effects),
            Event::Message { from, message } => {
                self.on_host_alive(&from);
                self.on_message(now, &from, message, &mut effects);
            }
            Event::Connected(host) => self.on_host_alive(&host),
            Event::Disconnected(host) => self.on_disconnected(now, &host, &mut effects),
            Event::HostList(list) => self.on_host_list(now, &list),
            Event::Configured { revision, config, roster } => {
                self.configure(now, revision, *config, Some(roster), &mut effects);
            }
            Event::Stop => self.stopping = true,
            Event::Tick => self.on_tick(now, &mut effects),
        }
        self.retry_loaned(now, &mut effects);
        effects
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns whether no request is in progress or parked.
    pub fn is_idle(&self) -> bool {
        self.generations.is_empty() && self.calls.is_empty() && self.parked.is_empty()
    }

    /// Returns the number of the configuration revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a request that was refused before it reached the machine.
    pub fn count_rejected(&mut self, reason: Refusal, workspace: Option<name::Workspace>) {
        let workspace = workspace.unwrap_or_else(|| "".into());
        self.counters.add(Counter::Refused(reason), &workspace);
    }

    /// Returns the counters of requests, refusals and retries.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the record of a request, or `None` if it is no longer kept.
    pub fn record(&self, request: Id) -> Option<&explain::Record> {
        self.records.get(request)
    }

    /// Returns the state as operators see it.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            generations: self.generations.len(),
            calls: self.calls.len(),
            lost: self.dead.keys().cloned().collect(),
            degraded: self.degraded(now),
            stopping: self.stopping,
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: &name::Host,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Opened(opened) => self.on_opened(now, &opened, effects),
            Message::Token(token) => self.on_token(now, token, effects),
            Message::Broken(broken) => self.on_broken(now, &broken, effects),
            Message::Refuse(refuse) if self.calls.contains_key(&refuse.request) => {
                self.on_call_refused(now, refuse, effects);
            }
            Message::Refuse(refuse) => self.on_refuse(now, refuse, effects),
            Message::Reply(reply) => self.on_reply(now, reply, effects),
            Message::Report(report) => self.on_report(now, &report, effects),
            Message::Claimed(claimed) => self.on_claimed(now, claimed, effects),
            Message::Share(message) => self.on_share(now, from, message, effects),
            Message::Load(load) => {
                self.directory.on_heard(now, from);
                self.terms.insert(load.endpoint.clone(), load.term);
                self.planner.record_load(now, &load);
            }
            // Other messages are addressed to sides or to other parts of the process.
            _ => {}
        }
    }

    fn on_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.tick_hosts(now, effects);
        self.tick_directory(now);
        self.tick_generations(now, effects);
        self.tick_calls(now, effects);
        self.tick_admission(now, effects);
        if now.since(self.last_prune) >= PRUNE_INTERVAL {
            self.last_prune = now;
            self.planner.prune(now);
        }
    }

    fn on_caller_left(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        if let Some(generation) = self.generations.remove(&id) {
            let refused = generation.refused(Refusal::Cancelled, None);
            self.record_refusal(now, id, &generation.spec.workspace, &refused);
            self.release(&generation, effects);
            let used = generation.used();
            self.settle(now, generation.permit, used, effects);
        }
        self.abandon_parked(now, id);
        self.abandon_call(now, id, effects);
    }

    /// Returns the service level of the contract and the deadline of a request that asks for
    /// `requested`, or `None` if the workspace has no contract.
    fn service_and_deadline(
        &self,
        now: Instant,
        workspace: &name::Workspace,
        requested: Option<Duration>,
    ) -> Option<(contract::ServiceLevel, Instant)> {
        let service = &self.config.contracts.get(workspace)?.service;
        let left = requested.unwrap_or(service.default_deadline).min(service.longest_deadline);
        Some((service.clone(), now + left))
    }

    /// Records and counts a refusal.
    fn record_refusal(
        &mut self,
        now: Instant,
        id: Id,
        workspace: &name::Workspace,
        refused: &Refused,
    ) {
        self.records.add(now, id, Fact::Refused(refused.clone()));
        self.counters.add(Counter::Refused(refused.reason), workspace);
    }

    /// Ends a request with a refusal. Its state must have been removed from the machine.
    fn refuse(
        &mut self,
        now: Instant,
        id: Id,
        workspace: &name::Workspace,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        self.record_refusal(now, id, workspace, &refused);
        effects.push(Effect::Finish { request: id, outcome: Outcome::Refused(refused) });
    }

    fn degraded(&self, now: Instant) -> Vec<explain::Link> {
        let link = |link: crate::plan::link::Degraded| explain::Link {
            from: link.from,
            to: link.to,
            excess_us: link.excess_us,
        };
        self.planner.degraded(now).into_iter().map(link).collect()
    }

    /// Returns the latest term that the side of the stage has reported.
    fn term(&self, stage: &Stage) -> Term {
        self.terms.get(&stage.endpoint).copied().unwrap_or_default()
    }
}

/// Returns the effect that sends a message to the side of a stage.
fn send(stage: &Stage, message: Message) -> Effect {
    Effect::Send { host: stage.host.clone(), address: Some(stage.address), message }
}

/// Returns the whole milliseconds from `now` until `deadline`.
fn remaining_ms(now: Instant, deadline: Instant) -> u64 {
    as_us(deadline.since(now)) / 1000
}
