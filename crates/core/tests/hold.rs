//! Tests of which requests are held after crashes of endpoints, and of their trials.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use oriole_core::fleet::Incarnation;
use oriole_core::forward::Fingerprint;
use oriole_core::forward::hold::{Gate, Holds, REPORT_TIME, Summary};
use oriole_core::forward::runs::{Cut, Runs};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BAD: Fingerprint = Fingerprint([0xbad, 1]);
const BESIDE: Fingerprint = Fingerprint([2, 2]);

/// The users' bound on how often a held request may reach endpoints again.
const MAX_RUNS: u32 = 3;

fn at_ms(ms: u64) -> Instant {
    Instant::default() + Duration::from_secs(200_000) + Duration::from_millis(ms)
}

fn at(seconds: u64) -> Instant {
    at_ms(seconds * 1000)
}

fn endpoint(number: u64) -> Incarnation {
    Incarnation { endpoint: "e".into(), born: number }
}

/// Returns the runs of requests that a crash cut off before they were answered.
fn cuts(suspects: &[Fingerprint]) -> Vec<Cut> {
    suspects.iter().map(|&fingerprint| Cut { fingerprint, is_early: true }).collect()
}

/// Records a crash and decides what is held.
fn crash(holds: &mut Holds, number: u64, suspects: &[Fingerprint], now: Instant) -> usize {
    holds.record_crash(&endpoint(number), &cuts(suspects), now, now);
    holds.decide(now + REPORT_TIME).len()
}

#[test]
fn a_suspect_of_three_crashes_is_held_however_far_they_lie_apart() {
    let mut holds = Holds::default();
    for number in 0..3 {
        assert_eq!(holds.gate(BAD, at(number * 1200)), Gate::Open);
        let held = crash(&mut holds, number, &[BAD], at(number * 1200));
        assert_eq!(held, usize::from(number == 2));
    }
    assert!(matches!(holds.gate(BAD, at(2401)), Gate::Closed(_)));
    assert_eq!(holds.gate(BESIDE, at(2401)), Gate::Open);
}

#[test]
fn a_suspect_of_three_crashes_does_not_run_while_others_may_tell_their_suspects() {
    let mut holds = Holds::default();
    for number in 0..3 {
        holds.record_crash(&endpoint(number), &cuts(&[BAD]), at(number), at(number));
    }
    assert!(holds.decide(at(2)).is_empty());
    assert!(matches!(holds.gate(BAD, at(2)), Gate::Closed(_)));
}

#[test]
fn a_request_is_not_attempted_again_after_two_crashes() {
    let mut holds = Holds::default();
    crash(&mut holds, 1, &[BAD], at(1));
    assert!(holds.may_retry(BAD));
    crash(&mut holds, 2, &[BAD], at(2));
    assert!(!holds.may_retry(BAD));
    assert!(holds.may_retry(BESIDE));
}

/// A rack fails: endpoints of several services fall at once, and three of them were running the request.
#[test]
fn endpoints_that_fail_together_with_others_count_once() {
    let mut holds = Holds::default();
    for number in 0..8 {
        let suspects: &[Fingerprint] = if number < 3 { &[BAD] } else { &[BESIDE] };
        holds.record_crash(&endpoint(number), &cuts(suspects), at_ms(number), at_ms(number));
    }
    assert_eq!(holds.decide(at(1)), vec![BESIDE]);
    assert!(holds.may_retry(BAD));
    assert_eq!(holds.gate(BAD, at(1)), Gate::Open);
}

/// Three crashes within one moment have the request in common and nothing else fell: it is their cause,
/// in whichever order an entry hears of them.
#[test]
fn a_request_under_which_all_endpoints_of_one_moment_crashed_is_held() {
    for spread_ms in [0, 1, 20, 45] {
        for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let mut holds = Holds::default();
            for number in order {
                let crashed_at = at_ms(number * spread_ms);
                holds.record_crash(&endpoint(number), &cuts(&[BAD]), crashed_at, at_ms(100));
                // What crashed long before or after says nothing of that moment.
                holds.record_crash(&endpoint(10 + number), &[], at(50 + number), at(60));
            }
            assert_eq!(holds.decide(at(1)), vec![BAD], "{spread_ms} ms, {order:?}");
        }
    }
}

#[test]
fn endpoints_that_happen_to_fall_with_a_request_do_not_let_it_run_on() {
    let mut holds = Holds::default();
    let mut runs = 0;
    for number in 0..100 {
        let now = at_ms(number * 200);
        if holds.gate(BAD, now) == Gate::Open {
            runs += 1;
            holds.record_crash(&endpoint(number), &cuts(&[BAD]), now, now);
            holds.record_crash(&endpoint(number), &cuts(&[BAD]), now, now);
            holds.record_crash(&endpoint(200 + number), &[], now, now);
            holds.decide(now + REPORT_TIME);
        }
    }
    assert!(runs <= 3, "{runs} runs");
}

#[test]
fn an_answer_clears_a_request_of_crashes_before_it_and_soon_after() {
    let mut holds = Holds::default();
    crash(&mut holds, 1, &[BAD], at(1));
    crash(&mut holds, 2, &[BAD], at(2));
    assert!(holds.record_sound(BAD, at(3)));
    crash(&mut holds, 3, &[BAD], at(20));
    assert!(holds.summary(at(20)).suspects.is_empty());
    // What another entry tells late of an old answer clears it of no later crash.
    for number in 4..7 {
        crash(&mut holds, number, &[BAD], at(100 + number));
    }
    holds.record_sound(BAD, at(4));
    assert!(matches!(holds.gate(BAD, at(120)), Gate::Closed(_)));
}

#[test]
fn a_request_that_others_may_explain_is_tried_soon_and_one_alone_is_not() {
    let (mut alone, mut tied) = (Holds::default(), Holds::default());
    for number in 0..3 {
        crash(&mut alone, number, &[BAD], at(number));
        crash(&mut tied, number, &[BAD, BESIDE], at(number));
    }
    assert!(matches!(alone.gate(BAD, at(60)), Gate::Closed(_)));
    assert_eq!(tied.gate(BESIDE, at(60)), Gate::Trial);
    tied.record_sound(BESIDE, at(61));
    assert_eq!(tied.gate(BESIDE, at(62)), Gate::Open);
    assert_eq!(tied.gate(BAD, at(62)), Gate::Trial);
    let hold = tied.with_trial(BAD, at(62)).unwrap();
    assert!(tied.adopt(&hold, at(62)));
    assert!(matches!(tied.gate(BAD, at(63)), Gate::Closed(_)));
}

#[test]
fn a_release_outlasts_entries_that_still_hold_the_request() {
    let (mut late, mut released) = (Holds::default(), Holds::default());
    for number in 0..3 {
        crash(&mut late, number, &[BAD, BESIDE], at(number));
        crash(&mut released, number, &[BAD, BESIDE], at(number));
    }
    released.record_sound(BESIDE, at(20));
    let (adopted, answered) = released.hear(&late.summary(at(90)), at(90));
    assert_eq!((adopted.len(), answered.len()), (0, 1));
    assert_eq!(released.gate(BESIDE, at(90)), Gate::Open);
    late.hear(&Summary { releases: answered, ..Summary::default() }, at(90));
    assert_eq!(late.gate(BESIDE, at(91)), Gate::Open);
    assert_ne!(late.gate(BAD, at(91)), Gate::Open);
}

#[test]
fn suspects_are_what_runs_or_broke_off_lately_at_the_endpoint() {
    let mut runs = Runs::default();
    let other = Fingerprint([3, 3]);
    let long_ago = runs.begin(endpoint(1), Fingerprint([4, 4]));
    runs.break_off(long_ago, at(0));
    let broken = runs.begin(endpoint(1), BAD);
    runs.break_off(broken, at(9));
    runs.begin(endpoint(1), BESIDE);
    runs.begin(endpoint(2), other);
    let answered = runs.begin(endpoint(1), Fingerprint([5, 5]));
    runs.finish(answered);
    assert_eq!(runs.take_cuts(&endpoint(1), true, at(10)), cuts(&[BESIDE, BAD]));
    assert_eq!(runs.take_cuts(&endpoint(1), true, at(10)), vec![]);
    // The end of an endpoint that leaves cuts what still runs there.
    assert_eq!(runs.take_cuts(&endpoint(2), false, at(10)), vec![]);
    assert_eq!(runs.len(), 1);
}

/// What happens to one of several entries that share a store.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request with this number comes.
    Comes(u64),
    /// All that it knows is lost, and it reads the store.
    Restarts,
    /// It hears the summary of the entry with this number.
    Hears(usize),
    /// It writes to the store what that lacks.
    Stores,
    /// Time passes, in seconds.
    Passes(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..2_u64).prop_map(Event::Comes),
        1 => Just(Event::Restarts),
        2 => (0..3_usize).prop_map(Event::Hears),
        2 => Just(Event::Stores),
        2 => (0..4000_u64).prop_map(Event::Passes),
    ]
}

/// Entries, and the store with its revision and the time of its last write.
#[derive(Default)]
struct World {
    entries: [Holds; 3],
    stored: (Summary, u64, Instant),
    crashes: u64,
    now: Instant,
}

impl World {
    fn stored(&self) -> Summary {
        self.stored.0.clone().aged(self.now.since(self.stored.2))
    }

    fn store(&mut self, entry: usize) {
        let stored = self.stored();
        self.entries[entry].hear(&stored, self.now);
        if let Some(summary) = self.entries[entry].to_store(&stored, self.now) {
            self.stored = (summary, self.stored.1 + 1, self.now);
        }
    }

    /// A request crashes the endpoint that runs it. Returns whether it ran.
    fn come(&mut self, entry: usize, fingerprint: Fingerprint) -> bool {
        match self.entries[entry].gate(fingerprint, self.now) {
            Gate::Closed(_) => return false,
            Gate::Open => {}
            Gate::Trial => {
                // The trial is written first, on the condition that nobody has written since.
                let stored = self.stored();
                self.entries[entry].hear(&stored, self.now);
                if self.entries[entry].gate(fingerprint, self.now) != Gate::Trial {
                    return false;
                }
                let hold = self.entries[entry].with_trial(fingerprint, self.now).unwrap();
                self.entries[entry].adopt(&hold, self.now);
                let summary = self.entries[entry].summary(self.now);
                self.stored = (summary, self.stored.1 + 1, self.now);
            }
        }
        self.crashes += 1;
        self.now = self.now + Duration::from_millis(500);
        for holds in &mut self.entries {
            holds.record_crash(&endpoint(self.crashes), &cuts(&[fingerprint]), self.now, self.now);
        }
        self.now = self.now + REPORT_TIME;
        for holds in &mut self.entries {
            holds.decide(self.now);
        }
        self.store(entry);
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    /// After the third crash, however entries restart and hear of each other, a request runs on trial only.
    #[test]
    fn a_held_request_runs_no_more_often_than_the_users_allow(
        events in prop::collection::vec((0..3_usize, event()), 1..120)
    ) {
        let mut world = World { now: at(0), ..World::default() };
        let mut runs = [0_u32; 2];
        let began = world.now;
        for (entry, event) in events {
            match event {
                Event::Comes(number) => {
                    let ran = world.come(entry, Fingerprint([number, 0]));
                    runs[number as usize] += u32::from(ran);
                }
                Event::Restarts => {
                    let stored = world.stored();
                    world.entries[entry] = Holds::default();
                    world.entries[entry].hear(&stored, world.now);
                }
                Event::Hears(other) if other != entry => {
                    let summary = world.entries[other].summary(world.now);
                    world.entries[entry].hear(&summary, world.now);
                }
                Event::Hears(_) => {}
                Event::Stores => world.store(entry),
                // Within the time for which crashes count.
                Event::Passes(seconds) => {
                    let end = began + Duration::from_secs(3500);
                    world.now = (world.now + Duration::from_secs(seconds)).min(end).max(world.now);
                }
            }
        }
        for count in runs {
            prop_assert!(count <= 3 + MAX_RUNS, "{count} runs");
        }
    }

    /// However close crashes lie, and whatever else falls with them, a request reaches endpoints no more often
    /// than the users allow.
    #[test]
    fn close_crashes_do_not_let_a_request_run_on(
        steps in prop::collection::vec((0..70_u64, any::<bool>()), 1..40),
        days in prop::collection::vec(0..4000_u64, 0..4),
    ) {
        let mut holds = Holds::default();
        let mut runs = 0;
        let mut now = at(0);
        let pauses = days.into_iter().map(|seconds| (seconds * 1000, false));
        for (number, (pause_ms, falls_with_others)) in steps.into_iter().chain(pauses).enumerate() {
            now = now + Duration::from_millis(pause_ms);
            holds.decide(now);
            match holds.gate(BAD, now) {
                Gate::Closed(_) => continue,
                Gate::Open => {}
                Gate::Trial => {
                    let hold = holds.with_trial(BAD, now).unwrap();
                    prop_assert!(holds.adopt(&hold, now));
                }
            }
            runs += 1;
            if falls_with_others {
                holds.record_crash(&endpoint(1000 + number as u64), &[], now, now);
            }
            holds.record_crash(&endpoint(number as u64), &cuts(&[BAD]), now, now);
        }
        prop_assert!(runs <= 3 + MAX_RUNS, "{runs} runs");
    }

    /// Entries that write in turn what the store lacks come to an end.
    #[test]
    fn entries_agree_with_the_store_after_a_few_writes(
        crashes in prop::collection::vec((0..3_usize, 0..4_u64), 0..30),
        answers in prop::collection::vec((0..3_usize, 0..4_u64), 0..6),
    ) {
        let mut world = World { now: at(0), ..World::default() };
        for (number, (entry, request)) in crashes.into_iter().enumerate() {
            world.now = world.now + Duration::from_secs(1);
            let crashed = endpoint(number as u64);
            let holds = &mut world.entries[entry];
            holds.record_crash(&crashed, &cuts(&[Fingerprint([request, 0])]), world.now, world.now);
            holds.decide(world.now + REPORT_TIME);
        }
        world.now = world.now + Duration::from_secs(1);
        for (entry, request) in answers {
            world.entries[entry].record_sound(Fingerprint([request, 0]), world.now);
        }
        for _ in 0..6 {
            (0..3).for_each(|entry| world.store(entry));
        }
        let revision = world.stored.1;
        (0..3).for_each(|entry| world.store(entry));
        prop_assert_eq!(world.stored.1, revision);
    }
}
