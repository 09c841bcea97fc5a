//! Settings of an entry. The platform renders the settings file from `deploy/entry.toml`.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_core::forward::budget::Bound;
use serde::Deserialize;

/// Part of the memory that requests may hold.
const REQUEST_DIVISOR: usize = 3;

/// Part of the memory that responses may hold.
const RESPONSE_DIVISOR: usize = 5;

/// Part of the memory that unread bytes of callers may hold.
const UNREAD_DIVISOR: usize = 4;

/// Bounds of what responses may hold, whatever the memory. One of the largest size fits into the lower one.
const MIN_RESPONSE_BYTES: usize = 20 * 1024 * 1024;
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Descriptors that the platform keeps for files; sockets and pipes share the others.
const RESERVED_DESCRIPTORS: usize = 200;

/// Bounds of the receive buffer of a connection. With a smaller one, a large body from a distant caller would not
/// arrive in time.
const MIN_RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
const MAX_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// All settings of an entry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's metadata store.
    pub store: Store,
    /// Times that the operators set.
    pub times: Times,
    /// Limit on the retries of each service.
    pub retries: Retries,
    /// How requests are admitted while chains are full.
    #[serde(default)]
    pub admission: Admission,
    /// What the process may use of its machine.
    #[serde(default)]
    pub limits: Limits,
}

/// The settings whose changes take effect without a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Times that the operators set.
    pub times: Times,
    /// Limit on the retries of each service.
    pub retries: Retries,
    /// How requests are admitted while chains are full.
    pub admission: Admission,
}

impl Tunables {
    /// Copies the tunable part of `settings`.
    pub fn of(settings: &Settings) -> Self {
        Self {
            times: settings.times.clone(),
            retries: settings.retries.clone(),
            admission: settings.admission,
        }
    }
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness route.
    pub ready: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Address of the metrics route.
    pub metrics: SocketAddr,
}

/// The platform's metadata store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Shortest time to live of a lease that the store grants, in milliseconds.
    pub min_lease_ms: u64,
}

/// Times that the operators set, in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Times {
    /// Time after the start of draining within which an endpoint must stop getting requests.
    pub drain_ms: u64,
    /// Time between the signal to stop this process and its kill.
    pub grace_ms: u64,
    /// Interval of the heartbeats by which endpoints renew their registrations.
    pub heartbeat_ms: u64,
    /// Time after which engines abort requests that wait for a lost stage. Not used yet.
    pub stall_ms: u64,
    /// Time after the acknowledgement of a configuration within which it must be in force.
    #[serde(default = "default_apply_ms")]
    pub apply_ms: u64,
    /// Time without disturbance after which this process must keep all bounds again.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: u64,
}

fn default_apply_ms() -> u64 {
    2000
}

fn default_contact_ms() -> u64 {
    3000
}

/// What the process may use of its machine. What clients may make it hold follows from this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// Memory, in megabytes, with the bytes that have been received and not yet read.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Open descriptors.
    #[serde(default = "default_file_descriptors")]
    pub file_descriptors: usize,
}

impl Limits {
    /// Returns the memory that requests may hold while they are read and served, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.memory_bytes() / REQUEST_DIVISOR
    }

    /// Returns the memory that responses may hold until their callers have read them, in bytes.
    pub fn response_bytes(&self) -> usize {
        (self.memory_bytes() / RESPONSE_DIVISOR).clamp(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }

    /// Returns the number of callers' connections that may be open. Each may need another one to an endpoint,
    /// and the process needs some for itself.
    pub fn max_connections(&self) -> usize {
        (self.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) * 3 / 8).max(1)
    }

    /// Returns the size of a connection's receive buffer to request from the kernel, in bytes. All unread bytes
    /// together are bounded by it as long as the smallest buffer allows, with those of connections that have not been
    /// accepted.
    pub fn receive_buffer_bytes(&self, max_pending: usize) -> usize {
        let connections = self.max_connections() + max_pending;
        let share = self.memory_bytes() / UNREAD_DIVISOR / connections;
        // The kernel doubles the size that it is given.
        (share / 2).clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES)
    }

    fn memory_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: default_memory_mb(), file_descriptors: default_file_descriptors() }
    }
}

fn default_memory_mb() -> usize {
    256
}

fn default_file_descriptors() -> usize {
    4096
}

/// How requests are admitted while chains are full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Admission {
    /// Which requests go first.
    #[serde(default)]
    pub order: Order,
}

/// Which requests go first while chains are full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By priority, then by arrival. Each waits as long as its answer can begin in time.
    #[default]
    Arrival,
    /// By priority, and first tries before callers that were refused. Those that cannot begin in time are refused
    /// at once.
    Standing,
}

/// Limit on the retries of each service, summed over all entries, in a sliding window.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window regardless of requests.
    pub fixed: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Retries {
    /// Converts the settings to the bound that retry budgets use.
    pub fn bound(&self) -> Bound {
        Bound {
            ratio: self.ratio,
            fixed: self.fixed,
            window: Duration::from_millis(self.window_ms),
        }
    }
}
