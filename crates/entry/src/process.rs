//! The running entry: one task owns the decisions, others do the waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::clock::Clock;
use oriole_adapter::metrics::{Count, Exporter};
use oriole_core::config::Config;
use oriole_core::entry::{Effect, Event, Generate, Machine, Request};
use oriole_core::membership::Listing;
use oriole_core::message::Message;
use oriole_core::request::{Id, Refusal};
use oriole_core::revision::{self, Snapshot, follower};
use oriole_core::status::Readiness;
use oriole_core::{explain, name};
use oriole_follow::Follow;
use oriole_wire::Hub;
use oriole_wire::hub::{self, Kind as Wire};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Piece};
use crate::http;
use crate::operate::Status;

/// Interval at which time passes for the decisions.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which hosts without a connection are dialled, and counters exported.
const ROUND: Duration = Duration::from_secs(1);

/// Hosts that are dialled at once.
const DIALS: usize = 32;

/// Time that callers have to read the end of their answers when the entry stops.
const LINGER: Duration = Duration::from_secs(30);

/// Time for answers that are not streamed to be written when the entry stops.
const LAST_WRITES: Duration = Duration::from_millis(200);

/// What the HTTP tasks ask of the process.
pub(crate) enum Command {
    /// Runs a generation.
    Generate(Generate, caller::Sender),
    /// Calls a plain service.
    Call(Request, caller::Sender),
    /// The caller went away.
    Gone(Id),
    /// The caller has caught up.
    Resume(Id),
    /// The host list was read.
    Hosts(BTreeMap<name::Host, Listing>),
    /// A request was refused before the decisions saw it.
    Rejected(Refusal, Option<name::Workspace>),
    /// Whether new requests are taken.
    Ready(oneshot::Sender<bool>),
    /// What operators see.
    Status(oneshot::Sender<Status>),
    /// All counters.
    Counters(oneshot::Sender<Vec<Count>>),
    /// What was decided about a request.
    Explain(Id, oneshot::Sender<Option<explain::Record>>),
    /// Fails the readiness.
    Unready,
    /// Stops gracefully.
    Stop(oneshot::Sender<()>),
}

/// One entry's decisions and what they reach.
pub(crate) struct Process {
    pub(crate) machine: Machine,
    /// The hash of the host's name, for request ids.
    pub(crate) host: u32,
    pub(crate) name: name::Host,
    pub(crate) follow: Follow,
    pub(crate) boot: u32,
    pub(crate) seq: u64,
    pub(crate) callers: BTreeMap<Id, caller::Sender>,
    pub(crate) clock: Clock,
    pub(crate) hub: Hub,
    pub(crate) shared: Rc<http::Shared>,
    pub(crate) exporter: Option<Exporter>,
    /// The host after which dialling goes on.
    pub(crate) cursor: usize,
    pub(crate) ready: bool,
}

impl Process {
    /// Runs until the entry is told to stop and nothing is in progress.
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::Receiver<hub::Event>,
        mut revisions: mpsc::UnboundedReceiver<follower::Event>,
        mut commands: mpsc::Receiver<Command>,
        own: mpsc::Sender<Command>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        let mut round = tokio::time::interval(ROUND);
        let mut stopping: Option<oneshot::Sender<()>> = None;
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.on_wire(event),
                Some(event) = revisions.recv() => self.follow(event),
                Some(command) = commands.recv() => match command {
                    Command::Stop(done) => {
                        stopping = Some(done);
                        self.handle(Event::Stop);
                    }
                    other => self.on_command(other, &own),
                },
                _ = tick.tick() => self.on_tick(),
                _ = round.tick() => self.on_round(),
                else => return,
            }
            if stopping.is_some() && self.machine.is_idle() {
                break;
            }
        }
        self.export();
        self.drain(commands).await;
        self.hub.close();
        if let Some(done) = stopping {
            // Whoever asked may have given up waiting.
            let _ = done.send(());
        }
    }

    /// Lets callers read the end of their answers; what else is asked finds no one.
    async fn drain(&mut self, commands: mpsc::Receiver<Command>) {
        drop(commands);
        let answers = self.shared.answers.clone();
        let read = async {
            // One is the HTTP tasks' own, one this one.
            while Rc::strong_count(&answers) > 2 {
                sleep(TICK).await;
            }
        };
        // Answers that are not streamed are written in one piece, at once.
        sleep(LAST_WRITES).await;
        let began = Instant::now();
        if timeout(LINGER, read).await.is_err() {
            let waited_s = began.elapsed().as_secs();
            log::warn!(waited_s; "stopped before all callers had read their answers");
        }
    }

    fn on_wire(&mut self, event: hub::Event) {
        let host = event.host;
        match event.kind {
            Wire::Up => {
                self.handle(Event::Connected(host.clone()));
                self.follow(follower::Event::Connected(host));
            }
            Wire::Lost(_) => self.on_lost(host),
            Wire::Message(Message::Revision(message)) => {
                self.follow(follower::Event::Message(host, message));
            }
            Wire::Message(message) => self.handle(Event::Message { from: host, message }),
        }
    }

    fn on_lost(&mut self, host: name::Host) {
        // Another connection to the host may be open still. The reaction to the loss dials a new
        // one, which does not count.
        let linked = self.hub.is_linked(&host);
        self.handle(Event::Disconnected(host.clone()));
        if linked {
            self.handle(Event::Connected(host));
        } else {
            self.follow(follower::Event::Disconnected(host));
        }
    }

    fn on_tick(&mut self) {
        self.handle(Event::Tick);
        let adopted = self.follow.tick(self.clock.now());
        self.adopt(adopted);
    }

    fn follow(&mut self, event: follower::Event) {
        let adopted = self.follow.handle(self.clock.now(), event);
        self.adopt(adopted);
    }

    /// Puts a revision in force.
    fn adopt(&mut self, adopted: Option<Snapshot>) {
        let Some(adopted) = adopted else { return };
        let (revision, roster) = (adopted.head.number, adopted.roster());
        let config = Box::new((*adopted.config).clone());
        self.handle(Event::Configured { revision, config, roster });
    }

    fn readiness(&self) -> Readiness {
        if !self.ready {
            Readiness::Leaving
        } else if self.machine.config().contracts.is_empty() {
            Readiness::Starting
        } else {
            Readiness::Ready
        }
    }

    fn status(&self) -> Status {
        let follower = self.follow.follower();
        let machine = self.machine.status(self.clock.now());
        Status::new(self.name.clone(), self.readiness(), follower, machine)
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
                    self.handle(Event::CallerLeft(id));
                }
            }
            Command::Resume(id) => self.handle(Event::Resume(id)),
            Command::Hosts(list) => self.handle(Event::HostList(list)),
            Command::Rejected(reason, workspace) => self.machine.count_rejected(reason, workspace),
            Command::Unready => self.ready = false,
            // Whoever asked for what follows may have gone.
            Command::Ready(reply) => {
                let _ = reply.send(self.readiness() == Readiness::Ready);
            }
            Command::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Command::Counters(reply) => {
                let _ = reply.send(self.counts());
            }
            Command::Explain(id, reply) => {
                let _ = reply.send(self.machine.record(id).cloned());
            }
            Command::Stop(_) => {}
        }
    }

    /// Gives a caller's request its id and watches for the caller's going away.
    fn accept(&mut self, caller: caller::Sender, own: &mpsc::Sender<Command>) -> Id {
        self.seq += 1;
        let id = Id { host: self.host, boot: self.boot, seq: self.seq };
        caller.send(Piece::Accepted(id));
        let (closed, own) = (caller.closed(), own.clone());
        actix_rt::spawn(async move {
            closed.await;
            // The process may have stopped meanwhile.
            let _ = own.send(Command::Gone(id)).await;
        });
        self.callers.insert(id, caller);
        id
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        if let Event::Configured { config, .. } = &event {
            *self.shared.config.borrow_mut() = Rc::new(Config::clone(config));
        }
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
                let behind = self.callers.get(&request).map(|c| c.send(Piece::Text(text)));
                if behind == Some(true) {
                    self.handle(Event::Pause(request));
                }
            }
            Effect::Finish { request, outcome } => {
                if let Some(caller) = self.callers.remove(&request) {
                    caller.send(Piece::End(outcome));
                }
            }
        }
    }

    fn on_round(&mut self) {
        self.export();
        self.dial();
    }

    /// Opens connections to sides that have none, a few at once: their reports tell what they
    /// do, and whether a call may be sent there.
    fn dial(&mut self) {
        let endpoints = self.machine.config().endpoints.values();
        let hosts: BTreeMap<&name::Host, SocketAddr> =
            endpoints.map(|endpoint| (&endpoint.host, endpoint.side)).collect();
        let unlinked: Vec<(name::Host, SocketAddr)> = hosts
            .into_iter()
            .filter(|(host, _)| !self.hub.is_linked(host))
            .map(|(host, address)| (host.clone(), address))
            .collect();
        let number = self.machine.revision();
        let start = self.cursor % unlinked.len().max(1);
        let chosen: BTreeSet<usize> =
            (0..unlinked.len().min(DIALS)).map(|i| (start + i) % unlinked.len()).collect();
        for (host, address) in chosen.iter().filter_map(|index| unlinked.get(*index)) {
            let message = Message::Revision(revision::Message::Number(number));
            self.hub.send(host, Some(*address), message);
        }
        self.cursor = self.cursor.wrapping_add(DIALS);
    }

    fn counts(&self) -> Vec<Count> {
        let count = |(workspace, counter, value): (&name::Workspace, _, u64)| Count {
            name: format!("{counter}"),
            workspace: Some(workspace.to_string()).filter(|name| !name.is_empty()),
            value,
        };
        self.machine.counters().iter().map(count).collect()
    }

    fn export(&mut self) {
        let counts = self.exporter.is_some().then(|| self.counts());
        if let Some((exporter, counts)) = self.exporter.as_mut().zip(counts) {
            exporter.export(counts);
        }
    }
}
