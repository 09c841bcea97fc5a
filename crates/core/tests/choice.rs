//! Tests of how failures weigh in the choice of an endpoint of a plain service.

use std::time::Duration;

use oriole_core::forward::choice::{Failures, Notice};
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

/// Guards against entries that each find out for themselves that a first stage sends what is no answer, against echoes
/// that make failures count more than once, and against an entry that has just started and knows nothing.
#[test]
fn failures_of_all_entries_count_together_and_once() {
    let id: name::Endpoint = "e".into();
    let mut entries = [(); 4].map(|()| Failures::default());
    for entry in &mut entries[..3] {
        entry.add_no_answer(&id, at(0));
    }
    for _ in 0..5 {
        let told = [0, 1, 2, 3].map(|n| entries[n].tell(at(0)));
        for (n, entry) in entries.iter_mut().enumerate() {
            told.iter()
                .enumerate()
                .filter(|(m, _)| *m != n)
                .for_each(|(_, t)| entry.hear(t, at(0)));
        }
    }
    for entry in &entries {
        assert_eq!(entry.weight(&id, at(0)), 3.0);
    }
    let weights = entries[0].told_weights(at(1000));
    let mut started = Failures::default();
    started.hear(&Notice { weights, ..Notice::default() }, at(1000));
    assert!((started.weight(&id, at(1000)) - entries[0].weight(&id, at(1000))).abs() < 1e-9);
    assert!(entries[0].told_weights(at(20_000)).is_empty());
}

/// Guards against numbers of another process that no entry of this version tells.
#[test]
fn what_other_entries_tell_is_bounded() {
    let id = |n: u32| name::Endpoint::from(format!("e{n}").as_str());
    let notice = Notice {
        new: (0..1000).map(|n| (id(n), u32::MAX)).collect(),
        weights: (0..1000).map(|n| (id(n), f64::INFINITY)).chain([(id(1), f64::NAN)]).collect(),
    };
    let mut failures = Failures::default();
    failures.hear(&notice, at(0));
    assert!((0..1000).all(|n| failures.weight(&id(n), at(0)) <= 8.0));
    assert!(failures.failing(at(0)).len() <= 128);
}
