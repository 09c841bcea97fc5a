//! `oriolectl` with an entry and sides that run in the test's process: rollout of changes, and an
//! outage of the key-value service.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriole_adapter::{documents, kv};
use oriole_core::config::Config;
use oriole_core::name::Host;
use oriole_ctl::{cmd, fleet::Fleet, settings};
use oriole_standin::fault::Switch;
use oriole_standin::kv::{Service, serve};
use oriole_wire::conn::Liveness;
use tokio::net::TcpListener;

const SECRET: &[u8] = b"a secret of a test";
const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
/// Only ends a test that hangs; the time until a change is in force is tested with a simulated
/// clock.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn entry(wire: TcpListener, kv: kv::Settings) -> (oriole_entry::Handle, SocketAddr) {
    let (http, address) = listen().await;
    let setup = oriole_entry::Setup {
        host: "entry-1".into(),
        secret: SECRET.to_vec(),
        config: Config::default(),
        wire,
        http,
        liveness: Liveness::default(),
        seed: 1,
    };
    (oriole_entry::Builder::new(setup).kv(kv).start(), address)
}

async fn side(
    host: &str,
    wire: TcpListener,
    seeds: &BTreeMap<Host, SocketAddr>,
) -> (oriole_side::Handle, SocketAddr) {
    let (http, address) = listen().await;
    let setup = oriole_side::Setup {
        host: host.into(),
        secret: SECRET.to_vec(),
        config: Config::default(),
        wire,
        liveness: Liveness::default(),
    };
    (oriole_side::Builder::new(setup).http(http).seeds(seeds.clone()).start(), address)
}

fn sample_documents(
    entry: SocketAddr,
    sides: [SocketAddr; 2],
    rate: &str,
) -> BTreeMap<String, String> {
    let endpoint = |index: usize| {
        let side = sides[index];
        format!(
            "[app-{index}]\nhost = \"side-{index}\"\nside = \"{side}\"\n\
             address = \"127.0.0.1:{}\"\nzone = \"hall-a\"\n[app-{index}.kind.service]\n\
             service = \"status-app\"\nconcurrency = 4\n",
            index + 1
        )
    };
    let contract = format!(
        "workspace = \"gate-desk\"\nkeys = [\"{KEY}\"]\nservices = [\"status-app\"]\n[limits]\n\
         requests = \"{rate}\"\nrequest-burst = 5\ntokens = \"1/s\"\ntoken-burst = 1\n\
         concurrency = 1\n"
    );
    BTreeMap::from([
        ("services".into(), "[status-app]\n".into()),
        ("endpoints".into(), endpoint(0) + &endpoint(1)),
        ("entries".into(), format!("[entry-1]\naddress = \"{entry}\"\nzone = \"hall-a\"\n")),
        ("contract/gate-desk".into(), contract),
    ])
}

async fn run(arguments: &[&str]) -> u8 {
    let command = cmd::command().run_inner(arguments).unwrap();
    command.run().await.map_or_else(|e| e.code(), |()| 0)
}

/// Guards against a rollout that reaches only the processes that can call the key-value service,
/// and against a side that cannot start during an outage of the service.
#[actix_rt::test]
async fn a_change_is_in_force_on_entries_and_sides_and_survives_an_outage() {
    let root = std::env::temp_dir().join(format!("oriolectl-processes-{}", std::process::id()));
    let folder = root.join("config");
    let (listener, kv_address) = listen().await;
    let (service, switch) = (Service::default(), Switch::new());
    actix_rt::spawn(serve(listener, service, switch.clone()));
    let (entry_wire, entry_address) = listen().await;
    let (wire_0, address_0) = listen().await;
    let (wire_1, address_1) = listen().await;
    // The sides have no key-value service, so they get revisions only from the entry.
    let seeds = BTreeMap::from([("entry-1".into(), entry_address)]);
    let (_entry, entry_http) = entry(entry_wire, kv::Settings::new(kv_address)).await;
    let (_side_0, http_0) = side("side-0", wire_0, &seeds).await;
    let (side_1, http_1) = side("side-1", wire_1, &seeds).await;
    let mut settings = settings::Settings {
        kv: kv::Settings::new(kv_address),
        entry_http_port: 1,
        side_http_port: 1,
        http: [("entry-1", entry_http), ("side-0", http_0), ("side-1", http_1)]
            .map(|(host, address)| (host.into(), address))
            .into(),
    };
    let file = write_settings(&root, &settings);
    let apply = ["--settings", &file, "apply", "--wait-s", "60", folder.to_str().unwrap()];
    for rate in ["20/s", "30/s"] {
        documents::write(&folder, &sample_documents(entry_address, [address_0, address_1], rate))
            .unwrap();
        assert_eq!(run(&apply).await, 0, "not in force everywhere");
    }
    // During an outage no change is accepted, and a side that starts gets the configuration from
    // the entry.
    switch.fail_next(u32::MAX);
    documents::write(&folder, &sample_documents(entry_address, [address_0, address_1], "40/s"))
        .unwrap();
    assert_eq!(run(&apply).await, 4);
    drop(side_1);
    let (wire, _) = listen().await;
    let (_side_1, http_1) = side("side-1", wire, &seeds).await;
    settings.http.insert("side-1".into(), http_1);
    let rollout = Fleet::new(&settings, None).wait(2, HANG_TIMEOUT, |_| {}).await;
    assert_eq!((rollout.processes, rollout.behind), (3, vec![]));
    switch.fail_next(0);
    let file = write_settings(&root, &settings);
    let apply = ["--settings", &file, "apply", "--wait-s", "60", folder.to_str().unwrap()];
    assert_eq!(run(&apply).await, 0, "not in force everywhere after the outage");
    let _ = std::fs::remove_dir_all(root);
}

fn write_settings(root: &PathBuf, settings: &settings::Settings) -> String {
    std::fs::create_dir_all(root).unwrap();
    let file = root.join("settings.toml");
    std::fs::write(&file, toml::to_string(settings).unwrap()).unwrap();
    file.to_str().unwrap().to_owned()
}
