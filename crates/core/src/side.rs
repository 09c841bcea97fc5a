//! Decisions of one side: the gate to the endpoints of its host.
//!
//! [`Machine`] takes events and the present time and returns effects. It runs each position of a
//! request once, in order: a step that has run already is answered from memory, a step that
//! leaves a gap is refused, and a newer attempt fences off older ones.

mod generation;
mod service;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::config::{Config, Kind};
use crate::message::{Answer, Call, Load, Message, Open, Refuse, Term, not_run};
use crate::request::{Id, Position, Refusal};
use crate::time::Instant;
use crate::{engine, name};

use generation::Work;
use service::Record;

/// Something that a side must react to.
#[derive(Debug)]
pub enum Event {
    /// A message arrived.
    Message {
        /// The sender.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A connection to a host ended; messages sent to it may be lost.
    Lost(name::Host),
    /// An engine has run a batch, or failed as a whole.
    Ran {
        /// The engine.
        endpoint: name::Endpoint,
        /// Outcomes in the order of the batch's steps; `None` if the engine failed.
        outcomes: Option<Vec<Result<engine::Output, engine::StepError>>>,
    },
    /// A plain service has answered, or failed.
    Answered {
        /// The service's endpoint.
        endpoint: name::Endpoint,
        /// The request.
        request: Id,
        /// The answer; `None` if none came.
        answer: Option<Answer>,
    },
    /// An operator, the host list or a signal says that an endpoint is leaving, or is back.
    Leaving {
        /// The endpoint.
        endpoint: name::Endpoint,
        /// Whether it leaves.
        leaving: bool,
    },
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
    /// Runs a batch on an engine; [`Event::Ran`] must follow.
    Run {
        /// The engine.
        endpoint: name::Endpoint,
        /// The batch.
        batch: engine::Batch,
    },
    /// Frees a sequence at an engine.
    Release {
        /// The engine.
        endpoint: name::Endpoint,
        /// The sequence.
        request: Id,
    },
    /// Calls a plain service; [`Event::Answered`] must follow.
    Call {
        /// The call.
        call: Call,
    },
}

/// State of one endpoint.
struct Gate {
    kind: Kind,
    leaving: bool,
    works: BTreeMap<Id, Work>,
    /// Requests with a step to run, oldest first.
    queue: VecDeque<Id>,
    /// Requests in the batch that runs, with attempt, position and count.
    running: Vec<Slot>,
    batch_us: u32,
    batch_at: Instant,
    calls: BTreeMap<Id, Record>,
}

/// One step of the batch that runs.
#[derive(Clone, Copy)]
struct Slot {
    request: Id,
    attempt: u32,
    position: Position,
    count: u32,
}

/// All decisions of one side.
pub struct Machine {
    gates: BTreeMap<name::Endpoint, Gate>,
}

impl Machine {
    /// A machine for the endpoints that `config` gives to `host`.
    pub fn new(host: &name::Host, config: &Config) -> Self {
        let own = config.endpoints.iter().filter(|(_, endpoint)| endpoint.host == *host);
        let gates = own.map(|(name, endpoint)| {
            let gate = Gate {
                kind: endpoint.kind.clone(),
                leaving: endpoint.drain,
                works: BTreeMap::new(),
                queue: VecDeque::new(),
                running: Vec::new(),
                batch_us: 0,
                batch_at: Instant::default(),
                calls: BTreeMap::new(),
            };
            (name.clone(), gate)
        });
        Self { gates: gates.collect() }
    }

    /// Reacts to one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Message { from, message } => self.on_message(now, &from, message, &mut effects),
            Event::Lost(_) | Event::Tick => {}
            Event::Ran { endpoint, outcomes } => {
                self.on_ran(now, &endpoint, outcomes, &mut effects);
            }
            Event::Answered { endpoint, request, answer } => {
                self.on_answered(&endpoint, request, answer, &mut effects);
            }
            Event::Leaving { endpoint, leaving } => {
                if let Some(gate) = self.gates.get_mut(&endpoint) {
                    gate.leaving = leaving;
                }
            }
        }
        effects
    }

    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        self.gates.values().all(|gate| gate.works.is_empty() && !gate.has_calls())
    }

    /// Load and state of each endpoint.
    pub fn loads(&self) -> Vec<Load> {
        self.gates.iter().map(|(name, gate)| gate.load(name)).collect()
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: &name::Host,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Open(open) => self.on_open(from, open, effects),
            Message::Feed(feed) => self.on_feed(now, from, feed, effects),
            Message::Step(step) => self.on_step(now, step, effects),
            Message::Cancel(cancel) => self.on_cancel(&cancel, effects),
            Message::Call(call) => self.on_call(from, call, effects),
            Message::Resolve(resolve) => self.on_resolve(from, &resolve, effects),
            // The rest is for entries, or not for this machine.
            _ => {}
        }
    }
}

impl Gate {
    fn load(&self, name: &name::Endpoint) -> Load {
        Load {
            endpoint: name.clone(),
            open: !self.leaving,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            running: u32::try_from(self.works.len()).unwrap_or(u32::MAX),
            batch_us: self.batch_us,
            free: 0,
            prefixes: Vec::new(),
            term: Term::default(),
        }
    }
}

/// A reply to whoever sent the message.
fn reply(host: &name::Host, message: Message) -> Effect {
    Effect::Send { host: host.clone(), address: None, message }
}

/// Refuses an attempt that certainly did not run here.
fn refuse(host: &name::Host, open: &Open, reason: Refusal) -> Effect {
    let refused = not_run(reason, None);
    let (request, attempt, stage) = (open.request, open.attempt, open.stage);
    reply(host, Message::Refuse(Refuse { request, attempt, stage, refused }))
}
