//! A side with one engine and one plain service, and the events that a test sends it.

use std::time::Duration;

use oriole_core::config::{Config, Endpoint, Entry, Kind, Service};
use oriole_core::drain::Cause;
use oriole_core::engine::Output;
use oriole_core::message::{Call, Feed, Message, Open, Resolve, Stage, State, Term};
use oriole_core::name;
use oriole_core::request::{Id, host_hash};
use oriole_core::side::{Effect, Event, Machine, Settings};
use oriole_core::time::Instant;

use crate::effects::messages;

/// A configured side, the present time and the term that the side reported to its entry.
pub struct Fixture {
    pub machine: Machine,
    now: Instant,
    pub term: Term,
}

pub fn entry() -> name::Host {
    "entry".into()
}

pub fn id(seq: u64) -> Id {
    Id { host: host_hash(&entry()), boot: 1, seq }
}

pub fn stage(index: u16) -> Stage {
    let name = format!("e{index}");
    let host = if index == 0 { "own".into() } else { "next".into() };
    let address = "127.0.0.1:1".parse().unwrap();
    let endpoint = name.as_str().into();
    Stage { endpoint, host, address, first: index, end: index + 1 }
}

pub fn config(sequences: u32) -> Config {
    let mut config = Config::default();
    let address = "127.0.0.1:1".parse().unwrap();
    config.services.insert("app".into(), Service { non_idempotent: Vec::new() });
    let engine = Kind::Engine {
        model: "m".into(),
        first_layer: 0,
        end_layer: 1,
        accelerator: String::new(),
        step_us: 1_000,
        prompt_token_us: 10,
        batch: 4,
        sequences,
    };
    let service = Kind::Service { service: "app".into(), concurrency: 1 };
    for (name, kind) in [("e0", engine), ("s0", service)] {
        let endpoint = Endpoint {
            host: "own".into(),
            side: address,
            address,
            zone: "hall-a".into(),
            kind,
            checks_fencing: true,
            drain: false,
        };
        config.endpoints.insert(name.into(), endpoint);
    }
    config.entries.insert(entry(), Entry { address, zone: "hall-a".into(), weight: 1 });
    config
}

impl Fixture {
    pub fn new(sequences: u32) -> Self {
        let now = Instant::from_us(1_000_000);
        let mut settings = Settings::new("own".into(), 9);
        settings.queue_tokens = 1_000;
        let machine = Machine::new(now, 0, settings, &config(sequences));
        let mut fixture = Self { machine, now, term: Term::default() };
        let out = fixture.event(Event::Connected(entry()));
        let Effect::Send { message: Message::Load(load), .. } = &out[0] else { panic!("{out:?}") };
        fixture.term = load.term;
        fixture
    }

    pub fn event(&mut self, event: Event) -> Vec<Effect> {
        self.machine.handle(self.now, event)
    }

    pub fn send(&mut self, message: Message) -> Vec<Effect> {
        self.event(Event::Message { from: entry(), message })
    }

    pub fn advance_ms(&mut self, ms: u64) -> Vec<Effect> {
        self.now = self.now + Duration::from_millis(ms);
        self.event(Event::Tick { wall_ms: 0 })
    }

    pub fn open(&mut self, seq: u64, attempt: u32, resume: u32) -> Vec<Effect> {
        self.send(Message::Open(Open {
            request: id(seq),
            attempt,
            stage: 0,
            chain: vec![stage(0), stage(1)],
            model: "m".into(),
            workspace: "desk".into(),
            priority: 3,
            weight: 10,
            deadline_ms: 10_000,
            resume,
            tokens: 100,
            seed: 1,
            roster: 0,
            term: self.term,
        }))
    }

    pub fn feed(&mut self, seq: u64, attempt: u32, position: u32) -> Vec<Effect> {
        let (request, tokens) = (id(seq), vec![1]);
        self.send(Message::Feed(Feed { request, attempt, position, tokens, sample: false }))
    }

    pub fn batch_finished(&mut self, outputs: &[&str]) -> Vec<Effect> {
        let outcomes = outputs.iter().map(|o| Ok(Output::Activation((*o).to_owned()))).collect();
        self.event(Event::BatchFinished { endpoint: "e0".into(), outcomes: Some(outcomes) })
    }

    pub fn call(&mut self, seq: u64, idempotent: bool, term: Term) -> Vec<Effect> {
        self.send(Message::Call(Call {
            request: id(seq),
            attempt: 1,
            endpoint: "s0".into(),
            workspace: "desk".into(),
            priority: 3,
            weight: 10,
            deadline_ms: 1_000,
            idempotent,
            method: "POST".into(),
            path: "/".into(),
            content_type: String::new(),
            body: Vec::new(),
            roster: 0,
            term,
        }))
    }

    pub fn resolve(&mut self, seq: u64) -> State {
        let (request, attempt, term) = (id(seq), 1, self.term);
        let out = self.send(Message::Resolve(Resolve { request, attempt, term }));
        let report = messages(&out).find_map(|m| match m {
            Message::Report(report) => Some(report.state),
            _ => None,
        });
        report.unwrap()
    }

    pub fn set_leaving(&mut self, endpoint: &str, leaving: bool) -> Vec<Effect> {
        let (endpoint, cause) = (endpoint.into(), Cause::Operator);
        self.event(Event::Leaving { endpoint, cause, leaving })
    }
}
