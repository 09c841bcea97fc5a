//! Runs the entries, sides and stand-ins of one deployment over loopback in one process.
//!
//! Each entry and each side runs on its own thread. It can therefore be killed with all of its
//! connections and paused as a whole, and its processor time can be measured, like a process.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use derive_more::{Display, Error, From};
use oriole_core::config::{Config, Kind};
use oriole_core::name;
use oriole_standin::engine::Probe;
use oriole_standin::service::Record;
use oriole_standin::{fault, relay};

pub use kv::Kv;
pub use node::Node;
pub use ready::api_key;
use standin::Standins;

pub mod kv;
pub mod node;
mod ready;
mod standin;

/// Secret that the entries and sides of a cluster share.
const SECRET: &[u8] = b"loopback only";

/// Most attempts to bind an address whose former listener may still be closing.
const MAX_BIND_ATTEMPTS: u32 = 50;

/// Delay between two attempts to bind an address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A cluster could not be started or changed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket could not be opened.
    #[display("opening a socket: {_0}")]
    Io(std::io::Error),
    /// The configuration cannot be written as documents.
    #[display("{_0}")]
    Config(oriole_core::config::Error),
    /// The key-value service did not accept the configuration.
    #[display("{_0}")]
    Apply(oriole_ctl::Error),
    /// The cluster has no such host or endpoint.
    #[display("the cluster has no such host or endpoint")]
    #[from(skip)]
    NotFound,
}

/// Options of a cluster.
#[derive(Clone, Debug)]
pub struct Options {
    /// Factor on the step and prompt times of engines.
    pub time_scale: f64,
    /// Time that a plain service takes for one call.
    pub service_delay: Duration,
    /// Whether a relay in front of each side and entry counts bytes and injects network faults.
    pub relays: bool,
    /// Whether there is a key-value service from which entries take the configuration.
    pub kv: bool,
    /// Number of threads that run the stand-ins.
    pub standin_threads: usize,
    /// Seed of the random numbers of entries.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            time_scale: 1.0,
            service_delay: Duration::from_millis(5),
            relays: false,
            kv: false,
            standin_threads: 4,
            seed: 1,
        }
    }
}

/// A running entry.
pub struct Entry {
    /// Thread of the process; `None` while the process is dead.
    pub node: Option<Node>,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other processes, behind the relay if there is one.
    pub wire: SocketAddr,
    /// Controls the relay in front of the process, if there is one.
    pub relay: Option<relay::Switch>,
}

/// A running side.
pub struct Side {
    /// Thread of the process; `None` while the process is dead.
    pub node: Option<Node>,
    /// Address for entries, behind the relay if there is one.
    pub wire: SocketAddr,
    /// Controls the relay in front of the process, if there is one.
    pub relay: Option<relay::Switch>,
}

/// The stand-in of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Injects faults.
    pub switch: fault::Switch,
    /// Shows which sequences an engine holds; empty for a plain service.
    pub probe: Probe,
    /// Counts how often each call of a plain service ran; empty for an engine.
    pub record: Record,
}

/// A running deployment. Dropping it kills all processes and stand-ins.
pub struct Cluster {
    /// Configuration, with the addresses in use.
    pub config: Config,
    /// Entries by host, also dead ones.
    pub entries: BTreeMap<name::Host, Entry>,
    /// Sides by host, also dead ones.
    pub sides: BTreeMap<name::Host, Side>,
    /// Stand-ins by endpoint.
    pub endpoints: BTreeMap<name::Endpoint, Endpoint>,
    /// Key-value service, if there is one.
    pub kv: Option<Kv>,
    options: Options,
    standins: Standins,
    entry_starts: u64,
}

impl Cluster {
    /// Starts all entries, sides and endpoints in `config`, on ports that the operating system
    /// picks.
    pub fn start(mut config: Config, options: Options) -> Result<Self, Error> {
        let mut standins = Standins::new(&options);
        let endpoints = standins.start_endpoints(&mut config)?;
        let (sides, side_listeners) = bind_sides(&mut config, &options, &mut standins)?;
        let (entries, entry_listeners) = bind_entries(&mut config, &options, &mut standins)?;
        let kv = if options.kv { Some(Kv::start(&mut standins)?) } else { None };
        let entry_starts = options.seed;
        let mut cluster =
            Self { config, entries, sides, endpoints, kv, options, standins, entry_starts };
        for (host, listener) in side_listeners {
            let node = cluster.run_side(&host, listener);
            cluster.side(&host)?.node = Some(node);
        }
        for (host, (wire, http)) in entry_listeners {
            let node = cluster.run_entry(&host, wire, http);
            cluster.entry(&host)?.node = Some(node);
        }
        Ok(cluster)
    }

    /// Kills an entry with all of its connections.
    pub fn kill_entry(&mut self, host: &name::Host) -> Result<(), Error> {
        self.entry(host)?.node = None;
        Ok(())
    }

    /// Restarts a dead entry at its old addresses.
    pub fn restart_entry(&mut self, host: &name::Host) -> Result<(), Error> {
        let entry = self.entry(host)?;
        let (wire, http) = (entry.wire, entry.http);
        let node = self.run_entry(host, rebind(wire)?, rebind(http)?);
        self.entry(host)?.node = Some(node);
        Ok(())
    }

    /// Pauses an entry for a while; does nothing if it is dead.
    pub fn pause_entry(&mut self, host: &name::Host, pause: Duration) -> Result<(), Error> {
        if let Some(node) = &self.entry(host)?.node {
            node.pause(pause);
        }
        Ok(())
    }

    /// Kills a side with all of its connections.
    pub fn kill_side(&mut self, host: &name::Host) -> Result<(), Error> {
        self.side(host)?.node = None;
        Ok(())
    }

    /// Restarts a dead side at its old address.
    pub fn restart_side(&mut self, host: &name::Host) -> Result<(), Error> {
        let wire = self.side(host)?.wire;
        let node = self.run_side(host, rebind(wire)?);
        self.side(host)?.node = Some(node);
        Ok(())
    }

    /// Restarts the dead stand-in of an endpoint at its old address, without its former state.
    pub fn restart_endpoint(&mut self, endpoint: &name::Endpoint) -> Result<(), Error> {
        let settings = self.config.endpoints.get(endpoint).ok_or(Error::NotFound)?;
        let standin = self.endpoints.get(endpoint).ok_or(Error::NotFound)?;
        standin.switch.reset();
        let listener = rebind(settings.address)?;
        self.standins.serve(listener, &self.config, &settings.kind, standin);
        Ok(())
    }

    /// Kills all endpoints, sides and entries of an availability zone.
    pub fn kill_zone(&mut self, zone: &name::Zone) -> Result<(), Error> {
        let config = self.config.clone();
        for (name, endpoint) in config.endpoints.iter().filter(|(_, e)| e.zone == *zone) {
            if let Some(standin) = self.endpoints.get(name) {
                standin.switch.crash();
            }
            self.kill_side(&endpoint.host)?;
        }
        for (host, _) in config.entries.iter().filter(|(_, e)| e.zone == *zone) {
            self.kill_entry(host)?;
        }
        Ok(())
    }

    /// Returns the addresses for callers of the running entries.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().filter(|e| e.node.is_some()).map(|e| e.http).collect()
    }

    /// Returns the engines that hold a sequence of the request with ID `id`.
    pub fn holders(&self, id: &str) -> Vec<name::Endpoint> {
        let holding = self.endpoints.iter().filter(|(_, endpoint)| endpoint.probe.holds(id));
        holding.map(|(name, _)| name.clone()).collect()
    }

    fn entry(&mut self, host: &name::Host) -> Result<&mut Entry, Error> {
        self.entries.get_mut(host).ok_or(Error::NotFound)
    }

    fn side(&mut self, host: &name::Host) -> Result<&mut Side, Error> {
        self.sides.get_mut(host).ok_or(Error::NotFound)
    }

    fn run_entry(&mut self, host: &name::Host, wire: TcpListener, http: TcpListener) -> Node {
        self.entry_starts += 1;
        // The upper half is the boot number in request IDs, which must differ between two runs
        // of an entry.
        let seed = (self.entry_starts << 32) | self.options.seed;
        node::entry(node::EntrySetup {
            host: host.clone(),
            secret: SECRET.to_vec(),
            config: self.config.clone(),
            wire,
            http,
            kv: self.kv.as_ref().map(Kv::settings),
            seed,
        })
    }

    fn run_side(&self, host: &name::Host, wire: TcpListener) -> Node {
        node::side(node::SideSetup {
            host: host.clone(),
            secret: SECRET.to_vec(),
            config: self.config.clone(),
            wire,
        })
    }
}

/// Sides that have not been started, and their listeners.
type BoundSides = (BTreeMap<name::Host, Side>, Vec<(name::Host, TcpListener)>);

/// Entries that have not been started, and their listeners for processes and for callers.
type BoundEntries = (BTreeMap<name::Host, Entry>, Vec<(name::Host, (TcpListener, TcpListener))>);

/// Binds the address of each side and starts its relay, if `options` asks for relays.
fn bind_sides(
    config: &mut Config,
    options: &Options,
    standins: &mut Standins,
) -> Result<BoundSides, Error> {
    let mut sides: BTreeMap<name::Host, Side> = BTreeMap::new();
    let mut side_addresses = BTreeMap::new();
    let mut listeners = Vec::new();
    for endpoint in config.endpoints.values_mut() {
        if let Some(address) = side_addresses.get(&endpoint.host) {
            endpoint.side = *address;
            continue;
        }
        let listener = bind()?;
        let wire = listener.local_addr()?;
        let relay = options.relays.then(relay::Switch::new);
        endpoint.side = relay_address(wire, relay.as_ref(), standins)?;
        side_addresses.insert(endpoint.host.clone(), endpoint.side);
        sides.insert(endpoint.host.clone(), Side { node: None, wire, relay });
        listeners.push((endpoint.host.clone(), listener));
    }
    Ok((sides, listeners))
}

/// Binds the addresses of each entry and starts its relay, if `options` asks for relays.
fn bind_entries(
    config: &mut Config,
    options: &Options,
    standins: &mut Standins,
) -> Result<BoundEntries, Error> {
    let mut entries = BTreeMap::new();
    let mut listeners = Vec::new();
    for (host, entry) in &mut config.entries {
        let (listener, http_listener) = (bind()?, bind()?);
        let (wire, http) = (listener.local_addr()?, http_listener.local_addr()?);
        let relay = options.relays.then(relay::Switch::new);
        entry.address = relay_address(wire, relay.as_ref(), standins)?;
        entries.insert(host.clone(), Entry { node: None, http, wire, relay });
        listeners.push((host.clone(), (listener, http_listener)));
    }
    Ok((entries, listeners))
}

/// Starts a relay to `wire` and returns its address; returns `wire` if there is no relay.
fn relay_address(
    wire: SocketAddr,
    relay: Option<&relay::Switch>,
    standins: &mut Standins,
) -> Result<SocketAddr, Error> {
    relay.map_or(Ok(wire), |switch| standins.relay(wire, switch))
}

fn bind() -> Result<TcpListener, Error> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Binds an address, and retries while its former listener is still closing.
fn rebind(address: SocketAddr) -> Result<TcpListener, Error> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match TcpListener::bind(address) {
            Ok(listener) => {
                listener.set_nonblocking(true)?;
                return Ok(listener);
            }
            Err(e) if attempts >= MAX_BIND_ATTEMPTS => return Err(e.into()),
            Err(_) => std::thread::sleep(BIND_RETRY_DELAY),
        }
    }
}

/// Returns the number of layers of an engine's whole model, or 0 for a plain service.
fn model_layers(config: &Config, kind: &Kind) -> u16 {
    match kind {
        Kind::Engine { model, .. } => config.models.get(model).map_or(0, |model| model.layers),
        Kind::Service { .. } => 0,
    }
}
