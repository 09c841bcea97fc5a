//! The entry's state machine with simulated sides, engines and a faulty network.

mod calls;
mod simulation;

use std::time::Duration;

use calls::{Calls, claimed, keyed, settled};
use oriole_core::entry::count::Counter;
use oriole_core::entry::{Event, Outcome};
use oriole_core::membership::Listing;
use oriole_core::message::{
    Answer, Load, Message, Refuse, Reply, Report, State, Term, Verdict, not_run,
};
use oriole_core::request::{Ran, Refusal};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{Simulation, expected_text, generate, id};

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases,
        ..ProptestConfig::default()
    }
}

const PROMPT: [u32; 7] = [11, 22, 33, 44, 55, 66, 77];

#[test]
fn an_answer_without_faults_is_complete() {
    let mut sim = Simulation::new(1);
    sim.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 20)));
    for _ in 0..400 {
        sim.step();
    }
    assert_eq!(sim.texts[&id(1)], expected_text(&PROMPT, 20));
    assert!(matches!(sim.outcomes[&id(1)][..], [Outcome::Complete { prompt: 7, .. }]));
    assert!(sim.machine.is_idle());
}

/// Returns the longest time between two tokens of an answer during which `fault` is injected.
fn longest_gap(mut sim: Simulation, fault: impl FnOnce(&mut Simulation)) -> Duration {
    sim.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 200)));
    for _ in 0..40 {
        sim.step();
    }
    assert!(sim.texts.contains_key(&id(1)));
    fault(&mut sim);
    let (mut longest, mut last) = (Duration::ZERO, sim.now);
    while !sim.outcomes.contains_key(&id(1)) {
        let before = sim.texts[&id(1)].len();
        sim.step();
        if sim.texts[&id(1)].len() > before {
            longest = longest.max(sim.now.since(last));
            last = sim.now;
        }
    }
    assert_eq!(sim.texts[&id(1)], expected_text(&PROMPT, 200));
    longest
}

/// An answer resumes within 1 s after a detected failure of the host of any stage or of a whole
/// availability zone, and within 2 s after a silent failure, in simulated time.
#[test]
fn recovery_meets_the_time_targets() {
    for seed in 0..60 {
        let took = longest_gap(Simulation::new(seed), |sim| {
            let serving = sim.serving(id(1));
            sim.kill(&serving[seed as usize % serving.len()]);
        });
        assert!(took <= Duration::from_secs(1), "death, seed {seed}: {took:?}");
        let took = longest_gap(Simulation::new(seed), |sim| {
            let serving = sim.serving(id(1));
            sim.partition(&serving[seed as usize % serving.len()]);
        });
        assert!(took <= Duration::from_secs(2), "silence, seed {seed}: {took:?}");
        let took = longest_gap(Simulation::new(seed), |sim| {
            let zone = seed as usize % 3;
            for index in zone * 6..zone * 6 + 6 {
                sim.kill(&format!("h{index}").as_str().into());
            }
        });
        assert!(took <= Duration::from_secs(1), "zone, seed {seed}: {took:?}");
    }
}

/// A degraded link completes every step, only late, so no timeout fires. 200 tokens at 0.5 s each
/// would take 100 s. The request must move to another chain, and later requests avoid the link.
#[test]
fn a_request_moves_away_from_a_degraded_link() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed);
        sim.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 200)));
        for _ in 0..40 {
            sim.step();
        }
        let slow = sim.serving(id(1))[0].clone();
        sim.slow_hosts.insert(slow.clone());
        let began = sim.now;
        while !sim.outcomes.contains_key(&id(1)) {
            sim.step();
        }
        let took = sim.now.since(began);
        assert!(took < Duration::from_secs(10), "seed {seed}: {took:?}");
        assert_eq!(sim.texts[&id(1)], expected_text(&PROMPT, 200));
        for seq in 2..10 {
            sim.handle(Event::Generate(id(seq), generate(PROMPT.to_vec(), 20)));
            sim.step();
            assert!(
                !sim.serving(id(seq)).contains(&slow),
                "seed {seed}: request {seq} uses the slow host"
            );
        }
    }
}

proptest! {
    #![proptest_config(settings(192))]

    /// With lost, delayed, duplicated and reordered messages and with failing hosts, each answer
    /// is delivered once, is byte for byte that of a run without faults, and leaves no state.
    #[test]
    fn answers_are_complete_despite_network_faults(
        seed in any::<u64>(),
        loss_percent in 0_usize..8,
        duplicate_percent in 1_usize..30,
        requests in 1_u64..5,
        faults in prop::collection::vec((5_usize..300, 0_usize..3, 0_usize..3), 0..4),
    ) {
        let mut sim = Simulation::new(seed);
        (sim.loss_percent, sim.duplicate_percent) = (loss_percent, duplicate_percent);
        let prompt = |seq: u64| PROMPT.iter().map(|t| t + seq as u32).collect::<Vec<_>>();
        for seq in 1..=requests {
            sim.handle(Event::Generate(id(seq), generate(prompt(seq), 12)));
        }
        for step in 0..6000 {
            sim.step();
            for (_, stage, kind) in faults.iter().filter(|(at, _, _)| *at == step) {
                let serving = sim.serving(id(1));
                match serving.get(*stage) {
                    Some(host) if *kind == 0 => sim.kill(host),
                    Some(host) if *kind == 1 => sim.restart(host),
                    Some(host) => sim.partition(host),
                    None => {}
                }
            }
        }
        for seq in 1..=requests {
            let outcomes = &sim.outcomes[&id(seq)];
            prop_assert_eq!(outcomes.len(), 1);
            let expected = expected_text(&prompt(seq), 12);
            let text = sim.texts.get(&id(seq)).cloned().unwrap_or_default();
            match &outcomes[0] {
                Outcome::Complete { .. } => prop_assert_eq!(text, expected),
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert!(sim.machine.is_idle());
    }
}

#[test]
fn a_slow_caller_pauses_the_generation() {
    let mut sim = Simulation::new(3);
    sim.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 100)));
    for _ in 0..30 {
        sim.step();
    }
    sim.handle(Event::Pause(id(1)));
    for _ in 0..20 {
        sim.step();
    }
    let held = sim.texts[&id(1)].clone();
    for _ in 0..2000 {
        sim.step();
    }
    assert_eq!(sim.texts[&id(1)], held);
    sim.handle(Event::Resume(id(1)));
    for _ in 0..2000 {
        sim.step();
    }
    assert_eq!(sim.texts[&id(1)], expected_text(&PROMPT, 100));
}

#[test]
fn a_caller_that_leaves_releases_every_stage() {
    let mut sim = Simulation::new(4);
    sim.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 100)));
    for _ in 0..30 {
        sim.step();
    }
    assert!(!sim.serving(id(1)).is_empty());
    sim.handle(Event::CallerLeft(id(1)));
    sim.step();
    sim.step();
    assert!(sim.serving(id(1)).is_empty());
    assert!(sim.machine.is_idle());
}

#[test]
fn a_non_idempotent_call_moves_only_if_proven_not_run() {
    let mut calls = Calls::start("/once");
    let refused = not_run(Refusal::Leaving, None);
    calls.message(Message::Refuse(Refuse { request: id(1), attempt: 1, stage: 0, refused }));
    assert_eq!(calls.hosts().len(), 2);
    // The second host dies without an answer: the call is not sent to a third.
    let host = calls.sent.last().unwrap().0.clone();
    calls.handle(Event::Disconnected(host.clone()));
    calls.handle(Event::Disconnected(host));
    calls.wait(3000);
    assert_eq!(calls.hosts().len(), 2);
    assert_eq!(calls.refused(), Some((Refusal::EndpointFailed, Ran::Unknown)));
}

#[test]
fn not_run_is_reported_only_when_proven() {
    for (state, expected) in [(State::Refused, Ran::No), (State::Unknown, Ran::Unknown)] {
        let mut calls = Calls::start("/once");
        calls.wait(4700);
        assert!(calls.sent.iter().any(|(_, m)| matches!(m, Message::Resolve(_))));
        assert_eq!(calls.refused(), None);
        calls.message(Message::Report(Report { request: id(1), attempt: 1, state }));
        assert_eq!(calls.refused(), Some((Refusal::Deadline, expected)));
    }
    let mut calls = Calls::start("/once");
    calls.wait(5100);
    assert_eq!(calls.refused(), Some((Refusal::Deadline, Ran::Unknown)));
    assert_eq!(calls.hosts().len(), 1);
}

#[test]
fn an_idempotent_call_moves_from_a_dead_host() {
    let mut calls = Calls::start("/again");
    let host = calls.sent[0].0.clone();
    calls.handle(Event::Disconnected(host.clone()));
    calls.handle(Event::Disconnected(host));
    assert_eq!(calls.hosts().len(), 2);
    let answer = Answer { status: 200, content_type: String::new(), body: vec![1] };
    calls.message(Message::Reply(Reply { request: id(1), attempt: 2, answer: answer.clone() }));
    assert_eq!(calls.sim.outcomes[&id(1)], [Outcome::Answered(answer)]);
}

#[test]
fn the_home_of_a_key_allows_the_call_and_gets_the_outcome() {
    let answer = Answer { status: 200, content_type: String::new(), body: vec![1] };
    // Nothing runs before the home allows it, and the claim is resent until then.
    let (mut calls, claim) = keyed();
    calls.wait(500);
    assert!(calls.sent.len() >= 3 && calls.hosts().is_empty());
    assert_eq!(claim.workspace.as_str(), "w");
    claimed(&mut calls, Verdict::Run);
    claimed(&mut calls, Verdict::Run);
    assert_eq!(calls.hosts().len(), 1);
    // The caller leaves. The call continues, since the caller may ask for its outcome again.
    calls.handle(Event::CallerLeft(id(1)));
    calls.message(Message::Reply(Reply { request: id(1), attempt: 1, answer: answer.clone() }));
    assert_eq!(settled(&calls)[0].outcome, Ok(answer.clone()));
    // A call whose key has already run gets the stored answer and does not run.
    let (mut calls, _) = keyed();
    claimed(&mut calls, Verdict::Ran(id(9), answer.clone()));
    assert_eq!(calls.sim.outcomes[&id(1)], [Outcome::Answered(answer)]);
    assert!(calls.hosts().is_empty() && settled(&calls).is_empty());
    // If the home cannot be reached, it is unknown whether a call with the key has run.
    let (mut calls, _) = keyed();
    calls.wait(2500);
    assert_eq!(calls.refused(), Some((Refusal::HomeUnreachable, Ran::Unknown)));
    claimed(&mut calls, Verdict::Run);
    assert!(calls.hosts().is_empty());
}

/// A restarted side refuses a call with an old term without running it. The call must not be
/// refused: it is sent again, if necessary repeatedly, until the side has reported its new term.
#[test]
fn a_call_is_resent_with_the_term_of_a_restarted_side() {
    let mut calls = Calls::start("/once");
    let refused = not_run(Refusal::Restarted, None);
    calls.message(Message::Refuse(Refuse { request: id(1), attempt: 1, stage: 0, refused }));
    assert_eq!(calls.refused(), None);
    let term = Term { boot: 5, epoch: 1 };
    for index in 90..93 {
        let endpoint = format!("e{index}").as_str().into();
        let (prefixes, open) = (Vec::new(), true);
        let (queued, running, batch_us, free) = (0, 0, 0, 0);
        let load = Load { endpoint, open, queued, running, batch_us, free, prefixes, term };
        calls.message(Message::Load(load));
    }
    calls.wait(100);
    let Some((_, Message::Call(call))) = calls.sent.last() else { panic!("call not resent") };
    assert_eq!((call.attempt, call.term), (2, term));
}

/// When every side refuses, retries must not multiply the load: they stay within the budget.
#[test]
fn retries_stay_within_the_budget() {
    let mut sim = Simulation::new(5);
    let mut sent = 0_u32;
    for seq in 1..=500 {
        let event = Event::Generate(id(seq), generate(PROMPT.to_vec(), 20));
        let mut effects = sim.machine.handle(sim.now, event);
        while let Some(effect) = effects.pop() {
            let oriole_core::entry::Effect::Send { message: Message::Open(open), .. } = effect
            else {
                continue;
            };
            if open.stage == 0 {
                sent += 1;
                let refused = not_run(Refusal::QueueFull, None);
                let (request, attempt) = (open.request, open.attempt);
                let refuse = Refuse { request, attempt, stage: 0, refused };
                let message = Message::Refuse(refuse);
                let event = Event::Message { from: "side".into(), message };
                effects.extend(sim.machine.handle(sim.now, event));
            }
        }
    }
    assert!(sent <= 500 + 500 / 5 + 10, "{sent} attempts at 500 requests");
    let refused = Counter::Refused(Refusal::RetryBudget);
    assert!(sim.machine.counters().sum(refused) > 0);
    assert!(sim.now > Instant::default());
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut sim = Simulation::new(6);
    let mut spec = generate(PROMPT.to_vec(), 2000);
    spec.deadline = Some(Duration::from_millis(50));
    sim.handle(Event::Generate(id(1), spec));
    let Outcome::Refused(refused) = &sim.outcomes[&id(1)][0] else { panic!("not refused") };
    assert_eq!((refused.reason, refused.ran), (Refusal::Deadline, Ran::No));
    assert!(refused.retry_after_ms.is_some());
    let record = serde_json::to_string(sim.machine.record(id(1)).unwrap()).unwrap();
    assert!(record.contains("\"unplanned\"") && record.contains("cost_us"));
}

/// A host that the host list reports as leaving gets no new requests, and its requests in progress
/// finish.
#[test]
fn a_leaving_host_finishes_its_requests_and_gets_no_new_ones() {
    let mut sim = Simulation::new(1);
    sim.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 20)));
    for _ in 0..10 {
        sim.step();
    }
    let hosts = sim.machine.config().endpoints.values().map(|endpoint| endpoint.host.clone());
    let list = hosts.map(|host| (host, Listing::Leaving)).collect();
    sim.handle(Event::HostList(list));
    sim.handle(Event::Generate(id(2), generate(PROMPT.to_vec(), 20)));
    for _ in 0..400 {
        sim.step();
    }
    assert_eq!(sim.texts[&id(1)], expected_text(&PROMPT, 20));
    assert!(matches!(sim.outcomes[&id(1)][..], [Outcome::Complete { .. }]));
    let [Outcome::Refused(refused)] = &sim.outcomes[&id(2)][..] else { panic!("not refused") };
    assert_eq!((refused.reason, refused.ran), (Refusal::NoChain, Ran::No));
}
