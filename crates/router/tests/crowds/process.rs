//! Entries as processes of their own, beside a store and endpoints of this process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use oriole_platform_standin::caller;
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::Fleet;
use oriole_platform_standin::store::Store;
use oriole_standin::usage::Usage;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

/// Memory that the process may use, in megabytes: less than the smallest machine of the platform has, so that
/// a small crowd reaches it.
pub const MEMORY_MB: u64 = 64;

/// Descriptors that the process may use.
pub const FILE_DESCRIPTORS: usize = 600;

/// Descriptors of those that the platform keeps for files; sockets and pipes share the others.
pub const RESERVED_DESCRIPTORS: usize = 200;

/// `max_body_bytes` of the operator's configuration.
pub const MAX_BODY_BYTES: usize = 4_194_304;

/// Bytes of a large body of legal size.
pub const LARGE_BODY_BYTES: usize = 4_000_000;

/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The store, the endpoints and the process.
pub struct Site {
    pub store: Store,
    pub fleet: Fleet,
    pub process: Process,
}

/// An entry.
pub struct Process {
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Deref for Site {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Site {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Site {
    /// Starts all parts and waits until the process says that it is ready.
    pub async fn start(name: &str) -> Self {
        let store = Store::start().await.unwrap();
        store.put("op/config", &operator(1));
        let fleet = Fleet::new(&store);
        for n in 0..2 {
            fleet.add_plain(&format!("plain-{n}"), "zone-0").await.unwrap();
        }
        let process = Process::start(name, "entry-0", &store).await;
        Self { store, fleet, process }
    }

    /// Waits until the process has found a chain of the engines that have been added, and serves a stream.
    pub async fn wait_until_streams_are_served(&self) {
        let wait = async {
            let is_served = async |n: u32| {
                let id = format!("first-{n}");
                let answer = caller::call(self.callers, "/draft/a", &id, KEY, |_| {}).await;
                answer.is_ok_and(|answer| answer.status == 200)
            };
            let mut tries = 0;
            while !is_served(tries).await {
                tries += 1;
                sleep(Duration::from_millis(200)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.expect("no stream is served");
    }
}

/// Returns a version of the operator's configuration that allows large bodies.
pub fn operator(version: u64) -> Value {
    let mut operator = config(version, &[KEY]);
    operator["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    operator
}

impl Process {
    /// Starts the entry `host` with a settings file called `name`, and waits until it says that it is ready.
    pub async fn start(name: &str, host: &str, store: &Store) -> Self {
        let [callers, ready, peers, metrics] = free_addresses();
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        let text = format!(
            "name = \"{host}\"\nzone = \"zone-0\"\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\npeers = \"{peers}\"\n\
             metrics = \"{metrics}\"\n\
             [store]\naddress = \"{}\"\nmin-lease-ms = 1000\n\
             [times]\ndrain-ms = 1000\ngrace-ms = 8000\nheartbeat-ms = 100\nstall-ms = 2500\n\
             [retries]\nratio = 0.2\nfixed = 200.0\nwindow-ms = 10000\n\
             [limits]\nmemory-mb = {MEMORY_MB}\nfile-descriptors = {FILE_DESCRIPTORS}\n",
            store.address()
        );
        fs::write(&settings, text).unwrap();
        let child = spawn(&settings);
        let mut process = Self { callers, ready, settings, child };
        process.wait_until_ready().await;
        process
    }

    /// Waits until the process says that it is ready.
    pub async fn wait_until_ready(&mut self) {
        let address = self.ready;
        let wait = async {
            while !caller::is_ready(address).await.is_ok_and(|is_ready| is_ready) {
                assert!(self.is_running(), "the process has ended");
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.expect("the process did not get ready");
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns what the process uses now.
    pub fn usage(&self) -> Usage {
        Usage::read(self.child.id(), &[self.callers, self.ready])
    }

    /// Sends the process a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &command]).status().unwrap().success());
    }

    /// Waits until the process has ended by itself.
    pub async fn wait_until_gone(&mut self) {
        let wait = async {
            while self.is_running() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.expect("the process did not stop");
    }

    /// Starts the process again, which must have ended.
    pub async fn restart(&mut self) {
        assert!(!self.is_running());
        self.child = spawn(&self.settings);
        self.wait_until_ready().await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &PathBuf) -> Child {
    let log = fs::File::create(settings.with_extension("log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_oriole-router"))
        .arg("run")
        .env(oriole_platform::SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .unwrap()
}

/// Returns loopback addresses that nobody listens on.
fn free_addresses() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
