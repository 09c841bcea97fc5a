//! Starting and stopping an entry.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::clock::Clock;
use oriole_adapter::kv;
use oriole_adapter::metrics::Exporter;
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
    /// Listener for callers, and for operators if they have none of their own.
    pub http: TcpListener,
    /// Heartbeats and deadlines of connections.
    pub liveness: Liveness,
    /// A random number for this run.
    pub seed: u64,
}

/// Starts an entry with other than the default settings.
pub struct Builder {
    setup: Setup,
    operators: Option<TcpListener>,
    exporter: Option<Exporter>,
    stop_wait: Duration,
    seeds: BTreeMap<name::Host, SocketAddr>,
    kv: Option<kv::Settings>,
    hosts: Option<SocketAddr>,
}

impl Builder {
    /// A builder with the default settings.
    pub fn new(setup: Setup) -> Self {
        let entries = setup.config.entries.iter();
        let seeds = entries.map(|(host, entry)| (host.clone(), entry.address)).collect();
        let stop_wait = Duration::ZERO;
        Self { setup, operators: None, exporter: None, stop_wait, seeds, kv: None, hosts: None }
    }

    /// Serves operators over a listener of their own; callers then see nothing of theirs.
    pub fn operators(mut self, listener: TcpListener) -> Self {
        self.operators = Some(listener);
        self
    }

    /// Exports counters.
    pub fn exporter(mut self, exporter: Exporter) -> Self {
        self.exporter = Some(exporter);
        self
    }

    /// How long a stopping entry still takes requests after its readiness has failed, so that the
    /// balancer can notice.
    pub fn stop_wait(mut self, wait: Duration) -> Self {
        self.stop_wait = wait;
        self
    }

    /// Where entries listen, besides those of the configuration.
    pub fn seeds(mut self, seeds: BTreeMap<name::Host, SocketAddr>) -> Self {
        self.seeds.extend(seeds);
        self
    }

    /// The key-value service that holds the configuration.
    pub fn kv(mut self, settings: kv::Settings) -> Self {
        self.kv = Some(settings);
        self
    }

    /// Where the platform's host list is.
    pub fn hosts(mut self, address: SocketAddr) -> Self {
        self.hosts = Some(address);
        self
    }

    /// Starts the entry in the current actix system.
    pub fn start(self) -> Handle {
        let Setup { host, secret, config, wire, http, liveness, seed } = self.setup;
        let identity = Identity { host: host.clone(), secret };
        let (hub, events) = Hub::new(hub::Settings { identity, liveness });
        let (commands, asked) = mpsc::channel(1024);
        let boot = u32::try_from(seed >> 32).unwrap_or_default();
        let clock = Clock::start();
        let shared = Rc::new(http::Shared {
            config: RefCell::new(Rc::new(config.clone())),
            commands: commands.clone(),
            answers: Rc::new(()),
        });
        let mut tasks = vec![hub.listen(wire)];
        let audience = match self.operators {
            Some(_) => http::Audience::Callers,
            None => http::Audience::All,
        };
        tasks.push(actix_rt::spawn(http::serve(http, shared.clone(), audience)));
        if let Some(listener) = self.operators {
            let operators = http::Audience::Operators;
            tasks.push(actix_rt::spawn(http::serve(listener, shared.clone(), operators)));
        }
        let role = follower::Role::Entry;
        let following =
            oriole_follow::Setup { host: host.clone(), role, seeds: self.seeds, kv: self.kv };
        let (follow, revisions) = Follow::new(following, hub.clone(), clock.now());
        let process = Process {
            machine: Machine::new(config, seed).on_host(clock.now(), &host, boot),
            host: host_hash(&host),
            name: host,
            follow,
            boot,
            seq: 0,
            callers: BTreeMap::new(),
            clock,
            hub: hub.clone(),
            shared,
            exporter: self.exporter,
            cursor: 0,
            ready: true,
        };
        if let Some(address) = self.hosts {
            tasks.push(actix_rt::spawn(hosts::poll(address, commands.clone())));
        }
        tasks.push(actix_rt::spawn(process.run(events, revisions, asked, commands.clone())));
        Handle { commands, hub, tasks, stop_wait: self.stop_wait }
    }
}

/// Starts an entry with the default settings in the current actix system.
pub fn start(setup: Setup) -> Handle {
    Builder::new(setup).start()
}

/// A running entry. Dropping it kills the entry at once.
pub struct Handle {
    commands: mpsc::Sender<Command>,
    hub: Hub,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    stop_wait: Duration,
}

impl Handle {
    /// Stops gracefully: readiness fails first, then no more requests are taken; returns when all
    /// work in progress is done and its callers have it.
    pub async fn stop(self) {
        let (done, wait) = oneshot::channel();
        // An entry that has stopped already needs no telling.
        if self.commands.send(Command::Unready).await.is_err() {
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
