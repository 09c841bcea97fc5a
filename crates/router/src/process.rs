//! The life of the process: start, work, graceful stop.

use std::time::Duration;

use derive_more::{Display, Error};
use oriole_adapter::{settings, signal};
use oriole_platform::store::Client;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::settings::{Listen, Settings};
use crate::state::{Shared, State, load};
use crate::{follow, listen, orders, peers, planner};

/// Longest time of a call to the store, but for watches.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Time in which the balancer notices that the entry is not ready, after the signal to stop.
const NOTICE: Duration = Duration::from_millis(2500);

/// Part of the grace period that is left for the last bytes when the process gives up.
const LAST_PART: f64 = 0.06;

/// Interval at which the end of the last request is looked for.
const POLL: Duration = Duration::from_millis(50);

/// Interval at which usable chains are worked out anew, for what changes with time alone.
const REFRESH: Duration = Duration::from_millis(200);

/// Interval at which the settings file is compared.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Why the process cannot run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[display("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Signals cannot be waited for.
    #[display("waiting for signals: {_0}")]
    Signal(io::Error),
}

/// Sockets that a process listens on.
pub struct Sockets {
    /// For callers.
    pub callers: TcpListener,
    /// For the question whether the entry is ready.
    pub ready: TcpListener,
    /// For other entries.
    pub peers: TcpListener,
    /// For whoever collects metrics.
    pub metrics: TcpListener,
}

impl Sockets {
    /// Listens on loopback ports of the system's choice; also returns their addresses.
    pub fn loopback() -> Result<(Self, Listen), Error> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = Listen { callers: any, ready: any, peers: any, metrics: any };
        let sockets = Self::bind(&listen)?;
        let address = |listener: &TcpListener| {
            listener.local_addr().map_err(|source| Error::Listen { address: any, source })
        };
        let listen = Listen {
            callers: address(&sockets.callers)?,
            ready: address(&sockets.ready)?,
            peers: address(&sockets.peers)?,
            metrics: address(&sockets.metrics)?,
        };
        Ok((sockets, listen))
    }

    /// Listens on the addresses of the settings.
    pub fn bind(listen: &Listen) -> Result<Self, Error> {
        Ok(Self {
            callers: bind(listen.callers)?,
            ready: bind(listen.ready)?,
            peers: bind(listen.peers)?,
            metrics: bind(listen.metrics)?,
        })
    }
}

/// Runs until the process is told to stop and has finished its requests.
///
/// `path` is the settings file, which is read again on SIGHUP and when it changes.
pub async fn run(settings: Settings, path: PathBuf) -> Result<(), Error> {
    let sockets = Sockets::bind(&settings.listen)?;
    let hang_up = signal::hang_up().map_err(Error::Signal)?;
    let state = start(settings, sockets);
    actix_rt::spawn(reload(state.clone(), path, hang_up));
    signal::stop().await.map_err(Error::Signal)?;
    stop(&state).await;
    Ok(())
}

/// Starts all tasks of an entry.
pub fn start(settings: Settings, sockets: Sockets) -> Shared {
    let state = State::new(settings);
    let store = Client::new(state.settings.store.address, STORE_TIMEOUT);
    log::info!(host = state.host.as_str(), zone = state.zone.as_str(); "started");
    follow::start(&state, store);
    actix_rt::spawn(listen::callers(state.clone(), sockets.callers));
    actix_rt::spawn(listen::readiness(state.clone(), sockets.ready));
    actix_rt::spawn(listen::metrics(state.clone(), sockets.metrics));
    actix_rt::spawn(peers::run(state.clone(), store, sockets.peers));
    actix_rt::spawn(planner::run(state.clone(), store));
    actix_rt::spawn(orders::run(state.clone()));
    actix_rt::spawn(load::run(state.clone()));
    actix_rt::spawn(refresh(state.clone()));
    state
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| Error::Listen { address, source })
}

/// Reads the settings again on SIGHUP, and when the file has changed without one.
async fn reload(state: Shared, path: PathBuf, mut hang_up: Signal) {
    let mut known = std::fs::read(&path).ok();
    loop {
        let is_told = tokio::select! {
            told = hang_up.recv() => told.is_some(),
            () = sleep(SETTINGS_INTERVAL) => false,
        };
        let found = std::fs::read(&path).ok();
        if !is_told && found == known {
            continue;
        }
        known = found;
        match settings::load::<Settings>(&path) {
            Ok(settings) => state.reload(&settings),
            Err(error) => log::error!(error:%; "settings not taken over"),
        }
    }
}

async fn refresh(state: Shared) {
    loop {
        sleep(REFRESH).await;
        state.tick();
    }
}

/// Stops: first the readiness, then idle connections, then the process once it has no requests.
pub async fn stop(state: &Shared) {
    let began = state.now();
    let grace = Duration::from_millis(state.tunables().times.grace_ms).mul_f64(1.0 - LAST_PART);
    state.exit_deadline.set(Some(began + grace));
    state.stopping.set(true);
    log::info!(active = state.active_requests.get(); "stopping");
    sleep(NOTICE).await;
    state.closing.set(true);
    state.closing_changed.notify_waiters();
    loop {
        sleep(POLL).await;
        if state.active_requests.get() == 0 || state.now().since(began) >= grace {
            break;
        }
    }
    state.exiting.set(true);
    log::info!(active = state.active_requests.get(); "stopped");
    // Lines are written by another thread.
    sleep(POLL).await;
}
