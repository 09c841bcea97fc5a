//! A side's state machine, one event at a time: the effects that each event has, and those that it
//! must not have.

#![allow(clippy::unwrap_used)]

mod effects;
mod fixture;

use effects::{batches, broken, messages, refused, steps};
use fixture::{Fixture, config, entry, id, stage};
use oriole_core::config::{Entry, Kind};
use oriole_core::drain::Cause;
use oriole_core::ledger::EPOCH_MS;
use oriole_core::message::{Answer, Cancel, Fault, Feed, Load, Message, Open, State, Step, Term};
use oriole_core::name;
use oriole_core::request::{Ran, Refusal};
use oriole_core::side::counter::Counter;
use oriole_core::side::{Effect, Event};

#[test]
fn a_repeated_feed_is_answered_from_memory() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    assert_eq!(batches(&fixture.feed(1, 1, 0)).len(), 1);
    assert!(fixture.feed(1, 1, 0).is_empty());
    let first = fixture.batch_finished(&["a"]);
    let again = fixture.feed(1, 1, 0);
    assert_eq!(steps(&first), steps(&again));
    assert_eq!(steps(&again)[0].activation, b"a");
    assert!(batches(&again).is_empty());
}

#[test]
fn the_output_of_an_older_attempt_is_dropped() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    fixture.feed(1, 1, 0);
    fixture.open(1, 2, 0);
    assert!(fixture.feed(1, 1, 0).is_empty());
    assert_eq!(
        fixture.machine.counters().get(Counter::Stale),
        1,
        "the feed of the older attempt is dropped"
    );
    assert!(fixture.feed(1, 2, 0).is_empty(), "the engine is busy");
    let out = fixture.batch_finished(&["old"]);
    assert!(steps(&out).is_empty());
    assert_eq!(batches(&out).len(), 1);
    assert_eq!(steps(&fixture.batch_finished(&["new"]))[0].activation, b"new");
}

#[test]
fn a_step_that_leaves_a_gap_or_names_no_open_request_is_reported() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    assert_eq!(broken(&fixture.feed(1, 1, 3)), Some(Fault::Gap));
    assert_eq!(broken(&fixture.feed(2, 1, 0)), Some(Fault::Absent));
}

#[test]
fn a_draining_endpoint_refuses_new_requests_and_finishes_open_ones() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    fixture.feed(1, 1, 0);
    let effects = fixture.set_leaving("e0", true);
    assert!(messages(&effects).any(|m| matches!(m, Message::Load(Load { open: false, .. }))));
    let out = fixture.open(2, 1, 0);
    let refused = refused(&out).unwrap();
    assert_eq!((refused.reason, refused.ran), (Refusal::Leaving, Ran::No));
    fixture.batch_finished(&["a"]);
    assert_eq!(batches(&fixture.feed(1, 1, 1)).len(), 1, "an open sequence continues");
    fixture.batch_finished(&["b"]);
    let out = fixture.open(1, 2, 2);
    assert!(messages(&out).any(|m| matches!(m, Message::Opened(o) if o.held == 2)));
    assert!(!fixture.machine.is_idle());
    fixture.send(Message::Cancel(Cancel { request: id(1), attempt: 2 }));
    assert!(fixture.machine.is_idle());
    fixture.set_leaving("e0", false);
    assert!(messages(&fixture.open(3, 1, 0)).any(|m| matches!(m, Message::Opened(_))));
}

#[test]
fn clearing_one_cause_of_a_drain_leaves_the_others_set() {
    let mut fixture = Fixture::new(8);
    let signal = Event::Leaving { endpoint: "e0".into(), cause: Cause::Signal, leaving: true };
    fixture.event(signal);
    fixture.set_leaving("e0", true);
    fixture.set_leaving("e0", false);
    assert_eq!(refused(&fixture.open(1, 1, 0)).unwrap().reason, Refusal::Leaving);
}

#[test]
fn cancelling_a_sequence_frees_its_place_at_the_engine() {
    let mut fixture = Fixture::new(1);
    for seq in [1, 2] {
        fixture.open(seq, 1, 0);
    }
    assert_eq!(batches(&fixture.feed(1, 1, 0)).len(), 1);
    fixture.feed(2, 1, 0);
    assert!(batches(&fixture.batch_finished(&["a"])).is_empty(), "the engine holds one sequence");
    let out = fixture.send(Message::Cancel(Cancel { request: id(1), attempt: 1 }));
    assert!(matches!(&out[0], Effect::Release { sequence, .. } if sequence.ends_with("-1")));
    assert_eq!(batches(&out).len(), 1);
    assert_eq!(refused(&fixture.open(1, 1, 0)).unwrap().reason, Refusal::Fenced);
}

#[test]
fn the_backlog_is_bounded() {
    let mut fixture = Fixture::new(1);
    let opened = |out: &[Effect]| messages(out).any(|m| matches!(m, Message::Opened(_)));
    let admitted = (1..20).filter(|seq| opened(&fixture.open(*seq, 1, 0))).count();
    assert_eq!(admitted, 5, "one workspace may fill half of 1000 tokens, at 100 each");
    let out = fixture.open(30, 1, 0);
    assert_eq!(refused(&out).unwrap().reason, Refusal::QueueFull);
    assert!(fixture.machine.counters().get(Counter::Refused(Refusal::QueueFull)) > 0);
}

#[test]
fn a_sequence_ends_at_its_deadline_or_when_its_entry_stays_disconnected() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    fixture.feed(1, 1, 0);
    fixture.batch_finished(&["a"]);
    let out = fixture.advance_ms(10_001);
    let late = refused(&out).unwrap();
    assert_eq!((late.reason, late.ran), (Refusal::Deadline, Ran::Unknown));
    assert!(out.iter().any(|e| matches!(e, Effect::Release { .. })));
    fixture.open(2, 1, 0);
    fixture.event(Event::Disconnected(entry()));
    fixture.advance_ms(5_001);
    assert!(fixture.machine.is_idle());
    assert_eq!(fixture.machine.counters().get(Counter::Orphaned), 1);
}

#[test]
fn a_step_is_resent_once_when_the_next_stage_disconnects() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    fixture.feed(1, 1, 0);
    fixture.batch_finished(&["a"]);
    assert_eq!(steps(&fixture.event(Event::Disconnected("next".into()))).len(), 1);
    assert_eq!(broken(&fixture.event(Event::Disconnected("next".into()))), Some(Fault::Link));
}

#[test]
fn a_failed_batch_breaks_its_steps_and_pauses_new_requests() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    fixture.feed(1, 1, 0);
    let out = fixture.event(Event::BatchFinished { endpoint: "e0".into(), outcomes: None });
    assert_eq!(broken(&out), Some(Fault::Engine));
    assert_eq!(refused(&fixture.open(2, 1, 0)).unwrap().reason, Refusal::EndpointFailed);
    fixture.advance_ms(2_001);
    assert!(refused(&fixture.open(3, 1, 0)).is_none());
}

#[test]
fn a_call_runs_once_and_resolving_refuses_or_reports_it() {
    let mut fixture = Fixture::new(8);
    let term = fixture.term;
    let calls = |out: &[Effect]| out.iter().filter(|e| matches!(e, Effect::Call { .. })).count();
    assert_eq!(calls(&fixture.call(1, false, term)), 1);
    assert_eq!(calls(&fixture.call(2, false, term)), 0, "the service runs one call at a time");
    assert_eq!((fixture.resolve(1), fixture.resolve(2)), (State::Started, State::Refused));
    let answer = Answer { status: 200, content_type: String::new(), body: Vec::new() };
    let (endpoint, request, answer) = ("s0".into(), id(1), Ok(answer));
    let out = fixture.event(Event::CallFinished { endpoint, request, answer });
    assert_eq!(calls(&out), 0, "the second call was fenced off");
    let again = fixture.call(1, false, term);
    assert_eq!(calls(&again), 0);
    assert!(messages(&again).any(|m| matches!(m, Message::Reply(_))));
    assert_eq!(refused(&fixture.call(2, false, term)).unwrap().ran, Ran::No);
    assert_eq!(fixture.resolve(1), State::Done);
}

#[test]
fn a_call_that_the_records_do_not_cover_does_not_run() {
    let mut fixture = Fixture::new(8);
    let unnamed = fixture.call(1, false, Term::default());
    let refusal = refused(&unnamed).unwrap();
    assert_eq!((refusal.reason, refusal.ran), (Refusal::Restarted, Ran::No));
    let other = Term { boot: fixture.term.boot + 1, ..fixture.term };
    assert_eq!(refused(&fixture.call(2, false, other)).unwrap().ran, Ran::Unknown);
    fixture.advance_ms(2 * EPOCH_MS);
    let out = fixture.call(3, true, fixture.term);
    assert_eq!(refused(&out).unwrap().reason, Refusal::Restarted);
    assert_eq!(fixture.resolve(4), State::Unknown);
}

#[test]
fn foreign_messages_are_dropped_and_malformed_ones_refused() {
    let mut fixture = Fixture::new(8);
    fixture.open(1, 1, 0);
    let feed = Feed { request: id(1), attempt: 1, position: 0, tokens: vec![1], sample: false };
    let from: name::Host = "stranger".into();
    let out = fixture.event(Event::Message { from: from.clone(), message: Message::Feed(feed) });
    assert!(out.is_empty());
    let step = Step {
        request: id(1),
        attempt: 1,
        stage: 0,
        position: 0,
        count: u32::MAX,
        sample: false,
        activation: vec![0xff],
        hops: Vec::new(),
    };
    fixture.event(Event::Message { from, message: Message::Step(step) });
    let mut huge = Open {
        request: id(2),
        attempt: 1,
        stage: 7,
        chain: Vec::new(),
        model: "m".into(),
        workspace: "nobody".into(),
        priority: 255,
        weight: 0,
        deadline_ms: u64::MAX,
        resume: u32::MAX,
        tokens: u32::MAX,
        seed: 0,
        roster: 0,
        term: fixture.term,
    };
    assert_eq!(refused(&fixture.send(Message::Open(huge.clone()))).unwrap().ran, Ran::Unknown);
    (huge.stage, huge.chain) = (0, vec![stage(0)]);
    assert_eq!(refused(&fixture.send(Message::Open(huge))).unwrap().reason, Refusal::QueueFull);
    assert_eq!(fixture.machine.counters().get(Counter::Foreign), 2);
}

#[test]
fn an_endpoint_with_a_new_stage_stays_closed_until_its_engine_holds_it() {
    let mut fixture = Fixture::new(8);
    let mut config = config(8);
    let endpoint = config.endpoints.get_mut(&name::Endpoint::from("e0")).unwrap();
    let Kind::Engine { end_layer, .. } = &mut endpoint.kind else { panic!() };
    *end_layer = 9;
    for revision in [1, 2] {
        let config = Box::new(config.clone());
        fixture.event(Event::Configured { config, revision, roster: 0 });
        let causes = fixture.machine.drain_causes();
        assert_eq!(causes[&name::Endpoint::from("e0")], [Cause::Order]);
    }
    let (endpoint, cause) = ("e0".into(), Cause::Order);
    fixture.event(Event::Leaving { endpoint, cause, leaving: false });
    assert!(fixture.machine.loads()[0].open);
}

#[test]
fn an_entry_that_connects_before_it_is_configured_gets_reports_afterwards() {
    let mut fixture = Fixture::new(4);
    let second = name::Host::from("entry-2");
    assert!(fixture.event(Event::Connected(second.clone())).is_empty());
    let mut named = config(4);
    let address = "127.0.0.1:1".parse().unwrap();
    named.entries.insert(second.clone(), Entry { address, zone: "hall-a".into(), weight: 1 });
    let out = fixture.event(Event::Configured { config: Box::new(named), revision: 1, roster: 1 });
    let reported = out.iter().filter(|effect| {
        matches!(effect, Effect::Send { host, message: Message::Load(_), .. } if *host == second)
    });
    assert_eq!(reported.count(), 2);
}
