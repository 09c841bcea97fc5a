//! The task that owns the state machine of a side.
//!
//! It feeds events to the machine and carries out the effects that the machine returns. Other
//! tasks do the I/O and reach it over channels.

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

/// Interval of ticks of the state machine, which check its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the conditions for changing an engine are passed to its reconciler.
const CONDITIONS_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of exports of the counters.
const EXPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a stopping side must have been idle before it closes its connections. Until then
/// it still answers messages.
const IDLE_BEFORE_STOP: Duration = Duration::from_millis(300);

/// A running side. Dropping the handle aborts the side immediately.
pub struct Handle {
    commands: mpsc::Sender<Command>,
    hub: Hub,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

/// A command from an HTTP task or from the [`Handle`].
pub(crate) enum Command {
    /// Starts or ends the drain of an endpoint by an operator, or of all endpoints if `endpoint` is
    /// `None`. Replies whether this host has the endpoint.
    SetLeaving { endpoint: Option<name::Endpoint>, leaving: bool, reply: oneshot::Sender<bool> },
    /// Asks for the status.
    Status(oneshot::Sender<Status>),
    /// Asks for all counters that are not 0.
    Counters(oneshot::Sender<Vec<Counter>>),
    /// Asks for the events of a request.
    Explain(Id, oneshot::Sender<Explanation>),
    /// Stops gracefully and replies when all work in progress is done.
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

    /// Starts the drain of an endpoint if `leaving`, or ends it, as an operator does.
    pub async fn set_leaving(&self, endpoint: name::Endpoint, leaving: bool) {
        let (reply, wait) = oneshot::channel();
        let leave = Command::SetLeaving { endpoint: Some(endpoint), leaving, reply };
        // The send fails if the side has already stopped.
        if self.commands.send(leave).await.is_ok() {
            let _ = wait.await;
        }
    }

    /// Stops gracefully: refuses new work and returns when all work in progress is done.
    pub async fn stop(self) {
        let (reply, wait) = oneshot::channel();
        if self.commands.send(Command::Stop(reply)).await.is_ok() {
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

/// The state machine of a side and everything its effects need.
pub(crate) struct Process {
    pub(crate) host: name::Host,
    pub(crate) machine: Machine,
    pub(crate) adapters: BTreeMap<name::Endpoint, Adapter>,
    /// Inputs of the tasks that reconcile engines with the configuration; empty without the
    /// key-value service.
    pub(crate) reconcilers: BTreeMap<name::Endpoint, mpsc::UnboundedSender<Input>>,
    pub(crate) kv: Option<kv::Client>,
    pub(crate) follow: Follow,
    pub(crate) clock: Clock,
    pub(crate) hub: Hub,
    pub(crate) event_sender: mpsc::UnboundedSender<Event>,
    pub(crate) exporter: Option<Exporter>,
}

impl Process {
    /// Runs until a stop was requested and the side has been idle for [`IDLE_BEFORE_STOP`].
    pub(crate) async fn run(
        mut self,
        mut wire_events: mpsc::Receiver<hub::Event>,
        mut machine_events: mpsc::UnboundedReceiver<Event>,
        mut revisions: mpsc::UnboundedReceiver<follower::Event>,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let mut conditions = tokio::time::interval(CONDITIONS_INTERVAL);
        let mut export = tokio::time::interval(EXPORT_INTERVAL);
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        let mut stopping = Vec::new();
        let mut last_busy = Instant::now();
        loop {
            tokio::select! {
                Some(event) = wire_events.recv() => self.on_wire(event),
                Some(event) = machine_events.recv() => self.handle(event),
                Some(event) = revisions.recv() => self.follow(event),
                Some(command) = commands.recv() => match command {
                    Command::Stop(reply) => {
                        self.set_all_leaving(Cause::Signal, true);
                        stopping.push(reply);
                    }
                    other => self.on_command(other),
                },
                _ = tick.tick() => self.on_tick(),
                _ = conditions.tick() => self.update_reconcilers(),
                _ = export.tick() => self.export(),
                else => return,
            }
            if !self.machine.is_idle() {
                last_busy = Instant::now();
            } else if !stopping.is_empty() && last_busy.elapsed() > IDLE_BEFORE_STOP {
                break;
            }
        }
        self.hub.close();
        for reply in stopping {
            // The receiver may have been dropped.
            let _ = reply.send(());
        }
    }

    fn on_tick(&mut self) {
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
                // Another connection to the host may still be open.
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

    /// Passes an adopted revision to the adapters and to the state machine.
    fn adopt(&mut self, adopted: Option<Snapshot>) {
        let Some(adopted) = adopted else { return };
        let (config, revision) = (&adopted.config, adopted.head.number);
        self.sync_adapters(config);
        let roster = adopted.head.roster.number;
        let config = Box::new((**config).clone());
        self.handle(Event::Configured { config, revision, roster });
    }

    /// Starts adapters and reconcilers of new endpoints and of those with a new address, and passes
    /// the assignments in `config` to the reconcilers. Adapters of removed endpoints stay, so that
    /// their work in progress can end.
    pub(crate) fn sync_adapters(&mut self, config: &Config) {
        let own = config.endpoints.iter().filter(|(_, endpoint)| endpoint.host == self.host);
        for (name, endpoint) in own {
            let (kind, address) = (&endpoint.kind, endpoint.address);
            if self.adapters.get(name).is_none_or(|adapter| adapter.address() != address) {
                let adapter = Adapter::start(name, kind, address, self.event_sender.clone());
                self.adapters.insert(name.clone(), adapter);
                self.reconcilers.remove(name);
            }
            let Some(assignment) = orders::assignment(config, name) else { continue };
            let Some(kv) = self.kv.clone() else { continue };
            let reconciler = self.reconcilers.entry(name.clone()).or_insert_with(|| {
                let (inputs, receiver) = mpsc::unbounded_channel();
                let (clock, event_sender) = (self.clock, self.event_sender.clone());
                let (endpoint, engine) = (name.clone(), engine::Client::new(address));
                let setup = orders::Setup { endpoint, engine, kv, clock, event_sender };
                actix_rt::spawn(orders::run(setup, receiver));
                inputs
            });
            // The receiving task ends only when this sender is dropped.
            let _ = reconciler.send(assignment);
        }
    }

    /// Passes the conditions for changing each engine to its reconciler, and dials replicas of the
    /// engine's stage without a connection, since the conditions depend on their reports.
    fn update_reconcilers(&self) {
        let now = self.clock.now();
        for (endpoint, reconciler) in &self.reconcilers {
            let _ =
                reconciler.send(Input::Conditions(self.machine.order_conditions(now, endpoint)));
            for (host, address) in self.machine.replicas(endpoint) {
                if !self.hub.is_linked(&host) {
                    let number = revision::Message::Number(self.follow.number());
                    self.hub.send(&host, Some(address), Message::Revision(number));
                }
            }
        }
    }

    /// Carries out a command. The receiver of the reply may have been dropped.
    fn on_command(&mut self, command: Command) {
        match command {
            Command::SetLeaving { endpoint: None, leaving, reply } => {
                self.set_all_leaving(Cause::Operator, leaving);
                let _ = reply.send(true);
            }
            Command::SetLeaving { endpoint: Some(endpoint), leaving, reply } => {
                let known = self.adapters.contains_key(&endpoint);
                self.handle(Event::Leaving { endpoint, cause: Cause::Operator, leaving });
                let _ = reply.send(known);
            }
            Command::Status(reply) => {
                let status = Status::new(&self.machine, &self.host, self.follow.follower());
                drop(reply.send(status));
            }
            Command::Counters(reply) => drop(reply.send(Counter::all(&self.machine))),
            Command::Explain(request, reply) => {
                let explanation = Explanation::new(&self.machine, self.clock.now(), request);
                drop(reply.send(explanation));
            }
            Command::Stop(reply) => drop(reply),
        }
    }

    fn set_all_leaving(&mut self, cause: Cause, leaving: bool) {
        let endpoints: Vec<_> = self.adapters.keys().cloned().collect();
        for endpoint in endpoints {
            self.handle(Event::Leaving { endpoint, cause, leaving });
        }
        log::info!(leaving, cause:? = cause; "drain of all endpoints started or ended");
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
                    // There is no connection and no address. This counts as a lost connection;
                    // the receiver sends its request again if it is still running.
                    let _ = self.event_sender.send(Event::Disconnected(host));
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
                    adapter.call(call, limit, self.event_sender.clone());
                }
            }
        }
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    // With a clock before 1970 the result is 0, so that every idempotency key appears to be issued
    // in the future and is refused.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| as_us(since) / 1000)
}
