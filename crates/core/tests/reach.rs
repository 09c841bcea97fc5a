//! Simulations of entries of which some cannot reach an endpoint that others reach.

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::proptest_config;
use oriole_core::fleet::health::{self, Health};
use oriole_core::fleet::{Cause, Incarnation};
use oriole_core::name;
use oriole_core::time::Instant;
use proptest::prelude::*;

/// Time between two steps of a simulation.
const STEP_MS: u64 = 100;

/// Time between two requests of an entry to the endpoint.
const REQUEST_INTERVAL_MS: u64 = 300;

/// Time after which a request fails that reaches nobody.
const REQUEST_TIMEOUT_MS: u64 = 400;

/// Time after which a question fails that reaches nobody.
const QUESTION_TIMEOUT_MS: u64 = 300;

/// Time in which the entries find out who reaches the endpoint.
const SETTLE_MS: u64 = 15_000;

/// Time over which the use of the endpoint is counted after that.
const COUNT_MS: u64 = 30_000;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

fn incarnation() -> Incarnation {
    Incarnation { endpoint: "e".into(), born: 1 }
}

/// An entry, and what it waits for.
struct Entry {
    host: name::Host,
    health: Health,
    /// When requests and questions in progress fail.
    failing_requests: Vec<u64>,
    failing_question: Option<u64>,
    usable_steps: u64,
    failed_requests: u64,
    questions: u64,
}

impl Entry {
    fn new(number: usize) -> Self {
        let host: name::Host = format!("entry-{number:02}").as_str().into();
        Self {
            health: Health::of_entry(host.clone()),
            host,
            failing_requests: vec![],
            failing_question: None,
            usable_steps: 0,
            failed_requests: 0,
            questions: 0,
        }
    }

    fn is_usable(&self, ms: u64) -> bool {
        self.health.cause(&"e".into(), Some(1), at(ms)).is_none()
    }

    fn suspect(&mut self, by: &name::Host, entries: usize, ms: u64) {
        if self.health.suspect(&incarnation(), by.clone(), entries, at(ms)) {
            self.health.record(&incarnation(), Cause::Silent, at(ms));
        }
    }

    fn is_asking(&self, rank: usize, entries: usize, ms: u64) -> bool {
        let turn = |_: &name::Endpoint, since| health::is_turn(rank, entries, since);
        self.failing_question.is_none()
            && ms % 400 == 0
            && !self.health.to_ask_again(&self.host, turn, at(ms)).is_empty()
    }
}

struct World {
    entries: Vec<Entry>,
    /// Which entries reach the endpoint.
    reaches: Vec<bool>,
}

impl World {
    fn new(reaches: &[bool]) -> Self {
        let entries = (0..reaches.len()).map(Entry::new).collect();
        Self { entries, reaches: reaches.to_vec() }
    }

    fn tell_suspicion(&mut self, by: usize, ms: u64) {
        let (host, count) = (self.entries[by].host.clone(), self.entries.len());
        self.entries.iter_mut().for_each(|entry| entry.suspect(&host, count, ms));
    }

    fn tell_answer(&mut self, by: usize, ms: u64) {
        let to = self.entries[by].host.clone();
        for (n, entry) in self.entries.iter_mut().enumerate() {
            match n == by {
                true => entry.health.answered(&incarnation(), at(ms)),
                false => entry.health.hear_answer(&incarnation(), to.clone(), at(ms)),
            };
        }
    }

    fn ask(&mut self, n: usize, ms: u64) {
        let entries = self.entries.len();
        if !self.entries[n].is_asking(n, entries, ms) {
            return;
        }
        self.entries[n].questions += 1;
        if self.reaches[n] {
            self.tell_answer(n, ms);
        } else {
            self.entries[n].failing_question = Some(ms + QUESTION_TIMEOUT_MS);
        }
    }

    fn send_request(&mut self, n: usize, ms: u64) {
        let is_due = (ms + 100 * n as u64) % REQUEST_INTERVAL_MS == 0;
        if is_due && self.entries[n].is_usable(ms) && !self.reaches[n] {
            self.entries[n].failing_requests.push(ms + REQUEST_TIMEOUT_MS);
        }
    }

    fn fail(&mut self, n: usize, ms: u64) {
        let entry = &mut self.entries[n];
        if entry.failing_question.take_if(|due| *due == ms).is_some()
            && entry.health.record_unreachable(&incarnation(), at(ms))
        {
            self.tell_suspicion(n, ms);
        }
        let failing = &mut self.entries[n].failing_requests;
        let before = failing.len();
        failing.retain(|due| *due > ms);
        let failed = before - failing.len();
        self.entries[n].failed_requests += failed as u64;
        (0..failed).for_each(|_| self.tell_suspicion(n, ms));
    }

    fn step(&mut self, ms: u64) {
        for n in 0..self.entries.len() {
            self.fail(n, ms);
            self.ask(n, ms);
            self.send_request(n, ms);
            let is_usable = self.entries[n].is_usable(ms);
            self.entries[n].usable_steps += u64::from(is_usable);
        }
    }

    /// Runs from `from` for `time_ms`, and counts anew.
    fn run(&mut self, from: u64, time_ms: u64) {
        for entry in &mut self.entries {
            (entry.usable_steps, entry.failed_requests, entry.questions) = (0, 0, 0);
        }
        (from..from + time_ms).step_by(STEP_MS as usize).for_each(|ms| self.step(ms));
    }

    /// Returns the share of the counted time in which an entry uses the endpoint.
    fn use_of(&self, n: usize) -> f64 {
        self.entries[n].usable_steps as f64 / (COUNT_MS / STEP_MS) as f64
    }
}

/// Settles with each entry that `reaches` the endpoint, and returns the world after the counted time.
fn settled(reaches: &[bool]) -> World {
    let mut world = World::new(reaches);
    world.run(0, SETTLE_MS);
    world.run(SETTLE_MS, COUNT_MS);
    world
}

fn check(reaches: &[bool]) {
    check_use(&settled(reaches));
}

/// Checks that the entries that reach the endpoint used it, and that others did not try.
fn check_use(world: &World) {
    let reaches = &world.reaches;
    for (n, reached) in reaches.iter().enumerate() {
        let (share, failed) = (world.use_of(n), world.entries[n].failed_requests);
        if *reached {
            assert!(share >= 0.9, "entry {n} reaches it, and uses it for {share} of the time");
        } else if reaches.iter().filter(|r| !**r).count() > 1 {
            // One entry alone that is cut off prefers other endpoints by its failures.
            assert!(failed <= COUNT_MS / 6_000, "{failed} requests of entry {n} reached nobody");
        }
    }
}

/// Guards against an endpoint that no entry uses any more since two entries cannot reach it, whose questions renew that.
#[test]
fn entries_use_an_endpoint_that_only_two_others_cannot_reach() {
    check(&[false, false, true, true]);
    check(&[true, true, false, false]);
    check(&[true, false, true, false, true, true]);
}

/// Guards against entries that send requests into the void whenever another entry has got an answer.
#[test]
fn entries_that_cannot_reach_an_endpoint_do_not_try_it_with_requests_again_and_again() {
    check(&[false, false, false, true]);
    check(&[false, true, false, false, false, false]);
}

/// Guards against a silence that many entries ask about, and against one that ends while nobody reaches the endpoint.
#[test]
fn few_questions_go_to_an_endpoint_that_nobody_reaches() {
    let mut world = World::new(&[false; 41]);
    world.run(0, SETTLE_MS);
    world.run(SETTLE_MS, COUNT_MS);
    let failed: u64 = world.entries.iter().map(|e| e.failed_requests).sum();
    let questions: u64 = world.entries.iter().map(|e| e.questions).sum();
    assert_eq!(failed, 0);
    assert!(questions <= COUNT_MS / 400 * 4, "{questions}");
}

/// Guards against entries that go on taking an endpoint for unreachable by themselves once all of them reach it.
#[test]
fn all_entries_use_an_endpoint_soon_after_they_reach_it_again() {
    for reaches in [vec![false; 4], vec![false, false, true, true], vec![false; 41]] {
        let mut world = World::new(&reaches);
        world.run(0, SETTLE_MS);
        world.reaches.fill(true);
        world.run(SETTLE_MS, 1_500);
        let end = SETTLE_MS + 1_500;
        assert!(world.entries.iter().all(|entry| entry.is_usable(end)), "{reaches:?}");
    }
}

proptest! {
    #![proptest_config(proptest_config(64))]

    /// Guards against the same for any entries that are cut off.
    #[test]
    fn each_entry_uses_an_endpoint_that_it_reaches(
        reaches in proptest::collection::vec(any::<bool>(), 2..20),
    ) {
        prop_assume!(reaches.contains(&true));
        check(&reaches);
    }

    /// Guards against what entries found of earlier faults that misleads them in the next one.
    #[test]
    fn each_entry_uses_an_endpoint_that_it_reaches_after_others_were_cut_off(
        links in proptest::collection::vec(any::<(bool, bool, bool)>(), 2..12),
        fault_ms in 1_000_u64..20_000,
    ) {
        let last: Vec<bool> = links.iter().map(|(_, _, last)| *last).collect();
        prop_assume!(last.contains(&true));
        let fault_ms = fault_ms / STEP_MS * STEP_MS;
        let mut world = World::new(&links.iter().map(|(first, ..)| *first).collect::<Vec<_>>());
        world.run(0, fault_ms);
        world.reaches = links.iter().map(|(_, second, _)| *second).collect();
        world.run(fault_ms, fault_ms);
        world.reaches = last;
        world.run(2 * fault_ms, SETTLE_MS);
        world.run(2 * fault_ms + SETTLE_MS, COUNT_MS);
        check_use(&world);
    }
}
