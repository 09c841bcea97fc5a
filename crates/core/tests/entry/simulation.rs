//! Simulated sides and engines, and a network that loses, delays, duplicates and reorders.

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

/// Layer ranges of the simulated engines in each of the three availability zones. They overlap, so
/// that chains of different lengths exist.
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

/// Computes one layer at one position. The output depends on the input and, through `before`, on
/// all earlier positions of the layer, so that a gap or a repetition changes the text.
fn layer(number: u16, input: u64, before: u64) -> u64 {
    Rng::new(input.rotate_left(17) ^ before.wrapping_mul(31) ^ u64::from(number)).next_u64()
}

fn sample(output: u64) -> Sample {
    let token = (output % 1000) as u32;
    Sample { token, text: format!("{token} "), end: output % 211 == 0 }
}

/// Returns the text of a run without faults.
pub fn expected_text(prompt: &[u32], max_tokens: u32) -> String {
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

/// The state of one request at one endpoint.
struct Sequence {
    open: Open,
    /// Outputs of each layer, by position.
    cache: BTreeMap<u16, Vec<u64>>,
    held: u32,
    /// Position of the last step, with its result and the receiver, for retransmissions.
    last: Option<(u32, Message, name::Host)>,
}

/// An entry with its simulated hosts and network.
pub struct Simulation {
    pub machine: Machine,
    pub now: Instant,
    pub rng: Rng,
    pub texts: BTreeMap<Id, String>,
    pub outcomes: BTreeMap<Id, Vec<Outcome>>,
    dead: BTreeSet<name::Host>,
    partitioned: BTreeSet<name::Host>,
    /// Hosts to which each message takes half a second longer.
    pub slow_hosts: BTreeSet<name::Host>,
    /// Percentage of messages that are lost.
    pub loss_percent: usize,
    /// Percentage of messages that are delivered twice.
    pub duplicate_percent: usize,
    sequences: BTreeMap<(name::Host, Id), Sequence>,
    fences: BTreeMap<(name::Host, Id), Attempt>,
    in_flight: Vec<(Instant, name::Host, Message)>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self {
            machine: Machine::new(config(), seed),
            now: Instant::from_us(1_000_000),
            rng: Rng::new(seed),
            texts: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            dead: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            slow_hosts: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            sequences: BTreeMap::new(),
            fences: BTreeMap::new(),
            in_flight: Vec::new(),
        }
    }

    pub fn handle(&mut self, event: Event) {
        for effect in self.machine.handle(self.now, event) {
            match effect {
                Effect::Send { host, message, .. } => self.send(host, message),
                Effect::Deliver { request, text } => {
                    assert!(
                        !self.outcomes.contains_key(&request),
                        "token delivered after the end of the request"
                    );
                    self.texts.entry(request).or_default().push_str(&text);
                }
                Effect::Finish { request, outcome } => {
                    self.outcomes.entry(request).or_default().push(outcome);
                }
            }
        }
    }

    /// Sends a message, which may be lost or duplicated.
    fn send(&mut self, to: name::Host, message: Message) {
        if self.dead.contains(&to) {
            self.handle(Event::Disconnected(to));
            return;
        }
        let chance = self.rng.below(100);
        let copies = if chance < self.loss_percent {
            0
        } else {
            1 + usize::from(chance > 99 - self.duplicate_percent)
        };
        let extra = if self.slow_hosts.contains(&to) { 500_000 } else { 0 };
        for _ in 0..copies {
            let delay =
                200 + self.rng.below(if self.duplicate_percent > 0 { 30_000 } else { 300 }) as u64;
            let at = self.now + Duration::from_micros(delay + extra);
            self.in_flight.push((at, to.clone(), message.clone()));
        }
    }

    pub fn kill(&mut self, host: &name::Host) {
        self.dead.insert(host.clone());
        self.sequences.retain(|(on, _), _| on != host);
        self.handle(Event::Disconnected(host.clone()));
    }

    /// Restarts a host's side, which loses its state.
    pub fn restart(&mut self, host: &name::Host) {
        self.sequences.retain(|(on, _), _| on != host);
    }

    /// Cuts a host off without closing its connections.
    pub fn partition(&mut self, host: &name::Host) {
        self.partitioned.insert(host.clone());
        self.sequences.retain(|(on, _), _| on != host);
    }

    /// Returns the hosts that serve the newest attempt of a request, in the order of its stages.
    pub fn serving(&self, request: Id) -> Vec<name::Host> {
        let mut sequences: Vec<_> =
            self.sequences.iter().filter(|((_, id), _)| *id == request).collect();
        sequences.sort_by_key(|(_, sequence)| sequence.open.stage);
        let newest = sequences.iter().map(|(_, sequence)| sequence.open.attempt).max();
        sequences.retain(|(_, sequence)| Some(sequence.open.attempt) == newest);
        sequences.into_iter().map(|((host, _), _)| host.clone()).collect()
    }

    pub fn step(&mut self) {
        self.now = self.now + Duration::from_micros(TICK_US);
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _, _)| *at <= self.now);
        self.in_flight = rest;
        due.sort_by_key(|(at, _, _)| *at);
        for (_, to, message) in due {
            if self.dead.contains(&to) || self.partitioned.contains(&to) {
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
                if self.sequences.get(&key).is_some_and(|s| s.open.attempt <= cancel.attempt) {
                    self.sequences.remove(&key);
                }
            }
            message => {
                let from = name::Host::from("entry");
                if *to == from {
                    // The simulated network keeps no sender, and the entry does not need it here.
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
        let sequence = self.sequences.entry(key).or_insert_with(|| Sequence {
            open: Open { attempt: 0, ..open.clone() },
            cache: BTreeMap::new(),
            held: 0,
            last: None,
        });
        if open.attempt < sequence.open.attempt {
            return;
        }
        if open.attempt > sequence.open.attempt {
            sequence.held = sequence.held.min(open.resume);
            sequence.last = None;
            sequence.open = open;
        }
        let Open { request, attempt, stage, .. } = sequence.open;
        let opened = Opened { request, attempt, stage, held: sequence.held };
        self.send("entry".into(), Message::Opened(opened));
    }

    fn run(
        &mut self,
        host: &name::Host,
        (request, attempt, stage): (Id, Attempt, u16),
        (position, inputs, sample_wanted): (u32, Vec<u64>, bool),
    ) {
        let Some(sequence) = self.sequences.get_mut(&(host.clone(), request)) else {
            let broken = Broken { request, attempt, stage, fault: Fault::Absent };
            self.send("entry".into(), Message::Broken(broken));
            return;
        };
        if sequence.open.attempt != attempt || sequence.open.stage != stage {
            return;
        }
        if let Some((_, message, to)) = sequence.last.as_ref().filter(|(at, _, _)| *at == position)
        {
            let (message, to) = (message.clone(), to.clone());
            self.send(to, message);
            return;
        }
        if position > sequence.held {
            let broken = Broken { request, attempt, stage, fault: Fault::Gap };
            self.send("entry".into(), Message::Broken(broken));
            return;
        }
        if position < sequence.held {
            return;
        }
        let count = inputs.len() as u32;
        let outputs: Vec<u64> =
            (position..).zip(inputs).map(|(at, input)| sequence.position(at, input)).collect();
        sequence.held = position + count;
        let (message, to) = sequence.output(position, count, sample_wanted, outputs);
        sequence.last = Some((position, message.clone(), to.clone()));
        self.send(to, message);
    }
}

impl Sequence {
    /// Runs the layers of the stage at one position, on top of the cache of earlier positions.
    fn position(&mut self, at: u32, input: u64) -> u64 {
        let own = &self.open.chain[usize::from(self.open.stage)];
        (own.first..own.end).fold(input, |input, number| {
            let cache = self.cache.entry(number).or_default();
            cache.truncate(at as usize);
            assert_eq!(
                cache.len(),
                at as usize,
                "layer {number}: cache does not end at the position"
            );
            let output = layer(number, input, cache.last().copied().unwrap_or(0));
            cache.push(output);
            output
        })
    }

    fn output(
        &self,
        position: u32,
        count: u32,
        sample_wanted: bool,
        outputs: Vec<u64>,
    ) -> (Message, name::Host) {
        let Open { request, attempt, stage, .. } = self.open;
        let hops = vec![Hop { queue_us: 0, run_us: 2000, batch: 1 }; usize::from(stage) + 1];
        match self.open.chain.get(usize::from(stage) + 1) {
            Some(next) => {
                let activation = outputs.iter().flat_map(|o| o.to_le_bytes()).collect();
                let sample = sample_wanted;
                let stage = stage + 1;
                let step =
                    Step { request, attempt, stage, position, count, sample, activation, hops };
                (Message::Step(step), next.host.clone())
            }
            None => {
                let sampled = sample_wanted.then(|| sample(outputs[outputs.len() - 1]));
                let position = position + count;
                let token = Token { request, attempt, position, sampled, hops };
                (Message::Token(token), "entry".into())
            }
        }
    }
}
