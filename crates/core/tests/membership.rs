//! Guards against hosts that are used again or treated as gone too early, when the host list lags,
//! flaps or contradicts what the process observes.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::config::Entry;
use oriole_core::membership::{
    Directory, Eligibility, FULL_WEIGHT, Listing, Settings, propose_roster,
};
use oriole_core::name;
use oriole_core::roster::Roster;
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const START: Instant = Instant::from_us(1_000_000_000);

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    List([Option<Listing>; 3]),
    Heard(usize),
    Announced(usize, bool),
    Unreachable(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let listing = prop_oneof![Just(None), Just(Some(Listing::Live)), Just(Some(Listing::Leaving))];
    let listings = [listing.clone(), listing.clone(), listing];
    prop_oneof![
        4 => (1u64..30_000).prop_map(Step::Wait),
        3 => listings.prop_map(Step::List),
        2 => (0..3usize).prop_map(Step::Heard),
        1 => (0..3usize, any::<bool>()).prop_map(|(h, leaving)| Step::Announced(h, leaving)),
        2 => (0..3usize).prop_map(Step::Unreachable),
    ]
}

/// Reference model of one host, written from the rules in the module documentation.
#[derive(Clone, Copy, Default)]
struct Model {
    leaving: bool,
    live_since: Option<Instant>,
    listed: Option<Listing>,
    last_heard: Option<Instant>,
    last_known: Option<Instant>,
}

struct Simulation {
    now: Instant,
    directory: Directory,
    models: [Model; 3],
    settings: Settings,
}

impl Simulation {
    fn new() -> Self {
        let hosts = HOSTS.map(name::Host::from).to_vec();
        let settings = Settings::default();
        let directory = Directory::new(START, settings.clone(), hosts);
        Self { now: START, directory, models: [Model::default(); 3], settings }
    }

    fn run(&mut self, step: &Step) {
        let now = self.now;
        match step {
            Step::Wait(ms) => self.now = now + Duration::from_millis(*ms),
            Step::List(listings) => {
                let names = HOSTS.map(name::Host::from).into_iter();
                let list: BTreeMap<_, _> =
                    names.zip(listings).filter_map(|(host, l)| l.map(|l| (host, l))).collect();
                self.directory.on_host_list(now, &list);
                for (model, listing) in self.models.iter_mut().zip(listings) {
                    model.listed = *listing;
                    model.on_listing(now, *listing, self.settings.settle);
                }
            }
            Step::Heard(host) => {
                self.directory.on_heard(now, &HOSTS[*host].into());
                self.models[*host].mark_heard(now);
            }
            Step::Announced(host, leaving) => {
                self.directory.on_announced(now, &HOSTS[*host].into(), *leaving);
                let model = &mut self.models[*host];
                model.mark_heard(now);
                if *leaving {
                    model.leaving = true;
                    model.live_since = None;
                } else if model.listed != Some(Listing::Leaving) {
                    model.leaving = false;
                }
            }
            Step::Unreachable(host) => self.directory.on_unreachable(now, &HOSTS[*host].into()),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (host, model) in HOSTS.iter().zip(&self.models) {
            let eligibility = self.directory.eligibility(self.now, &(*host).into());
            if model.leaving {
                prop_assert!(matches!(eligibility, Eligibility::Leaving | Eligibility::Gone));
            }
            if let Eligibility::Open(weight) = eligibility {
                prop_assert!((1..=FULL_WEIGHT).contains(&weight));
            }
            let heard_recently =
                model.last_heard.is_some_and(|at| self.now.since(at) < self.settings.forget);
            if heard_recently || model.listed.is_some() {
                prop_assert!(eligibility != Eligibility::Gone, "{host} is alive but gone");
            }
        }
        Ok(())
    }
}

impl Model {
    fn mark_heard(&mut self, now: Instant) {
        self.last_heard = Some(now);
        self.last_known = Some(now);
    }

    fn on_listing(&mut self, now: Instant, listing: Option<Listing>, settle: Duration) {
        match listing {
            Some(Listing::Live) => {
                self.last_known = Some(now);
                let since = *self.live_since.get_or_insert(now);
                self.leaving &= now.since(since) < settle;
            }
            Some(Listing::Leaving) => {
                self.last_known = Some(now);
                self.leaving = true;
                self.live_since = None;
            }
            None => self.live_since = None,
        }
    }
}

fn entries() -> BTreeMap<name::Host, Entry> {
    let entry = Entry { address: ([127, 0, 0, 1], 1).into(), zone: "hall-a".into(), weight: 1 };
    HOSTS.map(|host| (host.into(), entry.clone())).into()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn eligibility_follows_both_sources(steps in proptest::collection::vec(step(), 1..80)) {
        let mut sim = Simulation::new();
        for step in &steps {
            sim.run(step);
            sim.check()?;
        }
    }

    #[test]
    fn proposals_remove_only_gone_hosts(steps in proptest::collection::vec(step(), 1..80)) {
        let mut sim = Simulation::new();
        let mut roster = Roster::first(HOSTS.map(|host| (host.into(), 1)).into());
        for step in &steps {
            sim.run(step);
            let Some(next) = propose_roster(sim.now, &sim.directory, &entries(), &roster) else {
                continue;
            };
            prop_assert!(!next.entries.is_empty());
            prop_assert_eq!(next.previous, roster.number);
            for (host, model) in HOSTS.iter().zip(&sim.models) {
                let alive = model.listed.is_some()
                    || model.last_known.is_some_and(|at| sim.now.since(at) < sim.settings.forget);
                let was_member = roster.entries.contains_key(&(*host).into());
                if alive && was_member {
                    prop_assert!(next.entries.contains_key(&(*host).into()), "{} removed", host);
                }
            }
            roster = next;
        }
    }
}

#[test]
fn a_flapping_list_does_not_bring_a_leaving_host_back() {
    let mut sim = Simulation::new();
    let leaving = Step::List([Some(Listing::Leaving), None, None]);
    let live = Step::List([Some(Listing::Live), None, None]);
    for _ in 0..10 {
        sim.run(&leaving);
        sim.run(&live);
        sim.run(&Step::Wait(3_000));
        assert_eq!(sim.directory.eligibility(sim.now, &"a".into()), Eligibility::Leaving);
    }
    sim.run(&live);
    sim.run(&Step::Wait(11_000));
    sim.run(&live);
    assert!(matches!(
        sim.directory.eligibility(sim.now, &"a".into()),
        Eligibility::Open(w) if w < FULL_WEIGHT
    ));
}

#[test]
fn a_new_host_gets_its_full_weight_gradually() {
    let mut sim = Simulation::new();
    let hosts = [&HOSTS[..], &["d"]].concat().into_iter().map(name::Host::from).collect();
    sim.directory.on_config_hosts(sim.now, hosts);
    let mut last = 0;
    for _ in 0..5 {
        let eligibility = sim.directory.eligibility(sim.now, &"d".into());
        let Eligibility::Open(weight) = eligibility else { panic!("{eligibility:?}") };
        assert!(weight > last || weight == FULL_WEIGHT);
        last = weight;
        sim.run(&Step::Wait(6_000));
    }
    assert_eq!(last, FULL_WEIGHT);
    assert_eq!(sim.directory.eligibility(sim.now, &"a".into()), Eligibility::Open(FULL_WEIGHT));
}

#[test]
fn an_unreachable_host_is_tried_less_and_less_often() {
    let mut sim = Simulation::new();
    let mut trials = 0;
    for _ in 0..600 {
        if matches!(sim.directory.eligibility(sim.now, &"a".into()), Eligibility::Open(_)) {
            trials += 1;
            sim.run(&Step::Unreachable(0));
        }
        sim.run(&Step::Wait(100));
    }
    // Seven trials fit into a minute, with pauses of 0.5, 1, 2, 4, 8, 16 and 30 s after them.
    assert_eq!(trials, 7);
}
