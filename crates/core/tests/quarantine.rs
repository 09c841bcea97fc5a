//! Tests of which parts of prompts are quarantined after crashes of endpoints.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use oriole_core::fleet::Incarnation;
use oriole_core::forward::Part;
use oriole_core::forward::quarantine::{
    BEGIN_TIME, Begin, Group, Quarantine, REPORT_TIME, Suspect,
};
use oriole_core::time::Instant;

const BAD: Part = Part(0xbad);
const SHARED: Part = Part(1);
const OTHER: Part = Part(2);

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(1_000 + seconds)
}

/// Records the crash of endpoint `number` with one suspect for each list of parts.
fn crash(quarantine: &mut Quarantine, number: u64, suspects: &[&[Part]], now: Instant) -> bool {
    let incarnation = Incarnation { endpoint: "e".into(), born: number };
    let suspect = |(n, parts): (usize, &&[Part])| Suspect {
        request: number * 100 + n as u64,
        parts: quarantine.unproven(parts, now),
    };
    let suspects: Vec<Suspect> = suspects.iter().enumerate().map(suspect).collect();
    quarantine.record_crash(&incarnation, &suspects, now);
    quarantine.decide(now + REPORT_TIME)
}

#[test]
fn a_part_that_is_suspect_in_three_crashes_is_quarantined() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        assert_eq!(quarantine.blocked_until(&[SHARED, BAD], 0, at(number)), None);
        let begins = crash(&mut quarantine, number, &[&[Part(number + 10), BAD]], at(number));
        assert_eq!(begins, number == 3);
    }
    assert!(quarantine.blocked_until(&[SHARED, BAD], 0, at(4)).is_some());
    assert_eq!(quarantine.blocked_until(&[SHARED, Part(11)], 0, at(4)), None);
    // More crashes of requests that were under way change nothing.
    assert!(!crash(&mut quarantine, 4, &[&[Part(14), BAD]], at(4)));
}

#[test]
fn a_request_is_not_attempted_again_after_two_crashes_with_one_of_its_parts() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, &[&[SHARED, BAD]], at(1));
    assert!(quarantine.may_retry(&[OTHER, BAD], at(1)));
    crash(&mut quarantine, 2, &[&[SHARED, BAD]], at(1));
    assert!(!quarantine.may_retry(&[OTHER, BAD], at(2)));
    assert!(quarantine.may_retry(&[OTHER], at(2)));
}

/// A part that one request alone has says no more than the request does: see `hold`.
#[test]
fn a_request_is_attempted_again_after_two_crashes_with_a_part_that_no_other_request_has() {
    let mut quarantine = Quarantine::default();
    for number in 1..=2 {
        let suspect = Suspect { request: 7, parts: vec![OTHER] };
        let incarnation = Incarnation { endpoint: "e".into(), born: number };
        quarantine.record_crash(&incarnation, &[suspect], at(number));
    }
    assert!(quarantine.may_retry(&[OTHER], at(3)));
}

#[test]
fn parts_that_are_answered_elsewhere_are_not_quarantined_when_many_endpoints_crash() {
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(&[SHARED, OTHER], at(0));
    for number in 1..=6 {
        crash(&mut quarantine, number, &[&[SHARED], &[SHARED, OTHER], &[OTHER]], at(1));
    }
    assert_eq!(quarantine.groups(at(1)), vec![]);
    assert!(quarantine.may_retry(&[SHARED, OTHER], at(1)));
}

#[test]
fn one_request_that_was_on_three_endpoints_when_they_crashed_is_no_evidence() {
    let mut quarantine = Quarantine::default();
    for number in 1..=4 {
        let incarnation = Incarnation { endpoint: "e".into(), born: number };
        let suspect = Suspect { request: 7, parts: vec![BAD] };
        quarantine.record_crash(&incarnation, &[suspect], at(number));
        assert!(!quarantine.decide(at(number) + REPORT_TIME));
    }
}

/// Until a sound request shows which of two parts it is, only requests with both are held back.
#[test]
fn requests_with_only_one_of_the_parts_that_were_in_all_crashes_still_run() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, number, &[&[SHARED, BAD]], at(number));
    }
    assert!(quarantine.blocked_until(&[SHARED, BAD], 0, at(4)).is_some());
    assert_eq!(quarantine.blocked_until(&[SHARED, OTHER], 0, at(4)), None);
    assert_eq!(quarantine.blocked_until(&[OTHER, BAD], 0, at(4)), None);
    assert_eq!(quarantine.record_sound(&[SHARED, OTHER], at(5)), [SHARED]);
    assert!(quarantine.blocked_until(&[OTHER, BAD], 0, at(6)).is_some());
}

#[test]
fn requests_that_only_shared_the_endpoint_are_not_held_back_without_the_part() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, number, &[&[BAD], &[OTHER]], at(number));
    }
    assert!(quarantine.blocked_until(&[OTHER, BAD], 0, at(4)).is_some());
    assert_eq!(quarantine.blocked_until(&[OTHER], 0, at(4)), None);
}

#[test]
fn after_a_quarantine_one_crash_begins_one_of_twice_the_length() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, number, &[&[BAD]], at(number));
    }
    let first = quarantine.blocked_until(&[BAD], 0, at(4)).unwrap().since(at(3) + REPORT_TIME);
    let end = at(3) + REPORT_TIME + first;
    assert_eq!(quarantine.blocked_until(&[BAD], 0, end), None);
    assert!(crash(&mut quarantine, 4, &[&[OTHER, BAD]], end));
    let decided = end + REPORT_TIME;
    assert_eq!(quarantine.blocked_until(&[BAD], 0, decided), Some(decided + first * 2));
}

#[test]
fn an_entry_that_starts_takes_over_quarantines_and_drops_them_when_the_parts_are_answered() {
    let mut quarantine = Quarantine::default();
    let group = Group { parts: vec![BAD], remaining_ms: 60_000 };
    assert!(quarantine.adopt(&group, at(0)));
    assert!(!quarantine.adopt(&group, at(1)));
    assert_eq!(quarantine.blocked_until(&[BAD], 0, at(1)), Some(at(60)));
    assert_eq!(quarantine.record_sound(&[BAD], at(2)), [BAD]);
    assert_eq!(quarantine.blocked_until(&[BAD], 0, at(2)), None);
}

/// The entry that decides first must not know the suspects of its own alone.
#[test]
fn a_crash_counts_only_after_all_entries_have_had_time_to_report_it() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, &[&[SHARED, BAD]], at(1));
    crash(&mut quarantine, 2, &[&[SHARED, BAD]], at(2));
    let third = Incarnation { endpoint: "e".into(), born: 3 };
    let suspect = |request, parts: &[Part]| Suspect { request, parts: parts.to_vec() };
    quarantine.record_crash(&third, &[suspect(1, &[SHARED])], at(3));
    assert!(!quarantine.decide(at(3)));
    quarantine.record_crash(&third, &[suspect(2, &[SHARED, BAD])], at(3));
    assert!(quarantine.decide(at(3) + REPORT_TIME));
    assert_eq!(quarantine.blocked_until(&[SHARED], 0, at(4)), None);
    assert!(quarantine.blocked_until(&[SHARED, BAD], 0, at(4)).is_some());
}

#[test]
fn a_part_that_is_cleared_leaves_the_longer_quarantine_of_the_others() {
    let mut quarantine = Quarantine::default();
    let group = |parts: &[Part], remaining_ms| Group { parts: parts.to_vec(), remaining_ms };
    quarantine.adopt(&group(&[BAD], 60_000), at(0));
    quarantine.adopt(&group(&[SHARED, BAD], 1_000), at(0));
    quarantine.record_sound(&[SHARED], at(1));
    assert_eq!(quarantine.blocked_until(&[BAD], 0, at(2)), Some(at(60)));
}

/// An entry that was paused reads late what the endpoint sent at once.
#[test]
fn a_few_late_events_do_not_show_that_a_request_is_sound() {
    let begin = |events| Begin { first_event_at: at(0), events };
    assert!(!begin(2).is_past(at(5)));
    assert!(!begin(20).is_past(at(0)));
    assert!(begin(20).is_past(at(1)));
}

/// Endpoints may crash for other reasons than the parts that their requests share. Requests with these
/// parts must run again soon, but not all at once.
#[test]
fn after_a_quarantine_one_request_after_the_other_is_tried_until_one_is_answered() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, number, &[&[BAD]], at(number));
    }
    let end = quarantine.blocked_until(&[BAD], 0, at(4)).unwrap();
    assert!(end <= at(70), "the first quarantine is short");
    assert_eq!(quarantine.blocked_until(&[BAD], 0, end), None);
    assert!(quarantine.blocked_until(&[BAD], 1, end).is_some(), "others wait for the first entry");
    quarantine.record_run(&[BAD, OTHER], end);
    let second = quarantine.blocked_until(&[BAD], 0, end).unwrap();
    assert!(second > end + BEGIN_TIME, "the outcome of the trial is awaited");
    assert_eq!(quarantine.blocked_until(&[BAD], 0, second), None);
    assert_eq!(quarantine.record_sound(&[BAD], second), [BAD]);
    assert_eq!(quarantine.blocked_until(&[BAD], 1, second), None);
}

#[test]
fn parts_of_many_answers_are_not_remembered_without_a_bound() {
    let mut quarantine = Quarantine::default();
    for number in 0..20_000 {
        quarantine.record_sound(&[Part(number)], at(0) + Duration::from_micros(number));
    }
    let all: Vec<Part> = (0..20_000).map(Part).collect();
    let remembered = quarantine.proven(&all, at(1));
    assert!(remembered.len() <= 4_096, "{}", remembered.len());
    assert!(remembered.iter().any(|sound| sound.part == Part(19_999)), "the last one");
}
