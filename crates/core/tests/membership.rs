//! Membership: host lists that lag, flap and contradict what is seen.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::config::Entry;
use oriole_core::membership::{Directory, FULL_WEIGHT, Listing, Settings, Standing, propose};
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
    Said(usize, bool),
    Lost(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let listing = prop_oneof![Just(None), Just(Some(Listing::Live)), Just(Some(Listing::Leaving))];
    let listings = [listing.clone(), listing.clone(), listing];
    prop_oneof![
        4 => (1u64..30_000).prop_map(Step::Wait),
        3 => listings.prop_map(Step::List),
        2 => (0..3usize).prop_map(Step::Heard),
        1 => (0..3usize, any::<bool>()).prop_map(|(h, leaving)| Step::Said(h, leaving)),
        2 => (0..3usize).prop_map(Step::Lost),
    ]
}

/// What a strict reader of the rules expects of each host.
#[derive(Clone, Copy, Default)]
struct Model {
    leaving: bool,
    live_since: Option<Instant>,
    listed: Option<Listing>,
    heard: Option<Instant>,
    known: Option<Instant>,
}

struct World {
    now: Instant,
    directory: Directory,
    models: [Model; 3],
    settings: Settings,
}

impl World {
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
                self.directory.on_list(now, &list);
                for (model, listing) in self.models.iter_mut().zip(listings) {
                    model.listed = *listing;
                    model.list(now, *listing, self.settings.settle);
                }
            }
            Step::Heard(host) => {
                self.directory.on_heard(now, &HOSTS[*host].into());
                self.models[*host].hear(now);
            }
            Step::Said(host, leaving) => {
                self.directory.on_said(now, &HOSTS[*host].into(), *leaving);
                let model = &mut self.models[*host];
                model.hear(now);
                if *leaving {
                    model.leaving = true;
                    model.live_since = None;
                } else if model.listed != Some(Listing::Leaving) {
                    model.leaving = false;
                }
            }
            Step::Lost(host) => self.directory.on_lost(now, &HOSTS[*host].into()),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (host, model) in HOSTS.iter().zip(&self.models) {
            let standing = self.directory.standing(self.now, &(*host).into());
            if model.leaving {
                prop_assert!(matches!(standing, Standing::Leaving | Standing::Gone));
            }
            if let Standing::Open(weight) = standing {
                prop_assert!((1..=FULL_WEIGHT).contains(&weight));
            }
            let heard = model.heard.is_some_and(|at| self.now.since(at) < self.settings.forget);
            if heard || model.listed.is_some() {
                prop_assert!(standing != Standing::Gone, "{host} is alive but gone");
            }
        }
        Ok(())
    }
}

impl Model {
    fn hear(&mut self, now: Instant) {
        self.heard = Some(now);
        self.known = Some(now);
    }

    fn list(&mut self, now: Instant, listing: Option<Listing>, settle: Duration) {
        match listing {
            Some(Listing::Live) => {
                self.known = Some(now);
                let since = *self.live_since.get_or_insert(now);
                self.leaving &= now.since(since) < settle;
            }
            Some(Listing::Leaving) => {
                self.known = Some(now);
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
    fn neither_source_alone_decides(steps in proptest::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            world.check()?;
        }
    }

    #[test]
    fn proposals_leave_out_only_what_is_gone(steps in proptest::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        let mut roster = Roster::first(HOSTS.map(|host| (host.into(), 1)).into());
        for step in &steps {
            world.run(step);
            let Some(next) = propose(world.now, &world.directory, &entries(), &roster) else {
                continue;
            };
            prop_assert!(!next.entries.is_empty());
            prop_assert_eq!(next.previous, roster.number);
            for (host, model) in HOSTS.iter().zip(&world.models) {
                let alive = model.listed.is_some()
                    || model.known.is_some_and(|at| world.now.since(at) < world.settings.forget);
                let held = roster.entries.contains_key(&(*host).into());
                if alive && held {
                    prop_assert!(next.entries.contains_key(&(*host).into()), "{} put out", host);
                }
            }
            roster = next;
        }
    }
}

#[test]
fn a_flapping_list_does_not_bring_a_leaving_host_back() {
    let mut world = World::new();
    let leaving = Step::List([Some(Listing::Leaving), None, None]);
    let live = Step::List([Some(Listing::Live), None, None]);
    for _ in 0..10 {
        world.run(&leaving);
        world.run(&live);
        world.run(&Step::Wait(3_000));
        assert_eq!(world.directory.standing(world.now, &"a".into()), Standing::Leaving);
    }
    world.run(&live);
    world.run(&Step::Wait(11_000));
    world.run(&live);
    assert!(
        matches!(world.directory.standing(world.now, &"a".into()), Standing::Open(w) if w < FULL_WEIGHT)
    );
}

#[test]
fn a_new_host_is_brought_in_gradually() {
    let mut world = World::new();
    let hosts = [&HOSTS[..], &["d"]].concat().into_iter().map(name::Host::from).collect();
    world.directory.on_hosts(world.now, hosts);
    let mut last = 0;
    for _ in 0..5 {
        let standing = world.directory.standing(world.now, &"d".into());
        let Standing::Open(weight) = standing else { panic!("{standing:?}") };
        assert!(weight > last || weight == FULL_WEIGHT);
        last = weight;
        world.run(&Step::Wait(6_000));
    }
    assert_eq!(last, FULL_WEIGHT);
    assert_eq!(world.directory.standing(world.now, &"a".into()), Standing::Open(FULL_WEIGHT));
}

#[test]
fn an_unreachable_host_is_tried_less_and_less_often() {
    let mut world = World::new();
    let mut trials = 0;
    for _ in 0..600 {
        if matches!(world.directory.standing(world.now, &"a".into()), Standing::Open(_)) {
            trials += 1;
            world.run(&Step::Lost(0));
        }
        world.run(&Step::Wait(100));
    }
    // Pauses of 0.5, 1, 2, 4, 8, 16 and 30 s fit into a minute six times.
    assert_eq!(trials, 7);
}
