//! Decisions of one entry: from a caller's request to its one answer.
//!
//! [`Machine`] takes events and the present time and returns effects. It is the driver of each
//! generation: it opens the stages of a chain, feeds tokens to the first one, takes the sampled
//! token from the last, and when a stage fails goes on from the last position delivered.
//!
//! - `generation`: a generation while all goes well.
//! - `recovery`: what is done when it does not; `migrate`: when it goes slowly.
//! - `admission`: admission by contract, limits shared with other entries.
//! - `call`, `claim`: calls of plain services and their idempotency keys.
//! - [`count`]: counters for each refusal and retry reason.

mod admission;
mod call;
mod claim;
pub mod count;
mod event;
mod generation;
mod hosts;
mod migrate;
mod pending;
mod recovery;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::Config;
use crate::estimate::Draw;
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
use pending::Pending;
use work::Work;

pub use event::{Effect, Event, Generate, Outcome, Request};

/// Interval at which the planner drops what has faded.
const FORGET: Duration = Duration::from_secs(10);

/// All decisions of one entry.
pub struct Machine {
    config: Config,
    revision: u64,
    planner: Planner,
    works: BTreeMap<Id, Work>,
    calls: BTreeMap<Id, Pending>,
    /// Hosts whose connection ended, with the time of it; they may be dead.
    doubts: BTreeMap<name::Host, Instant>,
    /// Hosts that are held to be dead, with the time until which nothing is sent there.
    lost: BTreeMap<name::Host, Instant>,
    /// When each endpoint was last heard to make progress.
    heard: BTreeMap<name::Endpoint, Instant>,
    terms: BTreeMap<name::Endpoint, Term>,
    budget: retry::Budget,
    moves: retry::Budget,
    /// Part of the allowed answer length that answers use, by model.
    lengths: BTreeMap<name::Model, f64>,
    limiter: Limiter,
    parked: BTreeMap<Id, Parked>,
    /// Workspaces for which a loan has come.
    ready: BTreeSet<name::Workspace>,
    shared: Instant,
    /// The home of each shard of idempotency keys.
    homes: Vec<name::Host>,
    records: explain::Store,
    counters: Counters,
    directory: Directory,
    /// When hosts were last judged.
    judged: Instant,
    draw: Draw,
    forgotten: Instant,
    stopping: bool,
}

/// What an operator sees of an entry's state.
#[oriole_macros::data]
pub struct Status {
    /// Generations in progress.
    pub generations: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Hosts that cannot be reached.
    pub lost: Vec<name::Host>,
    /// Links that are well over their configured latency.
    pub degraded: Vec<explain::Link>,
    /// Whether the entry is stopping.
    pub stopping: bool,
}

impl Machine {
    /// A machine that works by `config` without sharing limits; `seed` starts its choices among
    /// equals.
    pub fn new(config: Config, seed: u64) -> Self {
        let now = Instant::default();
        let host = name::Host::from("");
        let mut machine = Self {
            config: Config::default(),
            revision: 0,
            planner: Planner::new(host.clone(), "".into()),
            works: BTreeMap::new(),
            calls: BTreeMap::new(),
            doubts: BTreeMap::new(),
            lost: BTreeMap::new(),
            heard: BTreeMap::new(),
            terms: BTreeMap::new(),
            budget: retry::Budget::new(now, retry::RETRIES),
            moves: retry::Budget::new(now, retry::MOVES),
            lengths: BTreeMap::new(),
            limiter: Limiter::new(now, host.clone(), 0, limit::Settings::default()),
            parked: BTreeMap::new(),
            ready: BTreeSet::new(),
            shared: now,
            homes: Vec::new(),
            records: explain::Store::default(),
            counters: Counters::default(),
            directory: Directory::new(now, membership::Settings::default(), Vec::new()),
            judged: now,
            draw: Draw::new(seed),
            forgotten: now,
            stopping: false,
        };
        let roster = Roster::first(BTreeMap::from([(host, 1)]));
        machine.configure(now, 0, config, Some(roster), &mut Vec::new());
        machine
    }

    /// The same machine on `host`, which shares the limits with the other entries of its
    /// configuration. `boot` is a random number that this run has drawn.
    pub fn on_host(mut self, now: Instant, host: &name::Host, boot: u32) -> Self {
        let zone = self.config.entries.get(host).map_or("".into(), |entry| entry.zone.clone());
        self.planner = Planner::new(host.clone(), zone);
        self.limiter = Limiter::new(now, host.clone(), boot, limit::Settings::default());
        let roster = self.first_roster(host);
        let config = self.config.clone();
        // Whom to greet is asked again at the first tick.
        self.configure(now, self.revision, config, roster, &mut Vec::new());
        self
    }

    /// The roster of a configuration that came with the start of the process. An entry that
    /// starts without one has none until it adopts its first revision.
    fn first_roster(&self, host: &name::Host) -> Option<Roster> {
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

    /// Works by `config`, which is revision `number`, from now on.
    fn configure(
        &mut self,
        now: Instant,
        number: u64,
        config: Config,
        roster: Option<Roster>,
        effects: &mut Vec<Effect>,
    ) {
        self.planner.configure(&config);
        let named = hosts::named(&config);
        if self.config.endpoints.is_empty() {
            // Nothing is known of the age of the hosts that a first configuration names.
            self.directory = Directory::new(now, membership::Settings::default(), named);
        } else {
            self.directory.on_hosts(now, named);
        }
        let endpoints = &config.endpoints;
        self.heard.retain(|endpoint, _| endpoints.contains_key(endpoint));
        self.terms.retain(|endpoint, _| endpoints.contains_key(endpoint));
        self.lengths.retain(|model, _| config.models.contains_key(model));
        self.homes = home::hosts(&config);
        self.config = config;
        self.revision = number;
        let mut out = Vec::new();
        self.limiter.on_contracts(now, &self.config.contracts, &mut out);
        if let Some(roster) = roster {
            self.limiter.on_roster(now, roster, &mut out);
        }
        self.share(out, effects);
        self.judge(now);
    }

    /// Reacts to one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Generate(id, generate) => self.on_generate(now, id, generate, &mut effects),
            Event::Call(id, request) => self.on_call(now, id, request, &mut effects),
            Event::Gone(id) => self.on_gone(now, id, &mut effects),
            Event::Hold(id) => self.on_hold(id),
            Event::Resume(id) => self.on_resume(now, id, &mut effects),
            Event::Message { from, message } => {
                self.on_heard(&from);
                self.on_message(now, &from, message, &mut effects);
            }
            Event::Up(host) => self.on_heard(&host),
            Event::Lost(host) => self.on_lost(now, &host, &mut effects),
            Event::Hosts(list) => self.on_list(now, &list),
            Event::Configured { revision, config, roster } => {
                self.configure(now, revision, *config, Some(roster), &mut effects);
            }
            Event::Stop => self.stopping = true,
            Event::Tick => self.on_tick(now, &mut effects),
        }
        self.retry_ready(now, &mut effects);
        effects
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        self.works.is_empty() && self.calls.is_empty() && self.parked.is_empty()
    }

    /// Number of the revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a request that was refused before it came here.
    pub fn reject(&mut self, reason: Refusal, workspace: Option<name::Workspace>) {
        let workspace = workspace.unwrap_or_else(|| "".into());
        self.counters.add(Counter::Refused(reason), &workspace);
    }

    /// The counters of refusals and retries.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The record of a request, if it is still kept.
    pub fn record(&self, request: Id) -> Option<&explain::Record> {
        self.records.get(request)
    }

    /// What an operator sees of the state.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            generations: self.works.len(),
            calls: self.calls.len(),
            lost: self.lost.keys().cloned().collect(),
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
                self.planner.report(now, &load);
            }
            // The rest is for sides, or not for this machine.
            _ => {}
        }
    }

    fn on_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.tick_hosts(now, effects);
        self.tick_directory(now);
        self.tick_generations(now, effects);
        self.tick_calls(now, effects);
        self.tick_admission(now, effects);
        if now.since(self.forgotten) >= FORGET {
            self.forgotten = now;
            self.planner.forget(now);
        }
    }

    fn on_gone(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        if let Some(work) = self.works.remove(&id) {
            let refused = work.refused(Refusal::Cancelled, None);
            self.note_refusal(now, id, &work.ask.workspace, &refused);
            self.release(&work, effects);
            let used = work.used();
            self.settle(now, work.permit, used, effects);
        }
        self.abandon_parked(now, id);
        self.abandon_call(now, id, effects);
    }

    /// The contract's order and time limits, and the deadline of a request that asks for `asked`.
    fn deadline(
        &self,
        now: Instant,
        workspace: &name::Workspace,
        asked: Option<Duration>,
    ) -> Option<(contract::ServiceLevel, Instant)> {
        let service = &self.config.contracts.get(workspace)?.service;
        let left = asked.unwrap_or(service.default_deadline).min(service.longest_deadline);
        Some((service.clone(), now + left))
    }

    /// Records and counts a refusal.
    fn note_refusal(
        &mut self,
        now: Instant,
        id: Id,
        workspace: &name::Workspace,
        refused: &Refused,
    ) {
        self.records.add(now, id, Fact::Refused(refused.clone()));
        self.counters.add(Counter::Refused(refused.reason), workspace);
    }

    /// Ends a request that is not in progress any more with a refusal.
    fn refuse(
        &mut self,
        now: Instant,
        id: Id,
        workspace: &name::Workspace,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        self.note_refusal(now, id, workspace, &refused);
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

    /// The latest term that an endpoint's side has told.
    fn term(&self, stage: &Stage) -> Term {
        self.terms.get(&stage.endpoint).copied().unwrap_or_default()
    }
}

/// Sends a message to the side of a stage.
fn send(stage: &Stage, message: Message) -> Effect {
    Effect::Send { host: stage.host.clone(), address: Some(stage.address), message }
}

/// Whole milliseconds from `now` until `deadline`.
fn left_ms(now: Instant, deadline: Instant) -> u64 {
    as_us(deadline.since(now)) / 1000
}
