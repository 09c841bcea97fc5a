//! Calls of plain services; the test sends each message of the sides.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::entry::{Effect, Event, Machine, Outcome, Request};
use oriole_core::membership::Listing;
use oriole_core::message::{Answer, Message, Reply, Report, State};
use oriole_core::name;
use oriole_core::request::{Ran, Refusal};

use crate::simulation::{Simulation, TICK_US, config, id};
use crate::{refusal, use_up_retries};

/// One call to a plain service.
struct Calls {
    sim: Simulation,
    sent: Vec<(name::Host, Message)>,
}

impl Calls {
    fn start(path: &str, endpoints: usize) -> Self {
        Self::start_with(path, endpoints, Duration::from_secs(5))
    }

    fn start_with(path: &str, endpoints: usize, deadline: Duration) -> Self {
        let mut config = config();
        for index in 90 + endpoints..93 {
            config.endpoints.remove(&name::Endpoint::from(format!("e{index}").as_str()));
        }
        let mut sim = Simulation::new(7);
        sim.machine = Machine::new(config, 7);
        let mut calls = Self { sim, sent: Vec::new() };
        let request = Request {
            workspace: "w".into(),
            service: "s".into(),
            method: "POST".to_owned(),
            path: path.to_owned(),
            content_type: String::new(),
            body: Vec::new(),
            key: None,
            deadline: Some(deadline),
        };
        calls.handle(Event::Call(id(1), request));
        calls
    }

    fn handle(&mut self, event: Event) {
        for effect in self.sim.machine.handle(self.sim.now, event) {
            match effect {
                Effect::Send { host, message, .. } => self.sent.push((host, message)),
                Effect::Finish { request, outcome } => {
                    self.sim.outcomes.entry(request).or_default().push(outcome);
                }
                Effect::Deliver { .. } => panic!("calls have no tokens"),
            }
        }
    }

    /// Handles a message of the side to which the first message was sent.
    fn message(&mut self, message: Message) {
        let from = self.sent[0].0.clone();
        self.handle(Event::Message { from, message });
    }

    fn answer(&mut self, attempt: u32) {
        let answer = Answer { status: 200, content_type: String::new(), body: vec![1] };
        self.message(Message::Reply(Reply { request: id(1), attempt, answer }));
    }

    fn report(&mut self, attempt: u32, state: State) {
        self.message(Message::Report(Report { request: id(1), attempt, state }));
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms * 1000 / TICK_US {
            self.sim.now = self.sim.now + Duration::from_micros(TICK_US);
            self.handle(Event::Tick);
        }
    }

    /// Ends the connection to the host of the call, which answers no probe.
    fn silence(&mut self) {
        let host = self.sent[0].0.clone();
        self.handle(Event::Disconnected(host));
    }

    /// Returns the hosts to which the call was sent.
    fn hosts(&self) -> BTreeSet<name::Host> {
        let calls = self.sent.iter().filter(|(_, m)| matches!(m, Message::Call(_)));
        calls.map(|(host, _)| host.clone()).collect()
    }

    fn refused(&self) -> Option<(Refusal, Ran)> {
        match self.sim.outcomes.get(&id(1)).map(Vec::as_slice) {
            Some([Outcome::Refused(refused)]) => Some((refused.reason, refused.ran)),
            _ => None,
        }
    }

    fn is_answered(&self) -> bool {
        matches!(self.sim.outcomes.get(&id(1)).map(Vec::as_slice), Some([Outcome::Answered(_)]))
    }
}

#[test]
fn an_idempotent_call_is_not_taken_from_a_silent_host_while_there_is_no_other_endpoint() {
    let mut calls = Calls::start("/again", 1);
    calls.silence();
    calls.wait(1500);
    assert_eq!(calls.refused(), None);
    calls.answer(1);
    assert!(calls.is_answered());
}

#[test]
fn an_idempotent_call_is_not_taken_from_a_silent_host_while_no_retry_is_left() {
    let mut calls = Calls::start("/again", 3);
    use_up_retries(&mut calls.sim);
    calls.silence();
    calls.wait(300);
    assert_eq!((calls.refused(), calls.hosts().len()), (None, 1));
    // It moves as soon as there is a retry, and the answer of the first side still counts.
    calls.wait(1000);
    assert_eq!((calls.refused(), calls.hosts().len()), (None, 2));
    calls.answer(1);
    assert!(calls.is_answered());
}

#[test]
fn a_call_returns_to_its_silent_side_if_the_one_that_it_left_for_refuses_it() {
    let mut calls = Calls::start("/again", 2);
    calls.silence();
    calls.wait(300);
    assert_eq!(calls.hosts().len(), 2);
    use_up_retries(&mut calls.sim);
    calls.handle(refusal(id(1), 2));
    assert_eq!(calls.refused(), None);
    let first = calls.sent[0].0.clone();
    let Some((host, Message::Call(call))) = calls.sent.last() else { panic!("not sent again") };
    assert_eq!((host, &call.endpoint, call.attempt), (&first, &"e90".into(), 3));
    calls.wait(300);
    calls.answer(1);
    assert!(calls.is_answered());
}

/// Both sides have refused the call, so there is nothing to return to.
#[test]
fn a_call_does_not_return_to_its_silent_side_twice() {
    let mut calls = Calls::start("/again", 2);
    calls.silence();
    calls.wait(300);
    use_up_retries(&mut calls.sim);
    calls.handle(refusal(id(1), 2));
    calls.handle(refusal(id(1), 3));
    assert_eq!(calls.refused(), Some((Refusal::RetryBudget, Ran::Unknown)));
}

/// The endpoint gets no new work, since its host leaves, and the call at it is silent for long.
#[test]
fn an_idempotent_call_is_not_refused_because_its_slow_endpoint_takes_no_other_calls() {
    let mut calls = Calls::start("/again", 1);
    let host = calls.sent[0].0.clone();
    calls.handle(Event::HostList([(host, Listing::Leaving)].into()));
    calls.wait(2500);
    assert_eq!(calls.refused(), None);
    calls.answer(1);
    assert!(calls.is_answered());
}

/// Two connections in a row that end at once are no silence: what was sent there is lost.
#[test]
fn a_call_does_not_wait_for_a_host_that_is_certainly_lost() {
    let mut calls = Calls::start("/again", 1);
    calls.silence();
    calls.silence();
    assert_eq!(calls.refused(), Some((Refusal::NoChain, Ran::Unknown)));
}

/// The last side proves that the call did not run there, but it may have run at an earlier one.
#[test]
fn a_call_that_was_left_at_a_silent_host_is_not_reported_as_not_run() {
    let mut calls = Calls::start("/again", 2);
    calls.silence();
    calls.wait(4700);
    assert_eq!((calls.refused(), calls.hosts().len()), (None, 2));
    let Some((_, Message::Resolve(resolve))) = calls.sent.last() else { panic!("not resolved") };
    let attempt = resolve.attempt;
    assert!(attempt > 1);
    calls.report(attempt, State::Refused);
    assert_eq!(calls.refused(), Some((Refusal::Deadline, Ran::Unknown)));
}

/// The side has told that the call runs there, and nobody else may run it.
#[test]
fn a_non_idempotent_call_is_not_given_up_after_its_side_has_reported_that_it_runs() {
    for state in [State::Started, State::Done] {
        let mut calls = Calls::start("/once", 3);
        calls.silence();
        calls.wait(300);
        assert!(matches!(calls.sent.last(), Some((_, Message::Resolve(_)))));
        calls.report(1, state);
        calls.wait(2000);
        assert_eq!((calls.refused(), calls.hosts().len()), (None, 1));
        calls.answer(1);
        assert!(calls.is_answered());
    }
}

#[test]
fn a_non_idempotent_call_that_runs_is_refused_as_unknown_at_its_deadline_or_after_a_restart() {
    let mut calls = Calls::start("/once", 3);
    calls.silence();
    calls.wait(300);
    calls.report(1, State::Started);
    calls.wait(4800);
    assert_eq!(calls.refused(), Some((Refusal::Deadline, Ran::Unknown)));
    assert_eq!(calls.hosts().len(), 1);

    let mut calls = Calls::start("/once", 3);
    calls.silence();
    calls.wait(300);
    calls.report(1, State::Started);
    calls.silence();
    calls.silence();
    calls.report(1, State::Unknown);
    assert_eq!(calls.refused(), Some((Refusal::EndpointFailed, Ran::Unknown)));
    assert_eq!(calls.hosts().len(), 1);
}

/// The side does not even answer whether the call runs, but no connection to it is refused.
#[test]
fn a_non_idempotent_call_is_not_given_up_before_its_deadline_while_its_host_is_silent() {
    let mut calls = Calls::start("/once", 3);
    calls.silence();
    calls.wait(3000);
    assert_eq!((calls.refused(), calls.hosts().len()), (None, 1));
    calls.answer(1);
    assert!(calls.is_answered());
}

/// It is silent first and refuses connections later, when there is nothing left to wait for.
#[test]
fn a_non_idempotent_call_does_not_wait_for_a_silent_host_that_is_certainly_lost_later() {
    let mut calls = Calls::start_with("/once", 3, Duration::from_secs(20));
    calls.silence();
    calls.wait(3500);
    calls.silence();
    calls.silence();
    calls.wait(1400);
    assert_eq!(calls.refused(), None);
    calls.wait(200);
    assert_eq!(calls.refused(), Some((Refusal::EndpointFailed, Ran::Unknown)));
}
