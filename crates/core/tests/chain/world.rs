//! The simulation: clock, network and processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Entry, Kind, Model, Route, Service};
use oriole_core::contract::{self, Contract, Limits};
use oriole_core::entry::{self, Generate, Outcome};
use oriole_core::message::{Answer, Message};
use oriole_core::name;
use oriole_core::request::{Id, host_hash};
use oriole_core::side::{self, Settings};
use oriole_core::time::Instant;
use oriole_core::units::Rate;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Engine, STAGES};

const TICK_MS: u64 = 50;
const MAX_BATCH_MS: u64 = 30;
const SIDES: usize = 7;

/// The faults of one simulation.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Share of messages that are lost, in percent.
    pub lost_percent: u32,
    /// Share of messages that are delivered twice, in percent. The second copy arrives up to 5 s
    /// later.
    pub duplicated_percent: u32,
    /// Longest delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// For each crash: the side, its time and the downtime in milliseconds, and whether the engine
    /// loses its sequences too.
    pub crashes: Vec<(usize, u64, u64, bool)>,
}

/// An action at a later time.
enum Scheduled {
    Message { from: name::Host, to: name::Host, message: Message },
    Finished { side: usize, incarnation: u32, event: side::Event },
    Crash(usize, u64, bool),
    Restart(usize),
}

/// A side, with its engine unless it serves the plain service.
struct Side {
    machine: Option<side::Machine>,
    engine: Option<Engine>,
    incarnation: u32,
    busy: bool,
    /// Sequence, attempt and position of each step that ran in this incarnation.
    ran: BTreeSet<(String, u32, u32)>,
    attempts: BTreeMap<Id, u32>,
}

pub struct World {
    faults: Faults,
    rng: ChaCha8Rng,
    now_ms: u64,
    next_tick_ms: u64,
    /// Pending actions, by time in milliseconds and order.
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    /// Sequence number of request ids, and the order of actions scheduled for the same time.
    next_seq: u64,
    config: Config,
    entry: entry::Machine,
    sides: Vec<Side>,
    pub delivered: BTreeMap<Id, String>,
    pub outcomes: BTreeMap<Id, Outcome>,
    /// How often each call ran.
    pub calls: BTreeMap<Id, u32>,
    /// Descriptions of broken guarantees.
    pub violations: Vec<String>,
}

pub fn prompt(n: u32) -> Vec<u32> {
    (0..20 + n).map(|i| i * 31 + n).collect()
}

fn host(side: usize) -> name::Host {
    format!("host-{side}").as_str().into()
}

fn entry_host() -> name::Host {
    "entry".into()
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let config = config();
        let mut world = Self {
            faults: faults.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000,
            next_tick_ms: 1_000,
            scheduled: BTreeMap::new(),
            next_seq: 0,
            entry: entry::Machine::new(config.clone(), seed),
            config,
            sides: Vec::new(),
            delivered: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            calls: BTreeMap::new(),
            violations: Vec::new(),
        };
        for side in 0..SIDES {
            let engine = (side < SIDES - 1).then(|| Engine::new((side / 2) as u16));
            world.sides.push(Side {
                machine: None,
                engine,
                incarnation: 0,
                busy: false,
                ran: BTreeSet::new(),
                attempts: BTreeMap::new(),
            });
            world.start(side);
        }
        for (side, at_ms, down_ms, engine) in faults.crashes {
            let crash = Scheduled::Crash(side, down_ms, engine);
            world.schedule(1_000 + at_ms, crash);
        }
        // Lets the sides' first load reports arrive.
        world.run(200);
        world
    }

    pub fn generate(&mut self, n: u32, max_tokens: u32) -> Id {
        let request = Generate {
            workspace: "desk".into(),
            model: "model".into(),
            prompt: prompt(n),
            max_tokens,
            deadline: Some(Duration::from_secs(25)),
        };
        let id = self.id();
        self.handle_entry(entry::Event::Generate(id, request));
        id
    }

    pub fn call(&mut self) -> Id {
        let request = entry::Request {
            workspace: "desk".into(),
            service: "app".into(),
            method: "POST".into(),
            path: "/dispatch".into(),
            content_type: String::new(),
            body: Vec::new(),
            key: None,
            deadline: Some(Duration::from_secs(3)),
        };
        let id = self.id();
        self.handle_entry(entry::Event::Call(id, request));
        id
    }

    /// Advances the simulation by `for_ms` milliseconds.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now_ms + for_ms;
        while self.now_ms < end {
            while let Some(first) =
                self.scheduled.first_entry().filter(|e| e.key().0 <= self.now_ms)
            {
                let scheduled = first.remove();
                self.apply(scheduled);
            }
            if self.now_ms >= self.next_tick_ms {
                self.next_tick_ms += TICK_MS;
                self.handle_entry(entry::Event::Tick);
                for side in 0..SIDES {
                    let wall_ms = self.now_ms + 1_000_000;
                    self.handle_side(side, side::Event::Tick { wall_ms });
                }
            }
            let next = self.scheduled.keys().next().map_or(u64::MAX, |key| key.0);
            self.now_ms = next.min(self.next_tick_ms).min(end).max(self.now_ms);
        }
    }

    fn id(&mut self) -> Id {
        self.next_seq += 1;
        Id { host: host_hash(&entry_host()), boot: 1, seq: self.next_seq }
    }

    fn schedule(&mut self, at_ms: u64, scheduled: Scheduled) {
        self.next_seq += 1;
        self.scheduled.insert((at_ms, self.next_seq), scheduled);
    }

    fn now(&self) -> Instant {
        Instant::from_us(self.now_ms * 1000)
    }

    fn start(&mut self, side: usize) {
        let boot = self.rng.random();
        let settings = Settings::new(host(side), boot);
        let wall_ms = self.now_ms + 1_000_000;
        let now = self.now();
        let state = &mut self.sides[side];
        state.machine = Some(side::Machine::new(now, wall_ms, settings, &self.config));
        (state.busy, state.incarnation) = (false, state.incarnation + 1);
        state.ran.clear();
        state.attempts.clear();
        self.handle_side(side, side::Event::Connected(entry_host()));
    }

    fn apply(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Message { from, to, message } if to == entry_host() => {
                self.handle_entry(entry::Event::Message { from, message });
            }
            Scheduled::Message { from, to, message } => {
                let Some(side) = (0..SIDES).find(|side| host(*side) == to) else { return };
                if self.sides[side].machine.is_some() {
                    return self.handle_side(side, side::Event::Message { from, message });
                }
                // The side is down, so the sender's connection fails.
                self.disconnect(&from, &to);
            }
            Scheduled::Finished { side, incarnation, event }
                if self.sides[side].incarnation == incarnation =>
            {
                if matches!(event, side::Event::BatchFinished { .. }) {
                    self.sides[side].busy = false;
                }
                self.handle_side(side, event);
            }
            Scheduled::Finished { .. } => {}
            Scheduled::Crash(side, down_ms, engine) => {
                self.sides[side].machine = None;
                self.sides[side].incarnation += 1;
                if let Some(crashed) = self.sides[side].engine.as_mut().filter(|_| engine) {
                    crashed.clear();
                }
                for other in (0..SIDES).map(host).chain([entry_host()]) {
                    self.disconnect(&other, &host(side));
                }
                self.schedule(self.now_ms + down_ms, Scheduled::Restart(side));
            }
            Scheduled::Restart(side) => self.start(side),
        }
    }

    /// Reports to `to` that its connection to `peer` has ended.
    fn disconnect(&mut self, to: &name::Host, peer: &name::Host) {
        if *to == entry_host() {
            return self.handle_entry(entry::Event::Disconnected(peer.clone()));
        }
        if let Some(side) = (0..SIDES).find(|side| host(*side) == *to) {
            self.handle_side(side, side::Event::Disconnected(peer.clone()));
        }
    }

    fn send(&mut self, from: name::Host, to: name::Host, message: Message) {
        let copies = match self.rng.random_range(0..100) {
            n if n < self.faults.lost_percent => 0,
            n if n < self.faults.lost_percent + self.faults.duplicated_percent => 2,
            _ => 1,
        };
        for copy in 0..copies {
            // The second copy may arrive after the request has ended.
            let late = self.rng.random_range(0..5_000) * copy;
            let delay = self.rng.random_range(0..=self.faults.max_delay_ms);
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.schedule(self.now_ms + delay + late, Scheduled::Message { from, to, message });
        }
    }

    fn handle_entry(&mut self, event: entry::Event) {
        for effect in self.entry.handle(self.now(), event) {
            match effect {
                entry::Effect::Send { host, message, .. } => self.send(entry_host(), host, message),
                entry::Effect::Deliver { request, text } => {
                    self.delivered.entry(request).or_default().push_str(&text);
                }
                entry::Effect::Finish { request, outcome } => {
                    if self.outcomes.insert(request, outcome).is_some() {
                        self.violations.push(format!("{request} was answered twice"));
                    }
                }
            }
        }
    }

    fn handle_side(&mut self, side: usize, event: side::Event) {
        let now = self.now();
        let Some(machine) = self.sides[side].machine.as_mut() else { return };
        for effect in machine.handle(now, event) {
            self.carry_out(side, effect);
        }
    }

    fn carry_out(&mut self, side: usize, effect: side::Effect) {
        let state = &mut self.sides[side];
        let event = match effect {
            side::Effect::Send { host: to, message, .. } => {
                if let Message::Opened(opened) = &message {
                    let newest = state.attempts.entry(opened.request).or_default();
                    *newest = opened.attempt.max(*newest);
                }
                return self.send(host(side), to, message);
            }
            side::Effect::Release { sequence, .. } => {
                return state.engine.as_mut().unwrap().release(&sequence);
            }
            side::Effect::Run { endpoint, batch } => {
                if std::mem::replace(&mut state.busy, true) {
                    self.violations
                        .push(format!("{endpoint} got a batch while another was running"));
                }
                for step in &batch.steps {
                    let request = step.sequence.rsplit_once('-').unwrap().0.parse().unwrap();
                    let attempt = state.attempts.get(&request).copied().unwrap_or(0);
                    if !state.ran.insert((step.sequence.clone(), attempt, step.position)) {
                        let position = step.position;
                        self.violations.push(format!(
                            "{request} ran position {position} twice in one attempt"
                        ));
                    }
                }
                let outcomes = Some(state.engine.as_mut().unwrap().run(&batch));
                side::Event::BatchFinished { endpoint, outcomes }
            }
            side::Effect::Call { call, .. } => {
                *self.calls.entry(call.request).or_default() += 1;
                let reported_not_run = matches!(self.outcomes.get(&call.request),
                    Some(Outcome::Refused(r)) if r.ran == oriole_core::request::Ran::No);
                if reported_not_run {
                    self.violations
                        .push(format!("{} ran after it was reported 'not run'", call.request));
                }
                let answer = Answer { status: 200, content_type: String::new(), body: vec![] };
                let (endpoint, request) = (call.endpoint, call.request);
                side::Event::CallFinished { endpoint, request, answer: Ok(answer) }
            }
        };
        let incarnation = state.incarnation;
        let took_ms = self.rng.random_range(1..=MAX_BATCH_MS);
        self.schedule(self.now_ms + took_ms, Scheduled::Finished { side, incarnation, event });
    }
}

/// Three stages of two engines each, and one plain service.
fn config() -> Config {
    let mut config = Config::default();
    let model = Model { layers: STAGES, context: 4096, chunk: 8, version: String::new() };
    config.models.insert("model".into(), model);
    let route = Route { method: "POST".into(), path: "/dispatch".into() };
    config.services.insert("app".into(), Service { non_idempotent: vec![route] });
    let address = "127.0.0.1:1".parse().unwrap();
    for side in 0..SIDES {
        let first_layer = (side / 2) as u16;
        let kind = if side < SIDES - 1 {
            Kind::Engine {
                model: "model".into(),
                first_layer,
                end_layer: first_layer + 1,
                accelerator: String::new(),
                step_us: 4_000,
                prompt_token_us: 10,
                batch: 2,
                sequences: 8,
            }
        } else {
            Kind::Service { service: "app".into(), concurrency: 2 }
        };
        let endpoint = Endpoint {
            host: host(side),
            side: address,
            address,
            zone: "hall-a".into(),
            kind,
            checks_fencing: true,
            drain: false,
        };
        config.endpoints.insert(format!("endpoint-{side}").as_str().into(), endpoint);
    }
    config.entries.insert(entry_host(), Entry { address, zone: "hall-a".into(), weight: 1 });
    let rate = Rate::from_per_second(1e6);
    let contract = Contract {
        workspace: "desk".into(),
        keys: BTreeSet::new(),
        models: BTreeSet::from(["model".into()]),
        services: BTreeSet::from(["app".into()]),
        limits: Limits {
            requests: rate,
            request_burst: 1000,
            tokens: rate,
            token_burst: 1_000_000,
            concurrency: 1000,
        },
        service: contract::ServiceLevel::default(),
    };
    config.contracts.insert("desk".into(), contract);
    config
}
