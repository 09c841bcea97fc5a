//! Tests of what entries request from each other, and of registrations that are missing after a
//! start.
#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time::Duration;

use oriole_core::fleet::lag::Lag;
use oriole_core::fleet::{Incarnation, Position, View};
use oriole_core::placement::{Plan, Range, revise};
use oriole_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

#[test]
fn only_one_of_many_peers_that_are_ahead_is_asked_at_a_time() {
    let mut lag = Lag::default();
    // Thirty peers announce a newer table, one every 20 ms.
    let asked = (0..30).filter(|i| lag.should_ask(true, at(i * 20))).count();
    assert_eq!(
        asked, 2,
        "once after the grace period of the store, again after 400 ms without an answer"
    );
}

#[test]
fn the_store_has_time_to_deliver_a_change() {
    let mut lag = Lag::default();
    assert!(!lag.should_ask(true, at(0)));
    assert!(!lag.should_ask(true, at(140)));
    lag.clear();
    assert!(!lag.should_ask(true, at(200)));
    assert!(lag.should_ask(true, at(350)));
}

#[test]
fn peers_that_are_not_ahead_are_not_asked() {
    let mut lag = Lag::default();
    assert!(!lag.should_ask(true, at(0)));
    assert!(!lag.should_ask(false, at(500)));
    assert!(lag.should_ask(true, at(510)));
}

/// Guards against a plan without endpoints that have yet to register again, which would move layers
/// of the others. It comes about if all entries restart soon after leases have expired.
#[test]
fn a_started_process_waits_for_endpoints_that_are_not_listed_yet() {
    let endpoints = fleet_fixture::site();
    let chains = revise::revise(&fleet_fixture::model(), &[], &endpoints);
    let services = [(fleet_fixture::service(), chains)].into();
    let plan = Plan { number: 1, position: Position::new(0, 1), services };
    let whole = fleet_fixture::listing(&endpoints, &plan);
    let mut part = whole.clone();
    part.endpoints.retain(|id, _| id.as_str() < "e-010");
    let mut view = View::default();
    view.update_listing(part.clone(), at(0));
    assert!(view.may_reregister(&plan, at(100)));
    view.update_listing(part.clone(), at(1_100));
    view.update_listing(part, at(2_200));
    assert!(view.may_reregister(&plan, at(2_200)));
    assert!(!view.may_reregister(&plan, at(2_400)), "endpoints that are still missing are removed");
    view.update_listing(whole, at(2_500));
    assert!(!view.may_reregister(&plan, at(2_500)));
}

/// Guards against telling peers of endpoints that left during an outage, from which the peers would
/// count their own time to register again.
#[test]
fn endpoints_that_have_not_registered_again_are_not_told_to_peers() {
    let endpoints = fleet_fixture::site();
    let mut view = View::default();
    view.update_listing(fleet_fixture::listing(&endpoints, &Plan::default()), at(0));
    let gone = endpoints[3].endpoint.clone();
    let mut after = fleet_fixture::listing(&endpoints, &Plan::default());
    after.position = Position::new(0, 2);
    after.endpoints.remove(&gone);
    view.update_listing(after.clone(), at(6_000));
    assert!(view.get(&gone).is_some(), "it may still register again");
    assert!(!view.is_registered(&gone) && view.is_registered(&endpoints[4].endpoint));
    assert_eq!(view.registered(), after);
    // The entry that is told counts its own time, which ends no later.
    let mut peer = View::default();
    peer.update_listing(view.registered(), at(6_500));
    assert!(peer.get(&gone).is_none());
}

/// Among many entries listings come more than 2 s apart; an endpoint that left must not be used on.
#[test]
fn single_endpoints_that_are_missing_from_a_late_listing_have_left() {
    let endpoints = fleet_fixture::site();
    let all = fleet_fixture::listing(&endpoints, &Plan::default());
    let mut view = View::default();
    let gone = endpoints[3].endpoint.clone();
    for (revision, ms) in [(1, 0), (2, 2_200), (3, 4_400), (4, 6_600)] {
        let mut listing = all.clone();
        listing.position = Position::new(0, revision);
        if revision > 1 {
            listing.endpoints.remove(&gone);
        }
        view.update_listing(listing, at(10_000 + ms));
        assert_eq!(view.get(&gone).is_some(), revision == 1, "listing {revision}");
    }
}

#[test]
fn many_endpoints_that_are_missing_from_a_late_listing_may_register_again() {
    let endpoints = fleet_fixture::site();
    let all = fleet_fixture::listing(&endpoints, &Plan::default());
    let mut view = View::default();
    view.update_listing(all.clone(), at(10_000));
    let mut rest = all.clone();
    rest.position = Position::new(0, rest.position.revision() + 1);
    rest.endpoints.retain(|id, _| *id == endpoints[0].endpoint);
    view.update_listing(rest, at(12_500));
    assert_eq!(view.listing().endpoints.len(), all.endpoints.len());
}

/// Guards against work for an endpoint that left while this entry alone was cut off from the store.
#[test]
fn an_endpoint_that_left_while_this_entry_was_cut_off_is_dropped_when_a_peer_saw_the_store() {
    let endpoints = fleet_fixture::site();
    let all = fleet_fixture::listing(&endpoints, &Plan::default());
    let gone = endpoints[3].endpoint.clone();
    let mut rest = all.clone();
    rest.position = Position::new(0, rest.position.revision() + 1);
    rest.endpoints.remove(&gone);
    let mut peer = View::default();
    let mut view = View::default();
    view.update_listing(all.clone(), at(10_000));
    for n in 0..=7 {
        let listing = if n < 3 { &all } else { &rest };
        peer.update_listing(listing.clone(), at(9_000 + n * 900));
    }
    view.update_listing(rest.clone(), at(15_500));
    assert!(view.get(&gone).is_some(), "the store may have been away");
    // A peer that knows the store for a shorter time than the gap says nothing about it.
    assert!(!view.hear_unbroken(Duration::from_millis(5000), at(15_600)));
    assert!(view.get(&gone).is_some());
    assert!(view.hear_unbroken(peer.unbroken(at(15_600)), at(15_600)));
    assert!(view.get(&gone).is_none());
    // The next listings do not bring it back.
    rest.position = Position::new(0, rest.position.revision() + 1);
    view.update_listing(rest, at(16_400));
    assert!(view.get(&gone).is_none());
}

#[test]
fn peers_that_missed_the_store_in_the_same_gap_do_not_end_the_time_to_register_again() {
    let endpoints = fleet_fixture::site();
    let all = fleet_fixture::listing(&endpoints, &Plan::default());
    let mut few = all.clone();
    few.position = Position::new(0, few.position.revision() + 1);
    few.endpoints.retain(|id, _| *id == endpoints[0].endpoint);
    let [mut view, mut peer] = [View::default(), View::default()];
    view.update_listing(all.clone(), at(10_000));
    peer.update_listing(all.clone(), at(10_300));
    view.update_listing(few, at(18_000));
    // Before the peer's first listing after the outage, and after it.
    assert!(!view.hear_unbroken(peer.unbroken(at(18_100)), at(18_100)));
    peer.update_listing(all.clone(), at(18_200));
    assert!(!view.hear_unbroken(peer.unbroken(at(18_300)), at(18_300)));
    assert_eq!(view.listing().endpoints.len(), all.endpoints.len());
}

/// Guards against layers that are told to nobody, since the registration was read before the report.
#[test]
fn a_report_that_differs_from_the_last_one_is_told_although_the_registration_says_the_same() {
    let endpoints = fleet_fixture::site();
    let mut listing = fleet_fixture::listing(&endpoints, &Plan::default());
    let id = endpoints[3].endpoint.clone();
    let incarnation = Incarnation { endpoint: id.clone(), born: 1 };
    let (empty, loaded) = (Range::default(), Range { first: 50, end: 55 });
    let mut view = View::default();
    view.update_listing(listing.clone(), at(0));
    assert!(view.record_layers(&incarnation, empty, 1), "the order is new");
    listing.position = Position::new(0, listing.position.revision() + 1);
    let registration = listing.endpoints.get_mut(&id).unwrap();
    (registration.layers, registration.heartbeat) = (loaded, 3);
    view.update_listing(listing, at(100));
    assert_eq!(view.get(&id).unwrap().layers, loaded);
    assert!(view.record_layers(&incarnation, loaded, 1), "others still go by the first report");
    assert!(!view.record_layers(&incarnation, loaded, 1));
}
