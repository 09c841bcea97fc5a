//! Start, reload of the settings, and graceful stop of the process.

use std::time::Duration;

use derive_more::{Display, Error};
use oriole_adapter::limits::Limits;
use oriole_adapter::{settings, signal};
use oriole_core::fleet::polling;
use oriole_platform::store::Client;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::settings::{Listen, Settings};
use crate::state::{Shared, State, load};
use crate::{follow, hold, listen, orders, pace, peers, planner, probe, quarantine, secret};

/// Length of the queue of connections that have not been accepted yet.
const MAX_PENDING_CONNECTIONS: u32 = 512;

/// Time after the signal to stop within which the load balancer notices that the entry is not
/// ready. It is at most half of the grace period, so that requests in progress have the rest.
const UNREADY_NOTICE_PERIOD: Duration = Duration::from_millis(2500);

/// Fraction of the grace period that is kept for writing the last bytes when requests are still in
/// progress at its end.
const FLUSH_FRACTION: f64 = 0.06;

/// Interval at which a stopping process checks whether requests are still in progress. It is also
/// the time that the log thread gets for the last lines.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which usable chains are recomputed for changes that are due to time alone, such as
/// the end of a drain or of an unhealthy period.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reasons for which the process cannot run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Binding or listening on an address failed.
    #[display("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Installing a signal handler failed.
    #[display("installing signal handlers: {_0}")]
    Signal(io::Error),
}

/// Sockets that an entry listens on.
pub struct Sockets {
    /// Socket for callers.
    pub callers: TcpListener,
    /// Socket of the readiness route.
    pub ready: TcpListener,
    /// Socket for other entries.
    pub peers: TcpListener,
    /// Socket of the metrics route.
    pub metrics: TcpListener,
}

impl Sockets {
    /// Listens on loopback ports that the operating system picks; also returns their addresses.
    pub fn loopback() -> Result<(Self, Listen), Error> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = Listen { callers: any, ready: any, peers: any, metrics: any };
        let sockets = Self::bind(&listen, &Limits::default())?;
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

    /// Listens on the addresses of the settings. `limits` bound the unread bytes of callers.
    pub fn bind(listen: &Listen, limits: &Limits) -> Result<Self, Error> {
        let connections = listen::max_connections(limits) + MAX_PENDING_CONNECTIONS as usize;
        let receive_buffer = limits.receive_buffer_bytes(connections);
        let receive_buffer = u32::try_from(receive_buffer).unwrap_or(u32::MAX);
        Ok(Self {
            callers: bind(listen.callers, Some(receive_buffer))?,
            ready: bind(listen.ready, Some(receive_buffer))?,
            peers: bind(listen.peers, None)?,
            metrics: bind(listen.metrics, Some(receive_buffer))?,
        })
    }
}

/// Runs an entry until the process is signalled to stop and has finished its requests, or until
/// its grace period ends.
///
/// `path` is the settings file, which is read again on SIGHUP and when its contents change.
pub async fn run(settings: Settings, path: PathBuf) -> Result<(), Error> {
    let sockets = Sockets::bind(&settings.listen, &settings.limits)?;
    let hang_up = signal::hang_up().map_err(Error::Signal)?;
    let state = start(settings, sockets);
    actix_rt::spawn(reload(state.clone(), path, hang_up));
    signal::stop().await.map_err(Error::Signal)?;
    stop(&state).await;
    Ok(())
}

/// Starts all tasks of an entry and returns their shared state.
pub fn start(settings: Settings, sockets: Sockets) -> Shared {
    let state = State::new(settings);
    let timeout = polling::call_timeout(state.contact_time());
    let store = Client::new(state.settings.store.address, timeout);
    log::info!(host = state.host.as_str(), zone = state.zone.as_str(); "started");
    follow::start(&state, store);
    actix_rt::spawn(listen::callers(state.clone(), sockets.callers));
    actix_rt::spawn(listen::readiness(state.clone(), sockets.ready));
    actix_rt::spawn(listen::metrics(state.clone(), sockets.metrics));
    actix_rt::spawn(peers::run(state.clone(), store, sockets.peers));
    actix_rt::spawn(planner::run(state.clone(), store));
    actix_rt::spawn(planner::keep_stored(state.clone(), store));
    actix_rt::spawn(secret::keep_stored(state.clone(), store));
    actix_rt::spawn(quarantine::run(state.clone(), store));
    actix_rt::spawn(hold::run(state.clone(), store));
    actix_rt::spawn(orders::run(state.clone()));
    actix_rt::spawn(load::run(state.clone()));
    actix_rt::spawn(pace::run(state.clone()));
    actix_rt::spawn(probe::run(state.clone()));
    actix_rt::spawn(refresh(state.clone()));
    state
}

/// Listens on an address. Connections have receive buffers of the given size, or as the kernel chooses.
fn bind(address: SocketAddr, receive_buffer: Option<u32>) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.bind(address)?;
        socket.listen(MAX_PENDING_CONNECTIONS)
    };
    listen().map_err(|source| Error::Listen { address, source })
}

/// Reads the settings again on SIGHUP, and when the contents of the file have changed without one.
async fn reload(state: Shared, path: PathBuf, mut hang_up: Signal) {
    let mut previous = std::fs::read(&path).ok();
    loop {
        let is_signalled = tokio::select! {
            signal = hang_up.recv() => signal.is_some(),
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let contents = std::fs::read(&path).ok();
        if !is_signalled && contents == previous {
            continue;
        }
        previous = contents;
        match settings::load::<Settings>(&path) {
            Ok(settings) => state.reload(&settings),
            Err(error) => log::error!(error:%; "reloading failed; keeping the previous settings"),
        }
    }
}

async fn refresh(state: Shared) {
    loop {
        sleep(REFRESH_INTERVAL).await;
        state.tick();
    }
}

/// Stops an entry gracefully.
///
/// The entry first reports that it is not ready, and closes idle connections once the load balancer
/// has had time to notice. It returns when no requests are in progress or the grace period is over.
pub async fn stop(state: &Shared) {
    let began = state.now();
    let grace =
        Duration::from_millis(state.tunables().times.grace_ms).mul_f64(1.0 - FLUSH_FRACTION);
    state.exit_deadline.set(Some(began + grace));
    state.stopping.set(true);
    log::info!(active = state.active_requests.get(); "stopping");
    sleep(UNREADY_NOTICE_PERIOD.min(grace / 2)).await;
    state.closing.set(true);
    state.closing_changed.notify_waiters();
    loop {
        sleep(IDLE_POLL_INTERVAL).await;
        if state.active_requests.get() == 0 || state.now().since(began) >= grace {
            break;
        }
    }
    state.exiting.set(true);
    log::info!(active = state.active_requests.get(); "stopped");
    // Gives the thread that writes log lines time for the last ones.
    sleep(IDLE_POLL_INTERVAL).await;
}
