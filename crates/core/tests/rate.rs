//! Load pattern: an endpoint in need takes a few requests a second from all entries together.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::time::Duration;

use oriole_core::fleet::Incarnation;
use oriole_core::forward::rate::{self, Limits, Notice, Permits, Reply, Statement};
use oriole_core::name;
use oriole_core::time::Instant;
use proptest::prelude::*;

/// Window of the users' bound.
const WINDOW_MS: u64 = 4000;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

fn endpoint() -> name::Endpoint {
    "e-1".into()
}

fn incarnation(born: u64) -> Incarnation {
    Incarnation { endpoint: endpoint(), born }
}

/// The users' bound: one and a half times what the limit allows, and five requests.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW_MS as f64 / 1000.0 + 5.0
}

proptest! {
    #![proptest_config(fleet_fixture::proptest_config(128))]

    /// Permits may be used at any time until they expire, at any entry.
    #[test]
    fn permits_that_can_be_used_in_any_window_stay_within_the_limit(
        rate in prop_oneof![Just(0.0), 0.01_f64..2.0, 2.0_f64..60.0],
        pauses in prop::collection::vec(0_u64..400, 400),
    ) {
        let (mut granting, mut holding) = (Permits::default(), Permits::default());
        let (mut now, mut usable) = (0, vec![]);
        for pause in pauses {
            now += pause;
            if granting.grant(&endpoint(), rate, at(now)) == Reply::Granted {
                holding.receive(&endpoint(), Reply::Granted, at(now));
                usable.push(now);
            }
        }
        let last = *usable.last().unwrap();
        let lifetime = (0..).find(|ms| !holding.has(&endpoint(), at(last + ms))).unwrap();
        for (first, from) in usable.iter().enumerate() {
            let until = from + lifetime + WINDOW_MS;
            let count = usable[first..].iter().take_while(|ms| **ms < until).count();
            prop_assert!(count as f64 <= allowed(rate), "{count} of {rate} a second");
        }
    }

    #[test]
    fn what_is_requested_often_is_granted_at_the_limit(rate in 0.5_f64..60.0) {
        let mut permits = Permits::default();
        let seconds = 40;
        let granted = (0..seconds * 1000)
            .step_by(5)
            .filter(|ms| permits.grant(&endpoint(), rate, at(*ms)) == Reply::Granted)
            .count() as f64;
        let due = rate * seconds as f64;
        prop_assert!(granted >= 0.9 * due - 1.0 && granted <= due + 2.0 + rate, "{granted} of {due}");
    }
}

#[test]
fn the_time_until_a_permit_is_due_is_told() {
    let mut permits = Permits::default();
    assert_eq!(permits.grant(&endpoint(), 2.0, at(0)), Reply::Granted);
    let Reply::Refused(wait_ms) = permits.grant(&endpoint(), 2.0, at(0)) else {
        panic!("more than the limit was granted");
    };
    assert_eq!(permits.grant(&endpoint(), 2.0, at(wait_ms)), Reply::Granted);
}

#[test]
fn one_permit_is_requested_at_a_time_and_none_while_it_is_refused() {
    let mut permits = Permits::default();
    assert!(permits.request(&endpoint(), at(0)));
    assert!(!permits.request(&endpoint(), at(100)), "the reply is awaited");
    assert!(permits.request(&endpoint(), at(400)), "the reply was lost");
    permits.receive(&endpoint(), Reply::Refused(700), at(500));
    assert!(!permits.request(&endpoint(), at(1100)));
    assert!(permits.request(&endpoint(), at(1200)));
    permits.receive(&endpoint(), Reply::Granted, at(1210));
    assert!(permits.has(&endpoint(), at(1220)));
    assert!(permits.take(&endpoint(), at(1220)) && !permits.take(&endpoint(), at(1230)));
}

#[test]
fn a_limit_holds_until_a_later_request_is_answered_without_one() {
    let mut limits = Limits::default();
    assert!(limits.record(&incarnation(1), Statement::Limit(10.0), at(0), at(100)));
    assert_eq!(limits.limit(&incarnation(1)), Some(10.0));
    // Sent before the limit was named, answered after it.
    assert!(!limits.record(&incarnation(1), Statement::Unlimited, at(50), at(200)));
    assert!(!limits.record(&incarnation(1), Statement::Unreadable, at(300), at(400)));
    assert!(limits.record(&incarnation(1), Statement::Limit(2.5), at(500), at(600)));
    assert_eq!(limits.limit(&incarnation(1)), Some(2.5));
    assert!(limits.record(&incarnation(1), Statement::Unlimited, at(700), at(800)));
    assert_eq!(limits.limit(&incarnation(1)), None);
}

#[test]
fn a_limit_ends_with_the_run_of_the_endpoint() {
    let mut limits = Limits::default();
    limits.record(&incarnation(1), Statement::Limit(10.0), at(0), at(100));
    assert_eq!(limits.limit(&incarnation(2)), None);
    limits.record(&incarnation(2), Statement::Limit(3.0), at(200), at(300));
    assert!(!limits.record(&incarnation(1), Statement::Limit(10.0), at(400), at(500)));
    assert_eq!(limits.limit(&incarnation(2)), Some(3.0));
}

#[test]
fn what_others_tell_counts_by_its_age() {
    let mut limits = Limits::default();
    let notice = |rate, age_ms| Notice { incarnation: incarnation(1), rate, age_ms };
    assert!(limits.hear(&notice(Some(10.0), 0), at(1000)));
    assert!(!limits.hear(&notice(None, 500), at(1200)), "the limit was named since");
    assert!(limits.hear(&notice(None, 0), at(1300)));
    assert!(!limits.hear(&notice(Some(10.0), 400), at(1400)), "it has ended since");
    assert!(!limits.hear(&notice(Some(f64::NAN), 0), at(1500)));
    assert!(!limits.hear(&notice(Some(-1.0), 0), at(1600)));
    // The end is told on, so that an entry that missed it hears of it.
    assert_eq!(limits.notices(at(1500)), [notice(None, 200)]);
    assert!(limits.notices(at(20_000)).is_empty());
}

#[test]
fn all_entries_together_probe_an_endpoint_at_a_part_of_its_limit() {
    for rate in [0.0, 1.6, 10.0] {
        for entries in [1, 4, 27, 370] {
            let probes = entries as f64 / rate::probe_interval(rate, entries).as_secs_f64();
            assert!(probes <= rate.max(0.1) / 3.0);
        }
    }
}
