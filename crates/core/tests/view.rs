//! Tests of what an entry knows of endpoints, and of which it may use.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use fleet_fixture::{Fixture, GRACE, listing, service, site};
use oriole_core::fleet::{Cause, Incarnation, Position, State, Update};
use oriole_core::placement::Plan;
use oriole_core::time::Instant;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

#[test]
fn forwarded_findings_do_not_renew_the_unhealthy_period() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&id, at_ms(0));
    let reported = fixture.view.unhealthy(at_ms(4_000));
    assert_eq!((reported.len(), reported[0].1), (1, 4_000));
    let mut other = Fixture::new(at_ms(0));
    assert!(other.view.mark_unhealthy(&reported[0].0, Cause::Peer, at_ms(0), at_ms(4_000)));
    assert!(!fixture.view.mark_unhealthy(&reported[0].0, Cause::Peer, at_ms(0), at_ms(4_000)));
    assert!(other.view.is_unhealthy(&id, at_ms(5_900)));
    assert!(!other.view.is_unhealthy(&id, at_ms(6_100)));
}

#[test]
fn a_restarted_endpoint_is_not_unhealthy() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&id, at_ms(0));
    assert!(fixture.view.is_unhealthy(&id, at_ms(1)));
    let mut listing = fixture.view.listing().clone();
    listing.position = Position::new(0, listing.position.revision() + 1);
    listing.endpoints.get_mut(&id).unwrap().born = 2;
    fixture.view.update_listing(listing, at_ms(10));
    assert!(!fixture.view.is_unhealthy(&id, at_ms(10)));
}

#[test]
fn a_draining_endpoint_gets_no_work_after_the_grace_period() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    let mut listing = fixture.view.listing().clone();
    listing.position = Position::new(0, listing.position.revision() + 1);
    listing.endpoints.get_mut(&id).unwrap().state = State::Draining;
    fixture.view.update_listing(listing, at_ms(0));
    assert!(fixture.view.is_usable(&id, GRACE, at_ms(700)));
    assert!(!fixture.view.is_usable(&id, GRACE, at_ms(800)));
    assert!(!fixture.view.is_ready(&id, at_ms(0)));
}

/// Entries that learn late that an endpoint leaves must not send work to it after its drain time.
#[test]
fn an_endpoint_counts_as_draining_from_the_listing_before_the_one_that_says_so() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    let mut listing = fixture.view.listing().clone();
    for (revision, ms) in [(1, 1_000), (2, 1_700), (3, 3_700)] {
        listing.position = Position::new(0, listing.position.revision() + revision);
        if ms == 3_700 {
            listing.endpoints.get_mut(&id).unwrap().state = State::Draining;
        }
        fixture.view.update_listing(listing.clone(), at_ms(ms));
    }
    assert!(!fixture.view.is_usable(&id, GRACE, at_ms(3_700)));
    assert!(fixture.view.is_usable(&id, GRACE * 3, at_ms(4_000)));
}

#[test]
fn a_listing_of_an_earlier_position_is_ignored() {
    let mut fixture = Fixture::new(at_ms(0));
    let mut older = fixture.view.listing().clone();
    older.position = Position::new(0, 0);
    older.endpoints.clear();
    assert_eq!(fixture.view.update_listing(older, at_ms(50)), Update::Ignored);
    assert!(!fixture.view.listing().endpoints.is_empty());
}

#[test]
fn usable_endpoints_change_with_time_only_while_a_period_runs() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[1].endpoint.clone();
    assert!(fixture.view.has_no_pending_expiry(GRACE, at_ms(0)));
    fixture.view.pause(&id, at_ms(0));
    assert!(!fixture.view.has_no_pending_expiry(GRACE, at_ms(399)));
    assert!(fixture.view.has_no_pending_expiry(GRACE, at_ms(400)));
    fixture.mark_unhealthy(&id, at_ms(1_000));
    assert!(!fixture.view.has_no_pending_expiry(GRACE, at_ms(6_999)));
    assert!(fixture.view.has_no_pending_expiry(GRACE, at_ms(7_000)));
}

/// Guards against an entry with a slow link, which gets no answer from healthy endpoints, marking
/// them as unhealthy for all entries.
#[test]
fn an_endpoint_is_unhealthy_once_several_entries_get_no_answer() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[1].endpoint.clone();
    let incarnation = Incarnation { endpoint: id.clone(), born: 1 };
    for ms in [0, 300, 600] {
        assert!(!fixture.view.suspect(&incarnation, "slow".into(), 4, at_ms(ms)));
    }
    // The first suspicions are too old to be counted together with this one.
    assert!(!fixture.view.suspect(&incarnation, "other".into(), 4, at_ms(2_700)));
    assert!(!fixture.view.is_unhealthy(&id, at_ms(2_700)));
    assert!(fixture.view.suspect(&incarnation, "third".into(), 4, at_ms(2_800)));
    assert!(fixture.view.is_unhealthy(&id, at_ms(2_800)));
    let mut large = Fixture::new(at_ms(0));
    for (n, host) in ["a", "b", "c", "d"].into_iter().enumerate() {
        assert_eq!(large.view.suspect(&incarnation, host.into(), 29, at_ms(0)), n == 3);
    }
    let mut alone = Fixture::new(at_ms(0));
    assert!(alone.view.suspect(&incarnation, "only".into(), 1, at_ms(0)));
}

/// Guards against dropping endpoints whose leases expired while the store was unavailable: they
/// register again within two seconds of its return.
#[test]
fn endpoints_whose_leases_expired_in_an_outage_have_time_to_register_again() {
    let mut fixture = Fixture::new(at_ms(0));
    let all = fixture.view.listing().endpoints.len();
    let listed = |revision, count| {
        let mut listing = listing(&site(), &Plan::default());
        listing.position = Position::new(0, revision);
        listing.endpoints = listing.endpoints.into_iter().take(count).collect();
        listing
    };
    // Without an outage, a missing endpoint is removed at once.
    fixture.view.update_listing(listed(2, all - 1), at_ms(600));
    assert_eq!(fixture.view.listing().endpoints.len(), all - 1);
    fixture.view.update_listing(listed(3, 3), at_ms(6_600));
    assert_eq!(fixture.view.listing().endpoints.len(), all - 1);
    fixture.view.update_listing(listed(4, 20), at_ms(7_200));
    assert_eq!(fixture.view.listing().endpoints.len(), all - 1);
    // Endpoints that are still missing after two seconds are removed.
    fixture.view.update_listing(listed(5, 30), at_ms(7_800));
    fixture.view.update_listing(listed(6, 30), at_ms(8_400));
    fixture.view.update_listing(listed(7, 30), at_ms(9_000));
    assert_eq!(fixture.view.listing().endpoints.len(), 30);
}

#[test]
fn a_report_overrides_registrations_written_before_it() {
    let mut fixture = Fixture::new(at_ms(0));
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    let layers = oriole_core::placement::Range { first: 3, end: 9 };
    fixture.view.record_layers(&Incarnation { endpoint: id.clone(), born: 1 }, layers, 4);
    let listed = |heartbeat| {
        let mut listing = listing(&site(), &fixture.plan);
        listing.position = Position::new(0, heartbeat);
        listing.endpoints.get_mut(&id).unwrap().heartbeat = heartbeat;
        listing
    };
    fixture.view.update_listing(listed(2), at_ms(10));
    assert_eq!(fixture.view.get(&id).unwrap().layers, layers);
    assert_eq!(fixture.view.get(&id).unwrap().orders, 4);
    // A registration that is two heartbeats later is certainly newer.
    fixture.view.update_listing(listed(3), at_ms(20));
    assert_ne!(fixture.view.get(&id).unwrap().layers, layers);
}
