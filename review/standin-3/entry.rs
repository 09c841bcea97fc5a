//! Entries: processes of the project, started with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The program that the deploy file starts, below the root of the repository, and its argument.
const PROGRAM: &str = "target/release/oriole-router";
const ARGUMENT: &str = "run";

/// Longest time until an entry is ready.
const START_TIME: Duration = Duration::from_secs(6);

/// Times that the start of an entry is tried.
const MAX_STARTS: u32 = 3;

/// Ids of the processes that have been started and not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(vec![]);

/// Kills all processes that have been started and not been waited for.
pub fn kill_all() {
    let running = RUNNING.lock().expect("lock the processes").clone();
    for pid in running {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// A running entry, which is killed when this is dropped.
pub struct Entry {
    /// Where it takes requests of clients.
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Entry {
    /// Starts an entry with the settings of a small deployment, and waits until it is ready.
    ///
    /// Another process may take a port that was free, so that it starts again with other ports.
    pub fn start(folder: &Path, name: &str, store: SocketAddr) -> Self {
        let mut entry = Self::start_once(folder, name, store);
        for _ in 1..MAX_STARTS {
            if entry.wait_until_ready() {
                break;
            }
            entry = Self::start_once(folder, name, store);
        }
        entry
    }

    fn start_once(folder: &Path, name: &str, store: SocketAddr) -> Self {
        let [callers, ready, peers, metrics] = free_addresses();
        let text = format!(
            "name = \"{name}\"\nzone = \"zone-a\"\n\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\n\
             [store]\naddress = \"{store}\"\nmin-lease-ms = 1000\n\n\
             [times]\ndrain-ms = 2000\ngrace-ms = 8e3\nheartbeat-ms = 1200\nstall-ms = 2500\napply-ms = 2000\ncontact-ms = 3000\n\n\
             [retries]\nratio = 0.2\nfixed = 198\nwindow-ms = 10e3\n\n\
             [admission]\norder = \"standing\"\n\n\
             [limits]\nmemory-mb = 260\nfile-descriptors = 4100\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write the settings of an entry");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self { callers, ready, child }
    }

    /// Returns whether the process has ended.
    fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::exchange(self.ready, request, Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Waits until it is ready, for a bounded time. Returns whether it is.
    fn wait_until_ready(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < START_TIME && !self.has_ended() {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING.lock().expect("lock the processes").retain(|running| *running != pid);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("open a log");
    let errors = output.try_clone().expect("share a log");
    let mut command = Command::new(PROGRAM);
    command.arg(ARGUMENT).env_clear().env("ORIOLELANDING_NODE_FILE", settings);
    command.stdin(Stdio::null()).stdout(output).stderr(errors);
    let child = command.spawn().expect("start an entry");
    RUNNING.lock().expect("lock the processes").push(child.id());
    child
}

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("address of a free port"))
}
