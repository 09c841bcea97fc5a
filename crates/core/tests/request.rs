//! Tests of the decisions about one request: retries, the order of waiting, the time to come back, and
//! whole events.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{proptest_config, route};
use oriole_core::forward::budget::{Bound, Budget, Standing};
use oriole_core::forward::event::{self, Splitter};
use oriole_core::forward::outcome::{Attempts, Failure};
use oriole_core::forward::queue::{Queue, Refusals};
use oriole_core::name;
use oriole_core::route::Kind;
use oriole_core::time::Instant;
use proptest::prelude::*;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_certainly_did_not_run() {
    let mut once = route();
    once.kind = Kind::NonIdempotent;
    let attempts = Attempts::default();
    assert!(attempts.may_retry(&once, Failure::NotSent));
    assert!(attempts.may_retry(&once, Failure::NotExecuted));
    assert!(!attempts.may_retry(&once, Failure::Unknown));
    assert!(!attempts.may_retry(&once, Failure::Doubted));
    let mut stream = route();
    assert!(attempts.may_retry(&stream, Failure::Unknown));
    stream.resumable = false;
    assert!(!attempts.may_retry(&stream, Failure::Unknown));
}

/// Guards against running a request at too many endpoints: an entry with a slow link treats healthy
/// endpoints as lost, but these may have run the request.
#[test]
fn every_endpoint_that_may_have_run_a_request_counts() {
    let mut attempts = Attempts::default();
    let (a, b): (name::Endpoint, name::Endpoint) = ("a".into(), "b".into());
    attempts.record(&a, Failure::Doubted);
    assert!(attempts.may_have_run && attempts.may_run_elsewhere(&route()));
    attempts.record(&b, Failure::Unknown);
    attempts.record(&b, Failure::Doubted);
    assert_eq!(attempts.ran_at, [a.clone(), b]);
    assert!(!attempts.may_run_elsewhere(&route()));
    attempts.record(&a, Failure::NotExecuted);
    assert_eq!((attempts.ran_at.len(), attempts.not_run), (2, 1));
}

#[test]
fn priorities_go_first_and_workspaces_take_turns() {
    let mut queue = Queue::default();
    let much = |queue: &mut Queue| queue.push(1, Some("much".into()), usize::MAX).unwrap();
    let first: Vec<_> = (0..4).map(|_| much(&mut queue)).collect();
    let little = queue.push(1, Some("little".into()), usize::MAX).unwrap();
    let urgent = queue.push(0, Some("much".into()), usize::MAX).unwrap();
    let mut order = vec![];
    while let Some(ticket) = queue.first() {
        order.push(ticket);
        queue.remove(ticket, true);
    }
    assert_eq!(order, [urgent, first[0], little, first[1], first[2], first[3]]);
}

#[test]
fn a_full_queue_refuses_requests() {
    let mut queue = Queue::default();
    let mut count = 0;
    while queue.push(1, None, usize::MAX).is_some() {
        count += 1;
        assert!(count < 100_000);
    }
    assert!(!queue.would_be_first(1));
    assert!(queue.would_be_first(0));
}

/// Guards against time that grows with the square of the length of an event that comes in small pieces: this test
/// then takes minutes.
#[test]
fn a_long_event_in_small_pieces_is_searched_once() {
    const BYTES: usize = 200_000;
    let mut splitter = Splitter::default();
    for _ in 0..BYTES {
        assert_eq!(splitter.push(b"x").unwrap().count, 0);
    }
    let whole = splitter.push(b"\r\n\r\nrest").unwrap();
    assert_eq!((whole.count, whole.bytes.len()), (1, BYTES + 4));
    assert_eq!(splitter.push(b"\n\n").unwrap().bytes, b"rest\n\n");
}

/// Only a stream that resumes where none is known to follow may end without an event.
#[test]
fn an_event_that_must_follow_is_missed_over_all_attempts() {
    let mut splitter = Splitter::after(Some("7".to_owned()));
    assert!(!splitter.is_cut_off());
    splitter.push(b"id: 8\nda").unwrap();
    for _ in 0..3 {
        splitter.resume(true, false);
        assert!(splitter.is_cut_off());
        assert_eq!(splitter.last_id(), Some("7"));
    }
    let events = splitter.push(b"id: 8\ndata: d\n\n").unwrap();
    assert_eq!((events.bytes.as_slice(), events.count), (&b"id: 8\ndata: d\n\n"[..], 1));
    splitter.resume(true, false);
    assert!(!splitter.is_cut_off());
    splitter.resume(true, true);
    assert!(splitter.is_cut_off());
    assert!(Splitter::after(None).is_cut_off());
}

/// Guards against the text of an error, or events that came already, in the middle of a stream.
#[test]
fn a_stream_goes_on_with_a_later_event_only() {
    let resumed = |last: &str| {
        let mut splitter = Splitter::after(Some(last.to_owned()));
        splitter.resume(true, false);
        splitter
    };
    for (last, bytes, is_next) in [
        ("7", "id: 8\ndata: d\n\n", true),
        ("7", ": comment\n\nid: 12\ndata: d\n\ndata: without id\n\n", true),
        ("7", "id: 7\ndata: d\n\n", false),
        ("7", "id: 1\ndata: d\n\n", false),
        ("7", "data: internal error\n\n", false),
        ("7", "internal error\n\n", false),
        ("a", "id: b\ndata: d\n\n", true),
        ("a", "id: a\ndata: d\n\n", false),
    ] {
        let pushed = resumed(last).push(bytes.as_bytes());
        assert_eq!(pushed.is_ok(), is_next, "{bytes:?} after {last:?}: {pushed:?}");
    }
    let mut first = Splitter::default();
    assert_eq!(first.push(b"data: without id\n\n").unwrap().count, 1);
    let head = first.push(b"HTTP/1.1 500 x\r\nid: 9\r\n\r\n");
    assert_eq!(head, Err(event::Error::Head));
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// Each event is returned once, in order and unchanged, however the stream is split.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        lengths in prop::collection::vec(0_usize..40, 1..20),
        cuts in prop::collection::vec(1_usize..30, 1..80),
        crlf in any::<bool>(),
    ) {
        let line = if crlf { "\r\n" } else { "\n" };
        let event = |(i, n): (usize, &usize)| {
            format!("id: {}{line}data: {}{line}{line}", i + 1, "x".repeat(*n))
        };
        let stream: String = lengths.iter().enumerate().map(event).collect();
        let mut splitter = Splitter::default();
        let (mut out, mut count, mut rest) = (vec![], 0, stream.as_bytes());
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let (piece, left) = rest.split_at(cuts.next().unwrap().min(rest.len()));
            let whole = splitter.push(piece).unwrap();
            count += whole.count;
            out.extend(whole.bytes);
            rest = left;
        }
        prop_assert!(!splitter.is_cut_off());
        prop_assert_eq!(out, stream.as_bytes());
        prop_assert_eq!(count, lengths.len());
        let last = lengths.len().to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }

    /// A stream that is truncated anywhere yields only complete events, and the id of the last one.
    #[test]
    fn a_partial_event_is_not_forwarded(count in 1_usize..10, cut in any::<prop::sample::Index>()) {
        let stream: String = (1..=count).map(|i| format!("id: {i}\ndata: d\n\n")).collect();
        let cut = cut.index(stream.len());
        let mut splitter = Splitter::default();
        let whole = splitter.push(&stream.as_bytes()[..cut]).unwrap();
        prop_assert!(whole.bytes.is_empty() || whole.bytes.ends_with(b"\n\n"));
        let last = (whole.count > 0).then(|| whole.count.to_string());
        prop_assert_eq!(splitter.last_id(), last.as_deref());
        let is_boundary = cut > 0 && stream[..cut].ends_with("\n\n");
        prop_assert_eq!(splitter.is_cut_off(), !is_boundary);
    }

    /// In any window, all entries together make at most as many retries as the bound allows.
    #[test]
    fn entries_together_keep_the_retry_bound(
        entries in 1_usize..6,
        steps in prop::collection::vec((0_usize..6, any::<bool>(), 0_u64..200), 1..400),
    ) {
        let bound = Bound { ratio: 0.2, fixed: 40.0, window: Duration::from_secs(10) };
        let mut budgets: Vec<_> = (0..entries).map(|_| Budget::new(bound)).collect();
        let (mut requests, mut retries, mut ms) = (vec![], vec![], 0);
        let standing = Standing { age: Duration::from_secs(60), entries: Some(entries) };
        for (entry, retry, pause) in steps {
            ms += pause;
            let budget = &mut budgets[entry % entries];
            if !retry {
                let first = budget.record_request(at_ms(ms));
                budget.spend(first, at_ms(ms));
                requests.push(ms);
            } else if let Some(pass) = budget.try_take(standing, at_ms(ms)) {
                budget.spend(pass, at_ms(ms));
                retries.push(ms);
            }
            let within = |times: &[u64]| times.iter().filter(|t| ms - **t <= 10_000).count() as f64;
            prop_assert!(within(&retries) <= bound.fixed + bound.ratio * within(&requests));
        }
    }

    /// `retry-after` is between 0.8 and 6 seconds, and differs between callers.
    #[test]
    fn retry_after_is_bounded_and_spread(
        refused in 1_usize..600,
        randoms in prop::collection::vec(any::<u64>(), 2),
    ) {
        let mut refusals = Refusals::default();
        for _ in 1..refused {
            refusals.refuse(at_ms(0), 0);
        }
        let first = refusals.refuse(at_ms(0), randoms[0]);
        prop_assert!(first >= Duration::from_millis(800) && first < Duration::from_secs(6));
        let second = refusals.refuse(at_ms(0), randoms[1]);
        prop_assert!(randoms[0] >> 11 == randoms[1] >> 11 || first != second);
    }
}

/// Simulates 50 requests per second, of which half can be served in the first six seconds and all
/// afterwards. A refused request is retried once, after `wait`. Returns how many are refused twice.
fn refused_twice(mut wait: impl FnMut(Instant, u64) -> Duration) -> usize {
    let mut random = 1_u64;
    let mut arrivals = std::collections::BTreeSet::new();
    // 50 requests per second for 12 s.
    for n in 0..600_u64 {
        arrivals.insert((n * 20, n, false));
    }
    let (mut free_at, mut twice) = (0.0, 0);
    while let Some((ms, n, is_retry)) = arrivals.pop_first() {
        let service_ms = if ms < 6_000 { 40.0 } else { 10.0 };
        // A request is refused if it would wait for more than 250 ms.
        if free_at - ms as f64 <= 250.0 {
            free_at = f64::max(free_at, ms as f64) + service_ms;
        } else if is_retry {
            twice += 1;
        } else {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let back = wait(at_ms(ms), random).as_millis() as u64;
            arrivals.insert((ms + back, n, true));
        }
    }
    twice
}

/// Guards against refusing retries again while half of the capacity is lost for six seconds: with a
/// `retry-after` that grows with recent refusals, fewer requests are refused twice.
#[test]
fn fewer_requests_are_refused_twice_if_retry_after_grows_with_refusals() {
    let soon = refused_twice(|_, random| Duration::from_millis(800 + random % 800));
    let mut refusals = Refusals::default();
    let later = refused_twice(|now, random| refusals.refuse(now, random));
    println!("refused twice: {soon} with a short retry-after, {later} with one that grows");
    assert!(later * 4 < soon * 3, "{later} of {soon}");
}

#[test]
fn comments_are_passed_on_and_are_no_events() {
    let mut splitter = Splitter::default();
    let batch = splitter.push(b": still here\n\n:\r\n\r\n").unwrap();
    assert_eq!((batch.bytes.len(), batch.count), (19, 0));
    assert!(splitter.is_cut_off());
    assert_eq!(splitter.push(b": next\ndata: d\n\n").unwrap().count, 1);
    assert!(!splitter.is_cut_off());
}
