//! Simulation of followers, the key-value service and the connections between them, on one clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_core::name::Host;
use oriole_core::revision::follower::{Effect, Event, Reply, Role, Settings, Version};
use oriole_core::revision::{Change, Edit, Follower, Hash, Head, Proposal, Snapshot, propose};
use oriole_core::time::Instant;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a0";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Contents of the key-value service. A clone is a backup.
#[derive(Clone, Default)]
pub struct Store {
    pub version: i64,
    pub head: Option<Vec<u8>>,
    pub documents: BTreeMap<Hash, Vec<u8>>,
}

impl Store {
    pub fn head(&self) -> Option<Head> {
        self.head.as_ref().map(|bytes| Head::decode(bytes).unwrap())
    }

    /// Applies a change of one document, as an operator does.
    pub fn apply(&mut self, id: &str, name: &str, text: &str) -> Head {
        let head = self.head();
        let to = Hash::of(text.as_bytes());
        let from = head.as_ref().and_then(|h| h.documents.get(name).copied());
        let edits = BTreeMap::from([(name.to_owned(), Edit { from, to: Some(to) })]);
        let change = Change { id: id.to_owned(), edits };
        let Proposal::Replace(head) = propose(head.as_ref(), &change).unwrap() else {
            panic!("nothing to change")
        };
        self.documents.insert(to, text.as_bytes().to_vec());
        self.head = Some(head.encode().unwrap());
        self.version += 1;
        head
    }
}

/// One process.
pub struct Node {
    pub role: Role,
    /// `None` while the process is stopped.
    pub follower: Option<Follower>,
    /// Whether it can reach the key-value service.
    pub reaches_store: bool,
    /// Whether it can reach its peers.
    pub reaches_peers: bool,
    /// Heads in the order in which they were adopted since the last start.
    pub adopted: Vec<(Instant, Head)>,
    wake: Instant,
}

enum Delivery {
    Event(Host, Event),
    Call(Host, Effect),
}

/// All processes and the key-value service.
pub struct Net {
    pub now: Instant,
    pub store: Store,
    pub store_up: bool,
    pub nodes: BTreeMap<Host, Node>,
    /// When each call reached the key-value service, and the caller's role.
    pub calls: Vec<(Instant, Role)>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    connections: BTreeSet<(Host, Host)>,
    wakes: BTreeSet<(Instant, Host)>,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Net {
    pub fn new(entries: usize, sides: usize, seed: u64) -> Self {
        let mut store = Store::default();
        let list = |i: usize| {
            format!("[entry-{i}]\naddress = \"127.0.0.1:{}\"\nzone = \"hall-a\"\n", 7000 + i)
        };
        store.apply("services", "services", "[status-app]\n");
        store.apply("entries", "entries", &(0..entries).map(list).collect::<String>());
        let mut nodes = BTreeMap::new();
        for i in 0..entries {
            nodes.insert(Host::from(format!("entry-{i}").as_str()), Node::new(Role::Entry));
        }
        for i in 0..sides {
            nodes.insert(Host::from(format!("side-{i}").as_str()), Node::new(Role::Side));
        }
        Self {
            now: Instant::default(),
            store,
            store_up: true,
            nodes,
            calls: Vec::new(),
            queue: BTreeMap::new(),
            connections: BTreeSet::new(),
            wakes: BTreeSet::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns name and text of a workspace's contract. `number` makes the texts differ.
    pub fn contract(workspace: usize, number: usize) -> (String, String) {
        let name = format!("ws-{workspace}");
        let key = format!("{KEY}{:x}", workspace % 16);
        let text = format!(
            "workspace = \"{name}\"\nkeys = [\"{key}\"]\nservices = [\"status-app\"]\n[limits]\n\
             requests = \"{}/s\"\nrequest-burst = 5\ntokens = \"1/s\"\ntoken-burst = 1\n\
             concurrency = 1\n",
            number + 1
        );
        (format!("contract/{name}"), text)
    }

    pub fn hosts(&self) -> Vec<Host> {
        self.nodes.keys().cloned().collect()
    }

    pub fn start(&mut self, host: &Host) {
        let now = self.now;
        let random = self.rng.next_u64();
        let seeds = self.nodes.iter().filter(|(_, n)| n.role == Role::Entry);
        let seeds: BTreeSet<Host> = seeds.map(|(h, _)| h.clone()).filter(|h| h != host).collect();
        let node = self.nodes.get_mut(host).unwrap();
        let settings = Settings { host: host.clone(), role: node.role, seeds };
        node.follower = Some(Follower::new(settings, now, random));
        node.adopted.clear();
        self.wake_at(host, now);
    }

    pub fn start_all(&mut self) {
        for host in self.hosts() {
            self.start(&host);
        }
    }

    pub fn stop(&mut self, host: &Host) {
        let node = self.nodes.get_mut(host).unwrap();
        node.follower = None;
        self.wakes.remove(&(node.wake, host.clone()));
        self.connections.retain(|(from, to)| from != host && to != host);
        for peer in self.hosts() {
            self.enqueue(Duration::ZERO, Delivery::Event(peer, Event::Disconnected(host.clone())));
        }
    }

    /// Advances the simulated clock by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let due = self.queue.keys().next().map(|(at, _)| *at);
            let wake = self.wakes.first().cloned();
            let deliver = due.is_some_and(|at| wake.as_ref().is_none_or(|(w, _)| at <= *w));
            let at = if deliver { due } else { wake.as_ref().map(|(w, _)| *w) };
            let Some(at) = at.filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if deliver {
                self.deliver();
            } else if let Some((_, host)) = wake {
                self.handle(&host, Event::Tick);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self) {
        match self.queue.pop_first() {
            Some((_, Delivery::Event(host, event))) => self.handle(&host, event),
            Some((_, Delivery::Call(host, call))) => self.call(&host, call),
            None => {}
        }
    }

    fn enqueue(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), delivery);
    }

    fn handle(&mut self, host: &Host, event: Event) {
        let (now, random) = (self.now, self.rng.next_u64());
        let node = self.nodes.get_mut(host).unwrap();
        let Some(follower) = &mut node.follower else {
            return;
        };
        let effects = follower.handle(now, random, event);
        let wake = follower.wake().max(now + Duration::from_micros(1));
        self.wake_at(host, wake);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    fn wake_at(&mut self, host: &Host, at: Instant) {
        let node = self.nodes.get_mut(host).unwrap();
        self.wakes.remove(&(node.wake, host.clone()));
        node.wake = at;
        self.wakes.insert((at, host.clone()));
    }

    fn carry_out(&mut self, host: &Host, effect: Effect) {
        let delay = Duration::from_micros(self.rng.random_range(500..5000));
        match effect {
            Effect::Send(to, message) => {
                let open = |h: &Host| self.nodes.get(h).is_some_and(Node::is_connected);
                if open(host) && open(&to) {
                    self.connect(host, &to);
                    self.enqueue(delay, Delivery::Event(to, Event::Message(host.clone(), message)));
                }
            }
            Effect::Adopt(adopted) => {
                let head = (*adopted.head).clone();
                self.nodes.get_mut(host).unwrap().adopted.push((self.now, head));
            }
            call => self.enqueue(delay, Delivery::Call(host.clone(), call)),
        }
    }

    /// Opens a connection if there is none, and notifies both ends.
    fn connect(&mut self, from: &Host, to: &Host) {
        for (host, peer) in [(from, to), (to, from)] {
            if self.connections.insert((host.clone(), peer.clone())) {
                let up = Event::Connected(peer.clone());
                self.enqueue(Duration::ZERO, Delivery::Event(host.clone(), up));
            }
        }
    }

    fn call(&mut self, host: &Host, call: Effect) {
        if !self.store_up || !self.nodes[host].reaches_store {
            let failed = Event::Kv(Reply::Failed);
            return self.enqueue(CALL_TIMEOUT, Delivery::Event(host.clone(), failed));
        }
        self.calls.push((self.now, self.nodes[host].role));
        let store = &self.store;
        let reply = match (call, &store.head) {
            (Effect::Poll { known: Some(Version(v)) }, _) if v == store.version => Reply::Unchanged,
            (Effect::Poll { .. }, None) => Reply::Absent,
            (Effect::Poll { .. }, Some(head)) => Reply::Head(Version(store.version), head.clone()),
            (Effect::Read(hashes), _) => {
                let get = |h: Hash| store.documents.get(&h).map(|bytes| (h, bytes.clone()));
                Reply::Documents(hashes.into_iter().filter_map(get).collect())
            }
            _ => return,
        };
        let delay = Duration::from_millis(2);
        self.enqueue(delay, Delivery::Event(host.clone(), Event::Kv(reply)));
    }

    /// Returns the running processes whose active revision is not `head`.
    pub fn hosts_without(&self, head: &Head) -> Vec<Host> {
        let hash = head.hash();
        let current = |n: &Node| n.follower.as_ref().and_then(Follower::current).map(|c| c.hash);
        let lacks = |(_, n): &(&Host, &Node)| n.follower.is_some() && current(n) != Some(hash);
        self.nodes.iter().filter(lacks).map(|(host, _)| host.clone()).collect()
    }

    pub fn follower(&self, host: &str) -> &Follower {
        self.nodes[&Host::from(host)].follower.as_ref().unwrap()
    }

    /// Returns the highest number of calls that reached the key-value service within one second.
    pub fn busiest_second(&self) -> usize {
        let times: Vec<Instant> = self.calls.iter().map(|(at, _)| *at).collect();
        let end = |at: Instant| times.partition_point(|t| *t < at + Duration::from_secs(1));
        times.iter().enumerate().map(|(i, at)| end(*at) - i).max().unwrap_or(0)
    }
}

impl Node {
    fn new(role: Role) -> Self {
        Self {
            role,
            follower: None,
            reaches_store: true,
            reaches_peers: true,
            adopted: Vec::new(),
            wake: Instant::default(),
        }
    }

    fn is_connected(&self) -> bool {
        self.reaches_peers && self.follower.is_some()
    }
}

/// Creates revision 1 from documents by name, for tests that start with an active revision.
pub fn first(documents: &[(&str, &str)]) -> Snapshot {
    let documents = documents.iter().map(|(n, t)| ((*n).to_owned(), (*t).to_owned()));
    Snapshot::first(&documents.collect()).unwrap()
}
