//! Admission at two entries that share the limits of a contract.

#[path = "entry/simulation.rs"]
// Only the configuration and the requests of the simulation are used here.
#[allow(dead_code)]
mod simulation;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_core::config::Entry;
use oriole_core::entry::{Effect, Event, Machine, Outcome};
use oriole_core::message::Message;
use oriole_core::name;
use oriole_core::request::{Id, Ran, Refusal};
use oriole_core::time::Instant;
use oriole_core::units::Rate;
use simulation::{config, generate};

const TICK_US: u64 = 20_000;

struct Pair {
    machines: BTreeMap<name::Host, Machine>,
    now: Instant,
    /// Generations in progress, with the time of their start and the entry that runs them.
    open: VecDeque<(Instant, name::Host, Id)>,
    started: u32,
    refused: Vec<(Refusal, Ran)>,
    next: u64,
}

impl Pair {
    fn start() -> Self {
        let mut config = config();
        for (index, host) in ["a", "b"].into_iter().enumerate() {
            let address = ([127, 0, 0, 1], 100 + index as u16).into();
            config.entries.insert(host.into(), Entry { address, zone: "z".into(), weight: 1 });
        }
        if let Some(contract) = config.contracts.get_mut(&name::Workspace::from("w")) {
            contract.limits.requests = Rate::from_per_second(20.0);
            contract.limits.request_burst = 4;
            contract.limits.concurrency = 16;
        }
        let now = Instant::from_us(1_000_000);
        let machine = |host: &str, boot| {
            Machine::new(config.clone(), u64::from(boot)).on_host(now, &host.into(), boot)
        };
        let machines =
            BTreeMap::from([("a".into(), machine("a", 1)), ("b".into(), machine("b", 2))]);
        let (open, refused) = (VecDeque::new(), Vec::new());
        Self { machines, now, open, started: 0, refused, next: 0 }
    }

    fn handle(&mut self, host: &name::Host, event: Event) {
        let mut events = VecDeque::from([(host.clone(), event)]);
        while let Some((host, event)) = events.pop_front() {
            let Some(machine) = self.machines.get_mut(&host) else { continue };
            for effect in machine.handle(self.now, event) {
                match effect {
                    Effect::Send { host: to, message: message @ Message::Share(_), .. } => {
                        let event = Event::Message { from: host.clone(), message };
                        events.push_back((to, event));
                    }
                    Effect::Send { message: Message::Open(open), .. } if open.stage == 0 => {
                        self.started += u32::from(open.attempt == 1);
                        self.open.push_back((self.now, host.clone(), open.request));
                    }
                    Effect::Finish { outcome: Outcome::Refused(refused), .. } => {
                        self.refused.push((refused.reason, refused.ran));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Advances by one tick: ten requests arrive at one entry, and the caller of each started
    /// request leaves after 50 ms.
    fn step(&mut self, at: &name::Host) {
        self.now = self.now + Duration::from_micros(TICK_US);
        while self.open.front().is_some_and(|(at, _, _)| self.now.since(*at).as_millis() >= 50) {
            if let Some((_, host, id)) = self.open.pop_front() {
                self.handle(&host, Event::CallerLeft(id));
            }
        }
        for host in ["a", "b"] {
            self.handle(&host.into(), Event::Tick);
        }
        for _ in 0..10 {
            self.next += 1;
            let id = Id { host: 1, boot: 1, seq: self.next };
            self.handle(at, Event::Generate(id, generate(vec![1, 2, 3], 5)));
        }
    }
}

/// All requests arrive at one of two entries. Without borrowing, the entry could use only its half
/// of the limit; with unchecked borrowing, both entries together would exceed rate and burst.
#[test]
fn an_entry_borrows_what_the_other_does_not_need() {
    let mut pair = Pair::start();
    for _ in 0..50 {
        pair.step(&"a".into());
    }
    pair.started = 0;
    for _ in 0..500 {
        pair.step(&"a".into());
    }
    let bound = 20 * 10 + 4;
    assert!(pair.started <= bound, "{} of {bound}", pair.started);
    // Well above the half that is the entry's own share.
    assert!(pair.started > bound * 3 / 4, "{} of {bound}", pair.started);
    let rate_limited =
        |(reason, ran): &(Refusal, Ran)| *reason == Refusal::RequestRate && *ran == Ran::No;
    let cancelled = |(reason, _): &(Refusal, Ran)| *reason == Refusal::Cancelled;
    assert!(
        pair.refused.iter().all(|r| rate_limited(r) || cancelled(r)),
        "{:?}",
        &pair.refused[..5]
    );
}
