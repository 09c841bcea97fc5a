//! Starts entries with the command of the deploy file, as processes of their own.

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::http;

/// Limits and name of an entry.
#[derive(Clone)]
pub struct Plan {
    pub name: String,
    pub zone: String,
    pub memory_mb: u64,
    pub file_descriptors: u64,
}

/// An entry that runs. It is killed when this is dropped.
pub struct Entry {
    child: Child,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness route.
    pub ready: SocketAddr,
}

/// Returns a loopback address that no other entry has, as each host of a deployment has its own.
///
/// Ports of connections that others open on the machine cannot be in the way there.
pub fn host_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (id, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    IpAddr::from([127, 64 + (id / 256 % 128) as u8, (id % 256) as u8, number as u8])
}

impl Entry {
    /// Starts an entry whose settings file is `folder/NAME.toml`.
    pub fn start(folder: &str, plan: &Plan, store: SocketAddr) -> std::io::Result<Self> {
        let ip = host_address();
        let [front, ready, peers, metrics] =
            [8227, 8220, 7340, 9464].map(|port| SocketAddr::new(ip, port));
        let Plan { name, zone, memory_mb, file_descriptors } = plan;
        let settings = format!(
            r#"name = "{name}"
zone = "{zone}"

[listen]
callers = "{front}"
ready = "{ready}"
peers = "{peers}"
metrics = "{metrics}"

[store]
address = "{store}"
min-lease-ms = 1000

[times]
drain-ms = 2000
grace-ms = 8000
heartbeat-ms = 1200
stall-ms = 2500
apply-ms = 2000
contact-ms = 3000

[retries]
ratio = 0.2
fixed = 198
window-ms = 10000

[admission]
order = "standing"

[limits]
memory-mb = {memory_mb}
file-descriptors = {file_descriptors}
"#
        );
        let path = format!("{folder}/{name}.toml");
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(format!("{folder}/{name}.log"))?;
        let child = Command::new("target/release/oriole-router")
            .arg("run")
            .env("ORIOLELANDING_NODE_FILE", path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Self { child, front, ready })
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        http::wait_for(limit, || http::status_of(self.ready, "/v1/ready") == 200)
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
