//! Tests of how failures weigh in the choice of an endpoint of a plain service.

use std::time::Duration;

use oriole_core::forward::choice::Failures;
use oriole_core::name;
use oriole_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

/// Guards against an endpoint that gets hardly any request for seconds after it can be reached again, and against one
/// whose other failures are forgotten with it.
#[test]
fn requests_that_were_not_sent_weigh_until_the_endpoint_is_reached_again() {
    let id: name::Endpoint = "e".into();
    let mut failures = Failures::default();
    for _ in 0..4 {
        failures.add_unreached(&id, at(0));
    }
    assert_eq!(failures.weight(&id, at(0)), 4.0);
    assert_eq!(failures.failing(at(0)), std::slice::from_ref(&id));
    failures.reach(&id);
    assert_eq!(failures.weight(&id, at(0)), 0.0);
    failures.add(&id, at(0));
    failures.add_unreached(&id, at(0));
    failures.reach(&id);
    assert_eq!(failures.weight(&id, at(0)), 1.0);
    assert_eq!(failures.weight(&id, at(2000)), 0.5);
}

/// Guards against weights that grow with the failures without a bound.
#[test]
fn the_weight_of_failures_of_all_kinds_is_bounded() {
    let id: name::Endpoint = "e".into();
    let mut failures = Failures::default();
    for _ in 0..100 {
        failures.add(&id, at(0));
        failures.add_unreached(&id, at(0));
    }
    assert_eq!(failures.weight(&id, at(0)), 8.0);
}
