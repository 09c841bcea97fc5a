//! Runs an entry or a side on its own thread, in place of a process.

use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

use actix_rt::Arbiter;
use oriole_adapter::kv;
use oriole_core::config::Config;
use oriole_core::{home, name};
use oriole_wire::conn::Liveness;
use tokio::net;
use tokio::sync::{mpsc, oneshot};

/// Bounds of the sides as homes of idempotency keys. The times are short because all processes
/// share one clock, and each process has ended before its successor starts.
const HOME_BOUNDS: home::Bounds =
    home::Bounds { skew_ms: 50, takeover_ms: 500, keys: 65_536, answer_bytes: 16 * 1024 * 1024 };

/// A running entry or side. Dropping it kills the process with all of its connections.
pub struct Node {
    thread: Arbiter,
    commands: mpsc::UnboundedSender<Command>,
    schedstat: Option<PathBuf>,
}

enum Command {
    Leave { endpoint: name::Endpoint, leaving: bool },
    Stop(oneshot::Sender<()>),
}

impl Node {
    /// Stops the process gracefully and waits until it has ended.
    pub async fn stop(self) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).is_ok() {
            let _ = wait.await;
        }
    }

    /// Tells a side that an endpoint is leaving, or that it is back. Entries ignore this.
    pub fn leave(&self, endpoint: name::Endpoint, leaving: bool) {
        // Sending fails only if the process has stopped.
        let _ = self.commands.send(Command::Leave { endpoint, leaving });
    }

    /// Blocks the thread of the process, which simulates a paused virtual machine.
    pub fn pause(&self, duration: Duration) {
        self.thread.spawn_fn(move || std::thread::sleep(duration));
    }

    /// Returns the processor time that the process has used, or `None` if it cannot be read.
    pub fn processor_time(&self) -> Option<Duration> {
        let text = std::fs::read_to_string(self.schedstat.as_ref()?).ok()?;
        // The first field of `schedstat` is the processor time in nanoseconds.
        let ns = text.split_whitespace().next()?.parse().ok()?;
        Some(Duration::from_nanos(ns))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.thread.stop();
    }
}

/// Parameters of an entry.
pub(super) struct EntrySetup {
    pub(super) host: name::Host,
    pub(super) secret: Vec<u8>,
    pub(super) config: Config,
    pub(super) wire: TcpListener,
    pub(super) http: TcpListener,
    pub(super) kv: Option<kv::Settings>,
    pub(super) seed: u64,
}

/// Parameters of a side.
pub(super) struct SideSetup {
    pub(super) host: name::Host,
    pub(super) secret: Vec<u8>,
    pub(super) config: Config,
    pub(super) wire: TcpListener,
}

/// Starts an entry.
pub(super) fn entry(setup: EntrySetup) -> Node {
    run(move |mut commands| async move {
        let wire = net::TcpListener::from_std(setup.wire);
        let http = net::TcpListener::from_std(setup.http);
        let (Ok(wire), Ok(http)) = (wire, http) else { return };
        let mut builder = oriole_entry::Builder::new(oriole_entry::Setup {
            host: setup.host,
            secret: setup.secret,
            config: setup.config,
            wire,
            http,
            liveness: Liveness::default(),
            seed: setup.seed,
        });
        if let Some(kv) = setup.kv {
            builder = builder.kv(kv);
        }
        let handle = builder.start();
        while let Some(command) = commands.recv().await {
            if let Command::Stop(done) = command {
                handle.stop().await;
                // Sending fails only if the caller no longer waits.
                let _ = done.send(());
                return;
            }
        }
    })
}

/// Starts a side.
pub(super) fn side(setup: SideSetup) -> Node {
    run(move |mut commands| async move {
        let Ok(wire) = net::TcpListener::from_std(setup.wire) else { return };
        let handle = oriole_side::Builder::new(oriole_side::Setup {
            host: setup.host,
            secret: setup.secret,
            config: setup.config,
            wire,
            liveness: Liveness::default(),
        })
        .home(HOME_BOUNDS)
        .start();
        while let Some(command) = commands.recv().await {
            match command {
                Command::Leave { endpoint, leaving } => handle.set_leaving(endpoint, leaving).await,
                Command::Stop(done) => {
                    handle.stop().await;
                    let _ = done.send(());
                    return;
                }
            }
        }
    })
}

fn run<F>(process: impl FnOnce(mpsc::UnboundedReceiver<Command>) -> F + Send + 'static) -> Node
where
    F: Future<Output = ()> + 'static,
{
    let thread = Arbiter::new();
    let (commands, receiver) = mpsc::unbounded_channel();
    let (path_sender, path_receiver) = std::sync::mpsc::channel();
    thread.spawn_fn(move || {
        // The link has the form `PID/task/TID`, relative to `/proc`.
        let _ = path_sender.send(std::fs::read_link("/proc/thread-self").ok());
        actix_rt::spawn(process(receiver));
    });
    let thread_path = path_receiver.recv_timeout(Duration::from_secs(5)).ok().flatten();
    let schedstat =
        thread_path.map(|thread_path| PathBuf::from("/proc").join(thread_path).join("schedstat"));
    Node { thread, commands, schedstat }
}
