//! Tests of what endpoints state about themselves: that they leave, and for how long they are in back-off.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::fleet::wait::{self, MAX_WAIT, Waits};
use oriole_core::fleet::{Endpoint, Incarnation, Listing, Position, State, View};
use oriole_core::placement::Range;
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GRACE: Duration = Duration::from_millis(1400);

/// The users' bound: requests from half a second after an answer with a wait until its end.
const MAX_IN_WAIT: usize = 2;

fn at_ms(ms: u64) -> Instant {
    Instant::default() + Duration::from_secs(200_000) + Duration::from_millis(ms)
}

fn endpoint(born: u64, state: State) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        state,
        born,
        slots: 6,
        heartbeat: 1,
        orders: 0,
        accelerator: None,
        layers: Range::default(),
    }
}

fn list(view: &mut View, revision: u64, endpoints: Vec<Endpoint>, now: Instant) {
    let endpoints: BTreeMap<_, _> = endpoints.into_iter().map(|e| (e.id.clone(), e)).collect();
    view.update_listing(Listing { position: Position::new(0, revision), endpoints }, now);
}

#[test]
fn what_an_endpoint_says_of_leaving_outlives_listings_that_show_it_as_ready() {
    let mut view = View::default();
    list(&mut view, 1, vec![endpoint(1, State::Ready)], at_ms(0));
    view.record_leaving(&endpoint(1, State::Ready).incarnation(), at_ms(100));
    assert!(!view.is_ready(&"e".into(), at_ms(100)));
    assert!(view.is_usable(&"e".into(), GRACE, at_ms(1400)));
    list(&mut view, 2, vec![], at_ms(1500));
    list(&mut view, 3, vec![endpoint(1, State::Ready)], at_ms(60_000));
    assert!(!view.is_usable(&"e".into(), GRACE, at_ms(60_000)));
}

#[test]
fn the_next_run_of_an_endpoint_that_left_gets_work() {
    let mut view = View::default();
    list(&mut view, 1, vec![endpoint(1, State::Draining)], at_ms(0));
    view.record_leaving(&endpoint(1, State::Ready).incarnation(), at_ms(0));
    list(&mut view, 2, vec![endpoint(2, State::Ready)], at_ms(9000));
    assert!(view.is_usable(&"e".into(), GRACE, at_ms(9000)));
    assert!(view.is_ready(&"e".into(), at_ms(9000)));
}

#[test]
fn a_wait_ends_at_its_time_and_its_endpoint_gets_few_requests_at_first() {
    let (mut waits, e) = (Waits::default(), endpoint(1, State::Ready).incarnation());
    assert!(waits.record(&e, Duration::from_secs(4), at_ms(0)));
    assert!(!waits.record(&e, Duration::from_secs(1), at_ms(10)));
    assert_eq!(waits.most_requests(&e, at_ms(3999)), Some(0));
    assert_eq!(waits.most_requests(&e, at_ms(4000)), Some(1));
    assert_eq!(waits.most_requests(&e, at_ms(4600)), Some(4));
    assert_eq!(waits.most_requests(&e, at_ms(6000)), None);
}

#[test]
fn the_first_end_is_told_only_if_all_that_could_get_requests_wait() {
    let mut view = View::default();
    let other = Endpoint { id: "f".into(), ..endpoint(1, State::Ready) };
    list(&mut view, 1, vec![endpoint(1, State::Ready), other.clone()], at_ms(0));
    let service = "s".into();
    view.record_wait(&other.incarnation(), Duration::from_secs(9), at_ms(0));
    assert_eq!(view.end_of_waits(&service, GRACE, at_ms(1)), None);
    view.record_wait(&endpoint(1, State::Ready).incarnation(), Duration::from_secs(5), at_ms(0));
    assert_eq!(view.end_of_waits(&service, GRACE, at_ms(1)), Some(at_ms(5000)));
    assert_eq!(view.end_of_waits(&service, GRACE, at_ms(5000)), None);
}

/// What an endpoint says at some time, or a request that comes then.
#[derive(Clone, Copy, Debug)]
enum Event {
    Waits(f64),
    Leaves,
    Restarts,
    Comes,
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let event = prop_oneof![
        1 => (0.0..2e9_f64).prop_map(Event::Waits),
        3 => (0.0..6.0_f64).prop_map(Event::Waits),
        1 => Just(Event::Leaves),
        1 => Just(Event::Restarts),
        9 => Just(Event::Comes),
    ];
    (0..700_u64, event)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_statements_and_times_let_more_requests_through_than_the_users_allow(
        events in prop::collection::vec(event(), 1..200)
    ) {
        let mut view = View::default();
        let (mut now, mut born, mut revision) = (at_ms(0), 1, 1);
        let mut waits: Vec<(Incarnation, Instant, Instant)> = vec![];
        let mut leaves: BTreeMap<Incarnation, Instant> = BTreeMap::new();
        let mut sent: Vec<(Incarnation, Instant)> = vec![];
        list(&mut view, revision, vec![endpoint(born, State::Ready)], now);
        for (passed, event) in events {
            now = now + Duration::from_millis(passed);
            let incarnation = endpoint(born, State::Ready).incarnation();
            match event {
                Event::Waits(seconds) => {
                    let wait = Duration::from_secs_f64(seconds);
                    view.record_wait(&incarnation, wait, now);
                    waits.push((incarnation, now, now + wait.min(MAX_WAIT)));
                }
                Event::Leaves => {
                    view.record_leaving(&incarnation, now);
                    leaves.entry(incarnation).or_insert(now);
                }
                Event::Restarts => {
                    born += 1;
                    revision += 1;
                    list(&mut view, revision, vec![endpoint(born, State::Ready)], now);
                }
                Event::Comes if view.is_usable(&"e".into(), GRACE, now) => {
                    sent.push((incarnation, now));
                }
                Event::Comes => {}
            }
        }
        for (incarnation, from, until) in waits {
            let from = from + Duration::from_millis(500);
            let is_within = |(to, at): &&(Incarnation, Instant)| {
                *to == incarnation && *at >= from && *at < until
            };
            prop_assert!(sent.iter().filter(is_within).count() <= MAX_IN_WAIT);
        }
        for (incarnation, since) in leaves {
            let is_late = |(to, at): &&(Incarnation, Instant)| {
                *to == incarnation && *at >= since + GRACE
            };
            prop_assert_eq!(sent.iter().filter(is_late).count(), 0);
        }
    }

    #[test]
    fn callers_come_back_after_the_wait_and_spread(wait_ms in 0..3_600_000_u64, random: u64) {
        let wait = Duration::from_millis(wait_ms);
        let back = wait::retry_after(wait, random);
        prop_assert!(back >= wait);
        prop_assert!(back <= wait.mul_f64(1.25) + Duration::from_millis(500));
    }
}
