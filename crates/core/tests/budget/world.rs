//! Entries that send as many retries as they may, while they are disturbed. Time passes in ticks.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::fleet::presence::Presence;
use oriole_core::forward::budget::{Bound, Budget, Pass, Standing};
use oriole_core::name;
use oriole_core::time::Instant;

/// Length of a tick.
const TICK: Duration = Duration::from_millis(100);

/// Ticks in the window of the bound.
pub const WINDOW: usize = 100;

/// Time that they take.
const WINDOW_TIME: Duration = Duration::from_secs(10);

/// Ticks without retries after which no entry is new.
pub const WARM_UP: usize = 160;

/// Ticks after which a registration lapses that is not renewed.
const LAPSE: usize = 50;

/// Ticks between two renewals of a registration.
const RENEWAL: usize = 16;

/// Ticks after its start in which an entry has not read who is registered, and gets no requests.
const STARTING: usize = 2;

/// Ticks between two gossips of an entry.
const GOSSIP: usize = 3;

/// Ends of one host in a window for which the bound holds.
const MAX_ENDS: usize = 2;

/// What disturbs entries.
#[derive(Clone, Debug)]
pub enum Disturbance {
    Kill {
        host: usize,
        ticks: usize,
    },
    KillAll {
        ticks: usize,
    },
    Remove {
        host: usize,
    },
    CutFromStore {
        host: usize,
        ticks: usize,
    },
    StoreDown {
        ticks: usize,
    },
    /// The hosts from this one on and those before it do not hear each other.
    Split {
        from: usize,
        ticks: usize,
    },
    /// One half of the hosts is cut from the other one and from the store.
    SplitWithoutStore {
        ticks: usize,
    },
}

/// The users' bound with `fixed` retries beside a fifth of the requests.
pub fn bound(fixed: f64) -> Bound {
    Bound { ratio: 0.2, fixed, window: WINDOW_TIME }
}

fn host_name(number: usize) -> name::Host {
    name::Host::from(format!("host-{number}").as_str())
}

fn at(tick: usize) -> Instant {
    Instant::default() + TICK * tick as u32
}

/// A process of an entry, with what it knows of the others.
struct Process {
    started: usize,
    budget: Budget,
    listed: BTreeSet<name::Host>,
    presence: Presence,
    /// Retries that have been taken, and the ticks at which they are sent.
    waiting: Vec<(Pass, usize)>,
}

impl Process {
    fn new(bound: Bound, started: usize) -> Self {
        Self {
            started,
            budget: Budget::new(bound),
            listed: BTreeSet::new(),
            presence: Presence::default(),
            waiting: vec![],
        }
    }

    fn list(&mut self, hosts: BTreeSet<name::Host>, now: Instant) {
        for gone in std::mem::replace(&mut self.listed, hosts) {
            self.presence.record(gone, WINDOW_TIME, now);
        }
    }

    fn hear(&mut self, host: name::Host, now: Instant) {
        self.presence.record(host, WINDOW_TIME, now);
    }

    fn take(&mut self, now: Instant) -> Option<Pass> {
        let registered = self.listed.iter();
        let entries = self.presence.sharing(registered, WINDOW_TIME, now);
        let standing = Standing { age: now.since(at(self.started)), entries };
        self.budget.try_take(standing, now)
    }
}

#[derive(Default)]
struct Host {
    process: Option<Process>,
    /// When it starts, if it is down.
    starts_at: usize,
    renewed_at: Option<usize>,
    ends: Vec<usize>,
    cut_from_store_until: usize,
}

/// All entries, the store, and what has reached endpoints.
pub struct World {
    tick: usize,
    bound: Bound,
    hosts: Vec<Host>,
    store_down_until: usize,
    /// First host of the second part, and until when the parts are cut from each other.
    split: (usize, usize),
    requests: Vec<usize>,
    arrivals: Vec<usize>,
}

impl World {
    pub fn new(hosts: usize, bound: Bound) -> Self {
        let hosts = (0..hosts).map(|_| Host::default()).collect();
        let (requests, arrivals) = (vec![], vec![]);
        Self { tick: 0, bound, hosts, store_down_until: 0, split: (0, 0), requests, arrivals }
    }

    /// Lets `ticks` pass, the first one with `disturbances`. Each entry gets `rate` requests a tick and takes
    /// each retry that it may, after the warm-up. Retries are sent after `delays`, in turn.
    pub fn run(
        &mut self,
        ticks: usize,
        disturbances: &[Disturbance],
        rate: usize,
        delays: &[usize],
    ) {
        for disturbance in disturbances {
            self.disturb(disturbance);
        }
        for _ in 0..ticks {
            self.start_and_register();
            self.tell();
            self.requests.push(0);
            self.arrivals.push(0);
            for number in 0..self.hosts.len() {
                self.serve(number, rate, delays);
            }
            self.tick += 1;
        }
    }

    fn disturb(&mut self, disturbance: &Disturbance) {
        let tick = self.tick;
        match *disturbance {
            Disturbance::Kill { host, ticks } => self.kill(host, ticks),
            Disturbance::KillAll { ticks } => {
                (0..self.hosts.len()).for_each(|host| self.kill(host, ticks));
            }
            Disturbance::Remove { host } => self.kill(host, usize::MAX / 2),
            Disturbance::CutFromStore { host, ticks } => {
                self.hosts[host].cut_from_store_until = tick + ticks;
            }
            Disturbance::StoreDown { ticks } => self.store_down_until = tick + ticks,
            Disturbance::Split { from, ticks } => self.split = (from, tick + ticks),
            Disturbance::SplitWithoutStore { ticks } => {
                let half = self.hosts.len() / 2;
                self.split = (half, tick + ticks);
                for host in &mut self.hosts[half..] {
                    host.cut_from_store_until = tick + ticks;
                }
            }
        }
    }

    fn kill(&mut self, number: usize, ticks: usize) {
        let (tick, host) = (self.tick, &mut self.hosts[number]);
        let recent = host.ends.iter().filter(|at| tick - **at <= WINDOW).count();
        if host.process.is_some() && recent < MAX_ENDS {
            host.process = None;
            host.starts_at = tick + ticks;
            host.ends.push(tick);
        }
    }

    fn start_and_register(&mut self) {
        let tick = self.tick;
        let is_store_up = tick >= self.store_down_until;
        for host in &mut self.hosts {
            let is_new = host.process.is_none() && tick >= host.starts_at;
            if is_new {
                host.process = Some(Process::new(self.bound, tick));
            }
            let reaches_store = is_store_up && tick >= host.cut_from_store_until;
            let is_due = is_new || host.renewed_at.is_none_or(|at| tick - at >= RENEWAL);
            if host.process.is_some() && reaches_store && is_due {
                host.renewed_at = Some(tick);
            }
            if let (Some(process), Some(renewed)) = (&mut host.process, host.renewed_at) {
                if renewed >= process.started {
                    process.presence.record_registration(at(renewed + LAPSE));
                }
            }
        }
    }

    /// Tells entries who is registered, and who sent gossip.
    fn tell(&mut self) {
        let tick = self.tick;
        let is_registered = |host: &Host| host.renewed_at.is_some_and(|at| tick - at < LAPSE);
        let registered: BTreeSet<usize> =
            (0..self.hosts.len()).filter(|n| is_registered(&self.hosts[*n])).collect();
        let live: Vec<usize> =
            (0..self.hosts.len()).filter(|n| self.hosts[*n].process.is_some()).collect();
        let (from, until) = self.split;
        let is_split = |a: usize, b: usize| tick < until && (a < from) != (b < from);
        for number in live.iter().copied() {
            let host = &mut self.hosts[number];
            let reaches_store = tick >= self.store_down_until && tick >= host.cut_from_store_until;
            let Some(process) = &mut host.process else { continue };
            if reaches_store && tick - process.started >= STARTING {
                let others = registered.iter().copied().filter(|n| *n != number);
                process.list(others.map(host_name).collect(), at(tick));
            }
            if tick % GOSSIP == number % GOSSIP {
                for other in live.iter().filter(|n| **n != number && !is_split(number, **n)) {
                    process.hear(host_name(*other), at(tick));
                }
            }
        }
    }

    fn serve(&mut self, number: usize, rate: usize, delays: &[usize]) {
        let tick = self.tick;
        let Some(process) = &mut self.hosts[number].process else { return };
        if tick - process.started < STARTING {
            return;
        }
        for _ in 0..rate {
            let first = process.budget.record_request(at(tick));
            process.budget.spend(first, at(tick));
            self.requests[tick] += 1;
        }
        while tick >= WARM_UP
            && let Some(pass) = process.take(at(tick))
        {
            let delay = delays[process.waiting.len() % delays.len()];
            process.waiting.push((pass, tick + delay));
        }
        let is_due = |(_, at): &(Pass, usize)| *at <= tick;
        let (due, waiting): (Vec<_>, Vec<_>) = process.waiting.drain(..).partition(is_due);
        process.waiting = waiting;
        for (pass, _) in due {
            process.budget.spend(pass, at(tick));
            self.arrivals[tick] += 1;
        }
    }

    /// Checks the bound in each window. Requests count in the window, the one before it, or the one half a
    /// window before it, whichever has most.
    pub fn check(&self) {
        let sum = |of: &[usize], from: usize| -> usize { of.iter().skip(from).take(WINDOW).sum() };
        for from in 0..self.arrivals.len() {
            let starts = [Some(from), from.checked_sub(WINDOW), from.checked_sub(WINDOW / 2)];
            let requests = starts.iter().flatten().map(|start| sum(&self.requests, *start)).max();
            let allowed = self.bound.ratio * requests.unwrap_or_default() as f64 + self.bound.fixed;
            let arrived = sum(&self.arrivals, from);
            assert!(
                arrived as f64 <= allowed,
                "{arrived} retries from tick {from}, {allowed} allowed"
            );
        }
    }
}
