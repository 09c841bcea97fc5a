//! The task that owns the state machine of an entry.
//!
//! It feeds events to the machine and carries out the effects that the machine returns. Other
//! tasks do the I/O and reach it over channels.

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

use crate::caller::{self, Update};
use crate::http;
use crate::operator::Status;

/// Interval of ticks of the state machine, which check its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which missing connections are dialled and counters are exported.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of hosts dialled at each [`MAINTENANCE_INTERVAL`].
const MAX_DIALS: usize = 32;

/// Maximum time that a stopping entry waits for callers to read their streamed answers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a stopping entry allows for buffered answers to be written.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// A command from another task, mostly from an HTTP task.
pub(crate) enum Command {
    /// Runs a generation.
    Generate(Generate, caller::Sender),
    /// Calls a plain service.
    Call(Request, caller::Sender),
    /// The caller has closed its connection or has received its complete answer.
    CallerLeft(Id),
    /// The caller of a paused generation has caught up.
    Resume(Id),
    /// The host list was read.
    HostList(BTreeMap<name::Host, Listing>),
    /// Counts a request that was refused before it reached the state machine.
    Rejected(Refusal, Option<name::Workspace>),
    /// Asks whether the entry takes new requests.
    IsReady(oneshot::Sender<bool>),
    /// Asks for the status.
    Status(oneshot::Sender<Status>),
    /// Asks for all counters.
    Counters(oneshot::Sender<Vec<Count>>),
    /// Asks for the record of the decisions on a request.
    Explain(Id, oneshot::Sender<Option<explain::Record>>),
    /// Reports the entry as not ready from now on; it still takes requests.
    FailReadiness,
    /// Stops gracefully and replies when all requests have ended.
    Stop(oneshot::Sender<()>),
}

/// The state machine of an entry and everything its effects need.
pub(crate) struct Process {
    pub(crate) machine: Machine,
    /// Hash of the host's name, a part of request ids.
    pub(crate) host_hash: u32,
    pub(crate) host_name: name::Host,
    pub(crate) follow: Follow,
    /// Random number that identifies this run of the process, a part of request ids.
    pub(crate) boot: u32,
    /// Number of the last request, a part of request ids.
    pub(crate) seq: u64,
    pub(crate) callers: BTreeMap<Id, caller::Sender>,
    pub(crate) clock: Clock,
    pub(crate) hub: Hub,
    pub(crate) shared: Rc<http::Shared>,
    pub(crate) exporter: Option<Exporter>,
    /// Index among the hosts without a connection at which dialling continues.
    pub(crate) dial_cursor: usize,
    /// False once [`Command::FailReadiness`] has arrived.
    pub(crate) ready: bool,
}

impl Process {
    /// Runs until a stop was requested and no request is in progress. `own_commands` is the sending
    /// half of `commands`.
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::Receiver<hub::Event>,
        mut revisions: mpsc::UnboundedReceiver<follower::Event>,
        mut commands: mpsc::Receiver<Command>,
        own_commands: mpsc::Sender<Command>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
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
                    other => self.on_command(other, &own_commands),
                },
                _ = tick.tick() => self.on_tick(),
                _ = maintenance.tick() => self.on_maintenance(),
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
            // The receiver may have been dropped.
            let _ = done.send(());
        }
    }

    /// Waits until callers have read their answers, for [`DRAIN_TIMEOUT`] at most. Further commands
    /// fail at their senders.
    async fn drain(&mut self, commands: mpsc::Receiver<Command>) {
        drop(commands);
        let answers = self.shared.open_answers.clone();
        let read = async {
            // Two references do not belong to an answer: that of the shared state and this one.
            while Rc::strong_count(&answers) > 2 {
                sleep(TICK_INTERVAL).await;
            }
        };
        // Buffered answers hold no reference, but are written in one piece without delay.
        sleep(FLUSH_WAIT).await;
        let began = Instant::now();
        if timeout(DRAIN_TIMEOUT, read).await.is_err() {
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
        // Another connection to the host may still be open. This is checked first, because the
        // state machine reacts to the loss by dialling a new connection.
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

    /// Passes an adopted revision to the state machine.
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
        Status::new(self.host_name.clone(), self.readiness(), follower, machine)
    }

    fn on_command(&mut self, command: Command, own_commands: &mpsc::Sender<Command>) {
        match command {
            Command::Generate(request, caller) => {
                let id = self.accept(caller, own_commands);
                self.handle(Event::Generate(id, request));
            }
            Command::Call(request, caller) => {
                let id = self.accept(caller, own_commands);
                self.handle(Event::Call(id, request));
            }
            Command::CallerLeft(id) => {
                if self.callers.remove(&id).is_some() {
                    self.handle(Event::CallerLeft(id));
                }
            }
            Command::Resume(id) => self.handle(Event::Resume(id)),
            Command::HostList(list) => self.handle(Event::HostList(list)),
            Command::Rejected(reason, workspace) => self.machine.count_rejected(reason, workspace),
            Command::FailReadiness => self.ready = false,
            // The receivers of the following replies may have been dropped.
            Command::IsReady(reply) => {
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

    /// Assigns an id to a request and spawns a task that reports when its caller has left.
    fn accept(&mut self, caller: caller::Sender, own_commands: &mpsc::Sender<Command>) -> Id {
        self.seq += 1;
        let id = Id { host: self.host_hash, boot: self.boot, seq: self.seq };
        caller.send(Update::Accepted(id));
        let (closed, own_commands) = (caller.closed(), own_commands.clone());
        actix_rt::spawn(async move {
            closed.await;
            // The send fails if the process has stopped.
            let _ = own_commands.send(Command::CallerLeft(id)).await;
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
                let behind = self.callers.get(&request).map(|c| c.send(Update::Text(text)));
                if behind == Some(true) {
                    self.handle(Event::Pause(request));
                }
            }
            Effect::Finish { request, outcome } => {
                if let Some(caller) = self.callers.remove(&request) {
                    caller.send(Update::End(outcome));
                }
            }
        }
    }

    fn on_maintenance(&mut self) {
        self.export();
        self.dial();
    }

    /// Dials up to [`MAX_DIALS`] sides without a connection, in turn. Their reports show their load
    /// and whether calls may be sent to them.
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
        let start = self.dial_cursor % unlinked.len().max(1);
        let chosen: BTreeSet<usize> =
            (0..unlinked.len().min(MAX_DIALS)).map(|i| (start + i) % unlinked.len()).collect();
        for (host, address) in chosen.iter().filter_map(|index| unlinked.get(*index)) {
            let message = Message::Revision(revision::Message::Number(number));
            self.hub.send(host, Some(*address), message);
        }
        self.dial_cursor = self.dial_cursor.wrapping_add(MAX_DIALS);
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
