//! Load pattern: the number of entries grows, while the rates of the store do not.

use std::time::Duration;

use oriole_core::fleet::polling;

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
