//! Sides that are silent for a while and then go on. Silence alone ends no request: its attempt is
//! left only if there is a retry and another place for it.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

#[path = "entry/simulation.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::entry::count::Counter;
use oriole_core::entry::{Effect, Event, Machine, Outcome, Request};
use oriole_core::membership::Listing;
use oriole_core::message::{Answer, Broken, Fault, Message, Refuse, Reply, Report, State, not_run};
use oriole_core::name;
use oriole_core::request::{Id, Ran, Refusal};
use oriole_core::retry::Reason;
use simulation::{Simulation, TICK_US, config, expected_text, generate, id};

/// Requests that only use up retries.
const DRAINING: std::ops::Range<u64> = 1000..1100;

/// One call to a plain service with `endpoints` endpoints; the test sends each message of the sides.
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

/// Uses up the retries of the entry: sides refuse new generations until one is refused for good.
fn use_up_retries(sim: &mut Simulation) {
    assert!(is_refused_for_want_of_retries(sim));
    for seq in DRAINING {
        sim.machine.handle(sim.now, Event::CallerLeft(id(seq)));
    }
}

fn is_refused_for_want_of_retries(sim: &mut Simulation) -> bool {
    for seq in DRAINING {
        let event = Event::Generate(id(seq), generate(vec![1, 2, 3], 5));
        let mut effects = sim.machine.handle(sim.now, event);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send { message: Message::Open(open), .. } if open.stage == 0 => {
                    let event = refusal(open.request, open.attempt);
                    effects.extend(sim.machine.handle(sim.now, event));
                }
                Effect::Finish { outcome: Outcome::Refused(refused), .. } => {
                    assert_eq!(refused.reason, Refusal::RetryBudget);
                    return true;
                }
                _ => {}
            }
        }
    }
    false
}

/// The first stage of an attempt refuses to open, since its queue is full.
fn refusal(request: Id, attempt: u32) -> Event {
    let refused = not_run(Refusal::QueueFull, None);
    let message = Message::Refuse(Refuse { request, attempt, stage: 0, refused });
    Event::Message { from: "side".into(), message }
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

const PROMPT: [u32; 7] = [11, 22, 33, 44, 55, 66, 77];

/// Starts generations of 40 tokens and runs them until each caller has a part of the answer.
fn start_generations(sim: &mut Simulation, seqs: std::ops::RangeInclusive<u64>) {
    for seq in seqs.clone() {
        sim.handle(Event::Generate(id(seq), generate(PROMPT.to_vec(), 40)));
    }
    while seqs.clone().any(|seq| !sim.texts.contains_key(&id(seq))) {
        sim.step();
    }
    assert!(sim.outcomes.is_empty());
}

/// The engine of the first stage fails, so that a new attempt begins.
fn engine_failure(request: Id, attempt: u32) -> Event {
    let broken = Broken { request, attempt, stage: 0, fault: Fault::Engine };
    Event::Message { from: "side".into(), message: Message::Broken(broken) }
}

fn run(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms * 1000 / TICK_US {
        sim.step();
    }
}

fn is_complete(sim: &Simulation, seq: u64) -> bool {
    let is_whole = sim.texts.get(&id(seq)) == Some(&expected_text(&PROMPT, 40));
    let outcomes = sim.outcomes.get(&id(seq)).map(Vec::as_slice);
    is_whole && matches!(outcomes, Some([Outcome::Complete { .. }]))
}

#[test]
fn an_answer_in_progress_is_not_ended_because_a_new_stage_refuses_and_no_retry_is_left() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=1);
    use_up_retries(&mut sim);
    sim.handle(engine_failure(id(1), 1));
    sim.handle(refusal(id(1), 2));
    run(&mut sim, 100);
    assert!(!sim.outcomes.contains_key(&id(1)), "{:?}", sim.outcomes[&id(1)]);
    run(&mut sim, 5_000);
    assert!(is_complete(&sim, 1), "{:?}", sim.outcomes.get(&id(1)));
}

/// Sides refuse every attempt for 5 s. One retry a second is added, and less than one was left.
#[test]
fn answers_that_wait_for_a_retry_do_not_take_more_than_the_budget_gives() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=20);
    use_up_retries(&mut sim);
    let mut attempts = 0;
    let mut effects = Vec::new();
    for seq in 1..=20 {
        effects.extend(sim.machine.handle(sim.now, engine_failure(id(seq), 1)));
    }
    for _ in 0..5_000_000 / TICK_US {
        sim.now = sim.now + Duration::from_micros(TICK_US);
        effects.extend(sim.machine.handle(sim.now, Event::Tick));
        while let Some(effect) = effects.pop() {
            assert!(!matches!(effect, Effect::Finish { .. }), "{effect:?}");
            let Effect::Send { message: Message::Open(open), .. } = effect else { continue };
            if open.stage == 0 {
                attempts += 1;
                let event = refusal(open.request, open.attempt);
                effects.extend(sim.machine.handle(sim.now, event));
            }
        }
    }
    assert!(attempts > 20, "no retry was made");
    assert!(attempts <= 20 + 6, "{attempts} attempts of 20 answers in 5 s");
}

/// Nothing comes through for 20 s, while no connection ends; then all sides go on.
#[test]
fn an_answer_in_progress_is_not_ended_by_a_number_of_silent_attempts() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=1);
    sim.loss_percent = 100;
    run(&mut sim, 20_000);
    assert!(!sim.outcomes.contains_key(&id(1)), "{:?}", sim.outcomes[&id(1)]);
    // Engines that hang at its prompt must not be tried for ever.
    assert_eq!(sim.machine.counters().sum(Counter::Retried(Reason::Silent)), 8);
    sim.loss_percent = 0;
    run(&mut sim, 20_000);
    assert!(is_complete(&sim, 1), "{:?}", sim.outcomes.get(&id(1)));
}

/// Lets time pass until the first stage of an attempt is opened, and returns the attempt.
fn next_attempt(sim: &mut Simulation) -> u32 {
    for _ in 0..1000 {
        sim.now = sim.now + Duration::from_micros(TICK_US);
        for effect in sim.machine.handle(sim.now, Event::Tick) {
            if let Effect::Send { message: Message::Open(open), .. } = effect {
                return open.attempt;
            }
        }
    }
    panic!("no attempt");
}

/// Waiting for a chain is no failure: after it, one failure more does not end the answer.
#[test]
fn an_answer_that_had_to_wait_for_a_chain_survives_the_next_failure() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=1);
    let hosts: BTreeSet<name::Host> =
        sim.machine.config().endpoints.values().map(|endpoint| endpoint.host.clone()).collect();
    sim.loss_percent = 100;
    for host in &hosts {
        sim.handle(Event::Disconnected(host.clone()));
    }
    run(&mut sim, 2_500);
    sim.loss_percent = 0;
    for host in &hosts {
        sim.handle(Event::Connected(host.clone()));
    }
    let attempt = next_attempt(&mut sim);
    sim.handle(engine_failure(id(1), attempt));
    run(&mut sim, 5_000);
    assert!(is_complete(&sim, 1), "{:?}", sim.outcomes.get(&id(1)));
}

/// A prompt that crashes every engine must not be tried for ever.
#[test]
fn a_generation_ends_after_a_number_of_engine_failures() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=1);
    let mut attempts = 0;
    let mut effects = sim.machine.handle(sim.now, engine_failure(id(1), 1));
    for _ in 0..20_000_000 / TICK_US {
        sim.now = sim.now + Duration::from_micros(TICK_US);
        effects.extend(sim.machine.handle(sim.now, Event::Tick));
        while let Some(effect) = effects.pop() {
            if let Effect::Finish { outcome, .. } = effect {
                assert!(attempts <= 8, "{attempts} attempts");
                assert!(
                    matches!(outcome, Outcome::Refused(r) if r.reason == Refusal::EndpointFailed)
                );
                return;
            }
            let Effect::Send { message: Message::Open(open), .. } = effect else { continue };
            if open.stage == 0 {
                attempts += 1;
                let event = engine_failure(open.request, open.attempt);
                effects.extend(sim.machine.handle(sim.now, event));
            }
        }
    }
    panic!("still tried after {attempts} attempts");
}

/// The time for which an answer waits for a chain begins when there is none, not with a silence
/// before.
#[test]
fn an_answer_that_was_silent_for_long_still_waits_for_a_chain() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=1);
    sim.loss_percent = 100;
    run(&mut sim, 10_000);
    let hosts: BTreeSet<name::Host> =
        sim.machine.config().endpoints.values().map(|endpoint| endpoint.host.clone()).collect();
    for host in &hosts {
        sim.handle(Event::Disconnected(host.clone()));
    }
    run(&mut sim, 1_000);
    sim.loss_percent = 0;
    for host in &hosts {
        sim.handle(Event::Connected(host.clone()));
    }
    run(&mut sim, 10_000);
    assert!(is_complete(&sim, 1), "{:?}", sim.outcomes.get(&id(1)));
}

#[test]
fn an_answer_does_not_wait_for_a_chain_for_ever() {
    let mut sim = Simulation::new(1);
    start_generations(&mut sim, 1..=1);
    let hosts: BTreeSet<name::Host> =
        sim.machine.config().endpoints.values().map(|endpoint| endpoint.host.clone()).collect();
    for _ in 0..60 {
        for host in &hosts {
            sim.kill(host);
        }
        run(&mut sim, 100);
    }
    assert!(matches!(sim.outcomes[&id(1)][..], [Outcome::Refused(_)]));
}
