//! Fixture with a stand-in of the key-value service, two processes that follow its revisions, and
//! folders of documents.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use actix_http::{Method, Request, Response, StatusCode};
use oriole_adapter::clock::Clock;
use oriole_adapter::connections::Connections;
use oriole_adapter::kv::{self, Client, Documents};
use oriole_adapter::{documents, server};
use oriole_core::revision::Head;
use oriole_core::revision::follower::{Event, Follower, Role, Settings};
use oriole_core::status::{Readiness, Status};
use oriole_ctl::{Error, cmd};
use oriole_standin::fault::Switch;
use oriole_standin::kv::{Service, serve};
use tokio::net::TcpListener;

const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a0";
const PROCESSES: [(&str, Role); 2] = [("entry-1", Role::Entry), ("side-1", Role::Side)];

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

pub struct Fixture {
    pub service: Service,
    pub switch: Switch,
    root: PathBuf,
    processes: Vec<actix_rt::task::JoinHandle<()>>,
    posts: Rc<RefCell<Vec<String>>>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

impl Fixture {
    pub async fn new() -> Self {
        let name = format!(
            "oriolectl-{}-{}",
            std::process::id(),
            NEXT_FOLDER.fetch_add(1, Ordering::SeqCst)
        );
        let root = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&root).unwrap();
        let (listener, address) = listen().await;
        let (service, switch) = (Service::default(), Switch::new());
        actix_rt::spawn(serve(listener, service.clone(), switch.clone()));
        let posts = Rc::default();
        let mut settings = format!("[kv]\naddresses = [\"{address}\"]\n[http]\n");
        let mut processes = Vec::new();
        for (host, role) in PROCESSES {
            let (listener, http) = listen().await;
            settings += &format!("{host} = \"{http}\"\n");
            let follower = Rc::new(RefCell::new(follower(host, role)));
            let followed = follower.clone();
            processes.push(actix_rt::spawn(follow(follower, address)));
            processes.push(actix_rt::spawn(serve_status(
                listener,
                host,
                role,
                followed,
                Rc::clone(&posts),
            )));
        }
        std::fs::write(root.join("settings.toml"), settings).unwrap();
        Self { service, switch, root, processes, posts }
    }

    pub fn folder(&self, name: &str) -> String {
        self.root.join(name).to_str().unwrap().to_owned()
    }

    pub fn write_sample(&self, folder: &str) {
        documents::write(folder.as_ref(), &sample_documents()).unwrap();
    }

    pub fn edit(&self, folder: &str, name: &str, from: &str, to: &str) {
        let path = documents::path(folder.as_ref(), name);
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{name} holds no {from}");
        std::fs::write(path, text.replace(from, to)).unwrap();
    }

    /// Runs a command with `last` as its last argument unless that is empty; returns the exit code.
    pub async fn run(&self, arguments: &[&str], last: &str) -> u8 {
        match self.result(arguments, last).await {
            Ok(()) => 0,
            Err(e) => {
                println!("{e}");
                e.code()
            }
        }
    }

    /// Runs a command with `last` as its last argument unless that is empty.
    pub async fn result(&self, arguments: &[&str], last: &str) -> Result<(), Error> {
        let settings = self.folder("settings.toml");
        let mut all = vec!["--settings", &settings];
        all.extend(arguments);
        all.extend(Some(last).filter(|last| !last.is_empty()));
        let command = cmd::command().run_inner(all.as_slice()).unwrap();
        command.run().await
    }

    pub fn head(&self) -> Head {
        Head::decode(&self.service.value("/oriole/head").unwrap()).unwrap()
    }

    pub fn document(&self, name: &str) -> String {
        let hash = self.head().documents[name];
        String::from_utf8(self.service.value(&format!("/oriole/document/{hash}")).unwrap()).unwrap()
    }

    pub fn posts(&self) -> Vec<String> {
        self.posts.borrow().clone()
    }

    pub fn stop_processes(&self) {
        self.processes.iter().for_each(|task| task.abort());
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Documents of a valid configuration, by name.
fn sample_documents() -> BTreeMap<String, String> {
    let contract = |name: &str, digit: char| {
        format!(
            "workspace = \"{name}\"\nkeys = [\"{KEY}{digit}\"]\nservices = [\"status-app\"]\n\
             [limits]\nrequests = \"20/s\"\nrequest-burst = 5\ntokens = \"1/s\"\n\
             token-burst = 1\nconcurrency = 1\n"
        )
    };
    let endpoints = "# kept\n[status-1]\nhost = \"side-1\"\nside = \"127.0.0.1:7400\"\n\
                     address = \"127.0.0.1:8000\"\nzone = \"hall-a\"\n\
                     [status-1.kind.service]\nservice = \"status-app\"\nconcurrency = 4\n";
    let entries = "[entry-1]\naddress = \"127.0.0.1:7300\"\nzone = \"hall-a\"\n";
    let all = [
        ("services", "[status-app]\n".to_owned()),
        ("endpoints", endpoints.to_owned()),
        ("entries", entries.to_owned()),
        ("weights", "megabytes-per-second = 500\n".to_owned()),
        ("contract/gate-desk", contract("gate-desk", '1')),
        ("contract/kerb", contract("kerb", '2')),
    ];
    all.into_iter().map(|(name, text)| (name.to_owned(), text)).collect()
}

/// Creates a follower that polls the service in either role, since these processes have no peers.
fn follower(host: &str, _role: Role) -> Follower {
    let settings = Settings { host: host.into(), role: Role::Entry, seeds: [].into() };
    Follower::new(settings, Clock::start().now(), 1)
}

/// Runs a follower as a daemon does, and makes its calls to the service.
async fn follow(follower: Rc<RefCell<Follower>>, address: SocketAddr) {
    let documents = Documents::new(Client::new(kv::Settings::new(address)));
    let clock = Clock::start();
    let mut random = 1u64;
    loop {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let mut effects = follower.borrow_mut().handle(clock.now(), random, Event::Tick);
        while let Some(effect) = effects.pop() {
            if let Some(reply) = documents.carry_out(&effect).await {
                let event = Event::Kv(reply);
                effects.extend(follower.borrow_mut().handle(clock.now(), random, event));
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Serves the status of a process, and records the paths of POST requests.
async fn serve_status(
    listener: TcpListener,
    host: &'static str,
    role: Role,
    follower: Rc<RefCell<Follower>>,
    posts: Rc<RefCell<Vec<String>>>,
) {
    let handler = move |request: Request| {
        let (follower, posts) = (follower.clone(), posts.clone());
        async move {
            if request.method() == Method::POST {
                let path = request.uri().path_and_query().unwrap().to_string();
                posts.borrow_mut().push(path);
            }
            let status = Status::new(host.into(), role, Readiness::Ready, &follower.borrow());
            let body = serde_json::to_string(&status).unwrap();
            Response::build(StatusCode::OK).body(body).map_into_boxed_body()
        }
    };
    server::serve(listener, Connections::unbounded(), handler).await;
}
