//! Crowds of clients that do not behave, at an entry that runs as a process of its own. It must live, stay
//! within its memory and its descriptors, and answer an ordinary call while they are there.

#![allow(clippy::unwrap_used)] // test helpers panic on failure, as the tests do

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use oriole_adapter::documents;
use oriole_core::config::Config;
use oriole_standin::crowd::{Client, Crowd, Framing, Upload};
use oriole_standin::fault::Switch;
use oriole_standin::service;
use oriole_standin::usage::{Usage, watch};
use oriole_wire::conn::Liveness;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// Memory that the process may use, in megabytes: less than an entry has, so that a small crowd reaches it.
const MEMORY_MB: u64 = 64;

/// Descriptors that the process may use.
const FILE_DESCRIPTORS: usize = 400;

/// Descriptors of those that are kept for files; sockets and pipes share the others.
const RESERVED_DESCRIPTORS: usize = 200;

/// Bytes of a large body of legal size.
const LARGE_BODY_BYTES: usize = 4_000_000;

/// Clients of a crowd with large bodies: twice what the memory of the process can hold.
const CLIENTS: usize = 32;

/// Clients of a crowd with many connections: more than the process has descriptors for.
const MANY_CLIENTS: usize = 700;

/// Time for which the process is watched after the crowd has sent everything.
const WATCH_TIME: Duration = Duration::from_secs(1);

/// Longest time that a test waits for a condition or an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Key of the workspace, and its hash in the contract.
const KEY: &str = "test";
const KEY_HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

const SECRET: &[u8] = b"a secret of sixteen bytes or more";

/// The process, with a side and a plain service in this one.
struct Site {
    callers: SocketAddr,
    operators: SocketAddr,
    child: Child,
    _side: oriole_side::Handle,
}

impl Site {
    /// Starts all parts and waits until a call is answered.
    async fn start(name: &str) -> Self {
        let [wire, callers, operators] = free_addresses();
        let (service, service_address) = listen().await;
        let (side, side_address) = listen().await;
        let serving = service::serve(service, Duration::ZERO, Switch::new(), <_>::default());
        actix_rt::spawn(serving);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let texts = config(wire, side_address, service_address);
        documents::write(&folder.join("config"), &texts).unwrap();
        let setup = oriole_side::Setup {
            host: "side-1".into(),
            secret: SECRET.to_vec(),
            config: Config::load(&texts).unwrap(),
            wire: side,
            liveness: Liveness::default(),
        };
        let side = oriole_side::Builder::new(setup).start();
        let child = spawn(&folder, [wire, callers, operators]);
        let mut site = Self { callers, operators, child, _side: side };
        let wait = async {
            // The process does not listen at first.
            while TcpStream::connect(callers).await.is_err() || !site.serves().await {
                assert!(site.child.try_wait().unwrap().is_none(), "the process has ended");
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.expect("the process does not answer");
        site
    }

    /// Returns whether an ordinary call is answered.
    async fn serves(&self) -> bool {
        let upload = Upload { head: head(), framing: Framing::Length(5), piece: 5 };
        let mut client = Client::open(self.callers, upload).await;
        client.write(b"hello").await;
        let head = timeout(WAIT_TIMEOUT, client.read_head()).await.expect("no answer in time");
        eprintln!("an ordinary call: {:?}", head.lines().next());
        head.starts_with("HTTP/1.1 200")
    }

    fn usage(&self) -> Usage {
        Usage::read(self.child.id(), &[self.callers, self.operators])
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(folder: &Path, [wire, callers, operators]: [SocketAddr; 3]) -> Child {
    fs::write(folder.join("secret"), SECRET).unwrap();
    let settings = format!(
        "host = \"entry-1\"\nlisten = \"{wire}\"\nhttp = \"{callers}\"\noperators = \"{operators}\"\n\
         secret-file = \"{folder}/secret\"\n[configuration]\nfolder = \"{folder}/config\"\n\
         [limits]\nmemory-mb = {MEMORY_MB}\nfile-descriptors = {FILE_DESCRIPTORS}\n",
        folder = folder.display()
    );
    let path = folder.join("settings.toml");
    fs::write(&path, settings).unwrap();
    let log = fs::File::create(folder.join("log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_oriole-entry"))
        .arg(path)
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .unwrap()
}

/// Returns loopback addresses that nobody listens on.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn config(entry: SocketAddr, side: SocketAddr, app: SocketAddr) -> BTreeMap<String, String> {
    let endpoint = format!(
        "[app]\nhost = \"side-1\"\nside = \"{side}\"\naddress = \"{app}\"\nzone = \"hall-a\"\n\
         [app.kind.service]\nservice = \"status-app\"\nconcurrency = 64\n"
    );
    let contract = format!(
        "workspace = \"gate-desk\"\nkeys = [\"{KEY_HASH}\"]\nservices = [\"status-app\"]\n[limits]\n\
         requests = \"1000/s\"\nrequest-burst = 1000\ntokens = \"1/s\"\ntoken-burst = 1\n\
         concurrency = 1000\n"
    );
    BTreeMap::from([
        ("services".into(), "[status-app]\n".into()),
        ("endpoints".into(), endpoint),
        ("entries".into(), format!("[entry-1]\naddress = \"{entry}\"\nzone = \"hall-a\"\n")),
        ("contract/gate-desk".into(), contract),
    ])
}

/// Returns the head of a call without the headers of its body.
fn head() -> String {
    format!(
        "POST /v1/services/status-app/x HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n"
    )
}

/// Lets a crowd do its work, and checks the bounds and an ordinary call while it is there.
async fn play<C>(name: &str, work: impl AsyncFnOnce(&Site) -> C) {
    let _turn = TURN.lock().await;
    let mut site = Site::start(name).await;
    let most = Cell::new(Usage::default());
    let watched = watch(|| site.usage(), &most, async {
        let crowd = work(&site).await;
        sleep(WATCH_TIME).await;
        let serves = site.serves().await;
        (serves, crowd)
    });
    let (serves, _crowd) = watched.await;
    let most = most.get();
    eprintln!("most used: {most:?}");
    assert!(site.child.try_wait().unwrap().is_none(), "the process has ended");
    let memory = MEMORY_MB * 1024 * 1024;
    assert!(most.memory <= memory, "{} bytes of memory with unread bytes", most.memory);
    assert!(most.peak_resident <= memory, "{} bytes of resident memory", most.peak_resident);
    let sockets = FILE_DESCRIPTORS - RESERVED_DESCRIPTORS;
    assert!(most.sockets <= sockets, "{} sockets and pipes", most.sockets);
    assert!(most.descriptors <= FILE_DESCRIPTORS, "{} descriptors", most.descriptors);
    assert!(serves, "an ordinary call is not served");
}

/// Guards against memory that grows with each large body.
#[actix_rt::test]
async fn large_bodies_at_an_entry() {
    play("large", async |site| {
        let framing = Framing::Length(LARGE_BODY_BYTES);
        let upload = Upload { head: head(), framing, piece: 64 * 1024 };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(LARGE_BODY_BYTES - 1).await;
        crowd.finish_some(LARGE_BODY_BYTES).await;
        crowd
    })
    .await;
}

/// Guards against memory that grows with each chunked body, whose length nobody states.
#[actix_rt::test]
async fn chunked_bodies_at_an_entry() {
    play("chunked", async |site| {
        let upload = Upload { head: head(), framing: Framing::Chunks(1000), piece: 64 * 1024 };
        let mut crowd = Crowd::open(site.callers, CLIENTS, upload).await;
        crowd.send_up_to(LARGE_BODY_BYTES - 1).await;
        crowd
    })
    .await;
}

/// Guards against using up descriptors and memory for many connections whose bodies are not completed.
#[actix_rt::test]
async fn many_connections_at_an_entry() {
    play("many", async |site| {
        let upload = Upload { head: head(), framing: Framing::Length(100_000), piece: 99_999 };
        let mut crowd = Crowd::open(site.callers, MANY_CLIENTS, upload).await;
        crowd.send_up_to(99_999).await;
        crowd
    })
    .await;
}
