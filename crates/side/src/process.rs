//! The running side: one task owns the decisions, others do the waiting.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_core::config::{Config, Kind};
use oriole_core::engine::Batch;
use oriole_core::message::{Call, Message};
use oriole_core::name;
use oriole_core::side::{Effect, Event, Machine};
use oriole_platform::clock::Clock;
use oriole_platform::{engine, service};
use oriole_wire::hub::{self, Kind as Wire};
use oriole_wire::{Hub, conn::Liveness, handshake::Identity};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Interval at which time passes for the decisions.
const TICK: Duration = Duration::from_millis(50);

/// Interval of load reports to entries.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that an engine may take for one batch.
const BATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that a plain service may take for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// What a side is started with.
pub struct Setup {
    /// The host.
    pub host: name::Host,
    /// The secret of the deployment.
    pub secret: Vec<u8>,
    /// The configuration.
    pub config: Config,
    /// Listener for the system's own connections.
    pub wire: TcpListener,
    /// Heartbeats and deadlines of connections.
    pub liveness: Liveness,
}

/// A running side. Dropping it kills the side at once.
pub struct Handle {
    stop: mpsc::Sender<Command>,
    hub: Hub,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

enum Command {
    Leave { endpoint: name::Endpoint, leaving: bool },
    Stop(oneshot::Sender<()>),
}

impl Handle {
    /// Tells the side that an endpoint is leaving, or is back.
    pub async fn leave(&self, endpoint: name::Endpoint, leaving: bool) {
        // A side that has stopped needs no telling.
        let _ = self.stop.send(Command::Leave { endpoint, leaving }).await;
    }

    /// Stops gracefully: takes no new work and returns when all work in progress is done.
    pub async fn stop(self) {
        let (done, wait) = oneshot::channel();
        if self.stop.send(Command::Stop(done)).await.is_ok() {
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

/// Starts a side in the current actix system.
pub fn start(setup: Setup) -> Handle {
    let identity = Identity { host: setup.host.clone(), secret: setup.secret };
    let settings = hub::Settings { identity, liveness: setup.liveness };
    let (hub, events) = Hub::new(settings);
    let listening = hub.listen(setup.wire);
    let (stop, commands) = mpsc::channel(16);
    let (results, finished) = mpsc::unbounded_channel();
    let process = Process {
        machine: Machine::new(&setup.host, &setup.config),
        clients: clients(&setup.host, &setup.config),
        entries: setup.config.entries.keys().cloned().collect(),
        clock: Clock::start(),
        hub: hub.clone(),
        results,
    };
    let running = actix_rt::spawn(process.run(events, finished, commands));
    Handle { stop, hub, tasks: vec![listening, running] }
}

/// The adapter of one endpoint.
#[derive(Clone)]
enum Client {
    Engine(Rc<engine::Client>),
    Service(Rc<service::Client>),
}

fn clients(host: &name::Host, config: &Config) -> BTreeMap<name::Endpoint, Client> {
    let own = config.endpoints.iter().filter(|(_, endpoint)| endpoint.host == *host);
    own.map(|(name, endpoint)| (name.clone(), client(&endpoint.kind, endpoint.address))).collect()
}

fn client(kind: &Kind, address: SocketAddr) -> Client {
    match kind {
        Kind::Engine { .. } => Client::Engine(Rc::new(engine::Client::new(address))),
        Kind::Service { .. } => Client::Service(Rc::new(service::Client::new(address))),
    }
}

struct Process {
    machine: Machine,
    clients: BTreeMap<name::Endpoint, Client>,
    entries: Vec<name::Host>,
    clock: Clock,
    hub: Hub,
    results: mpsc::UnboundedSender<Event>,
}

impl Process {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<hub::Event>,
        mut finished: mpsc::UnboundedReceiver<Event>,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        let mut load = tokio::time::interval(LOAD_INTERVAL);
        let mut stopping: Option<oneshot::Sender<()>> = None;
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.on_wire(event),
                Some(event) = finished.recv() => self.handle(event),
                Some(command) = commands.recv() => match command {
                    Command::Leave { endpoint, leaving } => self.leave(endpoint, leaving),
                    Command::Stop(done) => {
                        self.leave_all();
                        stopping = Some(done);
                    }
                },
                _ = tick.tick() => self.handle(Event::Tick),
                _ = load.tick() => self.report(),
                else => return,
            }
            if stopping.is_some() && self.machine.is_idle() {
                break;
            }
        }
        self.hub.close();
        if let Some(done) = stopping {
            // The caller may have given up waiting.
            let _ = done.send(());
        }
    }

    fn on_wire(&mut self, event: hub::Event) {
        match event.kind {
            Wire::Up => {
                if self.entries.contains(&event.host) {
                    self.report_to(&event.host);
                }
            }
            Wire::Lost(_) => self.handle(Event::Lost(event.host)),
            Wire::Message(message) => self.handle(Event::Message { from: event.host, message }),
        }
    }

    fn leave(&mut self, endpoint: name::Endpoint, leaving: bool) {
        self.handle(Event::Leaving { endpoint, leaving });
        self.report();
    }

    fn leave_all(&mut self) {
        let endpoints: Vec<_> = self.clients.keys().cloned().collect();
        for endpoint in endpoints {
            self.handle(Event::Leaving { endpoint, leaving: true });
        }
        self.report();
    }

    fn report(&self) {
        for host in self.entries.iter().filter(|host| self.hub.is_linked(host)) {
            self.report_to(host);
        }
    }

    fn report_to(&self, host: &name::Host) {
        for load in self.machine.loads() {
            self.hub.send(host, None, Message::Load(load));
        }
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
                if !self.hub.send(&host, address, message) {
                    // Reported as a lost connection: the receiver will ask again if it lives.
                    let _ = self.results.send(Event::Lost(host));
                }
            }
            Effect::Run { endpoint, batch } => self.run_batch(endpoint, batch),
            Effect::Release { endpoint, sequence } => self.release(&endpoint, sequence),
            Effect::Call { call } => self.call(call),
        }
    }

    fn run_batch(&self, endpoint: name::Endpoint, batch: Batch) {
        let results = self.results.clone();
        let client = self.clients.get(&endpoint).cloned();
        actix_rt::spawn(async move {
            let outcomes = match client {
                Some(Client::Engine(client)) => client.steps(&batch, BATCH_TIMEOUT).await.ok(),
                _ => None,
            };
            let outcomes = outcomes.map(|outcomes| outcomes.outcomes);
            // The process may have stopped meanwhile.
            let _ = results.send(Event::Ran { endpoint, outcomes });
        });
    }

    fn release(&self, endpoint: &name::Endpoint, sequence: String) {
        if let Some(Client::Engine(client)) = self.clients.get(endpoint).cloned() {
            actix_rt::spawn(async move {
                // An engine evicts a sequence that it was not told to free, only later.
                let _ = client.free(&sequence, BATCH_TIMEOUT).await;
            });
        }
    }

    fn call(&self, call: Call) {
        let results = self.results.clone();
        let client = self.clients.get(&call.endpoint).cloned();
        actix_rt::spawn(async move {
            let answer = match client {
                Some(Client::Service(client)) => client.call(&call, CALL_TIMEOUT).await.ok(),
                _ => None,
            };
            let (endpoint, request) = (call.endpoint, call.request);
            // The process may have stopped meanwhile.
            let _ = results.send(Event::Answered { endpoint, request, answer });
        });
    }
}
