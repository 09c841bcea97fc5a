//! Tests of the bound on the memory that callers use, and of who gives way to whom.

#![allow(clippy::unwrap_used)] // test helpers panic on failure, as the tests do

use oriole_core::forward::memory::{FREE_BYTES, Full, Pool};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MB: usize = 1024 * 1024;

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1000)
}

/// Guards against a bound for one body that is none for all.
#[test]
fn many_leases_share_one_bound() {
    let mut pool = Pool::new(10 * MB);
    let granted = (0..100).filter(|_| {
        let key = pool.begin(at(0));
        pool.resize(key, 2 * MB, at(0)).is_ok()
    });
    assert_eq!(granted.count(), 4);
    assert!(pool.peak() <= 10 * MB);
}

/// Guards against ordinary requests that are refused since large ones have taken all memory.
#[test]
fn small_leases_find_room_beside_large_ones() {
    let mut pool = Pool::new(10 * MB);
    for _ in 0..100 {
        let key = pool.begin(at(0));
        let _ = pool.resize(key, MB, at(0));
    }
    for _ in 0..20 {
        let key = pool.begin(at(0));
        assert_eq!(pool.resize(key, 60 * 1024, at(0)), Ok(vec![]));
    }
    for _ in 0..1000 {
        let key = pool.begin(at(0));
        assert_eq!(pool.resize(key, FREE_BYTES, at(0)), Ok(vec![]));
    }
}

/// Guards against clients that stop short of the end of their bodies and keep their memory.
#[test]
fn the_slowest_lease_gives_way() {
    let mut pool = Pool::new(10 * MB);
    let [stalled, slow, fast, pinned] = [(); 4].map(|()| {
        let key = pool.begin(at(0));
        pool.resize(key, 2 * MB, at(0)).unwrap();
        key
    });
    pool.record_progress(slow, 100 * 1024);
    pool.record_progress(fast, MB);
    pool.pin(pinned);
    let late = pool.begin(at(500));
    assert_eq!(pool.resize(late, 2 * MB, at(500)), Err(Full), "all may still be on their way");
    assert_eq!(pool.resize(late, 2 * MB, at(1000)), Ok(vec![stalled]));
    let later = pool.begin(at(1000));
    assert_eq!(pool.resize(later, 2 * MB, at(1000)), Ok(vec![slow]));
    let last = pool.begin(at(1001));
    assert_eq!(pool.resize(last, 2 * MB, at(1001)), Err(Full), "the others make progress");
    assert_eq!(pool.resize(stalled, 3 * MB, at(1001)), Err(Full), "it has given way");
    pool.end(stalled);
    assert_eq!(pool.used(), 8 * MB);
}

/// Guards against leases that give way although that does not make enough room.
#[test]
fn no_lease_gives_way_in_vain() {
    let mut pool = Pool::new(10 * MB);
    let stalled = pool.begin(at(0));
    pool.resize(stalled, MB, at(0)).unwrap();
    let pinned = pool.begin(at(0));
    pool.resize(pinned, 7 * MB, at(0)).unwrap();
    pool.pin(pinned);
    let large = pool.begin(at(2000));
    assert_eq!(pool.resize(large, 3 * MB, at(2000)), Err(Full));
    assert_eq!(pool.used(), 8 * MB);
    assert_eq!(pool.resize(large, MB, at(2000)), Ok(vec![stalled]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    /// Guards against any order of steps after which the pool counts more than it may, or what nobody holds.
    #[test]
    fn the_pool_stays_within_its_bound(
        steps in proptest::collection::vec((0_u8..6, 0_usize..12, 0_usize..(3 * MB)), 1..200)
    ) {
        let mut pool = Pool::new(8 * MB);
        let mut keys = vec![];
        for (n, (kind, index, bytes)) in steps.into_iter().enumerate() {
            let now = at(n as u64 * 100);
            let key = keys.get(index).copied();
            match (kind, key) {
                (0, _) | (_, None) => keys.push(pool.begin(now)),
                (1 | 2, Some(key)) => { let _ = pool.resize(key, bytes, now); }
                (3, Some(key)) => pool.record_progress(key, bytes),
                (4, Some(key)) => pool.pin(key),
                (_, Some(key)) => { pool.end(key); keys.swap_remove(index); }
            }
            prop_assert!(pool.used() <= 8 * MB);
        }
        keys.into_iter().for_each(|key| pool.end(key));
        prop_assert_eq!(pool.used(), 0);
    }
}
