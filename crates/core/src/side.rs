//! Decisions of a side, the process through which entries reach the endpoints of its host.
//!
//! [`Machine`] takes events and the present time and returns effects. It runs each position of a
//! request once per attempt and in order: it answers a repeated step with the stored output,
//! refuses a step that leaves a gap, and rejects messages of attempts older than the newest one.
//!
//! - `dispatcher`: admission, queue and state of one endpoint.
//! - `generation`, `sequence`: stages of chains at model engines.
//! - `service`: calls of plain services.
//! - `resolve`: cancellation, and requests to refuse a request unless it has started.
//! - `replica`: the other replicas of the stages that this side serves.
//! - `report`: load reports to entries and to the sides of replicas.
//! - `teardown`: sequences that end by deadline, disconnection or cancellation.
//! - [`counter`], [`journal`]: counters and recent events for operators.

pub mod counter;
mod dispatcher;
mod event;
mod generation;
pub mod journal;
mod replica;
mod report;
mod resolve;
mod sequence;
mod service;
mod teardown;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::drain::Cause;
use crate::home::{self, Home};
use crate::message::{Claimed, Load, Message};
use crate::order::Conditions;
use crate::report_interval::Intervals;
use crate::request::{Id, host_hash};
use crate::time::{Instant, as_us};
use crate::{ledger, name};

pub use event::{Effect, Event};

use counter::{Counter, Counters};
use dispatcher::Dispatcher;
use journal::Journal;
use replica::Replicas;
use report::Reports;

/// Time after a change of roster for which work admitted under an older one is still accepted.
const ROSTER_GRACE: Duration = Duration::from_secs(20);

/// Parameters of a [`Machine`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host that the side serves.
    pub host: name::Host,
    /// A random number that identifies this run of the process.
    pub boot: u32,
    /// Maximum number of tokens of the requests that wait at one endpoint.
    pub queue_tokens: u64,
    /// Bounds of each endpoint's ledger.
    pub ledger: ledger::Bounds,
    /// Bounds of the home of idempotency keys.
    pub home: home::Bounds,
}

impl Settings {
    /// Returns settings of `host` with the default bounds.
    pub fn new(host: name::Host, boot: u32) -> Self {
        let (ledger, home) = Default::default();
        Self { host, boot, queue_tokens: 262_144, ledger, home }
    }
}

/// The state machine of one side.
pub struct Machine {
    settings: Settings,
    dispatchers: BTreeMap<name::Endpoint, Dispatcher>,
    home: Home,
    reports: Reports,
    telemetry: Telemetry,
    replicas: Replicas,
    roster: u64,
    roster_since: Instant,
    /// Wall-clock time at the last tick, in milliseconds since the Unix epoch.
    wall_ms: u64,
    ticked_at: Instant,
}

/// Counters and notes that operators can query.
#[derive(Default)]
pub(crate) struct Telemetry {
    pub(crate) counters: Counters,
    pub(crate) journal: Journal,
}

/// The present time, and the destinations of effects and telemetry, while an event is handled.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) out: &'a mut Vec<Effect>,
    pub(crate) telemetry: &'a mut Telemetry,
}

impl Context<'_> {
    /// Sends a message to a host over its open connection.
    fn reply(&mut self, host: &name::Host, message: Message) {
        self.out.push(Effect::Send { host: host.clone(), address: None, message });
    }

    fn count(&mut self, counter: Counter) {
        self.telemetry.counters.add(counter, None);
    }
}

impl Machine {
    /// Creates a machine that starts at `now` and serves the endpoints that `config` assigns to its
    /// host. `wall_ms` is the wall-clock time in milliseconds since the Unix epoch.
    pub fn new(now: Instant, wall_ms: u64, settings: Settings, config: &Config) -> Self {
        let mut machine = Self {
            home: Home::new(now, settings.home),
            settings,
            dispatchers: BTreeMap::new(),
            reports: Reports::default(),
            telemetry: Telemetry::default(),
            replicas: Replicas::default(),
            roster: 0,
            roster_since: now,
            wall_ms,
            ticked_at: now,
        };
        machine.configure(now, config, 0, 0);
        machine
    }

    /// Handles one event and returns the effects that the adapter has to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.ledger.advance_epoch(now);
        }
        match event {
            Event::Message { from, message } => self.on_message(now, &from, message, &mut out),
            Event::Connected(host) => {
                self.reports.connected(&host, &mut self.dispatchers, &mut out)
            }
            Event::Disconnected(host) => self.on_disconnected(now, &host, &mut out),
            Event::BatchFinished { endpoint, outcomes } => {
                self.with_dispatcher(now, &mut out, &endpoint, |dispatcher, cx| {
                    dispatcher.batch_finished(cx, outcomes)
                });
            }
            Event::CallFinished { endpoint, request, answer } => {
                self.with_dispatcher(now, &mut out, &endpoint, |dispatcher, cx| {
                    dispatcher.call_finished(cx, request, answer);
                });
            }
            Event::EngineObserved { endpoint, free_tokens, stored_prefixes } => {
                self.with_dispatcher(now, &mut out, &endpoint, |dispatcher, _| {
                    dispatcher.record_observation(free_tokens, stored_prefixes)
                });
            }
            Event::Leaving { endpoint, cause, leaving } => {
                self.with_dispatcher(now, &mut out, &endpoint, |dispatcher, _| {
                    dispatcher.drain.set(cause, leaving);
                });
            }
            Event::Configured { config, revision, roster } => {
                self.configure(now, &config, revision, roster);
            }
            Event::RevisionConfirmed(revision) => self.home.confirm_revision(revision),
            Event::Tick { wall_ms } => self.on_tick(now, wall_ms, &mut out),
        }
        self.reports.send_due(now, &mut self.dispatchers, &mut out);
        out
    }

    /// Returns whether no endpoint holds queued or running work.
    pub fn is_idle(&self) -> bool {
        self.dispatchers.values().all(Dispatcher::is_idle)
    }

    /// Returns the load and state of each endpoint.
    pub fn loads(&self) -> Vec<Load> {
        self.dispatchers.values().map(Dispatcher::load).collect()
    }

    /// Returns the causes for which each endpoint drains; empty for an endpoint that is open.
    pub fn drain_causes(&self) -> BTreeMap<name::Endpoint, Vec<Cause>> {
        self.dispatchers
            .iter()
            .map(|(name, dispatcher)| (name.clone(), dispatcher.drain.causes().collect()))
            .collect()
    }

    /// Returns what the reconciler of an engine has to know before it changes what the engine
    /// holds: whether the endpoint is idle, and how many other replicas of its stage are open.
    pub fn order_conditions(&self, now: Instant, endpoint: &name::Endpoint) -> Conditions {
        let idle = self.dispatchers.get(endpoint).is_some_and(Dispatcher::is_idle);
        Conditions { idle, other_replicas: self.replicas.count_open(now, endpoint) }
    }

    /// Returns host and side address of each other replica of the stage that `endpoint` serves.
    pub fn replicas(&self, endpoint: &name::Endpoint) -> Vec<(name::Host, SocketAddr)> {
        self.replicas.replicas(endpoint)
    }

    /// Returns the counters of refused, repeated and dropped work.
    pub fn counters(&self) -> &Counters {
        &self.telemetry.counters
    }

    /// Returns the recent notes on a request, oldest first.
    pub fn explain(&self, request: Id) -> Vec<journal::Note> {
        self.telemetry.journal.explain(request)
    }

    /// Returns the number of idempotency keys and request records in memory.
    pub fn record_count(&self) -> usize {
        self.home.len()
            + self.dispatchers.values().map(|dispatcher| dispatcher.ledger.len()).sum::<usize>()
    }

    fn with_dispatcher(
        &mut self,
        now: Instant,
        out: &mut Vec<Effect>,
        endpoint: &name::Endpoint,
        act: impl FnOnce(&mut Dispatcher, &mut Context),
    ) {
        let Some(dispatcher) = self.dispatchers.get_mut(endpoint) else { return };
        act(dispatcher, &mut Context { now, out, telemetry: &mut self.telemetry });
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: &name::Host,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_from_owner(from, &message) {
            self.telemetry.counters.add(Counter::Foreign, None);
            return;
        }
        if matches!(message, Message::Open(_) | Message::Call(_) | Message::Claim(_)) {
            // The load report carries the term, so it has to precede a refusal for a missing term.
            self.reports.connected(from, &mut self.dispatchers, out);
        }
        let cx = &mut Context { now, out, telemetry: &mut self.telemetry };
        let wall_ms = self.wall_ms + as_us(now.since(self.ticked_at)) / 1000;
        match message {
            Message::Open(open) => {
                let superseded = is_superseded(now, self.roster, self.roster_since, open.roster);
                generation::open(&mut self.dispatchers, cx, from, open, superseded);
            }
            Message::Feed(feed) => generation::feed(&mut self.dispatchers, cx, from, feed),
            Message::Step(step) => generation::step(&mut self.dispatchers, cx, from, step),
            Message::Cancel(cancel) => resolve::cancel(&mut self.dispatchers, cx, &cancel),
            Message::Resolve(resolve) => {
                resolve::resolve(&mut self.dispatchers, cx, from, &resolve)
            }
            Message::Call(call) => {
                let superseded = is_superseded(now, self.roster, self.roster_since, call.roster);
                service::call(&mut self.dispatchers, cx, from, call, superseded);
            }
            Message::Claim(claim) => {
                let verdict = self.home.claim(home::Clock { now, wall_ms }, &claim);
                cx.telemetry.counters.add_verdict(&verdict, &claim.workspace);
                let claimed = Claimed { request: claim.request, verdict };
                cx.reply(from, Message::Claimed(claimed));
            }
            Message::Settle(settle) => {
                if !self.home.settle(settle) {
                    cx.count(Counter::Stale);
                }
            }
            Message::Load(load) => self.replicas.record_load(now, from, load),
            _ => cx.count(Counter::Foreign),
        }
    }

    /// Returns whether a message about a request comes from the entry that owns the request. Steps
    /// come from other sides and are checked against the chain instead.
    fn is_from_owner(&self, from: &name::Host, message: &Message) -> bool {
        match message {
            Message::Step(_) => true,
            _ => message.request().is_none_or(|request| request.host == host_hash(from)),
        }
    }

    fn on_disconnected(&mut self, now: Instant, host: &name::Host, out: &mut Vec<Effect>) {
        self.reports.disconnected(host);
        let cx = &mut Context { now, out, telemetry: &mut self.telemetry };
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.on_disconnected(cx, host);
        }
    }

    fn on_tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Effect>) {
        self.wall_ms = wall_ms;
        self.ticked_at = now;
        self.home.tick(now);
        let cx = &mut Context { now, out, telemetry: &mut self.telemetry };
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.tick(cx);
        }
        self.dispatchers.retain(|_, dispatcher| !dispatcher.removed || !dispatcher.is_idle());
    }

    fn configure(&mut self, now: Instant, config: &Config, revision: u64, roster: u64) {
        if revision < self.home.revision() {
            return;
        }
        if roster > self.roster {
            self.roster = roster;
            self.roster_since = now;
        }
        let host = &self.settings.host;
        let wall_ms = self.wall_ms + as_us(now.since(self.ticked_at)) / 1000;
        self.home.adopt(home::Clock { now, wall_ms }, revision, &home::own_shards(config, host));
        self.telemetry.counters.set_workspaces(config.contracts.keys());
        let own = |name| config.endpoints.get(name).filter(|endpoint| endpoint.host == *host);
        for (name, dispatcher) in &mut self.dispatchers {
            dispatcher.removed = own(name).is_none();
            dispatcher.drain.set(Cause::Configuration, own(name).is_none_or(|e| e.drain));
        }
        for (name, endpoint) in config.endpoints.iter().filter(|(_, e)| e.host == *host) {
            let dispatcher = self
                .dispatchers
                .entry(name.clone())
                .or_insert_with(|| Dispatcher::new(now, name.clone(), endpoint, &self.settings));
            dispatcher.configure(&endpoint.kind);
        }
        let intervals = Intervals::new(config.endpoints.len());
        self.reports.set_intervals(intervals);
        self.replicas.configure(host, config, intervals);
        let entries: Vec<&name::Host> = config.entries.keys().collect();
        self.reports.set_recipients(entries.into_iter().chain(self.replicas.hosts()));
    }
}

/// Returns whether work admitted under roster `admitted` is refused: the roster is older than the
/// present one, which has been in force for longer than [`ROSTER_GRACE`].
fn is_superseded(now: Instant, roster: u64, since: Instant, admitted: u64) -> bool {
    admitted < roster && now > since + ROSTER_GRACE
}
