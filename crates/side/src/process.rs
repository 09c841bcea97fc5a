//! The running side: one task owns the decisions, others do the waiting.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriole_adapter::clock::Clock;
use oriole_adapter::metrics::{Count, Exporter};
use oriole_adapter::{engine, kv};
use oriole_core::config::Config;
use oriole_core::drain::Cause;
use oriole_core::message::Message;
use oriole_core::name;
use oriole_core::request::Id;
use oriole_core::revision::{self, Snapshot, follower};
use oriole_core::side::{Effect, Event, Machine};
use oriole_core::time::as_us;
use oriole_follow::Follow;
use oriole_wire::Hub;
use oriole_wire::hub::{self, Kind as Wire};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::endpoint::{Adapter, Job};
use crate::orders::{self, Input};
use crate::status::{Counter, Explanation, Status};

/// Interval at which time passes for the decisions.
const TICK: Duration = Duration::from_millis(50);

/// Interval of telling the orderers what goes on around their engines.
const AROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of exporting the counters.
const EXPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a side that has nothing in progress any more still answers before it stops.
const LINGER: Duration = Duration::from_millis(300);

/// A running side. Dropping it kills the side at once.
pub struct Handle {
    commands: mpsc::Sender<Command>,
    hub: Hub,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

/// What is asked of the process.
pub(crate) enum Command {
    /// An operator lets an endpoint, or all, leave or come back; answers whether there is such.
    Leave { endpoint: Option<name::Endpoint>, leaving: bool, done: oneshot::Sender<bool> },
    /// What the side does.
    Status(oneshot::Sender<Status>),
    /// All counters.
    Counters(oneshot::Sender<Vec<Counter>>),
    /// What happened to a request.
    Explain(Id, oneshot::Sender<Explanation>),
    /// Stops gracefully.
    Stop(oneshot::Sender<()>),
}

impl Handle {
    pub(crate) fn new(
        commands: mpsc::Sender<Command>,
        hub: Hub,
        tasks: Vec<actix_rt::task::JoinHandle<()>>,
    ) -> Self {
        Self { commands, hub, tasks }
    }

    /// Tells the side that an endpoint is leaving, or is back.
    pub async fn leave(&self, endpoint: name::Endpoint, leaving: bool) {
        let (done, wait) = oneshot::channel();
        let leave = Command::Leave { endpoint: Some(endpoint), leaving, done };
        // A side that has stopped needs no telling.
        if self.commands.send(leave).await.is_ok() {
            let _ = wait.await;
        }
    }

    /// Stops gracefully: takes no new work and returns when all work in progress is done.
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

pub(crate) struct Process {
    pub(crate) host: name::Host,
    pub(crate) machine: Machine,
    pub(crate) adapters: BTreeMap<name::Endpoint, Adapter>,
    /// Those who order engines about; none without the key-value service.
    pub(crate) orderers: BTreeMap<name::Endpoint, mpsc::UnboundedSender<Input>>,
    pub(crate) service: Option<kv::Client>,
    pub(crate) follow: Follow,
    pub(crate) clock: Clock,
    pub(crate) hub: Hub,
    pub(crate) results: mpsc::UnboundedSender<Event>,
    pub(crate) exporter: Option<Exporter>,
}

impl Process {
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::Receiver<hub::Event>,
        mut finished: mpsc::UnboundedReceiver<Event>,
        mut revisions: mpsc::UnboundedReceiver<follower::Event>,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let mut around = tokio::time::interval(AROUND_INTERVAL);
        let mut export = tokio::time::interval(EXPORT_INTERVAL);
        let mut tick = tokio::time::interval(TICK);
        let mut stopping = Vec::new();
        let mut busy_at = Instant::now();
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.on_wire(event),
                Some(event) = finished.recv() => self.handle(event),
                Some(event) = revisions.recv() => self.follow(event),
                Some(command) = commands.recv() => match command {
                    Command::Stop(done) => {
                        self.leave_all(Cause::Signal, true);
                        stopping.push(done);
                    }
                    other => self.on_command(other),
                },
                _ = tick.tick() => self.tick(),
                _ = around.tick() => self.tell_orderers(),
                _ = export.tick() => self.export(),
                else => return,
            }
            if !self.machine.is_idle() {
                busy_at = Instant::now();
            } else if !stopping.is_empty() && busy_at.elapsed() > LINGER {
                break;
            }
        }
        self.hub.close();
        for done in stopping {
            // Whoever asked may have given up waiting.
            let _ = done.send(());
        }
    }

    fn tick(&mut self) {
        self.handle(Event::Tick { wall_ms: wall_ms() });
        let adopted = self.follow.tick(self.clock.now());
        self.adopt(adopted);
    }

    fn on_wire(&mut self, event: hub::Event) {
        let host = event.host;
        match event.kind {
            Wire::Up => {
                self.handle(Event::Connected(host.clone()));
                self.follow(follower::Event::Connected(host));
            }
            Wire::Lost(_) => {
                self.handle(Event::Disconnected(host.clone()));
                // Another connection to the host may be open still.
                if self.hub.is_linked(&host) {
                    self.handle(Event::Connected(host));
                } else {
                    self.follow(follower::Event::Disconnected(host));
                }
            }
            Wire::Message(Message::Revision(message)) => {
                if let revision::Message::Number(number) = message {
                    self.handle(Event::RevisionConfirmed(number));
                }
                self.follow(follower::Event::Message(host, message));
            }
            Wire::Message(message) => self.handle(Event::Message { from: host, message }),
        }
    }

    fn follow(&mut self, event: follower::Event) {
        let adopted = self.follow.handle(self.clock.now(), event);
        self.adopt(adopted);
    }

    /// Puts a revision in force.
    fn adopt(&mut self, adopted: Option<Snapshot>) {
        let Some(adopted) = adopted else { return };
        let (config, revision) = (&adopted.config, adopted.head.number);
        self.adapt(config);
        let roster = adopted.head.roster.number;
        let config = Box::new((**config).clone());
        self.handle(Event::Configured { config, revision, roster });
    }

    /// Starts adapters of endpoints that are new; those that are gone end with their work.
    pub(crate) fn adapt(&mut self, config: &Config) {
        let own = config.endpoints.iter().filter(|(_, endpoint)| endpoint.host == self.host);
        for (name, endpoint) in own {
            let (kind, address) = (&endpoint.kind, endpoint.address);
            if self.adapters.get(name).is_none_or(|adapter| adapter.address() != address) {
                let adapter = Adapter::start(name, kind, address, self.results.clone());
                self.adapters.insert(name.clone(), adapter);
                self.orderers.remove(name);
            }
            let Some(wanted) = orders::wanted(config, name) else { continue };
            let Some(service) = self.service.clone() else { continue };
            let orderer = self.orderers.entry(name.clone()).or_insert_with(|| {
                let (inputs, receiver) = mpsc::unbounded_channel();
                let (clock, results) = (self.clock, self.results.clone());
                let (endpoint, engine) = (name.clone(), engine::Client::new(address));
                let setup = orders::Setup { endpoint, engine, service, clock, results };
                actix_rt::spawn(orders::run(setup, receiver));
                inputs
            });
            // The task ends only when this sender is dropped.
            let _ = orderer.send(wanted);
        }
    }

    /// Tells the orderers what goes on, and keeps connections to the replicas that they ask about.
    fn tell_orderers(&self) {
        let now = self.clock.now();
        for (endpoint, orderer) in &self.orderers {
            let _ = orderer.send(Input::Around(self.machine.order_conditions(now, endpoint)));
            for (host, address) in self.machine.replicas(endpoint) {
                if !self.hub.is_linked(&host) {
                    let number = revision::Message::Number(self.follow.number());
                    self.hub.send(&host, Some(address), Message::Revision(number));
                }
            }
        }
    }

    /// Carries out a command; whoever asked may have given up waiting for the answer.
    fn on_command(&mut self, command: Command) {
        match command {
            Command::Leave { endpoint: None, leaving, done } => {
                self.leave_all(Cause::Operator, leaving);
                let _ = done.send(true);
            }
            Command::Leave { endpoint: Some(endpoint), leaving, done } => {
                let known = self.adapters.contains_key(&endpoint);
                self.handle(Event::Leaving { endpoint, cause: Cause::Operator, leaving });
                let _ = done.send(known);
            }
            Command::Status(done) => {
                let status = Status::of(&self.machine, &self.host, self.follow.follower());
                drop(done.send(status));
            }
            Command::Counters(done) => drop(done.send(Counter::all(&self.machine))),
            Command::Explain(request, done) => {
                let explanation = Explanation::of(&self.machine, self.clock.now(), request);
                drop(done.send(explanation));
            }
            Command::Stop(done) => drop(done),
        }
    }

    fn leave_all(&mut self, cause: Cause, leaving: bool) {
        let endpoints: Vec<_> = self.adapters.keys().cloned().collect();
        for endpoint in endpoints {
            self.handle(Event::Leaving { endpoint, cause, leaving });
        }
        log::info!(leaving, cause:? = cause; "endpoints leave or come back");
    }

    fn export(&mut self) {
        let Some(exporter) = self.exporter.as_mut() else { return };
        exporter.export(Counter::all(&self.machine).into_iter().map(|counter| Count {
            name: counter.name,
            workspace: counter.workspace.map(|name| name.to_string()),
            value: counter.count,
        }));
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.machine.handle(now, event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Send { host, address, message } => {
                if !self.hub.send(&host, address, message) {
                    // Reported as a lost connection: the receiver will ask again if it lives.
                    let _ = self.results.send(Event::Disconnected(host));
                }
            }
            Effect::Run { endpoint, batch } => {
                if let Some(adapter) = self.adapters.get(&endpoint) {
                    adapter.push(Job::Run(batch));
                }
            }
            Effect::Release { endpoint, sequence } => {
                if let Some(adapter) = self.adapters.get(&endpoint) {
                    adapter.push(Job::Release(sequence));
                }
            }
            Effect::Call { call, limit } => {
                if let Some(adapter) = self.adapters.get(&call.endpoint) {
                    adapter.call(call, limit, self.results.clone());
                }
            }
        }
    }
}

/// Milliseconds since the Unix epoch by the wall clock.
pub(crate) fn wall_ms() -> u64 {
    // A clock before 1970 makes every key look as if it came from the future, which is refused.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| as_us(since) / 1000)
}
