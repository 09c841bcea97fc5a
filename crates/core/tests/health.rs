//! Tests of findings about endpoints that do not answer.

mod fleet_fixture;

use std::time::Duration;

use oriole_core::fleet::health::Health;
use oriole_core::fleet::{Cause, Contact, Incarnation, View};
use oriole_core::name;
use oriole_core::placement::Plan;
use oriole_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

fn incarnation() -> Incarnation {
    Incarnation { endpoint: "e".into(), born: 1 }
}

/// Returns a view in which the endpoint is suspected by `hosts`, of 29 entries, at 0 ms.
fn suspected_by(hosts: &[&str]) -> View {
    let mut view = View::default();
    for host in hosts {
        view.suspect(&incarnation(), (*host).into(), 29, at(0));
    }
    view
}

#[test]
fn an_endpoint_that_answers_after_a_silence_is_used_at_once() {
    let mut view = suspected_by(&["a", "b", "c", "d"]);
    let id: name::Endpoint = "e".into();
    assert_eq!(view.unhealthy_cause(&id, at(1)), Some(Cause::Silent));
    assert!(view.record_answer(&incarnation(), at(1)));
    assert!(!view.is_unhealthy(&id, at(1)));
    // Suspicions from before the answer do not count with later ones.
    assert!(!view.suspect(&incarnation(), "a".into(), 29, at(2)));
    assert!(!view.is_unhealthy(&id, at(2)));
}

#[test]
fn an_answer_does_not_take_back_that_an_endpoint_refuses_connections() {
    let mut view = suspected_by(&["a"]);
    let id: name::Endpoint = "e".into();
    view.mark_unhealthy(&incarnation(), Cause::ConnectionRefused, at(0), at(0));
    assert!(!view.record_answer(&incarnation(), at(1)));
    assert!(view.is_unhealthy(&id, at(1)));
}

#[test]
fn later_silence_does_not_hide_that_an_endpoint_has_lost_its_work() {
    let mut view = View::default();
    view.mark_unhealthy(&incarnation(), Cause::ConnectionRefused, at(0), at(0));
    for host in ["a", "b", "c", "d"] {
        view.suspect(&incarnation(), host.into(), 29, at(100));
    }
    assert_eq!(view.unhealthy_cause(&"e".into(), at(200)), Some(Cause::ConnectionRefused));
}

#[test]
fn an_answer_of_an_earlier_incarnation_does_not_take_back_a_finding() {
    let mut view = suspected_by(&["a", "b", "c", "d"]);
    assert!(!view.record_answer(&Incarnation { endpoint: "e".into(), born: 0 }, at(1)));
    assert!(view.is_unhealthy(&"e".into(), at(1)));
}

#[test]
fn silent_endpoints_are_not_told_as_unhealthy_by_gossip() {
    let view = suspected_by(&["a", "b", "c", "d"]);
    assert!(view.is_unhealthy(&"e".into(), at(1)));
    assert_eq!(view.unhealthy(at(1)), vec![]);
}

/// The finding that requests wait for a stage comes from the stage before it, which does not answer for
/// it later.
#[test]
fn an_answer_takes_back_that_requests_wait_for_the_endpoint_and_gossip_does_not_bring_it_back() {
    let mut view = suspected_by(&["a", "b", "c", "d"]);
    let id: name::Endpoint = "e".into();
    view.mark_unhealthy(&incarnation(), Cause::Stalled, at(5), at(5));
    assert!(view.record_answer(&incarnation(), at(1_000)));
    assert!(!view.mark_unhealthy(&incarnation(), Cause::Peer, at(5), at(1_100)));
    assert!(!view.is_unhealthy(&id, at(1_100)));
    assert!(view.mark_unhealthy(&incarnation(), Cause::Peer, at(1_050), at(1_100)));
}

#[test]
fn few_of_many_entries_ask_a_silent_endpoint_again_and_keep_it_out_of_use() {
    let mut health = Health::default();
    let hosts: Vec<name::Host> = (10..50).map(|n| format!("h{n}").as_str().into()).collect();
    for host in &hosts {
        if health.suspect(&incarnation(), host.clone(), 370, at(0)) {
            health.record(&incarnation(), Cause::Silent, at(0));
        }
    }
    let asking = |health: &Health, ms| -> Vec<name::Host> {
        let asks = |host: &&name::Host| !health.to_ask_again(host, |_, _| false, at(ms)).is_empty();
        hosts.iter().filter(asks).cloned().collect()
    };
    let first = asking(&health, 400);
    assert_eq!(first, hosts[..3]);
    for ms in (400..20_000).step_by(400) {
        for host in &first {
            if health.suspect(&incarnation(), host.clone(), 370, at(ms)) {
                health.record(&incarnation(), Cause::Silent, at(ms));
            }
        }
        assert_eq!(asking(&health, ms), first);
        assert_eq!(health.cause(&"e".into(), Some(1), at(ms)), Some(Cause::Silent));
    }
}

/// Endpoints get a new identifier with most starts, so that what is known of earlier ones must go.
#[test]
fn what_is_known_of_endpoints_that_are_gone_does_not_pile_up() {
    let mut health = Health::default();
    for number in 0..1_000 {
        let id = format!("e{number}");
        let incarnation = Incarnation { endpoint: id.as_str().into(), born: 1 };
        let now = at(number * 1_000);
        for host in ["a", "b"] {
            health.suspect(&incarnation, host.into(), 4, now);
        }
        health.record(&incarnation, Cause::Silent, now);
        health.record(&incarnation, Cause::ConnectionRefused, now);
        health.answered(&incarnation, now);
    }
    assert!(health.len() < 40, "{}", health.len());
}

/// Guards against a new plan, and seconds of loading, for an endpoint that goes on after a second.
#[test]
fn an_endpoint_keeps_its_place_for_a_short_silence_only() {
    let site = fleet_fixture::site();
    let all = fleet_fixture::listing(&site, &Plan::default());
    let id = site[0].endpoint.clone();
    let silent = Incarnation { endpoint: id.clone(), born: 1 };
    let suspect = |view: &mut View, ms| {
        for host in ["a", "b", "c", "d"] {
            view.suspect(&silent, host.into(), 29, at(ms));
        }
    };
    let mut view = View::default();
    view.update_listing(all.clone(), at(0));
    suspect(&mut view, 100);
    assert!(!view.is_ready(&id, at(1100)) && view.keeps_place(&id, at(1100)));
    // Those that ask it again renew the finding, not its beginning.
    suspect(&mut view, 1000);
    assert!(!view.keeps_place(&id, at(1500)));
    view.record_answer(&silent, at(1600));
    assert!(view.keeps_place(&id, at(1600)));
    // What is certain counts at once.
    suspect(&mut view, 2000);
    view.mark_unhealthy(&silent, Cause::ConnectionRefused, at(2100), at(2100));
    assert!(!view.keeps_place(&id, at(2100)));
}

/// Guards against an endpoint that is kept out of use by questions which it met, though not as expected.
#[test]
fn only_what_is_heard_of_nobody_shows_that_an_endpoint_is_still_silent() {
    for may_wait in [false, true] {
        assert!(Contact::Unreachable.is_silence(may_wait));
        for heard in [Contact::Answered, Contact::Replaced, Contact::Refused, Contact::Rejected] {
            assert!(!heard.is_silence(may_wait), "{heard:?}");
        }
    }
    assert!(Contact::Unanswered.is_silence(false));
    assert!(!Contact::Unanswered.is_silence(true));
}

/// Guards against a silence that nobody asks about any more once questions have shown nothing, and against one that
/// lasts although nothing renews it.
#[test]
fn a_silence_is_asked_about_until_it_ends_by_itself() {
    let mut health = Health::default();
    for host in ["a", "b"] {
        if health.suspect(&incarnation(), host.into(), 4, at(0)) {
            health.record(&incarnation(), Cause::Silent, at(0));
        }
    }
    let other = Incarnation { endpoint: "other".into(), born: 1 };
    for ms in (400..6_000).step_by(400) {
        // Suspicions of other endpoints make what no longer counts be forgotten.
        health.suspect(&other, "c".into(), 4, at(ms));
        assert_eq!(health.to_ask_again(&"a".into(), |_, _| false, at(ms)), [incarnation()], "{ms}");
        assert_eq!(health.to_ask_again(&"b".into(), |_, _| false, at(ms)), [incarnation()], "{ms}");
    }
    health.suspect(&other, "c".into(), 4, at(6_000));
    assert_eq!(health.cause(&"e".into(), Some(1), at(6_000)), None);
    assert_eq!(health.to_ask_again(&"a".into(), |_, _| false, at(6_000)), []);
    // Suspicions from before do not agree with a later one.
    assert!(!health.suspect(&incarnation(), "a".into(), 4, at(6_100)));
}
