//! Load pattern: the number of entries grows, while the rates of the store do not.

use std::time::Duration;

use oriole_core::fleet::freshness::Freshness;
use oriole_core::fleet::polling;
use oriole_core::time::Instant;

/// Share of the drain time for which a listed endpoint still gets work after it began to drain.
const GRACE_FRACTION: f64 = 0.4;

fn reads_per_s(entries: usize, drain: Duration) -> f64 {
    let readers = (0..entries).filter(|rank| {
        polling::listing_age_limit(*rank, drain) <= polling::listing_request_age(drain)
    });
    readers.map(|rank| 1.0 / polling::listing_age_limit(rank, drain).as_secs_f64()).sum()
}

#[test]
fn reads_of_registrations_do_not_grow_with_the_entries() {
    for drain in [Duration::from_secs(2), Duration::from_secs(3)] {
        let few = reads_per_s(3, drain);
        assert!(few > 0.0);
        for entries in [10, 27, 68, 370] {
            assert!(reads_per_s(entries, drain) <= few, "{entries} entries");
        }
    }
}

#[test]
fn an_entry_that_hears_nobody_still_sees_drains_in_time() {
    for drain in [Duration::from_secs(2), Duration::from_secs(3)] {
        for rank in [0, 2, 3, 26, 369] {
            let limit = polling::listing_age_limit(rank, drain);
            assert!(limit + drain.mul_f64(GRACE_FRACTION) < drain, "rank {rank}");
        }
    }
}

/// Guards against a first plan from the endpoints of one read, while the others still register.
#[test]
fn endpoints_that_register_between_two_reads_belong_to_the_first_plan() {
    for drain in [Duration::from_secs(2), Duration::from_secs(3), Duration::from_secs(5)] {
        let read_interval = polling::listing_age_limit(0, drain);
        assert!(polling::settling_time(drain) >= read_interval.mul_f64(1.5));
    }
}

#[test]
fn calls_of_many_entries_together_are_spread_and_bounded() {
    let shortest = Duration::from_millis(1200);
    for random in [0, u64::MAX / 2, u64::MAX] {
        let alone = polling::spread(shortest, 1, random);
        assert!(alone <= shortest && alone >= shortest.mul_f64(0.75));
        let many = polling::spread(shortest, 27, random);
        assert!(many >= alone * 4 && many <= shortest * 5);
    }
    assert!(polling::spread(shortest, 27, 0) < polling::spread(shortest, 27, u64::MAX));
}

/// Bounds of deployments: time without disturbance, time for a configuration, drain time.
const BOUNDS: [[u64; 3]; 4] = [[2, 1, 1], [3, 2, 2], [4, 3, 3], [5, 4, 4]];

/// Guards against an entry that still pauses after a lost call when it must keep all bounds again.
#[test]
fn a_call_lost_at_the_end_of_a_disturbance_is_made_good_while_the_bounds_are_suspended() {
    for [contact, ..] in BOUNDS.map(|b| b.map(Duration::from_secs)) {
        for entries in [1, 4, 20, 27, 68, 370] {
            let pause = polling::retry_pause(entries, contact, u64::MAX);
            // The call that succeeds takes a tenth of the time.
            let longest = polling::call_timeout(contact) + pause + contact / 10;
            assert!(longest < contact, "{entries} entries, {contact:?}: {longest:?}");
        }
    }
}

#[test]
fn an_entry_that_hears_nobody_reads_a_new_table_in_time() {
    for [contact, apply, _] in BOUNDS.map(|b| b.map(Duration::from_secs)) {
        for rank in [0, 2, 3, 26, 369] {
            let limit = polling::table_age_limit(rank, apply);
            assert!(limit + apply / 10 < apply, "rank {rank}");
            // An answer that was held up until the end of a disturbance looks as if it were new.
            assert!(limit + contact / 10 < contact, "rank {rank}");
        }
    }
}

#[test]
fn what_a_peer_knows_counts_unless_it_has_a_newer_version() {
    let at = |ms| Instant::default() + Duration::from_millis(ms);
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(at(0)), None);
    freshness.confirm(at(100));
    freshness.hear(4, 4, at(900));
    assert_eq!(freshness.age(at(1000)), Some(Duration::from_millis(100)));
    assert_eq!(freshness.store_age(at(1000)), Some(Duration::from_millis(900)));
    freshness.hear(5, 4, at(1500));
    assert_eq!(freshness.age(at(2000)), Some(Duration::from_millis(1100)));
    freshness.hear(3, 4, at(1600));
    assert_eq!(freshness.age(at(2000)), Some(Duration::from_millis(400)));
    freshness.confirm(at(500));
    assert_eq!(freshness.store_age(at(2000)), Some(Duration::from_millis(1500)));
}
