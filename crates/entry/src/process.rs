//! The running entry: one task owns the decisions, others do the waiting.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use oriole_core::config::Config;
use oriole_core::entry::{Effect, Event, Generate, Machine, Outcome, Request};
use oriole_core::name;
use oriole_core::request::{Id, host_hash};
use oriole_platform::clock::Clock;
use oriole_wire::hub::{self, Kind as Wire};
use oriole_wire::{Hub, conn::Liveness, handshake::Identity};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::http;

/// Interval at which time passes for the decisions.
const TICK: Duration = Duration::from_millis(50);

/// What an entry is started with.
pub struct Setup {
    /// The host.
    pub host: name::Host,
    /// The secret of the deployment.
    pub secret: Vec<u8>,
    /// The configuration.
    pub config: Config,
    /// Listener for the system's own connections.
    pub wire: TcpListener,
    /// Listener for callers and operators.
    pub http: TcpListener,
    /// Heartbeats and deadlines of connections.
    pub liveness: Liveness,
    /// A random number for this run.
    pub seed: u64,
}

/// A running entry. Dropping it kills the entry at once.
pub struct Handle {
    commands: mpsc::Sender<Command>,
    hub: Hub,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

/// What the HTTP tasks ask of the process.
pub(crate) enum Command {
    /// Runs a generation.
    Generate(Generate, mpsc::UnboundedSender<Piece>),
    /// Calls a plain service.
    Call(Request, mpsc::UnboundedSender<Piece>),
    /// The caller went away.
    Gone(Id),
    /// Stops gracefully.
    Stop(oneshot::Sender<()>),
}

/// What the process tells a caller's task.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The request has this id.
    Accepted(Id),
    /// Text of one token.
    Text(String),
    /// The end; nothing follows.
    End(Outcome),
}

impl Handle {
    /// Stops gracefully: returns when all work in progress is done.
    pub async fn stop(self) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).await.is_ok() {
            let _ = wait.await;
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.hub.close();
    }
}

/// Starts an entry in the current actix system.
pub fn start(setup: Setup) -> Handle {
    let identity = Identity { host: setup.host.clone(), secret: setup.secret };
    let settings = hub::Settings { identity, liveness: setup.liveness };
    let (hub, events) = Hub::new(settings);
    let listening = hub.listen(setup.wire);
    let (commands, asked) = mpsc::channel(1024);
    let shared = Rc::new(http::Shared::new(setup.config.clone(), commands.clone()));
    let serving = actix_rt::spawn(http::serve(setup.http, shared));
    let process = Process {
        machine: Machine::new(setup.config, setup.seed),
        host: host_hash(&setup.host),
        boot: u32::try_from(setup.seed >> 32).unwrap_or_default(),
        seq: 0,
        callers: BTreeMap::new(),
        clock: Clock::start(),
        hub: hub.clone(),
    };
    let running = actix_rt::spawn(process.run(events, asked, commands.clone()));
    Handle { commands, hub, tasks: vec![listening, serving, running] }
}

struct Process {
    machine: Machine,
    host: u32,
    boot: u32,
    seq: u64,
    callers: BTreeMap<Id, mpsc::UnboundedSender<Piece>>,
    clock: Clock,
    hub: Hub,
}

impl Process {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<hub::Event>,
        mut commands: mpsc::Receiver<Command>,
        own: mpsc::Sender<Command>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        let mut stopping: Option<oneshot::Sender<()>> = None;
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.on_wire(event),
                Some(command) = commands.recv() => match command {
                    Command::Stop(done) => stopping = Some(done),
                    other => self.on_command(other, &own),
                },
                _ = tick.tick() => self.handle(Event::Tick),
                else => return,
            }
            if stopping.is_some() && self.machine.is_idle() {
                break;
            }
        }
        self.hub.close();
        if let Some(done) = stopping {
            // Whoever asked may have given up waiting.
            let _ = done.send(());
        }
    }

    fn on_wire(&mut self, event: hub::Event) {
        match event.kind {
            Wire::Up => {}
            Wire::Lost(_) => self.handle(Event::Lost(event.host)),
            Wire::Message(message) => self.handle(Event::Message { from: event.host, message }),
        }
    }

    fn on_command(&mut self, command: Command, own: &mpsc::Sender<Command>) {
        match command {
            Command::Generate(ask, caller) => {
                let id = self.accept(caller, own);
                self.handle(Event::Generate(id, ask));
            }
            Command::Call(ask, caller) => {
                let id = self.accept(caller, own);
                self.handle(Event::Call(id, ask));
            }
            Command::Gone(id) => {
                if self.callers.remove(&id).is_some() {
                    self.handle(Event::Gone(id));
                }
            }
            Command::Stop(_) => {}
        }
    }

    /// Gives a caller's request its id and watches for the caller's going away.
    fn accept(&mut self, caller: mpsc::UnboundedSender<Piece>, own: &mpsc::Sender<Command>) -> Id {
        self.seq += 1;
        let id = Id { host: self.host, boot: self.boot, seq: self.seq };
        // A caller that has gone already is noticed by the task below.
        let _ = caller.send(Piece::Accepted(id));
        let (watched, own) = (caller.clone(), own.clone());
        actix_rt::spawn(async move {
            watched.closed().await;
            // The process may have stopped meanwhile.
            let _ = own.send(Command::Gone(id)).await;
        });
        self.callers.insert(id, caller);
        id
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.machine.handle(now, event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send { host, address, message } => {
                self.hub.send(&host, address, message);
            }
            Effect::Deliver { request, text } => {
                if let Some(caller) = self.callers.get(&request) {
                    // A caller that has gone is noticed by its own task.
                    let _ = caller.send(Piece::Text(text));
                }
            }
            Effect::Finish { request, outcome } => {
                if let Some(caller) = self.callers.remove(&request) {
                    let _ = caller.send(Piece::End(outcome));
                }
            }
        }
    }
}
