//! Decisions of one side: the gate to the endpoints of its host.
//!
//! [`Machine`] takes events and the present time and returns effects. It runs each position of a
//! request once, in order: a step that has run already is answered from memory, a step that
//! leaves a gap is refused, and a newer attempt fences off older ones.
//!
//! - `gate`: one endpoint and what waits and runs there.
//! - `generation`, `work`: stages of chains at model engines.
//! - `service`: calls of plain services.
//! - `resolve`: cancelling, and refuse-or-report.
//! - `peer`: the other replicas of the stages served here.
//! - `report`: load reports to entries.
//! - `end`: the ways in which work ends.
//! - [`count`], [`journal`]: what operators can ask.

pub mod count;
mod end;
mod event;
mod gate;
mod generation;
pub mod journal;
mod peer;
mod report;
mod resolve;
mod service;
mod work;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::drain::Cause;
use crate::home::{self, Home};
use crate::message::{Claimed, Load, Message};
use crate::order::Around;
use crate::report_interval::Intervals;
use crate::request::{Id, host_hash};
use crate::time::{Instant, as_us};
use crate::{ledger, name};

pub use event::{Effect, Event};

use count::{Count, Counters};
use gate::Gate;
use journal::Journal;
use peer::Peers;
use report::Reports;

/// Time for which work admitted under the roster before the present one is still taken.
const ROSTER_GRACE: Duration = Duration::from_secs(20);

/// What a machine is created with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host.
    pub host: name::Host,
    /// A random number for this run.
    pub boot: u32,
    /// Tokens of requests that wait at one endpoint.
    pub queue_tokens: u64,
    /// Bounds of each endpoint's ledger.
    pub ledger: ledger::Bounds,
    /// Bounds of the home of idempotency keys.
    pub home: home::Bounds,
}

impl Settings {
    /// Settings of `host` with the default bounds.
    pub fn new(host: name::Host, boot: u32) -> Self {
        let (ledger, home) = Default::default();
        Self { host, boot, queue_tokens: 262_144, ledger, home }
    }
}

/// All decisions of one side.
pub struct Machine {
    settings: Settings,
    gates: BTreeMap<name::Endpoint, Gate>,
    home: Home,
    reports: Reports,
    log: Log,
    peers: Peers,
    roster: u64,
    roster_since: Instant,
    /// Wall-clock time at [`Machine::ticked`].
    wall_ms: u64,
    ticked: Instant,
}

/// What operators can ask.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) counters: Counters,
    pub(crate) journal: Journal,
}

/// What a decision is made with: the time, and where its effects and records go.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) out: &'a mut Vec<Effect>,
    pub(crate) log: &'a mut Log,
}

impl Context<'_> {
    /// Answers whoever is connected.
    fn reply(&mut self, host: &name::Host, message: Message) {
        self.out.push(Effect::Send { host: host.clone(), address: None, message });
    }

    fn count(&mut self, count: Count) {
        self.log.counters.add(count, None);
    }
}

impl Machine {
    /// A machine that starts at `now` and serves the endpoints that `config` gives to its host.
    pub fn new(now: Instant, wall_ms: u64, settings: Settings, config: &Config) -> Self {
        let mut machine = Self {
            home: Home::new(now, settings.home),
            settings,
            gates: BTreeMap::new(),
            reports: Reports::default(),
            log: Log::default(),
            peers: Peers::default(),
            roster: 0,
            roster_since: now,
            wall_ms,
            ticked: now,
        };
        machine.configure(now, config, 0, 0);
        machine
    }

    /// Reacts to one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        for gate in self.gates.values_mut() {
            gate.ledger.advance(now);
        }
        match event {
            Event::Message { from, message } => self.on_message(now, &from, message, &mut out),
            Event::Up(host) => self.reports.up(&host, &mut self.gates, &mut out),
            Event::Lost(host) => self.on_lost(now, &host, &mut out),
            Event::Ran { endpoint, outcomes } => {
                self.with_gate(now, &mut out, &endpoint, |gate, cx| gate.ran(cx, outcomes));
            }
            Event::Answered { endpoint, request, answer } => {
                self.with_gate(now, &mut out, &endpoint, |gate, cx| {
                    gate.answered(cx, request, answer);
                });
            }
            Event::Observed { endpoint, free, stored } => {
                self.with_gate(now, &mut out, &endpoint, |gate, _| gate.observe(free, stored));
            }
            Event::Leaving { endpoint, cause, leaving } => {
                self.with_gate(now, &mut out, &endpoint, |gate, _| {
                    gate.drain.set(cause, leaving);
                });
            }
            Event::Configured { config, revision, roster } => {
                self.configure(now, &config, revision, roster);
            }
            Event::Revision(revision) => self.home.confirm(revision),
            Event::Tick { wall_ms } => self.on_tick(now, wall_ms, &mut out),
        }
        self.reports.send(now, &mut self.gates, &mut out);
        out
    }

    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        self.gates.values().all(Gate::is_idle)
    }

    /// Load and state of each endpoint.
    pub fn loads(&self) -> Vec<Load> {
        self.gates.values().map(Gate::load).collect()
    }

    /// Each endpoint with the causes for which it is leaving.
    pub fn causes(&self) -> BTreeMap<name::Endpoint, Vec<Cause>> {
        self.gates
            .iter()
            .map(|(name, gate)| (name.clone(), gate.drain.causes().collect()))
            .collect()
    }

    /// What goes on around an engine that is to be given an order.
    pub fn around(&self, now: Instant, endpoint: &name::Endpoint) -> Around {
        let idle = self.gates.get(endpoint).is_some_and(Gate::is_idle);
        Around { idle, others: self.peers.serving(now, endpoint) }
    }

    /// The sides of the other replicas of the stage that an engine of this host serves.
    pub fn replicas(&self, endpoint: &name::Endpoint) -> Vec<(name::Host, SocketAddr)> {
        self.peers.replicas(endpoint)
    }

    /// Counters of what was refused, repeated and dropped.
    pub fn counters(&self) -> &Counters {
        &self.log.counters
    }

    /// What happened to a request here, oldest first.
    pub fn explain(&self, request: Id) -> Vec<journal::Note> {
        self.log.journal.explain(request)
    }

    /// Keys and records held, for measuring.
    pub fn held(&self) -> usize {
        self.home.len() + self.gates.values().map(|gate| gate.ledger.len()).sum::<usize>()
    }

    fn with_gate(
        &mut self,
        now: Instant,
        out: &mut Vec<Effect>,
        endpoint: &name::Endpoint,
        act: impl FnOnce(&mut Gate, &mut Context),
    ) {
        let Some(gate) = self.gates.get_mut(endpoint) else { return };
        act(gate, &mut Context { now, out, log: &mut self.log });
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: &name::Host,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_from_owner(from, &message) {
            self.log.counters.add(Count::Foreign, None);
            return;
        }
        if matches!(message, Message::Open(_) | Message::Call(_) | Message::Claim(_)) {
            // The sender learns the terms before it is told that it needed them.
            self.reports.up(from, &mut self.gates, out);
        }
        let cx = &mut Context { now, out, log: &mut self.log };
        let wall_ms = self.wall_ms + as_us(now.since(self.ticked)) / 1000;
        match message {
            Message::Open(open) => {
                let superseded = is_superseded(now, self.roster, self.roster_since, open.roster);
                generation::open(&mut self.gates, cx, from, open, superseded);
            }
            Message::Feed(feed) => generation::feed(&mut self.gates, cx, from, feed),
            Message::Step(step) => generation::step(&mut self.gates, cx, from, step),
            Message::Cancel(cancel) => resolve::cancel(&mut self.gates, cx, &cancel),
            Message::Resolve(resolve) => resolve::resolve(&mut self.gates, cx, from, &resolve),
            Message::Call(call) => {
                let superseded = is_superseded(now, self.roster, self.roster_since, call.roster);
                service::call(&mut self.gates, cx, from, call, superseded);
            }
            Message::Claim(claim) => {
                let verdict = self.home.claim(home::Clock { now, wall_ms }, &claim);
                cx.log.counters.add_verdict(&verdict, &claim.workspace);
                let claimed = Claimed { request: claim.request, verdict };
                cx.reply(from, Message::Claimed(claimed));
            }
            Message::Settle(settle) => {
                if !self.home.settle(settle) {
                    cx.count(Count::Stale);
                }
            }
            Message::Load(load) => self.peers.heard(now, from, load),
            _ => cx.count(Count::Foreign),
        }
    }

    /// Whether a message about a request comes from the entry that owns the request; steps come
    /// from other sides and are checked against the chain.
    fn is_from_owner(&self, from: &name::Host, message: &Message) -> bool {
        match message {
            Message::Step(_) => true,
            _ => message.request().is_none_or(|request| request.host == host_hash(from)),
        }
    }

    fn on_lost(&mut self, now: Instant, host: &name::Host, out: &mut Vec<Effect>) {
        self.reports.lost(host);
        let cx = &mut Context { now, out, log: &mut self.log };
        for gate in self.gates.values_mut() {
            gate.lost(cx, host);
        }
    }

    fn on_tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Effect>) {
        self.wall_ms = wall_ms;
        self.ticked = now;
        self.home.tick(now);
        let cx = &mut Context { now, out, log: &mut self.log };
        for gate in self.gates.values_mut() {
            gate.tick(cx);
        }
        self.gates.retain(|_, gate| !gate.removed || !gate.is_idle());
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
        let wall_ms = self.wall_ms + as_us(now.since(self.ticked)) / 1000;
        self.home.adopt(home::Clock { now, wall_ms }, revision, &home::shards(config, host));
        self.log.counters.name(config.contracts.keys());
        let own = |name| config.endpoints.get(name).filter(|endpoint| endpoint.host == *host);
        for (name, gate) in &mut self.gates {
            gate.removed = own(name).is_none();
            gate.drain.set(Cause::Configuration, own(name).is_none_or(|e| e.drain));
        }
        for (name, endpoint) in config.endpoints.iter().filter(|(_, e)| e.host == *host) {
            let gate = self
                .gates
                .entry(name.clone())
                .or_insert_with(|| Gate::new(now, name.clone(), endpoint, &self.settings));
            gate.configure(&endpoint.kind);
        }
        let intervals = Intervals::new(config.endpoints.len());
        self.reports.intervals(intervals);
        self.peers.configure(host, config, intervals);
        let entries: Vec<&name::Host> = config.entries.keys().collect();
        self.reports.expect(entries.into_iter().chain(self.peers.hosts()));
    }
}

/// Whether work admitted under `admitted` is refused.
fn is_superseded(now: Instant, roster: u64, since: Instant, admitted: u64) -> bool {
    admitted < roster && now > since + ROSTER_GRACE
}
