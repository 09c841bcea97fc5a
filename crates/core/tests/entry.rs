//! The entry's decisions over a fake of sides and a wire that fails.

#[path = "entry/world.rs"]
mod world;

use std::time::Duration;

use oriole_core::entry::count::Counter;
use oriole_core::entry::{Event, Outcome, Request};
use oriole_core::membership::Listing;
use oriole_core::message::{
    Answer, Claimed, Load, Message, Refuse, Reply, Report, Settle, State, Term, Verdict, not_run,
};
use oriole_core::request::{Ran, Refusal};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{TICK_US, World, generate, id, reference};

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
fn an_undisturbed_answer_is_whole() {
    let mut world = World::new(1);
    world.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 20)));
    for _ in 0..400 {
        world.step();
    }
    assert_eq!(world.texts[&id(1)], reference(&PROMPT, 20));
    assert!(matches!(world.outcomes[&id(1)][..], [Outcome::Complete { prompt: 7, .. }]));
    assert!(world.machine.is_idle());
}

/// The longest time between tokens of an answer in which `fault` comes about.
fn recovery(mut world: World, fault: impl FnOnce(&mut World)) -> Duration {
    world.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 200)));
    for _ in 0..40 {
        world.step();
    }
    assert!(world.texts.contains_key(&id(1)));
    fault(&mut world);
    let (mut longest, mut last) = (Duration::ZERO, world.now);
    while !world.outcomes.contains_key(&id(1)) {
        let before = world.texts[&id(1)].len();
        world.step();
        if world.texts[&id(1)].len() > before {
            longest = longest.max(world.now.since(last));
            last = world.now;
        }
    }
    assert_eq!(world.texts[&id(1)], reference(&PROMPT, 200));
    longest
}

/// Figures of the targets in the decisions' own time: 1 s for a death that shows, 2 s for a
/// silent one, for each stage and for a whole availability zone.
#[test]
fn recovery_keeps_the_targets() {
    for seed in 0..60 {
        let took = recovery(World::new(seed), |world| {
            let serving = world.serving(id(1));
            world.kill(&serving[seed as usize % serving.len()]);
        });
        assert!(took <= Duration::from_secs(1), "death, seed {seed}: {took:?}");
        let took = recovery(World::new(seed), |world| {
            let serving = world.serving(id(1));
            world.silence(&serving[seed as usize % serving.len()]);
        });
        assert!(took <= Duration::from_secs(2), "silence, seed {seed}: {took:?}");
        let took = recovery(World::new(seed), |world| {
            let zone = seed as usize % 3;
            for index in zone * 6..zone * 6 + 6 {
                world.kill(&format!("h{index}").as_str().into());
            }
        });
        assert!(took <= Duration::from_secs(1), "zone, seed {seed}: {took:?}");
    }
}

/// A degraded link lets every step through, late. 200 tokens at half a second would take 100 s;
/// the request moves instead, and later ones avoid the link.
#[test]
fn a_request_leaves_a_degraded_link() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 200)));
        for _ in 0..40 {
            world.step();
        }
        let slow = world.serving(id(1))[0].clone();
        world.slow.insert(slow.clone());
        let began = world.now;
        while !world.outcomes.contains_key(&id(1)) {
            world.step();
        }
        let took = world.now.since(began);
        assert!(took < Duration::from_secs(10), "seed {seed}: {took:?}");
        assert_eq!(world.texts[&id(1)], reference(&PROMPT, 200));
        for seq in 2..10 {
            world.handle(Event::Generate(id(seq), generate(PROMPT.to_vec(), 20)));
            world.step();
            assert!(!world.serving(id(seq)).contains(&slow), "seed {seed}: used again at once");
        }
    }
}

proptest! {
    #![proptest_config(settings(192))]

    /// Under loss, delay, doubling, reordering and deaths, each answer is byte for byte what an
    /// undisturbed run gives, once, and nothing is left over.
    #[test]
    fn answers_are_whole_whatever_the_wire_does(
        seed in any::<u64>(),
        lose in 0_usize..8,
        double in 1_usize..30,
        requests in 1_u64..5,
        faults in prop::collection::vec((5_usize..300, 0_usize..3, 0_usize..3), 0..4),
    ) {
        let mut world = World::new(seed);
        (world.lose, world.double) = (lose, double);
        let prompt = |seq: u64| PROMPT.iter().map(|t| t + seq as u32).collect::<Vec<_>>();
        for seq in 1..=requests {
            world.handle(Event::Generate(id(seq), generate(prompt(seq), 12)));
        }
        for step in 0..6000 {
            world.step();
            for (_, stage, kind) in faults.iter().filter(|(at, _, _)| *at == step) {
                let serving = world.serving(id(1));
                match serving.get(*stage) {
                    Some(host) if *kind == 0 => world.kill(host),
                    Some(host) if *kind == 1 => world.forget(host),
                    Some(host) => world.silence(host),
                    None => {}
                }
            }
        }
        for seq in 1..=requests {
            let outcomes = &world.outcomes[&id(seq)];
            prop_assert_eq!(outcomes.len(), 1);
            let expected = reference(&prompt(seq), 12);
            let text = world.texts.get(&id(seq)).cloned().unwrap_or_default();
            match &outcomes[0] {
                Outcome::Complete { .. } => prop_assert_eq!(text, expected),
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert!(world.machine.is_idle());
    }
}

#[test]
fn a_caller_that_does_not_keep_up_stops_the_engines() {
    let mut world = World::new(3);
    world.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 100)));
    for _ in 0..30 {
        world.step();
    }
    world.handle(Event::Hold(id(1)));
    for _ in 0..20 {
        world.step();
    }
    let held = world.texts[&id(1)].clone();
    for _ in 0..2000 {
        world.step();
    }
    assert_eq!(world.texts[&id(1)], held);
    world.handle(Event::Resume(id(1)));
    for _ in 0..2000 {
        world.step();
    }
    assert_eq!(world.texts[&id(1)], reference(&PROMPT, 100));
}

#[test]
fn a_caller_that_leaves_frees_every_stage() {
    let mut world = World::new(4);
    world.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 100)));
    for _ in 0..30 {
        world.step();
    }
    assert!(!world.serving(id(1)).is_empty());
    world.handle(Event::Gone(id(1)));
    world.step();
    world.step();
    assert!(world.serving(id(1)).is_empty());
    assert!(world.machine.is_idle());
}

fn call(path: &str) -> Request {
    Request {
        workspace: "w".into(),
        service: "s".into(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        body: Vec::new(),
        key: None,
        deadline: Some(Duration::from_secs(5)),
    }
}

/// Drives calls without a wire: the test answers each message itself.
struct Calls {
    world: World,
    sent: Vec<(oriole_core::name::Host, Message)>,
}

impl Calls {
    fn start(path: &str) -> Self {
        let mut calls = Self { world: World::new(7), sent: Vec::new() };
        calls.handle(Event::Call(id(1), call(path)));
        calls
    }

    fn handle(&mut self, event: Event) {
        for effect in self.world.machine.handle(self.world.now, event) {
            match effect {
                oriole_core::entry::Effect::Send { host, message, .. } => {
                    self.sent.push((host, message));
                }
                oriole_core::entry::Effect::Finish { request, outcome } => {
                    self.world.outcomes.entry(request).or_default().push(outcome);
                }
                oriole_core::entry::Effect::Deliver { .. } => panic!("calls have no tokens"),
            }
        }
    }

    fn message(&mut self, message: Message) {
        self.handle(Event::Message { from: "side".into(), message });
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms * 1000 / TICK_US {
            self.world.now = self.world.now + Duration::from_micros(TICK_US);
            self.handle(Event::Tick);
        }
    }

    /// Hosts that were sent the call itself.
    fn hosts(&self) -> std::collections::BTreeSet<oriole_core::name::Host> {
        let calls = self.sent.iter().filter(|(_, m)| matches!(m, Message::Call(_)));
        calls.map(|(host, _)| host.clone()).collect()
    }

    fn refused(&self) -> Option<(Refusal, Ran)> {
        match self.world.outcomes.get(&id(1)).map(Vec::as_slice) {
            Some([Outcome::Refused(refused)]) => Some((refused.reason, refused.ran)),
            _ => None,
        }
    }
}

#[test]
fn a_call_that_may_not_be_repeated_goes_elsewhere_only_if_proven_not_run() {
    let mut calls = Calls::start("/once");
    let refused = not_run(Refusal::Leaving, None);
    calls.message(Message::Refuse(Refuse { request: id(1), attempt: 1, stage: 0, refused }));
    assert_eq!(calls.hosts().len(), 2);
    // Now the host dies without an answer: the call is not sent anywhere else.
    let host = calls.sent.last().unwrap().0.clone();
    calls.handle(Event::Lost(host.clone()));
    calls.handle(Event::Lost(host));
    calls.wait(3000);
    assert_eq!(calls.hosts().len(), 2);
    assert_eq!(calls.refused(), Some((Refusal::EndpointFailed, Ran::Unknown)));
}

#[test]
fn not_run_is_said_only_when_proven() {
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
fn a_call_that_may_be_repeated_moves_from_a_dead_host() {
    let mut calls = Calls::start("/again");
    let host = calls.sent[0].0.clone();
    calls.handle(Event::Lost(host.clone()));
    calls.handle(Event::Lost(host));
    assert_eq!(calls.hosts().len(), 2);
    let answer = Answer { status: 200, content_type: String::new(), body: vec![1] };
    calls.message(Message::Reply(Reply { request: id(1), attempt: 2, answer: answer.clone() }));
    assert_eq!(calls.world.outcomes[&id(1)], [Outcome::Answered(answer)]);
}

/// Starts a call with an idempotency key; returns the claim that was sent.
fn keyed() -> (Calls, oriole_core::message::Claim) {
    let mut calls = Calls { world: World::new(7), sent: Vec::new() };
    let key = Some(0x0190_0000_0000_7000_8000_0000_0000_0001);
    calls.handle(Event::Call(id(1), Request { key, ..call("/once") }));
    let claim = match &calls.sent[..] {
        [(_, Message::Claim(claim))] => claim.clone(),
        other => panic!("{other:?}"),
    };
    (calls, claim)
}

fn claimed(calls: &mut Calls, verdict: Verdict) {
    calls.message(Message::Claimed(Claimed { request: id(1), verdict }));
}

fn settled(calls: &Calls) -> Vec<&Settle> {
    calls
        .sent
        .iter()
        .filter_map(|(_, m)| match m {
            Message::Settle(settle) => Some(settle),
            _ => None,
        })
        .collect()
}

#[test]
fn a_key_s_home_decides_and_learns_the_outcome() {
    let answer = Answer { status: 200, content_type: String::new(), body: vec![1] };
    // Nothing runs before the home says so, and the claim is repeated until then.
    let (mut calls, claim) = keyed();
    calls.wait(500);
    assert!(calls.sent.len() >= 3 && calls.hosts().is_empty());
    assert_eq!(claim.workspace.as_str(), "w");
    claimed(&mut calls, Verdict::Run);
    claimed(&mut calls, Verdict::Run);
    assert_eq!(calls.hosts().len(), 1);
    // The caller leaves; the call goes on, since the caller will ask for its outcome.
    calls.handle(Event::Gone(id(1)));
    calls.message(Message::Reply(Reply { request: id(1), attempt: 1, answer: answer.clone() }));
    assert_eq!(settled(&calls)[0].outcome, Ok(answer.clone()));
    // A key that has run is answered from the home's memory and runs nothing.
    let (mut calls, _) = keyed();
    claimed(&mut calls, Verdict::Ran(id(9), answer.clone()));
    assert_eq!(calls.world.outcomes[&id(1)], [Outcome::Answered(answer)]);
    assert!(calls.hosts().is_empty() && settled(&calls).is_empty());
    // A home that cannot be reached leaves open whether the key has run.
    let (mut calls, _) = keyed();
    calls.wait(2500);
    assert_eq!(calls.refused(), Some((Refusal::HomeUnreachable, Ran::Unknown)));
    claimed(&mut calls, Verdict::Run);
    assert!(calls.hosts().is_empty());
}

/// A side that does not know the sender's term refuses as not run; the call is made again there
/// when its report has come, however often that takes a try.
#[test]
fn a_call_waits_for_the_term_of_a_side() {
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
    let Some((_, Message::Call(call))) = calls.sent.last() else { panic!("not called again") };
    assert_eq!((call.attempt, call.term), (2, term));
}

/// When everything refuses, the retries stay within the budget.
#[test]
fn retries_stay_within_the_budget() {
    let mut world = World::new(5);
    let mut sent = 0_u32;
    for seq in 1..=500 {
        let event = Event::Generate(id(seq), generate(PROMPT.to_vec(), 20));
        let mut effects = world.machine.handle(world.now, event);
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
                effects.extend(world.machine.handle(world.now, event));
            }
        }
    }
    assert!(sent <= 500 + 500 / 5 + 10, "{sent} attempts at 500 requests");
    let refused = Counter::Refused(Refusal::RetryBudget);
    assert!(world.machine.counters().sum(refused) > 0);
    assert!(world.now > Instant::default());
}

#[test]
fn a_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut world = World::new(6);
    let mut ask = generate(PROMPT.to_vec(), 2000);
    ask.deadline = Some(Duration::from_millis(50));
    world.handle(Event::Generate(id(1), ask));
    let Outcome::Refused(refused) = &world.outcomes[&id(1)][0] else { panic!("not refused") };
    assert_eq!((refused.reason, refused.ran), (Refusal::Deadline, Ran::No));
    assert!(refused.retry_after_ms.is_some());
    let record = serde_json::to_string(world.machine.record(id(1)).unwrap()).unwrap();
    assert!(record.contains("\"unplanned\"") && record.contains("cost_us"));
}

/// The host list alone keeps new work off leaving hosts; what is in progress there finishes.
#[test]
fn a_leaving_host_finishes_its_work_and_gets_no_more() {
    let mut world = World::new(1);
    world.handle(Event::Generate(id(1), generate(PROMPT.to_vec(), 20)));
    for _ in 0..10 {
        world.step();
    }
    let hosts = world.machine.config().endpoints.values().map(|endpoint| endpoint.host.clone());
    let list = hosts.map(|host| (host, Listing::Leaving)).collect();
    world.handle(Event::Hosts(list));
    world.handle(Event::Generate(id(2), generate(PROMPT.to_vec(), 20)));
    for _ in 0..400 {
        world.step();
    }
    assert_eq!(world.texts[&id(1)], reference(&PROMPT, 20));
    assert!(matches!(world.outcomes[&id(1)][..], [Outcome::Complete { .. }]));
    let [Outcome::Refused(refused)] = &world.outcomes[&id(2)][..] else { panic!() };
    assert_eq!((refused.reason, refused.ran), (Refusal::NoChain, Ran::No));
}
