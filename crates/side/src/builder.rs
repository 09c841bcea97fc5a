//! Starting of a side.

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

/// Starts a side with other than the default settings.
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
    /// A builder with the default settings.
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

    /// Serves operators over HTTP.
    pub fn http(mut self, listener: TcpListener) -> Self {
        self.http = Some(listener);
        self
    }

    /// Tokens of requests that wait at one endpoint.
    pub fn queue_tokens(mut self, tokens: u64) -> Self {
        self.queue_tokens = Some(tokens);
        self
    }

    /// Bounds and tolerances of the home of idempotency keys.
    pub fn home(mut self, bounds: home::Bounds) -> Self {
        self.home = bounds;
        self
    }

    /// Where entries listen, besides those of the configuration.
    pub fn seeds(mut self, seeds: BTreeMap<name::Host, SocketAddr>) -> Self {
        self.seeds.extend(seeds);
        self
    }

    /// The key-value service, which the side calls only if it hears of no entry.
    pub fn kv(mut self, settings: kv::Settings) -> Self {
        self.kv = Some(settings);
        self
    }

    /// Orders engines to hold what the configuration says, with locks in the key-value service.
    pub fn orders(mut self) -> Self {
        self.orders = true;
        self
    }

    /// Exports the counters.
    pub fn exporter(mut self, exporter: Exporter) -> Self {
        self.exporter = Some(exporter);
        self
    }

    /// Starts the side in the current actix system.
    pub fn start(self) -> Handle {
        let Setup { host, secret, config, wire, liveness } = self.setup;
        let identity = Identity { host: host.clone(), secret };
        let (hub, events) = Hub::new(hub::Settings { identity, liveness });
        let mut tasks = vec![hub.listen(wire)];
        let (commands, asked) = mpsc::channel(64);
        if let Some(listener) = self.http {
            tasks.push(actix_rt::spawn(http::serve(listener, commands.clone())));
        }
        let mut settings = side::Settings::new(host.clone(), rand::random());
        settings.home = self.home;
        settings.queue_tokens = self.queue_tokens.unwrap_or(settings.queue_tokens);
        let clock = Clock::start();
        let machine = Machine::new(clock.now(), wall_ms(), settings, &config);
        let (results, finished) = mpsc::unbounded_channel();
        let role = follower::Role::Side;
        let service = self.kv.clone().filter(|_| self.orders).map(kv::Client::new);
        let following =
            oriole_follow::Setup { host: host.clone(), role, seeds: self.seeds, kv: self.kv };
        let (follow, revisions) = Follow::new(following, hub.clone(), clock.now());
        let (adapters, orderers) = (BTreeMap::new(), BTreeMap::new());
        let exporter = self.exporter;
        let mut process = Process {
            host,
            machine,
            adapters,
            orderers,
            service,
            follow,
            clock,
            hub,
            results,
            exporter,
        };
        process.adapt(&config);
        let hub = process.hub.clone();
        tasks.push(actix_rt::spawn(process.run(events, finished, revisions, asked)));
        Handle::new(commands, hub, tasks)
    }
}

/// Starts a side with the default settings in the current actix system.
pub fn start(setup: Setup) -> Handle {
    Builder::new(setup).start()
}
