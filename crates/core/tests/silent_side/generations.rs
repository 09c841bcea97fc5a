//! Generations in progress.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use oriole_core::entry::count::Counter;
use oriole_core::entry::{Effect, Event, Outcome};
use oriole_core::message::{Broken, Fault, Message};
use oriole_core::name;
use oriole_core::request::{Id, Refusal};
use oriole_core::retry::Reason;

use crate::simulation::{Simulation, TICK_US, expected_text, generate, id};
use crate::{refusal, use_up_retries};

const PROMPT: [u32; 7] = [11, 22, 33, 44, 55, 66, 77];

/// Starts generations of 40 tokens and runs them until each caller has a part of the answer.
fn start_generations(sim: &mut Simulation, seqs: RangeInclusive<u64>) {
    for seq in seqs.clone() {
        sim.handle(Event::Generate(id(seq), generate(PROMPT.to_vec(), 40)));
    }
    while seqs.clone().any(|seq| !sim.texts.contains_key(&id(seq))) {
        sim.step();
    }
    assert!(sim.outcomes.is_empty());
}

/// The engine of the first stage has failed, so that a new attempt begins.
fn engine_failure(request: Id, attempt: u32) -> Event {
    let broken = Broken { request, attempt, stage: 0, fault: Fault::Engine };
    Event::Message { from: "side".into(), message: Message::Broken(broken) }
}

fn run(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms * 1000 / TICK_US {
        sim.step();
    }
}

fn hosts(sim: &Simulation) -> BTreeSet<name::Host> {
    sim.machine.config().endpoints.values().map(|endpoint| endpoint.host.clone()).collect()
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
    let hosts = hosts(&sim);
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
    let hosts = hosts(&sim);
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
    let hosts = hosts(&sim);
    for _ in 0..60 {
        for host in &hosts {
            sim.kill(host);
        }
        run(&mut sim, 100);
    }
    assert!(matches!(sim.outcomes[&id(1)][..], [Outcome::Refused(_)]));
}
