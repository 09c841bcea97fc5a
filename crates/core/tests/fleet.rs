//! What entries ask each other for when a change reaches some of them first.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use oriole_core::fleet::lag::Lag;
use oriole_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

#[test]
fn one_of_many_entries_that_are_ahead_is_asked() {
    let mut lag = Lag::default();
    // Thirty entries tell of a newer table, one each 20 ms.
    let asked = (0..30).filter(|i| lag.ask(true, at(i * 20))).count();
    assert_eq!(asked, 2, "once after the store's time, once more when no answer came in 400 ms");
}

#[test]
fn the_store_is_given_time_to_deliver_a_change() {
    let mut lag = Lag::default();
    assert!(!lag.ask(true, at(0)));
    assert!(!lag.ask(true, at(140)));
    lag.clear();
    assert!(!lag.ask(true, at(200)));
    assert!(lag.ask(true, at(350)));
}

#[test]
fn entries_that_are_not_ahead_are_not_asked() {
    let mut lag = Lag::default();
    assert!(!lag.ask(true, at(0)));
    assert!(!lag.ask(false, at(500)));
    assert!(lag.ask(true, at(510)));
}
