//! Competition for chains that are too few: who goes first, who waits, and who comes back when.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet_fixture::{model, route};

use oriole_core::forward::Fingerprint;
use oriole_core::forward::headroom::{Demand, Headroom};
use oriole_core::forward::queue::{Departures, Queue};
use oriole_core::forward::returns::{Ledger, Refused, Standing};
use oriole_core::route::{Kind, Limits, Route, Service, Share, Table};
use oriole_core::time::Instant;

const DEADLINE: Duration = Duration::from_secs(20);

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

fn request(number: u64) -> Fingerprint {
    Fingerprint([number, 0])
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Guards against a caller that is told when to come back and counts as a first try, or as one that repeats at
/// once, at another entry.
#[test]
fn all_entries_tell_returns_from_first_tries_and_from_early_ones() {
    let (mut refusing, mut other) = (Ledger::default(), Ledger::default());
    refusing.record(request(1), at_ms(2_000), at_ms(0));
    let told = refusing.take_untold(at_ms(400));
    assert_eq!(told, [Refused { request: 1, wait_ms: 1_600 }]);
    assert!(refusing.take_untold(at_ms(401)).is_empty(), "told once");
    // Twice, as when a message is sent again.
    other.hear(&told, at_ms(410));
    other.hear(&told, at_ms(420));
    for ledger in [&refusing, &other] {
        let standing = |number, ms| ledger.standing(request(number), at_ms(ms));
        assert_eq!(standing(2, 500), Standing::First);
        assert_eq!(standing(1, 500), Standing::Early);
        assert_eq!(standing(1, 2_010), Standing::Returned);
        assert_eq!(standing(1, 4_100), Standing::First, "forgotten");
        assert_eq!(ledger.expected(at_ms(500)), 1);
        assert_eq!(ledger.expected(at_ms(2_100)), 0);
    }
}

/// Guards against an honest caller that is counted as early, since an entry hears late of its first refusal, or
/// refuses it again for a longer time.
#[test]
fn a_time_that_a_caller_was_told_is_not_put_off() {
    let mut ledger = Ledger::default();
    ledger.record(request(1), at_ms(1_000), at_ms(0));
    ledger.hear(&[Refused { request: 1, wait_ms: 5_000 }], at_ms(500));
    assert_eq!(ledger.standing(request(1), at_ms(1_000)), Standing::Returned);
    // A caller that repeats at once is told the rest of its time.
    let wait = ledger.wait(request(1), 100.0, DEADLINE, 0, at_ms(300));
    assert_eq!(ms(wait), 700);
}

/// Guards against callers that all come back while the overload lasts, or together at its end: their times spread
/// over what the chains can begin, and stay within what callers keep to.
#[test]
fn times_to_come_back_follow_the_callers_that_are_expected() {
    let mut ledger = Ledger::default();
    let mut by_second: BTreeMap<u64, u32> = BTreeMap::new();
    let mut random = 1_u64;
    // 100 a second are refused for 3 s, and the chains begin 120 a second.
    for number in 0..300 {
        random =
            random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let now = at_ms(number * 10);
        let wait = ledger.wait(request(number), 120.0, DEADLINE, random, now);
        assert!(wait <= DEADLINE / 3, "callers ignore longer times: {wait:?}");
        ledger.record(request(number), now + wait, now);
        *by_second.entry((number * 10 + ms(wait)) / 1_000).or_default() += 1;
    }
    // Half of what the chains begin is for returns; spreading the times moves some to the next second.
    assert!(by_second.values().all(|count| *count <= 90), "{by_second:?}");
}

/// Guards against memory that grows with the refusals, and against a message that does.
#[test]
fn what_is_remembered_and_told_of_refusals_is_bounded() {
    let mut ledger = Ledger::default();
    for number in 0..20_000 {
        ledger.record(request(number), at_ms(5_000), at_ms(0));
    }
    assert_eq!(ledger.take_untold(at_ms(0)).len(), 128);
    assert_eq!(ledger.expected(at_ms(0)), 8_192);
    ledger.record(request(30_000), at_ms(12_000), at_ms(8_000));
    assert_eq!(ledger.expected(at_ms(8_000)), 1, "old ones are forgotten");
}

/// Guards against a request that waits although it cannot begin in time, and against a full queue that refuses
/// one that goes before those that wait.
#[test]
fn as_many_wait_as_leave_the_queue_in_time_and_the_last_one_gives_way() {
    let mut departures = Departures::default();
    assert_eq!(departures.limit(Duration::from_millis(250), at_ms(0)), usize::MAX, "not known");
    (0..40).for_each(|number| departures.record(at_ms(number * 25)));
    assert_eq!(departures.limit(Duration::from_millis(250), at_ms(999)), 10);
    let limit = departures.limit(Duration::from_millis(250), at_ms(2_000));
    assert_eq!(limit, 2, "some find out when there is room");
    let mut queue = Queue::default();
    let [first, last] = [1, 3].map(|class| queue.push(class, None, 2).unwrap());
    assert_eq!(queue.push(3, None, 2), None);
    let better = queue.push(2, None, 2).unwrap();
    assert!(queue.contains(first) && queue.contains(better) && !queue.contains(last));
    assert!(queue.is_among_first(better, 2) && !queue.is_among_first(better, 1));
}

/// Guards against requests of one service that are ordered by the priorities of another one's routes.
#[test]
fn services_are_ranked_whose_own_streaming_routes_differ_in_priority() {
    let streaming = |prefix: &str, service: &str, priority| Route {
        prefix: prefix.to_owned(),
        priority,
        shares: vec![Share { service: service.into(), weight: 1 }],
        ..route()
    };
    let plain = Route { kind: Kind::Idempotent, ..streaming("/page/", "plain", 3) };
    let table = |routes: Vec<Route>| {
        let with_model = Service { max_connections: 1, health_path: None, model: Some(model()) };
        let without = Service { max_connections: 1, health_path: None, model: None };
        Table {
            version: 1,
            hosts: [("calls.example".to_owned(), routes)].into(),
            services: [("a".into(), with_model), ("plain".into(), without)].into(),
            limits: Limits {
                head_bytes: 1,
                body_bytes: 1,
                head_timeout: Duration::ZERO,
                idle_timeout: Duration::ZERO,
            },
            keys: None,
        }
    };
    let even = table(vec![streaming("/x/", "a", 1), streaming("/y/", "a", 1), plain.clone()]);
    assert!(even.ranked_services().is_empty());
    let uneven = vec![streaming("/x/", "a", 1), streaming("/y/", "a", 2), plain];
    assert_eq!(table(uneven).ranked_services(), ["a".into()].into());
}

/// Numbers that repeat with each run.
struct Random(u64);

impl Random {
    /// Returns the next number, from 0 to below 1.
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Callers whose requests ask for a chain.
struct Caller {
    priority: u8,
    standing: Standing,
    per_s: f64,
}

/// Plays `seconds` of a chain with 100 slots, on each of which a request runs for a second in the mean, so that
/// 100 begin in a second. Returns how many requests of each kind begin.
fn play(kinds: &[Caller], seconds: u64) -> Vec<f64> {
    let mut random = Random(7);
    let mut demand = Demand::default();
    let mut begun = vec![0.0; kinds.len()];
    let mut ends: Vec<Instant> = vec![];
    for at in 0..seconds * 1_000 {
        let now = at_ms(at);
        ends.retain(|end| *end > now);
        for (kind, begun) in kinds.iter().zip(&mut begun) {
            if random.next() >= kind.per_s / 1000.0 {
                continue;
            }
            demand.ask(kind.priority, now);
            let usable = demand.headroom(kind.priority, kind.standing, now).usable();
            if (ends.len() + 1) as f64 <= 100.0 * usable {
                demand.begin(kind.priority, now);
                ends.push(now + Duration::from_secs_f64(0.5 + random.next()));
                *begun += 1.0;
            }
        }
    }
    begun
}

/// Guards against first tries, which can be in time, that lose their room to callers that are late in any case, and
/// against returns that are refused again although there is room.
#[test]
fn returns_take_only_what_first_tries_leave() {
    let kind = |standing, per_s| Caller { priority: 1, standing, per_s };
    let run = |first_per_s| {
        play(&[kind(Standing::First, first_per_s), kind(Standing::Returned, 100.0)], 20)
    };
    // First tries alone exceed the chain: of 2,000 that it can begin, nine tenths are theirs.
    let begun = run(150.0);
    assert!(begun[0] >= 1_800.0 && begun[0] + begun[1] >= 1_900.0, "{begun:?}");
    // First tries leave half of the chain, of which returns get all but the headroom.
    let begun = run(50.0);
    assert!(begun[0] >= 950.0 && begun[1] >= 700.0, "{begun:?}");
}

/// Guards against a lower priority that gets nothing while a more urgent one has more demand than there is room,
/// and against one that gets as much as the more urgent one.
#[test]
fn a_more_urgent_priority_goes_first_and_shuts_none_out() {
    let rates = [150.0, 80.0, 40.0];
    let kinds = [0_u8, 1, 2].map(|priority| Caller {
        priority,
        standing: Standing::First,
        per_s: rates[usize::from(priority)],
    });
    let begun = play(&kinds, 40);
    let shares: Vec<f64> =
        begun.iter().zip(rates).map(|(begun, rate)| begun / rate / 40.0).collect();
    let all = begun.iter().sum::<f64>() / rates.iter().sum::<f64>() / 40.0;
    assert!(shares[0] > all && shares[0] > shares[1], "{shares:?}");
    // The floor is half of what all get; a control that follows counts swings about it by a tenth.
    assert!(shares[1..].iter().all(|share| *share >= all * 0.45), "{shares:?}, all {all}");
}

/// Guards against a part of a chain that stays free although nobody goes before those that ask.
#[test]
fn nothing_is_left_free_without_more_urgent_demand() {
    let mut demand = Demand::default();
    demand.ask(3, at_ms(0));
    assert_eq!(demand.headroom(3, Standing::First, at_ms(0)), Headroom::NONE);
    demand.ask(1, at_ms(0));
    assert!(demand.headroom(3, Standing::First, at_ms(10)) > Headroom::NONE);
    assert_eq!(demand.headroom(3, Standing::First, at_ms(30_000)), Headroom::NONE);
}
