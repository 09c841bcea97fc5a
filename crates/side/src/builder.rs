//! Starts a side.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oriole_adapter::clock::Clock;
use oriole_adapter::kv;
use oriole_adapter::metrics::Exporter;
use oriole_core::config::Config;
use oriole_core::home;
use oriole_core::name;
use oriole_core::revision::follower;
use oriole_core::side::{self, Machine};
use oriole_follow::Follow;
use oriole_wire::hub;
use oriole_wire::{Hub, conn::Liveness, handshake::Identity};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::http;
use crate::process::{Handle, Process, wall_ms};

/// Required inputs of a side.
pub struct Setup {
    /// Name of the host on which the side runs.
    pub host: name::Host,
    /// Secret that the processes of the deployment share.
    pub secret: Vec<u8>,
    /// Initial configuration; empty if the side has to obtain one first.
    pub config: Config,
    /// Listener for connections from other processes of the deployment.
    pub wire: TcpListener,
    /// Heartbeat interval and timeouts of connections.
    pub liveness: Liveness,
}

/// Configures the optional settings of a side and starts it.
pub struct Builder {
    setup: Setup,
    http: Option<TcpListener>,
    queue_tokens: Option<u64>,
    home: home::Bounds,
    seeds: BTreeMap<name::Host, SocketAddr>,
    kv: Option<kv::Settings>,
    orders: bool,
    exporter: Option<Exporter>,
}

impl Builder {
    /// Creates a builder with default settings.
    pub fn new(setup: Setup) -> Self {
        let entries = setup.config.entries.iter();
        let seeds = entries.map(|(host, entry)| (host.clone(), entry.address)).collect();
        let home = home::Bounds::default();
        Self {
            setup,
            http: None,
            queue_tokens: None,
            home,
            seeds,
            kv: None,
            orders: false,
            exporter: None,
        }
    }

    /// Serves operators over HTTP; without it, the side has no HTTP interface.
    pub fn http(mut self, listener: TcpListener) -> Self {
        self.http = Some(listener);
        self
    }

    /// Sets the maximum total of the tokens of the requests that wait at one endpoint.
    pub fn queue_tokens(mut self, tokens: u64) -> Self {
        self.queue_tokens = Some(tokens);
        self
    }

    /// Sets the bounds and tolerances of the home of idempotency keys.
    pub fn home(mut self, bounds: home::Bounds) -> Self {
        self.home = bounds;
        self
    }

    /// Adds addresses of entries to those in the configuration.
    pub fn seeds(mut self, seeds: BTreeMap<name::Host, SocketAddr>) -> Self {
        self.seeds.extend(seeds);
        self
    }

    /// Sets the key-value service. The side reads the configuration from it only while no connected
    /// peer has a revision.
    pub fn kv(mut self, settings: kv::Settings) -> Self {
        self.kv = Some(settings);
        self
    }

    /// Gives engines orders to load what the configuration assigns to them, under locks in the
    /// key-value service; has no effect without [`Builder::kv`].
    pub fn orders(mut self) -> Self {
        self.orders = true;
        self
    }

    /// Exports counters to a StatsD collector.
    pub fn exporter(mut self, exporter: Exporter) -> Self {
        self.exporter = Some(exporter);
        self
    }

    /// Starts the side in the current actix system.
    pub fn start(self) -> Handle {
        let Setup { host, secret, config, wire, liveness } = self.setup;
        let identity = Identity::new(host.clone(), secret);
        let (hub, events) = Hub::new(hub::Settings { identity, liveness });
        let mut tasks = vec![hub.listen(wire)];
        let (commands, receiver) = mpsc::channel(64);
        if let Some(listener) = self.http {
            tasks.push(actix_rt::spawn(http::serve(listener, commands.clone())));
        }
        let mut settings = side::Settings::new(host.clone(), rand::random());
        settings.home = self.home;
        settings.queue_tokens = self.queue_tokens.unwrap_or(settings.queue_tokens);
        let clock = Clock::start();
        let machine = Machine::new(clock.now(), wall_ms(), settings, &config);
        let (event_sender, machine_events) = mpsc::unbounded_channel();
        let role = follower::Role::Side;
        let kv = self.kv.clone().filter(|_| self.orders).map(kv::Client::new);
        let following =
            oriole_follow::Setup { host: host.clone(), role, seeds: self.seeds, kv: self.kv };
        let (follow, revisions) = Follow::new(following, hub.clone(), clock.now());
        let (adapters, reconcilers) = (BTreeMap::new(), BTreeMap::new());
        let exporter = self.exporter;
        let mut process = Process {
            host,
            machine,
            adapters,
            reconcilers,
            kv,
            follow,
            clock,
            hub,
            event_sender,
            exporter,
        };
        process.sync_adapters(&config);
        let hub = process.hub.clone();
        tasks.push(actix_rt::spawn(process.run(events, machine_events, revisions, receiver)));
        Handle::new(commands, hub, tasks)
    }
}

/// Starts a side with the default settings in the current actix system.
pub fn start(setup: Setup) -> Handle {
    Builder::new(setup).start()
}
