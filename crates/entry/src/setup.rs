//! Starts and stops an entry.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::clock::Clock;
use oriole_adapter::connections::Connections;
use oriole_adapter::kv;
use oriole_adapter::limits::Limits;
use oriole_adapter::metrics::Exporter;
use oriole_adapter::server::{self, CONNECTION_BYTES};
use oriole_core::config::Config;
use oriole_core::entry::Machine;
use oriole_core::name;
use oriole_core::request::host_hash;
use oriole_core::revision::follower;
use oriole_follow::Follow;
use oriole_wire::hub;
use oriole_wire::{Hub, conn::Liveness, handshake::Identity};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::process::{Command, Process};
use crate::{hosts, http};

/// Connections that may wait to be accepted.
const MAX_PENDING: usize = 1024;

/// Maximum number of connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 32;

/// Required inputs of an entry.
pub struct Setup {
    /// Name of the host on which the entry runs.
    pub host: name::Host,
    /// Secret that the processes of the deployment share.
    pub secret: Vec<u8>,
    /// Initial configuration; empty if the entry has to obtain one first.
    pub config: Config,
    /// Listener for connections from other processes of the deployment.
    pub wire: TcpListener,
    /// HTTP listener for callers, and for operators if [`Builder::operators`] is not set.
    pub http: TcpListener,
    /// Heartbeat interval and timeouts of connections.
    pub liveness: Liveness,
    /// Random number that identifies this run and seeds its random choices.
    pub seed: u64,
}

/// Configures the optional settings of an entry and starts it.
pub struct Builder {
    setup: Setup,
    operators: Option<TcpListener>,
    exporter: Option<Exporter>,
    stop_wait: Duration,
    seeds: BTreeMap<name::Host, SocketAddr>,
    kv: Option<kv::Settings>,
    hosts: Option<SocketAddr>,
    limits: Limits,
}

impl Builder {
    /// Creates a builder with default settings.
    pub fn new(setup: Setup) -> Self {
        let entries = setup.config.entries.iter();
        let seeds = entries.map(|(host, entry)| (host.clone(), entry.address)).collect();
        let stop_wait = Duration::ZERO;
        let limits = Limits::default();
        let (operators, exporter, kv, hosts) = (None, None, None, None);
        Self { setup, operators, exporter, stop_wait, seeds, kv, hosts, limits }
    }

    /// Serves operators over a separate listener; the listener for callers then no longer serves
    /// the operators' resources.
    pub fn operators(mut self, listener: TcpListener) -> Self {
        self.operators = Some(listener);
        self
    }

    /// Exports counters to a StatsD collector.
    pub fn exporter(mut self, exporter: Exporter) -> Self {
        self.exporter = Some(exporter);
        self
    }

    /// Sets the time for which a stopping entry still takes requests after it has reported itself
    /// as not ready, so that load balancers can notice.
    pub fn stop_wait(mut self, wait: Duration) -> Self {
        self.stop_wait = wait;
        self
    }

    /// Adds addresses of entries to those in the configuration.
    pub fn seeds(mut self, seeds: BTreeMap<name::Host, SocketAddr>) -> Self {
        self.seeds.extend(seeds);
        self
    }

    /// Sets the key-value service that holds the configuration.
    pub fn kv(mut self, settings: kv::Settings) -> Self {
        self.kv = Some(settings);
        self
    }

    /// Sets the address of the platform's host list.
    pub fn hosts(mut self, address: SocketAddr) -> Self {
        self.hosts = Some(address);
        self
    }

    /// Sets what the process may use of its machine.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Starts the entry in the current actix system.
    pub fn start(self) -> Handle {
        let Setup { host, secret, config, wire, http, liveness, seed } = self.setup;
        let identity = Identity::new(host.clone(), secret);
        let (hub, events) = Hub::new(hub::Settings { identity, liveness });
        let (commands, receiver) = mpsc::channel(1024);
        let boot = u32::try_from(seed >> 32).unwrap_or_default();
        let clock = Clock::start();
        let shared = Rc::new(http::Shared {
            config: RefCell::new(Rc::new(config.clone())),
            commands: commands.clone(),
            bodies: http::body_reader(&self.limits, clock),
            open_answers: Rc::new(()),
        });
        let mut tasks = vec![hub.listen(wire)];
        let audience = match self.operators {
            Some(_) => http::Audience::Callers,
            None => http::Audience::All,
        };
        let max_connections = self.limits.max_connections(CONNECTION_BYTES);
        let receive_buffer = self.limits.receive_buffer_bytes(max_connections + MAX_PENDING);
        server::limit_receive_buffers(&http, receive_buffer);
        let connections = Connections::new(max_connections, clock);
        tasks.push(actix_rt::spawn(http::serve(http, connections, shared.clone(), audience)));
        if let Some(listener) = self.operators {
            let operators = http::Audience::Operators;
            let connections = Connections::new(MAX_OPERATOR_CONNECTIONS, clock);
            let serving = http::serve(listener, connections, shared.clone(), operators);
            tasks.push(actix_rt::spawn(serving));
        }
        let role = follower::Role::Entry;
        let following =
            oriole_follow::Setup { host: host.clone(), role, seeds: self.seeds, kv: self.kv };
        let (follow, revisions) = Follow::new(following, hub.clone(), clock.now());
        let process = Process {
            machine: Machine::new(config, seed).on_host(clock.now(), &host, boot),
            host_hash: host_hash(&host),
            host_name: host,
            follow,
            boot,
            seq: 0,
            callers: BTreeMap::new(),
            clock,
            hub: hub.clone(),
            shared,
            exporter: self.exporter,
            dial_cursor: 0,
            ready: true,
        };
        if let Some(address) = self.hosts {
            tasks.push(actix_rt::spawn(hosts::poll(address, commands.clone())));
        }
        tasks.push(actix_rt::spawn(process.run(events, revisions, receiver, commands.clone())));
        Handle { commands, hub, tasks, stop_wait: self.stop_wait }
    }
}

/// Starts an entry with the default settings in the current actix system.
pub fn start(setup: Setup) -> Handle {
    Builder::new(setup).start()
}

/// A running entry. Dropping the handle aborts the entry immediately.
pub struct Handle {
    commands: mpsc::Sender<Command>,
    hub: Hub,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    stop_wait: Duration,
}

impl Handle {
    /// Stops gracefully: reports the entry as not ready, waits for [`Builder::stop_wait`], then
    /// refuses new requests. Returns when the requests in progress have ended and their callers
    /// have read the answers, or the time for reading is over.
    pub async fn stop(self) {
        let (done, wait) = oneshot::channel();
        // The send fails if the entry has already stopped.
        if self.commands.send(Command::FailReadiness).await.is_err() {
            return;
        }
        sleep(self.stop_wait).await;
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
