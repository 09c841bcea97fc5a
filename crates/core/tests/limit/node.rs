//! One entry of the simulated [`World`](super::world::World), and the events that reach it.

use oriole_core::limit::{Limiter, Permit, Settings};
use oriole_core::name::{Host, Workspace};
use oriole_core::share::Message;
use oriole_core::time::Instant;

pub const US_PER_MS: u64 = 1000;
const CLOCK_START_US: u64 = 50_000_000;

/// An entry: its limiter, its clock and the state of its process. Times are simulated, in
/// microseconds.
pub struct Node {
    pub host: Host,
    /// Random number of the present process.
    pub boot: u32,
    /// The limiter, or `None` if the process is not running.
    pub limiter: Option<Limiter>,
    pub paused: bool,
    pub paused_at: u64,
    drift_ppm: i64,
    pub next_tick: u64,
    /// Revision of the contracts that the limiter applies.
    pub revision: usize,
    /// Events that arrived while the process was paused.
    pub deferred: Vec<Event>,
}

/// An event that reaches a node at a simulated time.
pub enum Event {
    /// A message from the node with this index arrives.
    Deliver(usize, Message),
    /// The roster with this index arrives.
    ApplyRoster(usize),
    /// The contracts of this revision arrive.
    ApplyContracts(usize),
    /// A request ends.
    Settle(Running),
}

/// A request in progress.
pub struct Running {
    pub node: usize,
    /// The process that admitted the request.
    pub boot: u32,
    pub permit: Option<Permit>,
    pub workspace: Workspace,
    pub used: u32,
}

impl Node {
    /// Creates a node without a process. Its clock drifts by `drift_ppm` millionths.
    pub fn new(host: Host, drift_ppm: i64) -> Self {
        Self {
            host,
            boot: 0,
            limiter: None,
            paused: false,
            paused_at: 0,
            drift_ppm,
            next_tick: 0,
            revision: 0,
            deferred: Vec::new(),
        }
    }

    /// Returns whether the node is paused for so long that it detects the pause before it admits
    /// anything.
    pub fn is_stalled(&self, now: u64, settings: &Settings) -> bool {
        let stall = u64::from(settings.stall_ms + 50) * US_PER_MS;
        self.paused && self.paused_at + stall < now
    }

    /// Returns what the node's clock shows at a simulated time.
    pub fn clock(&self, now: u64) -> Instant {
        let drift = now as i64 * self.drift_ppm / 1_000_000;
        Instant::from_us(CLOCK_START_US + (now as i64 + drift) as u64)
    }
}
