//! Decisions of one entry: from a caller's request to its one answer.
//!
//! [`Machine`] takes events and the present time and returns effects. It is the driver of each
//! generation: it opens the stages of a chain, feeds tokens to the first one, takes the sampled
//! token from the last, and when a stage fails goes on from the last position delivered.

mod call;
mod generation;
mod plan;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::message::{Answer, Load, Message, Stage, Term, not_run};
use crate::name;
use crate::request::{Id, Refusal, Refused};
use crate::time::Instant;

use call::Pending;
use generation::Work;

/// A generation that a caller asks for.
#[derive(Clone, Debug)]
pub struct Generate {
    /// The workspace that pays.
    pub workspace: name::Workspace,
    /// The model.
    pub model: name::Model,
    /// The prompt.
    pub prompt: Vec<u32>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Time until the answer must be complete.
    pub deadline: Option<Duration>,
}

/// A call of a plain service that a caller asks for.
#[derive(Clone, Debug)]
pub struct Request {
    /// The workspace that pays.
    pub workspace: name::Workspace,
    /// The service.
    pub service: name::Service,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Time until the answer must be complete.
    pub deadline: Option<Duration>,
}

/// Something that an entry must react to.
#[derive(Debug)]
pub enum Event {
    /// A caller asks for a generation.
    Generate(Id, Generate),
    /// A caller asks for a call of a plain service.
    Call(Id, Request),
    /// The caller went away.
    Gone(Id),
    /// A message arrived.
    Message {
        /// The sender.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A connection to a host ended; messages sent to it may be lost.
    Lost(name::Host),
    /// Time has passed.
    Tick,
}

/// Something that the adapter must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a host, dialling the address if one is given.
    Send {
        /// The receiver.
        host: name::Host,
        /// Where it listens.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Delivers a piece of the answer to the caller.
    Deliver {
        /// The request.
        request: Id,
        /// Text of one token.
        text: String,
    },
    /// Ends a request; nothing follows.
    Finish {
        /// The request.
        request: Id,
        /// How it ended.
        outcome: Outcome,
    },
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A generation is complete.
    Complete {
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the answer.
        answer: u32,
        /// Whether the model ended the answer by itself.
        ended: bool,
    },
    /// A plain service has answered.
    Answered(Answer),
    /// Refused.
    Refused(Refused),
}

/// All decisions of one entry.
pub struct Machine {
    config: Config,
    works: BTreeMap<Id, Work>,
    calls: BTreeMap<Id, Pending>,
    loads: BTreeMap<name::Endpoint, Load>,
    /// Endpoints that failed lately, with the time until which they are avoided.
    avoided: BTreeMap<name::Endpoint, Instant>,
    random: u64,
}

impl Machine {
    /// A machine that works by `config`; `seed` starts its choices among equals.
    pub fn new(config: Config, seed: u64) -> Self {
        Self {
            config,
            works: BTreeMap::new(),
            calls: BTreeMap::new(),
            loads: BTreeMap::new(),
            avoided: BTreeMap::new(),
            random: seed,
        }
    }

    /// Reacts to one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Generate(id, generate) => self.on_generate(now, id, generate, &mut effects),
            Event::Call(id, request) => self.on_call(now, id, request, &mut effects),
            Event::Gone(id) => self.on_gone(id, &mut effects),
            Event::Message { message, .. } => self.on_message(now, message, &mut effects),
            Event::Lost(host) => self.on_lost(now, &host, &mut effects),
            Event::Tick => self.on_tick(now, &mut effects),
        }
        effects
    }

    /// The workspace whose contract lists the hash of a caller's key.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        self.works.is_empty() && self.calls.is_empty()
    }

    fn on_message(&mut self, now: Instant, message: Message, effects: &mut Vec<Effect>) {
        match message {
            Message::Opened(opened) => self.on_opened(now, &opened, effects),
            Message::Token(token) => self.on_token(now, token, effects),
            Message::Broken(broken) => self.on_broken(now, &broken, effects),
            Message::Refuse(refuse) if self.calls.contains_key(&refuse.request) => {
                self.on_call_refused(refuse, effects);
            }
            Message::Refuse(refuse) => self.on_refuse(now, &refuse, effects),
            Message::Reply(reply) => self.on_reply(reply, effects),
            Message::Report(report) => self.on_report(&report, effects),
            Message::Load(load) => {
                self.loads.insert(load.endpoint.clone(), load);
            }
            // The rest is for sides, or not for this machine.
            _ => {}
        }
    }

    fn on_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.avoided.retain(|_, until| *until > now);
        self.tick_generations(now, effects);
        self.tick_calls(now, effects);
    }

    fn on_gone(&mut self, id: Id, effects: &mut Vec<Effect>) {
        if let Some(work) = self.works.remove(&id) {
            effects.extend(work.cancel());
        }
        self.calls.remove(&id);
    }

    /// What the endpoint's side last said its records cover.
    fn term(&self, endpoint: &name::Endpoint) -> Term {
        self.loads.get(endpoint).map(|load| load.term).unwrap_or_default()
    }

    /// A number below `bound`, which must not be 0 (SplitMix64).
    fn draw(&mut self, bound: usize) -> usize {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
        usize::try_from(x % bound as u64).unwrap_or(0)
    }
}

/// Ends a request that certainly did not run.
fn refuse(request: Id, reason: Refusal, retry_after_ms: Option<u64>) -> Effect {
    let outcome = Outcome::Refused(not_run(reason, retry_after_ms));
    Effect::Finish { request, outcome }
}

/// Sends a message to the side of a stage.
fn send(stage: &Stage, message: Message) -> Effect {
    Effect::Send { host: stage.host.clone(), address: Some(stage.address), message }
}
