//! One process of the system on a thread of its own.

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

/// Tolerances of the homes of idempotency keys: all processes share one clock, and each has ended
/// before its successor starts.
const HOME_BOUNDS: home::Bounds =
    home::Bounds { skew_ms: 50, takeover_ms: 500, keys: 65_536, answer_bytes: 16 * 1024 * 1024 };

/// A running process. Dropping it kills the process with all its connections.
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
    /// Stops the process gracefully; returns when it has finished its work.
    pub async fn stop(self) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).is_ok() {
            let _ = wait.await;
        }
    }

    /// Tells a side that an endpoint is leaving, or is back.
    pub fn leave(&self, endpoint: name::Endpoint, leaving: bool) {
        // A process that has stopped needs no telling.
        let _ = self.commands.send(Command::Leave { endpoint, leaving });
    }

    /// Pauses the whole process, as a stopped virtual machine would be.
    pub fn pause(&self, duration: Duration) {
        self.thread.spawn_fn(move || std::thread::sleep(duration));
    }

    /// Processor time that the process has used.
    pub fn processor_time(&self) -> Option<Duration> {
        let text = std::fs::read_to_string(self.schedstat.as_ref()?).ok()?;
        // The first number is the time on a processor, in nanoseconds.
        let ns = text.split_whitespace().next()?.parse().ok()?;
        Some(Duration::from_nanos(ns))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.thread.stop();
    }
}

/// What an entry is started with.
pub(super) struct EntrySetup {
    pub(super) host: name::Host,
    pub(super) secret: Vec<u8>,
    pub(super) config: Config,
    pub(super) wire: TcpListener,
    pub(super) http: TcpListener,
    pub(super) kv: Option<kv::Settings>,
    pub(super) seed: u64,
}

/// What a side is started with.
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
                // Whoever asked may have given up waiting.
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
                Command::Leave { endpoint, leaving } => handle.leave(endpoint, leaving).await,
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
        // The link names the thread by process and thread number.
        let _ = path_sender.send(std::fs::read_link("/proc/thread-self").ok());
        actix_rt::spawn(process(receiver));
    });
    let thread_path = path_receiver.recv_timeout(Duration::from_secs(5)).ok().flatten();
    let schedstat =
        thread_path.map(|thread_path| PathBuf::from("/proc").join(thread_path).join("schedstat"));
    Node { thread, commands, schedstat }
}
