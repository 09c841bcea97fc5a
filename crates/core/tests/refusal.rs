//! Load pattern: endpoints that leave refuse requests while the store cannot tell that they do.

use oriole_core::fleet::refusal::Pauses;
use oriole_core::name;
use oriole_core::time::Instant;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

/// Counts the requests that an endpoint refuses within 10 s, if each of `entries` entries sends one
/// as soon as it may and tells the others.
fn refusals(entries: usize) -> usize {
    let endpoint: name::Endpoint = "e-1".into();
    let mut views: Vec<Pauses> = (0..entries).map(|_| Pauses::default()).collect();
    let mut count = 0;
    for ms in (0..10_000).step_by(10) {
        let sender = (ms / 10) as usize % entries;
        if views[sender].is_paused(&endpoint, at_ms(ms)) {
            continue;
        }
        count += 1;
        for view in &mut views {
            view.record(&endpoint, at_ms(ms));
        }
    }
    count
}

#[test]
fn an_endpoint_that_keeps_refusing_is_tried_rarely_by_all_entries_together() {
    // Pauses of 0.4, 0.8, 1.6, 3.2 and 3.2 s.
    assert_eq!(refusals(1), 6);
    assert_eq!(refusals(27), 6);
}

#[test]
fn refusals_within_a_pause_do_not_lengthen_it() {
    let endpoint: name::Endpoint = "e-1".into();
    let mut pauses = Pauses::default();
    assert!(pauses.record(&endpoint, at_ms(0)));
    for ms in (10..400).step_by(10) {
        assert!(!pauses.record(&endpoint, at_ms(ms)));
    }
    assert!(pauses.is_paused(&endpoint, at_ms(399)) && !pauses.are_over(at_ms(399)));
    assert!(!pauses.is_paused(&endpoint, at_ms(400)) && pauses.are_over(at_ms(400)));
}

#[test]
fn a_single_refusal_later_on_counts_as_the_first() {
    let endpoint: name::Endpoint = "e-1".into();
    let mut pauses = Pauses::default();
    for ms in [0, 500, 1_500] {
        assert!(pauses.record(&endpoint, at_ms(ms)));
    }
    assert!(pauses.is_paused(&endpoint, at_ms(3_000)));
    assert!(pauses.record(&endpoint, at_ms(4_200)));
    assert!(!pauses.is_paused(&endpoint, at_ms(4_600)));
    pauses.retain(|_| false);
    assert!(pauses.are_over(at_ms(4_300)));
}
