//! A small fake of sides and engines, and a wire that loses, delays, doubles and reorders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Kind, Model, Route, Service};
use oriole_core::contract::{Contract, Limits};
use oriole_core::entry::{Effect, Event, Generate, Machine, Outcome};
use oriole_core::message::{Broken, Fault, Feed, Hop, Message, Open, Opened, Sample, Step, Token};
use oriole_core::request::{Attempt, Id};
use oriole_core::time::Instant;
use oriole_core::units::Rate;
use oriole_core::{estimate::Rng, name};

pub const TICK_US: u64 = 5_000;
pub const LAYERS: u16 = 6;

/// Layer ranges of the fake engines: mixed, two or more of each.
const RANGES: &[(u16, u16)] = &[(0, 2), (0, 3), (2, 4), (3, 6), (4, 6), (2, 6)];

pub fn id(seq: u64) -> Id {
    Id { host: 1, boot: 2, seq }
}

pub fn config() -> Config {
    let mut config = Config::default();
    let model = Model { layers: LAYERS, context: 4096, chunk: 4, version: String::new() };
    config.models.insert("m".into(), model);
    for (index, (first, end)) in RANGES.iter().cycle().take(RANGES.len() * 3).enumerate() {
        let kind = Kind::Engine {
            model: "m".into(),
            first_layer: *first,
            end_layer: *end,
            accelerator: "a".to_owned(),
            step_us: 2000,
            prompt_token_us: 50,
            batch: 8,
            sequences: 64,
        };
        let zone = format!("zone-{}", index / RANGES.len());
        config.endpoints.insert(format!("e{index}").as_str().into(), endpoint(index, &zone, kind));
    }
    let route = Route { method: "POST".to_owned(), path: "/once".to_owned() };
    config.services.insert("s".into(), Service { non_idempotent: vec![route] });
    for index in 90..93 {
        let kind = Kind::Service { service: "s".into(), concurrency: 4 };
        config.endpoints.insert(format!("e{index}").as_str().into(), endpoint(index, "z", kind));
    }
    config.contracts.insert("w".into(), contract());
    config
}

fn endpoint(index: usize, zone: &str, kind: Kind) -> Endpoint {
    Endpoint {
        host: format!("h{index}").as_str().into(),
        side: ([127, 0, 0, 1], 1000 + index as u16).into(),
        address: ([127, 0, 0, 1], 2000 + index as u16).into(),
        zone: zone.into(),
        kind,
        checks_fencing: false,
        drain: false,
    }
}

fn contract() -> Contract {
    Contract {
        workspace: "w".into(),
        keys: BTreeSet::new(),
        models: BTreeSet::from(["m".into()]),
        services: BTreeSet::from(["s".into()]),
        limits: Limits {
            requests: Rate::from_per_second(1000.0),
            request_burst: 1000,
            tokens: Rate::from_per_second(1e6),
            token_burst: 1_000_000,
            concurrency: 1000,
        },
        service: Default::default(),
    }
}

pub fn generate(prompt: Vec<u32>, max_tokens: u32) -> Generate {
    let deadline = Some(Duration::from_secs(100));
    Generate { workspace: "w".into(), model: "m".into(), prompt, max_tokens, deadline }
}

/// One layer at one position: depends on the input and on all earlier positions of the layer.
fn layer(number: u16, input: u64, before: u64) -> u64 {
    Rng::new(input.rotate_left(17) ^ before.wrapping_mul(31) ^ u64::from(number)).next_u64()
}

fn sample(output: u64) -> Sample {
    let token = (output % 1000) as u32;
    Sample { token, text: format!("{token} "), end: output % 211 == 0 }
}

/// The text that an undisturbed run gives.
pub fn reference(prompt: &[u32], max_tokens: u32) -> String {
    let mut cache = vec![0; usize::from(LAYERS)];
    let mut run = |token: u32| {
        (0..LAYERS).fold(u64::from(token), |input, number| {
            let before = &mut cache[usize::from(number)];
            *before = layer(number, input, *before);
            *before
        })
    };
    let mut output = 0;
    for token in prompt {
        output = run(*token);
    }
    let mut text = String::new();
    for _ in 0..max_tokens {
        let next = sample(output);
        if next.end {
            break;
        }
        text.push_str(&next.text);
        output = run(next.token);
    }
    text
}

/// One request at one endpoint: caches of each layer by position.
struct Work {
    open: Open,
    cache: BTreeMap<u16, Vec<u64>>,
    held: u32,
    last: Option<(u32, Message, name::Host)>,
}

/// All of one test.
pub struct World {
    pub machine: Machine,
    pub now: Instant,
    pub rng: Rng,
    pub texts: BTreeMap<Id, String>,
    pub outcomes: BTreeMap<Id, Vec<Outcome>>,
    dead: BTreeSet<name::Host>,
    silent: BTreeSet<name::Host>,
    /// Hosts to which each message takes half a second.
    pub slow: BTreeSet<name::Host>,
    /// Messages in a hundred that are lost, and doubled.
    pub lose: usize,
    pub double: usize,
    works: BTreeMap<(name::Host, Id), Work>,
    fences: BTreeMap<(name::Host, Id), Attempt>,
    wire: Vec<(Instant, name::Host, Message)>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            machine: Machine::new(config(), seed),
            now: Instant::from_us(1_000_000),
            rng: Rng::new(seed),
            texts: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            dead: BTreeSet::new(),
            silent: BTreeSet::new(),
            slow: BTreeSet::new(),
            lose: 0,
            double: 0,
            works: BTreeMap::new(),
            fences: BTreeMap::new(),
            wire: Vec::new(),
        }
    }

    pub fn handle(&mut self, event: Event) {
        for effect in self.machine.handle(self.now, event) {
            match effect {
                Effect::Send { host, message, .. } => self.post(host, message),
                Effect::Deliver { request, text } => {
                    assert!(!self.outcomes.contains_key(&request), "a token after the end");
                    self.texts.entry(request).or_default().push_str(&text);
                }
                Effect::Finish { request, outcome } => {
                    self.outcomes.entry(request).or_default().push(outcome);
                }
            }
        }
    }

    /// Puts a message on the wire, perhaps twice, perhaps not at all.
    fn post(&mut self, to: name::Host, message: Message) {
        if self.dead.contains(&to) {
            self.handle(Event::Lost(to));
            return;
        }
        let chance = self.rng.below(100);
        let copies =
            if chance < self.lose { 0 } else { 1 + usize::from(chance > 99 - self.double) };
        let extra = if self.slow.contains(&to) { 500_000 } else { 0 };
        for _ in 0..copies {
            let delay = 200 + self.rng.below(if self.double > 0 { 30_000 } else { 300 }) as u64;
            let at = self.now + Duration::from_micros(delay + extra);
            self.wire.push((at, to.clone(), message.clone()));
        }
    }

    pub fn kill(&mut self, host: &name::Host) {
        self.dead.insert(host.clone());
        self.works.retain(|(on, _), _| on != host);
        self.handle(Event::Lost(host.clone()));
    }

    /// A host's side starts again and holds nothing.
    pub fn forget(&mut self, host: &name::Host) {
        self.works.retain(|(on, _), _| on != host);
    }

    /// A host is cut off without a sign.
    pub fn silence(&mut self, host: &name::Host) {
        self.silent.insert(host.clone());
        self.works.retain(|(on, _), _| on != host);
    }

    /// Hosts that serve stages of a request now.
    pub fn serving(&self, request: Id) -> Vec<name::Host> {
        let mut works: Vec<_> = self.works.iter().filter(|((_, id), _)| *id == request).collect();
        works.sort_by_key(|(_, work)| work.open.stage);
        let newest = works.iter().map(|(_, work)| work.open.attempt).max();
        works.retain(|(_, work)| Some(work.open.attempt) == newest);
        works.into_iter().map(|((host, _), _)| host.clone()).collect()
    }

    pub fn step(&mut self) {
        self.now = self.now + Duration::from_micros(TICK_US);
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.wire).into_iter().partition(|(at, _, _)| *at <= self.now);
        self.wire = rest;
        due.sort_by_key(|(at, _, _)| *at);
        for (_, to, message) in due {
            if self.dead.contains(&to) || self.silent.contains(&to) {
                continue;
            }
            self.deliver(&to, message);
        }
        self.handle(Event::Tick);
    }

    fn deliver(&mut self, to: &name::Host, message: Message) {
        match message {
            Message::Open(open) => self.on_open(to, open),
            Message::Feed(Feed { request, attempt, position, tokens, sample }) => {
                let inputs = tokens.into_iter().map(u64::from).collect();
                self.run(to, (request, attempt, 0), (position, inputs, sample));
            }
            Message::Step(step) => {
                let inputs = step
                    .activation
                    .chunks(8)
                    .map(|c| u64::from_le_bytes(std::array::from_fn(|byte| c[byte])));
                let run = (step.position, inputs.collect(), step.sample);
                self.run(to, (step.request, step.attempt, step.stage), run);
            }
            Message::Cancel(cancel) => {
                let key = (to.clone(), cancel.request);
                let fence = self.fences.entry(key.clone()).or_default();
                *fence = cancel.attempt.max(*fence);
                if self.works.get(&key).is_some_and(|w| w.open.attempt <= cancel.attempt) {
                    self.works.remove(&key);
                }
            }
            message => {
                let from = name::Host::from("entry");
                if *to == from {
                    // The sender stands in the message's place on the wire: any stage's host.
                    self.handle(Event::Message { from: "side".into(), message });
                }
            }
        }
    }

    fn on_open(&mut self, host: &name::Host, open: Open) {
        let key = (host.clone(), open.request);
        if self.fences.get(&key).is_some_and(|fence| open.attempt <= *fence) {
            return;
        }
        let work = self.works.entry(key).or_insert_with(|| Work {
            open: Open { attempt: 0, ..open.clone() },
            cache: BTreeMap::new(),
            held: 0,
            last: None,
        });
        if open.attempt < work.open.attempt {
            return;
        }
        if open.attempt > work.open.attempt {
            work.held = work.held.min(open.resume);
            work.last = None;
            work.open = open;
        }
        let Open { request, attempt, stage, .. } = work.open;
        let opened = Opened { request, attempt, stage, held: work.held };
        self.post("entry".into(), Message::Opened(opened));
    }

    fn run(
        &mut self,
        host: &name::Host,
        (request, attempt, stage): (Id, Attempt, u16),
        (position, inputs, wants): (u32, Vec<u64>, bool),
    ) {
        let Some(work) = self.works.get_mut(&(host.clone(), request)) else {
            let broken = Broken { request, attempt, stage, fault: Fault::Absent };
            self.post("entry".into(), Message::Broken(broken));
            return;
        };
        if work.open.attempt != attempt || work.open.stage != stage {
            return;
        }
        if let Some((_, message, to)) = work.last.as_ref().filter(|(at, _, _)| *at == position) {
            let (message, to) = (message.clone(), to.clone());
            self.post(to, message);
            return;
        }
        if position > work.held {
            let broken = Broken { request, attempt, stage, fault: Fault::Gap };
            self.post("entry".into(), Message::Broken(broken));
            return;
        }
        if position < work.held {
            return;
        }
        let count = inputs.len() as u32;
        let outputs: Vec<u64> =
            (position..).zip(inputs).map(|(at, input)| work.position(at, input)).collect();
        work.held = position + count;
        let (message, to) = work.output(position, count, wants, outputs);
        work.last = Some((position, message.clone(), to.clone()));
        self.post(to, message);
    }
}

impl Work {
    /// Runs the stage's layers at one position, over what they hold of the earlier ones.
    fn position(&mut self, at: u32, input: u64) -> u64 {
        let own = &self.open.chain[usize::from(self.open.stage)];
        (own.first..own.end).fold(input, |input, number| {
            let cache = self.cache.entry(number).or_default();
            cache.truncate(at as usize);
            assert_eq!(cache.len(), at as usize, "a gap in a layer");
            let output = layer(number, input, cache.last().copied().unwrap_or(0));
            cache.push(output);
            output
        })
    }

    fn output(
        &self,
        position: u32,
        count: u32,
        wants: bool,
        outputs: Vec<u64>,
    ) -> (Message, name::Host) {
        let Open { request, attempt, stage, .. } = self.open;
        let hops = vec![Hop { queue_us: 0, run_us: 2000, batch: 1 }; usize::from(stage) + 1];
        match self.open.chain.get(usize::from(stage) + 1) {
            Some(next) => {
                let activation = outputs.iter().flat_map(|o| o.to_le_bytes()).collect();
                let sample = wants;
                let stage = stage + 1;
                let step =
                    Step { request, attempt, stage, position, count, sample, activation, hops };
                (Message::Step(step), next.host.clone())
            }
            None => {
                let sampled = wants.then(|| sample(outputs[outputs.len() - 1]));
                let position = position + count;
                let token = Token { request, attempt, position, sampled, hops };
                (Message::Token(token), "entry".into())
            }
        }
    }
}
