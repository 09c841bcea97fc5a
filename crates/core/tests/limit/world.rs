//! A simulation of several entries' limiters over a network that loses, delays, duplicates and
//! reorders messages.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use oriole_core::contract::Contract;
use oriole_core::limit::{Effect, LOAN_WAIT_MS, Limiter, Permit, Settings, TICK_MS};
use oriole_core::name::{Host, Workspace};
use oriole_core::roster::Roster;
use oriole_core::share::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::node::{Event, Node, Running, US_PER_MS};

/// Fault rates and delays of the simulated network.
#[derive(Clone, Debug)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub delay_us: Range<u64>,
}

/// Returns a network without faults.
pub fn reliable() -> Network {
    Network { loss: 0.0, duplication: 0.0, delay_us: 200..800 }
}

/// An admitted request, as the checks count it.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    pub at: u64,
    pub estimate: u32,
    pub used: u32,
}

/// The estimated and actual cost of a request, and its run time.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub estimate: u32,
    pub used: u32,
    pub run_us: u64,
}

/// Totals over a simulation, and the most concurrent requests by workspace.
#[derive(Debug, Default)]
pub struct Figures {
    pub offered: u64,
    pub messages: u64,
    pub bytes: u64,
    pub peak: BTreeMap<Workspace, usize>,
}

pub struct World {
    /// Simulated time, in microseconds.
    pub now: u64,
    pub network: Network,
    /// Time within which every process receives a new roster.
    pub propagation_ms: u64,
    pub figures: Figures,
    /// Admissions by workspace, in order of time.
    pub log: BTreeMap<Workspace, Vec<Admission>>,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    /// Contracts by revision, with the time of each commit.
    pub contracts: Vec<(u64, BTreeMap<Workspace, Contract>)>,
    pub nodes: Vec<Node>,
    /// Rosters, with the time of each commit.
    pub rosters: Vec<(u64, Roster)>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    /// Requests in progress by workspace: end, serial number and node.
    pub running: BTreeMap<Workspace, BTreeSet<(u64, u64, usize)>>,
    /// Requests that wait for a loan: end of the wait, node, workspace and cost.
    waiting: Vec<(u64, usize, Workspace, Work)>,
    serial: u64,
}

pub fn host(node: usize) -> Host {
    Host::from(format!("entry-{node:02}").as_str())
}

impl World {
    pub fn new(seed: u64, nodes: usize, settings: Settings, contracts: Vec<Contract>) -> Self {
        let mut world = Self {
            now: 0,
            network: reliable(),
            propagation_ms: settings.propagation_ms.into(),
            figures: Figures::default(),
            log: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            contracts: vec![(0, contracts.into_iter().map(|c| (c.workspace.clone(), c)).collect())],
            nodes: Vec::new(),
            rosters: vec![(0, Roster::first((0..nodes).map(|n| (host(n), 1)).collect()))],
            events: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: Vec::new(),
            serial: 0,
        };
        for node in 0..nodes {
            world.add(node);
        }
        world
    }

    fn add(&mut self, node: usize) {
        let max_ppm = i64::from(self.settings.drift_ppm);
        let drift_ppm = self.rng.random_range(-max_ppm..=max_ppm);
        self.nodes.push(Node::new(host(node), drift_ppm));
        self.start(node);
    }

    /// Starts a process on a host that runs none, with a random roster that may still be in force.
    pub fn start(&mut self, node: usize) {
        if node == self.nodes.len() {
            return self.add(node);
        }
        if self.nodes[node].limiter.is_some() {
            return;
        }
        let boot = self.rng.random();
        let now = self.nodes[node].clock(self.now);
        let mut limiter = Limiter::new(now, host(node), boot, self.settings.clone());
        let mut out = Vec::new();
        let revision = self.contracts.len() - 1;
        limiter.on_contracts(now, &self.contracts[revision].1, &mut out);
        self.nodes[node].revision = revision;
        let oldest = self.in_force();
        let first = self.rng.random_range(oldest..self.rosters.len());
        limiter.on_roster(now, self.rosters[first].1.clone(), &mut out);
        for later in first + 1..self.rosters.len() {
            self.schedule_roster(node, later);
        }
        let entry = &mut self.nodes[node];
        (entry.limiter, entry.boot, entry.paused) = (Some(limiter), boot, false);
        self.send(node, out);
    }

    /// Returns the index of the oldest roster that a reachable process may use.
    pub fn in_force(&self) -> usize {
        let propagation = u64::from(self.settings.propagation_ms) * US_PER_MS;
        self.rosters.iter().rposition(|(at, _)| at + propagation <= self.now).unwrap_or(0)
    }

    pub fn kill(&mut self, node: usize) {
        let entry = &mut self.nodes[node];
        entry.limiter = None;
        entry.deferred.clear();
        for running in self.running.values_mut() {
            running.retain(|(_, _, n)| *n != node);
        }
    }

    pub fn pause(&mut self, node: usize) {
        let entry = &mut self.nodes[node];
        if entry.limiter.is_some() && !entry.paused {
            (entry.paused, entry.paused_at) = (true, self.now);
        }
    }

    /// Resumes a paused process. Events that were held back for it arrive within 500 ms.
    pub fn resume(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].paused) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[node].deferred) {
            let delay = self.rng.random_range(0..500 * US_PER_MS);
            self.schedule(self.now + delay, node, event);
        }
    }

    /// Commits a roster, which the processes receive one after another.
    pub fn commit_roster(&mut self, entries: BTreeSet<usize>) {
        let entries = entries.into_iter().map(|n| (host(n), 1)).collect();
        let roster = self.rosters[self.rosters.len() - 1].1.next(entries);
        self.rosters.push((self.now, roster));
        for node in 0..self.nodes.len() {
            self.schedule_roster(node, self.rosters.len() - 1);
        }
    }

    /// Changes a contract unless the last change may still be spreading. The entries apply it one
    /// after another.
    pub fn commit_contract(&mut self, contract: Contract) {
        let propagation = u64::from(self.settings.propagation_ms) * US_PER_MS;
        let (last, contracts) = &self.contracts[self.contracts.len() - 1];
        if last + 2 * propagation > self.now {
            return;
        }
        let mut contracts = contracts.clone();
        contracts.insert(contract.workspace.clone(), contract);
        self.contracts.push((self.now, contracts));
        for node in 0..self.nodes.len() {
            let at = self.now + self.rng.random_range(0..propagation);
            self.schedule(at, node, Event::ApplyContracts(self.contracts.len() - 1));
        }
    }

    fn schedule_roster(&mut self, node: usize, roster: usize) {
        let last = self.rosters[roster].0 + self.propagation_ms * US_PER_MS;
        let at = self.rng.random_range(self.now..last.max(self.now + 1));
        self.schedule(at, node, Event::ApplyRoster(roster));
    }

    fn schedule(&mut self, at: u64, node: usize, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), (node, event));
    }

    fn send(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.transmit(from, &to, &message),
                Effect::Retry(workspace) => self.retry_waiting(from, &workspace),
            }
        }
    }

    fn transmit(&mut self, from: usize, to: &Host, message: &Message) {
        let mut bytes = Vec::new();
        assert!(ciborium::into_writer(message, &mut bytes).is_ok());
        self.figures.messages += 1;
        self.figures.bytes += bytes.len() as u64;
        let Some(to) = self.nodes.iter().position(|n| n.host == *to) else {
            return;
        };
        let copies = if self.rng.random_bool(self.network.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.rng.random_bool(self.network.loss) {
                let delay = self.rng.random_range(self.network.delay_us.clone());
                self.schedule(self.now + delay, to, Event::Deliver(from, message.clone()));
            }
        }
    }

    fn retry_waiting(&mut self, node: usize, workspace: &Workspace) {
        let waiting = std::mem::take(&mut self.waiting);
        for (until, n, w, work) in waiting {
            if n == node && w == *workspace && until >= self.now {
                self.offer(node, &w, work, Some(until));
            } else if until >= self.now {
                self.waiting.push((until, n, w, work));
            }
        }
    }

    /// Offers a new request to a node.
    pub fn arrive(&mut self, node: usize, workspace: &Workspace, work: Work) {
        self.figures.offered += 1;
        self.offer(node, workspace, work, None);
    }

    fn offer(&mut self, node: usize, workspace: &Workspace, work: Work, waiting: Option<u64>) {
        let entry = &mut self.nodes[node];
        let now = entry.clock(self.now);
        let Some(limiter) = entry.limiter.as_mut().filter(|_| !entry.paused) else {
            return;
        };
        let mut out = Vec::new();
        let answer = match waiting {
            None => limiter.admit(now, workspace, work.estimate, &mut out),
            Some(_) => limiter.retry(now, workspace, work.estimate, &mut out),
        };
        match answer {
            Ok(permit) => self.run(node, workspace, work, permit),
            Err(denial) if denial.loan_pending => {
                let until = waiting.unwrap_or(self.now + LOAN_WAIT_MS * US_PER_MS);
                self.waiting.push((until, node, workspace.clone(), work));
            }
            Err(_) => {}
        }
        self.send(node, out);
    }

    fn run(&mut self, node: usize, workspace: &Workspace, work: Work, permit: Permit) {
        let outdated = permit.roster() < self.rosters[self.in_force()].1.number;
        let boot = self.nodes[node].boot;
        let used = if outdated { 0 } else { work.used };
        let at = if outdated { self.now } else { self.now + work.run_us };
        if !outdated {
            let admission = Admission { at: self.now, estimate: work.estimate, used: work.used };
            self.log.entry(workspace.clone()).or_default().push(admission);
            let running = self.running.entry(workspace.clone()).or_default();
            running.insert((at, self.serial + 1, node));
            let peak = self.figures.peak.entry(workspace.clone()).or_default();
            *peak = running.len().max(*peak);
        }
        let workspace = workspace.clone();
        let run = Running { node, boot, permit: Some(permit), workspace, used };
        self.schedule(at, node, Event::Settle(run));
    }

    /// Runs the simulation up to `until`, in microseconds.
    pub fn advance(&mut self, until: u64) {
        loop {
            let ticks = self.nodes.iter().filter(|n| n.limiter.is_some() && !n.paused);
            let tick = ticks.map(|n| n.next_tick.max(self.now)).min();
            let event = self.events.keys().next().map(|(at, _)| *at);
            let Some(next) = tick.into_iter().chain(event).min().filter(|n| *n <= until) else {
                break;
            };
            self.now = next.max(self.now);
            match event.filter(|at| *at <= next) {
                Some(_) => self.handle_event(),
                None => self.tick(),
            }
        }
        self.now = until;
    }

    fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            let entry = &mut self.nodes[node];
            let now = entry.clock(self.now);
            let Some(limiter) = entry.limiter.as_mut().filter(|_| !entry.paused) else {
                continue;
            };
            if entry.next_tick <= self.now {
                entry.next_tick = self.now + TICK_MS * US_PER_MS;
                let mut out = Vec::new();
                limiter.tick(now, &mut out);
                self.send(node, out);
            }
        }
    }

    fn handle_event(&mut self) {
        let Some(((at, serial), (node, event))) = self.events.pop_first() else {
            return;
        };
        if let Event::Settle(run) = &event
            && let Some(running) = self.running.get_mut(&run.workspace)
        {
            running.remove(&(at, serial, run.node));
        }
        let entry = &mut self.nodes[node];
        if entry.paused {
            entry.deferred.push(event);
            return;
        }
        let now = entry.clock(self.now);
        let Some(limiter) = entry.limiter.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        match event {
            Event::Deliver(from, message) => {
                limiter.on_message(now, &host(from), message, &mut out)
            }
            Event::ApplyRoster(roster) => {
                limiter.on_roster(now, self.rosters[roster].1.clone(), &mut out);
            }
            Event::ApplyContracts(revision) if revision > entry.revision => {
                entry.revision = revision;
                limiter.on_contracts(now, &self.contracts[revision].1, &mut out);
            }
            Event::ApplyContracts(_) => {}
            Event::Settle(mut run) if run.boot == entry.boot => {
                if let Some(permit) = run.permit.take() {
                    limiter.settle(now, permit, run.used, &mut out);
                }
            }
            Event::Settle(_) => {}
        }
        self.send(node, out);
    }
}
