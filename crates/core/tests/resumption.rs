//! Tests of how a process finds that it was paused.

use std::time::Duration;

use oriole_core::fleet::resumption::Resumption;
use oriole_core::time::Instant;

fn at_ms(ms: u64) -> Instant {
    Instant::default() + Duration::from_secs(1000) + Duration::from_millis(ms)
}

#[test]
fn a_process_that_was_paused_waits_for_a_listing_from_after_the_pause() {
    let mut resumption = Resumption::default();
    for ms in [0, 200, 400, 1400] {
        assert_eq!(resumption.tick(at_ms(ms), ms), None);
        assert!(!resumption.is_settling(Some(at_ms(0)), at_ms(ms)));
    }
    assert_eq!(resumption.tick(at_ms(4400), 4400), Some(Duration::from_secs(3)));
    assert!(resumption.is_settling(Some(at_ms(1400)), at_ms(4410)));
    assert!(resumption.is_settling(None, at_ms(4410)));
    assert!(!resumption.is_settling(Some(at_ms(4405)), at_ms(4410)));
}

#[test]
fn a_process_does_not_wait_for_long_while_the_store_is_away() {
    let mut resumption = Resumption::default();
    resumption.tick(at_ms(0), 0);
    resumption.tick(at_ms(9000), 9000);
    assert!(resumption.is_settling(Some(at_ms(0)), at_ms(9300)));
    assert!(!resumption.is_settling(Some(at_ms(0)), at_ms(9500)));
}

#[test]
fn a_host_that_was_suspended_is_found_by_the_time_of_day() {
    let mut resumption = Resumption::default();
    resumption.tick(at_ms(0), 1_000);
    assert_eq!(resumption.tick(at_ms(200), 8_000), Some(Duration::from_secs(7)));
    assert!(resumption.is_settling(Some(at_ms(100)), at_ms(210)));
    // The time of day is set back.
    assert_eq!(resumption.tick(at_ms(400), 3_000), None);
}
