//! The store comes back from a copy that is some seconds old, as far as it concerns endpoints.
#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time::Duration;

use oriole_core::fleet::{Endpoint, Incarnation, Listing, Position, State, Update, View};
use oriole_core::placement::{Plan, Range};
use oriole_core::time::Instant;
use proptest::prelude::*;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

/// Returns a listing of all endpoints of a site.
fn listing(era: u64, revision: u64) -> Listing {
    let mut listing = fleet_fixture::listing(&fleet_fixture::site(), &Plan::default());
    listing.position = Position::new(era, revision);
    listing
}

#[test]
fn positions_are_ordered_by_era_first() {
    let mut all = [(0, 0), (0, 7), (1, 0), (1, 3), (2, 1), (2, 1 << 39)];
    all.reverse();
    all.sort_by_key(|&(era, revision)| Position::new(era, revision));
    assert_eq!(all, [(0, 0), (0, 7), (1, 0), (1, 3), (2, 1), (2, 1 << 39)]);
    for (era, revision) in all {
        let position = Position::new(era, revision);
        assert_eq!((position.era(), position.revision()), (era, revision));
    }
}

/// Guards against listings that are ignored after a restore, since their revisions are lower.
#[test]
fn a_listing_of_a_later_era_counts_whatever_its_revision() {
    let mut view = View::default();
    view.update_listing(listing(1, 158), at(0));
    assert_eq!(view.update_listing(listing(2, 91), at(500)), Update::Unchanged);
    assert_eq!(view.listing().position, Position::new(2, 91));
    assert_eq!(view.listed_at(), Some(at(500)));
    let late = listing(1, 200);
    assert_eq!(view.update_listing(late, at(600)), Update::Ignored, "it is of an older era");
    assert_eq!(view.listed_at(), Some(at(500)));
}

/// Guards against endpoints that are taken for gone, since the copy is from before they registered.
#[test]
fn endpoints_that_are_missing_from_the_copy_have_time_to_register_again() {
    let endpoints = fleet_fixture::site();
    let mut view = View::default();
    view.update_listing(listing(1, 100), at(0));
    let mut copy = listing(2, 50);
    copy.endpoints.remove(&endpoints[3].endpoint);
    view.update_listing(copy.clone(), at(600));
    assert!(view.get(&endpoints[3].endpoint).is_some(), "it may register again");
    assert!(
        !view.hear_unbroken(Duration::from_secs(100), at(700)),
        "a peer from before says nothing"
    );
    copy.position = Position::new(2, 51);
    view.update_listing(copy.clone(), at(2_800));
    assert!(view.get(&endpoints[3].endpoint).is_some(), "it may register again");
    copy.position = Position::new(2, 52);
    view.update_listing(copy, at(3_000));
    assert!(view.get(&endpoints[3].endpoint).is_none(), "it has left");
}

/// Interval at which the endpoints of these tests register.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time for which an endpoint that drains still gets work.
const GRACE: Duration = Duration::from_millis(1_400);

/// Guards against requests to an endpoint that has left, since the copy still has its registration.
#[test]
fn an_endpoint_that_has_left_stays_away_although_the_copy_has_it() {
    let gone = fleet_fixture::site()[3].endpoint.clone();
    let with = |revision| listing(if revision < 20 { 2 } else { 1 }, revision);
    let mut view = View::new(HEARTBEAT);
    view.update_listing(with(100), at(0));
    let mut without = with(101);
    without.endpoints.remove(&gone);
    view.update_listing(without, at(600));
    assert!(view.get(&gone).is_none());
    for (revision, ms) in [(10, 1_500), (11, 2_100), (12, 5_000)] {
        view.update_listing(with(revision), at(ms));
        assert!(view.get(&gone).is_none(), "it is of the copy, at {ms} ms");
    }
    view.update_listing(with(13), at(6_400));
    assert!(view.get(&gone).is_some(), "somebody renews it");
}

#[test]
fn an_endpoint_that_has_left_and_registers_again_is_used_at_once() {
    let gone = fleet_fixture::site()[3].endpoint.clone();
    let mut view = View::new(HEARTBEAT);
    view.update_listing(listing(1, 100), at(0));
    let mut without = listing(1, 101);
    without.endpoints.remove(&gone);
    view.update_listing(without, at(600));
    let mut again = listing(2, 10);
    again.endpoints.get_mut(&gone).unwrap().heartbeat = 9;
    view.update_listing(again, at(1_500));
    assert!(view.get(&gone).is_some());
}

/// Guards against the state of an endpoint from before what entries already know of it.
#[test]
fn later_registrations_are_not_replaced_by_those_of_the_copy() {
    let endpoints = fleet_fixture::site();
    let [drains, restarted, loaded] = [1, 2, 3].map(|n: usize| endpoints[n].endpoint.clone());
    let mut view = View::new(HEARTBEAT);
    let mut newer = listing(1, 100);
    newer.endpoints.get_mut(&drains).unwrap().state = State::Draining;
    newer.endpoints.get_mut(&drains).unwrap().heartbeat = 5;
    newer.endpoints.get_mut(&restarted).unwrap().born = 2;
    newer.endpoints.get_mut(&loaded).unwrap().heartbeat = 5;
    newer.endpoints.get_mut(&loaded).unwrap().layers = Range { first: 3, end: 9 };
    view.update_listing(newer, at(0));
    view.update_listing(listing(2, 10), at(1_000));
    assert_eq!(view.get(&drains).unwrap().state, State::Draining);
    assert!(!view.is_usable(&drains, GRACE, at(1_500)));
    assert_eq!(view.get(&restarted).unwrap().born, 2);
    assert_eq!(view.get(&loaded).unwrap().layers, Range { first: 3, end: 9 });
    // After that time the store is believed, but for the end of an endpoint that has been announced.
    view.update_listing(listing(2, 11), at(6_000));
    assert_eq!(view.get(&loaded).unwrap().layers, Range::default());
    assert!(!view.is_usable(&drains, GRACE, at(6_000)));
}

/// An endpoint as it is, and its registration in the store with the time of the last renewal.
#[derive(Clone, Debug)]
struct Simulated {
    registered: Option<Endpoint>,
    renewed_at: u64,
    current: Endpoint,
    is_draining: bool,
    has_left: bool,
}

/// A store with the registrations of a few endpoints, which expire after three heartbeats.
#[derive(Clone, Debug)]
struct World {
    endpoints: Vec<Simulated>,
    position: (u64, u64),
    now_ms: u64,
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in which all endpoints register that run.
    Wait(u64),
    Drain(usize),
    Leave(usize),
    Restart(usize),
    /// The store is copied.
    Copy,
    /// The store comes back from the last copy, after an outage of some milliseconds.
    Restore(u64),
    /// The entry reads the registrations.
    Read,
    /// An answer arrives that the entry had read some readings ago, as other entries may send it.
    Late(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (50_u64..1_500).prop_map(Step::Wait),
        1 => (0_usize..5).prop_map(Step::Drain),
        1 => (0_usize..5).prop_map(Step::Leave),
        1 => (0_usize..5).prop_map(Step::Restart),
        1 => Just(Step::Copy),
        1 => (0_u64..3_000).prop_map(Step::Restore),
        6 => Just(Step::Read),
        1 => (0_usize..4).prop_map(Step::Late),
    ]
}

impl World {
    fn new() -> Self {
        let endpoints = listing(1, 1).endpoints.into_values().take(5);
        let simulated = |current: Endpoint| Simulated {
            registered: Some(current.clone()),
            renewed_at: 0,
            current,
            is_draining: false,
            has_left: false,
        };
        Self { endpoints: endpoints.map(simulated).collect(), position: (1, 1), now_ms: 0 }
    }

    fn register(&mut self) {
        for endpoint in self.endpoints.iter_mut().filter(|e| !e.has_left) {
            endpoint.current.heartbeat += 1;
            let drains = endpoint.is_draining;
            endpoint.current.state = if drains { State::Draining } else { State::Ready };
            endpoint.registered = Some(endpoint.current.clone());
            endpoint.renewed_at = self.now_ms;
            self.position.1 += 1;
        }
    }

    fn wait(&mut self, ms: u64) {
        let before = self.now_ms;
        self.now_ms += ms;
        if before / 1_200 != self.now_ms / 1_200 {
            self.register();
        }
        let now_ms = self.now_ms;
        for endpoint in &mut self.endpoints {
            endpoint.registered.take_if(|_| now_ms - endpoint.renewed_at >= 3_600);
        }
    }

    /// Comes back from a copy: registrations are as they were then, and expire anew from now on.
    fn restore(&mut self, copy: &Self) {
        self.position = (self.position.0 + 1, copy.position.1);
        for (endpoint, old) in self.endpoints.iter_mut().zip(&copy.endpoints) {
            endpoint.registered = old.registered.clone();
            endpoint.renewed_at = self.now_ms;
        }
    }

    fn listing(&self) -> Listing {
        let registered = self.endpoints.iter().filter_map(|e| e.registered.clone());
        let endpoints = registered.map(|e| (e.id.clone(), e)).collect();
        Listing { position: Position::new(self.position.0, self.position.1), endpoints }
    }
}

proptest! {
    #![proptest_config(fleet_fixture::proptest_config(512))]

    /// Endpoints that an entry knows to drain or to have left get no work, whatever copies the store comes
    /// back from, and in the end the entry knows what the store holds.
    #[test]
    fn what_is_known_of_an_end_stays_known(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        let mut copy = world.clone();
        let mut view = View::new(HEARTBEAT);
        let mut readings: Vec<(Listing, Instant)> = vec![];
        // Ends that a reading of the entry has shown, with the time of the reading.
        let mut ends: Vec<(Incarnation, u64)> = vec![];
        for step in steps {
            match step {
                Step::Wait(ms) => world.wait(ms),
                Step::Drain(n) => world.endpoints[n].is_draining = true,
                Step::Leave(n) => {
                    world.endpoints[n].has_left = true;
                    world.endpoints[n].registered = None;
                    world.position.1 += 1;
                }
                Step::Restart(n) => {
                    let endpoint = &mut world.endpoints[n];
                    (endpoint.has_left, endpoint.is_draining) = (false, false);
                    endpoint.current.born += 1;
                    endpoint.current.heartbeat = 0;
                }
                Step::Copy => copy = world.clone(),
                Step::Restore(outage_ms) => {
                    world.now_ms += outage_ms;
                    world.restore(&copy);
                }
                Step::Read => {
                    readings.push((world.listing(), at(world.now_ms)));
                    let known = view.listing().endpoints.clone();
                    let was_known = |i: &Incarnation| {
                        known.get(&i.endpoint).is_some_and(|e| e.born == i.born)
                    };
                    view.update_listing(world.listing(), at(world.now_ms));
                    for endpoint in &world.endpoints {
                        let incarnation = endpoint.current.incarnation();
                        let listed = endpoint.registered.as_ref();
                        let drains = listed.is_some_and(|e| {
                            e.state == State::Draining && e.born == incarnation.born
                        });
                        let is_gone = was_known(&incarnation) && view.get(&incarnation.endpoint).is_none();
                        let has_left = endpoint.has_left && is_gone;
                        if (drains || has_left) && !ends.iter().any(|(i, _)| *i == incarnation) {
                            ends.push((incarnation, world.now_ms));
                        }
                    }
                }
                Step::Late(n) => {
                    if let Some((listing, read_at)) = readings.iter().rev().nth(n) {
                        view.update_listing(listing.clone(), *read_at);
                    }
                }
            }
            for (incarnation, seen_ms) in &ends {
                let is_same = view.get(&incarnation.endpoint).is_some_and(|e| e.born == incarnation.born);
                let is_due = Duration::from_millis(world.now_ms - seen_ms) >= GRACE;
                let now = at(world.now_ms);
                let is_used = is_same && view.is_usable(&incarnation.endpoint, GRACE, now);
                prop_assert!(!(is_due && is_used), "{incarnation:?} gets work at {} ms", world.now_ms);
            }
        }
        for _ in 0..8 {
            world.wait(1_200);
            view.update_listing(world.listing(), at(world.now_ms));
        }
        prop_assert_eq!(&view.listing().endpoints, &world.listing().endpoints);
    }
}
