//! A small deployment: a store with a configuration, engines and entries.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::engine::{Engine, Handler, LAYERS};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// The key of the only tenant.
pub const KEY: &str = "key-one";

/// The name of the only tenant.
pub const TENANT: &str = "tenant-one";

/// The service of the model engines.
pub const MODEL: &str = "reader";

/// The service of the plain engines.
pub const DESK: &str = "desk";

/// A small deployment.
pub struct Deployment {
    /// Its store.
    pub store: Store,
    /// What was sent, run and answered.
    pub record: Record,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store and writes the configuration.
    pub fn start(folder: &Path, work: &Path) -> Self {
        let store = Store::start();
        store.put("op/config", &config(1));
        Self { store, record: Record::create(folder), folder: work.to_owned() }
    }

    /// Starts a model engine that holds all layers.
    pub fn model_engine(&self, id: &str, handler: Handler) -> Engine {
        Engine::start(&self.store, id, MODEL, true, any(), handler)
    }

    /// Starts an engine of the plain service.
    pub fn desk_engine(&self, id: &str, handler: Handler) -> Engine {
        Engine::start(&self.store, id, DESK, false, any(), handler)
    }

    /// Starts an entry and waits until it is ready.
    pub fn entry(&self, name: &str) -> Entry {
        Entry::start(&self.folder, name, self.store.address)
    }
}

/// An address with a port that the system picks.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a configuration: streams that may be resumed, and plain requests of both kinds.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"{HOST}","prefix":"{prefix}","kind":"{kind}","priority":1,"service":"{service}","max_attempts":2,"public":false,{more}}}"#
        )
    };
    let stream = r#""timeout_ms":20000,"target_latency_ms":500,"sticky":true,"resumable":true,"gap_aim_ms":250"#;
    let plain = r#""timeout_ms":3000,"target_latency_ms":300,"sticky":false,"resumable":false"#;
    let routes = [
        route("notes", "/notes/", "streaming", MODEL, stream),
        route("filing", "/filing/", "non_idempotent", DESK, plain),
        route("status", "/status/", "idempotent", DESK, plain),
    ]
    .join(",");
    let engine = format!(
        r#"{{"slots":192,"kv_capacity_tokens":100000,"kv_token_bytes":590000,"link_mbps":400000.0,"stride":4,"models":[{{"name":"m0","pace":1.0,"load_s":14.0,"warm_s":1.0}}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":775,"answer":220}},"layers":{LAYERS},"layer_mb":1750.0,"activation_bytes":29500,"pipe_mbps":16000.0,"kinds":[{{"name":"big","size_mb":220000.0,"pace":2.4,"read_x":3.2}}]}}"#
    );
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{MODEL}","health_path":"/health","max_connections":1048,"protocol":"h1","tls":false,"engine":{engine}}},{{"name":"{DESK}","health_path":"/health","max_connections":49,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}
