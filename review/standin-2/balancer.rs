//! The platform's entry: forwards new connections to the entries of one zone that it holds ready.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;

/// Misses after which an entry gets no new connections.
const MISSES: u32 = 2;

/// One entry as the platform knows it.
struct Node {
    front: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

/// The entries of a zone. Clones share it.
#[derive(Clone)]
pub struct Balancer {
    nodes: Arc<Mutex<Vec<Node>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    /// Asks each entry once a second whether it is ready.
    pub fn start(entries: impl Iterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        let nodes = entries.map(|(front, ready)| Node { front, ready, misses: 0 }).collect();
        let balancer = Self { nodes: Arc::new(Mutex::new(nodes)), next: Arc::default() };
        let asking = balancer.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_secs(1));
                asking.ask();
            }
        });
        balancer
    }

    fn ask(&self) {
        let addresses: Vec<SocketAddr> =
            self.nodes.lock().unwrap().iter().map(|n| n.ready).collect();
        for (index, ready) in addresses.into_iter().enumerate() {
            let is_ready = http::status_of(ready, "/v1/ready") == 200;
            let mut nodes = self.nodes.lock().unwrap();
            nodes[index].misses = if is_ready { 0 } else { nodes[index].misses + 1 };
        }
    }

    /// Returns the entry for the next connection: one in rotation, or any if fewer than half are.
    pub fn pick(&self) -> SocketAddr {
        let nodes = self.nodes.lock().unwrap();
        let ready: Vec<&Node> = nodes.iter().filter(|n| n.misses < MISSES).collect();
        let used = if ready.len() * 2 < nodes.len() { nodes.iter().collect() } else { ready };
        used[self.next.fetch_add(1, Ordering::SeqCst) % used.len()].front
    }
}
