//! Guards against an engine that obeys a reconciler without the lock, and against orders to an
//! engine that must not be changed. Two reconcilers compete for one engine while processes are
//! paused, replies are lost, orders arrive late and leases expire.

use std::collections::VecDeque;
use std::time::Duration;

use oriole_core::engine::{Action, Order, State};
use oriole_core::order::{
    Conditions, Effect, Event, LOCK_TTL, ORDER_TIMEOUT, Reconciler, Target, Wait,
};
use oriole_core::time::{Instant, as_us};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOAD_TIME_MS: u64 = 2_000;

fn target(version: &str) -> Target {
    Target { model: "m".into(), version: version.to_owned(), first_layer: 0, end_layer: 4 }
}

fn ms(duration: Duration) -> u64 {
    as_us(duration) / 1000
}

/// Simulates an engine, its lock in the key-value service and two reconcilers.
struct Simulation {
    now_ms: u64,
    engine: State,
    loading: Option<(u64, Action)>,
    checks_fencing: bool,
    /// Holder, fencing token and end of the lease in milliseconds.
    lock: Option<(usize, u64, u64)>,
    revision: u64,
    reconcilers: [Reconciler; 2],
    /// Orders on the way: time of arrival in milliseconds, sender, order.
    in_flight: Vec<(u64, usize, Order)>,
    /// Effects not yet carried out, with the conditions known at the time of the decision.
    pending: [VecDeque<(Conditions, Effect)>; 2],
    /// Effects that each process carries out before it is paused; `None` if it is not paused.
    effects_until_pause: [Option<u64>; 2],
    conditions: Conditions,
    /// The conditions that each process was last told.
    known_conditions: [Conditions; 2],
    violations: Vec<&'static str>,
}

/// Faults that apply to one effect.
#[derive(Clone, Copy, Debug)]
struct Faults {
    lost: bool,
    reply_lost: bool,
    delay_ms: u64,
}

const NO_FAULTS: Faults = Faults { lost: false, reply_lost: false, delay_ms: 1 };

impl Simulation {
    fn new(checks_fencing: bool) -> Self {
        let engine = State {
            model: Some("m".into()),
            version: "0".to_owned(),
            adapters: Vec::new(),
            first_layer: 0,
            end_layer: 4,
            fence: 0,
            order: 0,
            busy: false,
        };
        let mut sim = Self {
            now_ms: 1_000,
            engine,
            loading: None,
            checks_fencing,
            lock: None,
            revision: 10,
            reconcilers: [0, 1].map(|_| Reconciler::new(Instant::from_us(0), Duration::ZERO)),
            in_flight: Vec::new(),
            pending: Default::default(),
            effects_until_pause: [None; 2],
            conditions: Conditions { idle: true, other_replicas: 1 },
            known_conditions: [Conditions::default(); 2],
            violations: Vec::new(),
        };
        for (index, version) in ["1", "2"].into_iter().enumerate() {
            sim.deliver(index, Event::Target(target(version)), NO_FAULTS);
        }
        sim
    }

    fn now(&self) -> Instant {
        Instant::from_us(self.now_ms * 1000)
    }

    fn deliver(&mut self, index: usize, event: Event, faults: Faults) {
        if let Event::Conditions(conditions) = event {
            self.known_conditions[index] = conditions;
        }
        self.handle_event(index, event);
        self.carry_out(index, faults);
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let effects = self.reconcilers[index].handle(self.now(), event);
        let effects = effects.into_iter().map(|effect| (self.known_conditions[index], effect));
        self.pending[index].extend(effects);
    }

    /// Carries out pending effects until none are left or the process is paused.
    fn carry_out(&mut self, index: usize, faults: Faults) {
        while self.effects_until_pause[index] != Some(0) {
            let Some((conditions, effect)) = self.pending[index].pop_front() else { return };
            self.effects_until_pause[index] = self.effects_until_pause[index].map(|left| left - 1);
            let reply = match effect {
                Effect::Read if faults.lost => Event::Unreachable,
                Effect::Read => Event::State(self.engine.clone()),
                Effect::Lock => self.take_lock(index, faults),
                Effect::Unlock => {
                    self.lock.take_if(|(holder, ..)| *holder == index);
                    continue;
                }
                Effect::Drain(_) => Event::Conditions(self.conditions),
                Effect::Issue { not_after, .. } if self.now() > not_after => Event::Unreachable,
                Effect::Issue { order, .. } => {
                    if !conditions.idle || conditions.other_replicas == 0 {
                        self.violations.push(
                            "order sent to a busy endpoint or to the last replica of a stage",
                        );
                    }
                    let arrival_ms = self.now_ms + faults.delay_ms.min(ms(ORDER_TIMEOUT) - 1);
                    if !faults.lost {
                        self.in_flight.push((arrival_ms, index, order));
                    }
                    continue;
                }
            };
            if !faults.reply_lost || matches!(reply, Event::Unreachable | Event::Unlocked) {
                self.deliver(index, reply, faults);
            }
        }
    }

    fn take_lock(&mut self, index: usize, faults: Faults) -> Event {
        let free = self.lock.is_none_or(|(_, _, end)| end <= self.now_ms);
        let own = self.lock.filter(|(holder, _, end)| *holder == index && *end > self.now_ms);
        if faults.lost || (!free && own.is_none()) {
            return Event::Unlocked;
        }
        self.revision += 1;
        let fence = own.map_or(self.revision, |(_, fence, _)| fence);
        self.lock = Some((index, fence, self.now_ms + ms(LOCK_TTL)));
        Event::Locked { requested: self.now(), ttl: LOCK_TTL, fence }
    }

    fn advance_time(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.now_ms += 1;
            let (now_ms, mut arrived) = (self.now_ms, Vec::new());
            self.in_flight.retain(|in_flight| {
                let arrives = in_flight.0 <= now_ms;
                arrived.extend(arrives.then(|| in_flight.clone()));
                !arrives
            });
            for (_, index, order) in arrived {
                self.receive_order(index, order);
            }
            if let Some((_, action)) = self.loading.take_if(|(at, _)| *at <= now_ms) {
                let Action::LoadModel { version, .. } = action else { continue };
                (self.engine.version, self.engine.busy) = (version, false);
            }
        }
    }

    fn receive_order(&mut self, index: usize, order: Order) {
        if self.checks_fencing && order.fence < self.engine.fence {
            return;
        }
        let lock = self.lock.filter(|(_, _, end)| *end > self.now_ms);
        if lock.is_none_or(|(holder, fence, _)| holder != index || fence != order.fence) {
            self.violations.push("engine obeyed a reconciler that does not hold the lock");
        }
        if order.number > self.engine.order {
            self.engine.order = order.number;
            self.engine.fence = if self.checks_fencing { order.fence } else { 0 };
            self.engine.busy = true;
            self.loading = Some((self.now_ms + LOAD_TIME_MS, order.action));
        }
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    (prop::bool::weighted(0.2), prop::bool::weighted(0.2), 0u64..4_000)
        .prop_map(|(lost, reply_lost, delay_ms)| Faults { lost, reply_lost, delay_ms })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    /// The engine obeys only the reconciler that holds the lock, and ends up with the target of
    /// the reconciler that keeps running.
    #[test]
    fn the_engine_obeys_only_the_lock_holder(
        checks_fencing in any::<bool>(),
        ops in prop::collection::vec((0u8..9, 0usize..2, 0u64..20_000, faults()), 1..80),
    ) {
        let mut sim = Simulation::new(checks_fencing);
        for (op, index, step_ms, faults) in ops {
            match op {
                0 => {
                    sim.effects_until_pause[index] = None;
                    sim.carry_out(index, faults);
                    sim.deliver(index, Event::Tick, faults);
                }
                1..=3 if sim.effects_until_pause[index] == Some(0) => {}
                1..=3 => sim.deliver(index, Event::Tick, faults),
                4 => sim.effects_until_pause[index] = Some(step_ms % 8),
                5 => {
                    sim.conditions =
                        Conditions { idle: step_ms % 4 > 0, other_replicas: step_ms as u32 % 3 };
                }
                6 => sim.advance_time(step_ms),
                _ => sim.advance_time(step_ms / 20),
            }
            // A paused process is not told of changed conditions.
            for index in [0, 1] {
                if sim.effects_until_pause[index] == Some(0) {
                    continue;
                }
                sim.deliver(index, Event::Conditions(sim.conditions), faults);
            }
            prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        }
        sim.effects_until_pause = [Some(0), None];
        sim.pending = Default::default();
        sim.conditions = Conditions { idle: true, other_replicas: 1 };
        sim.deliver(1, Event::Conditions(sim.conditions), NO_FAULTS);
        for _ in 0..200 {
            sim.deliver(1, Event::Tick, NO_FAULTS);
            sim.advance_time(500);
        }
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert_eq!(sim.engine.version.as_str(), "2");
        prop_assert_eq!(sim.reconcilers[1].wait(), None);
    }
}

#[test]
fn no_order_goes_to_the_last_replica_or_a_busy_endpoint() {
    let mut sim = Simulation::new(true);
    sim.conditions = Conditions { idle: true, other_replicas: 0 };
    sim.deliver(0, Event::Conditions(sim.conditions), NO_FAULTS);
    for _ in 0..40 {
        sim.deliver(0, Event::Tick, NO_FAULTS);
        sim.advance_time(500);
    }
    assert_eq!((sim.engine.order, sim.reconcilers[0].wait()), (0, Some(Wait::LastChain)));
    sim.conditions = Conditions { idle: false, other_replicas: 1 };
    sim.deliver(0, Event::Conditions(sim.conditions), NO_FAULTS);
    for _ in 0..40 {
        sim.deliver(0, Event::Tick, NO_FAULTS);
        sim.advance_time(500);
    }
    assert_eq!((sim.engine.order, sim.reconcilers[0].wait()), (0, Some(Wait::Draining)));
}

/// Returns a reconciler that has requested the locks for a change of version.
fn awaiting_locks(now: Instant) -> Reconciler {
    let mut reconciler = Reconciler::new(now, Duration::ZERO);
    reconciler.handle(now, Event::Target(target("1")));
    reconciler.handle(now, Event::State(Simulation::new(false).engine));
    reconciler.handle(now, Event::Conditions(Conditions { idle: true, other_replicas: 1 }));
    reconciler
}

fn find_order(effects: &[Effect]) -> Option<(&Order, Instant)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Issue { order, not_after } => Some((order, *not_after)),
        _ => None,
    })
}

#[test]
fn an_order_times_out_before_its_lease_ends() {
    let (requested, now) = (Instant::from_us(1_000_000), Instant::from_us(3_000_000));
    let mut reconciler = awaiting_locks(requested);
    let locked = Event::Locked { requested, ttl: LOCK_TTL, fence: 7 };
    let effects = reconciler.handle(now, locked.clone());
    let (first, not_after) = find_order(&effects).unwrap();
    assert!(not_after + ORDER_TIMEOUT < requested + LOCK_TTL, "{not_after:?}");
    // This holder is paused before it issues the order, until the lease is too short.
    let mut paused = awaiting_locks(requested);
    let late = requested + LOCK_TTL - ORDER_TIMEOUT;
    assert!(find_order(&paused.handle(late, locked)).is_none());
    assert!(find_order(&paused.handle(requested + LOCK_TTL, Event::Tick)).is_none());
    // The next holder uses a higher number, although the engine has not received the first order.
    let mut next = awaiting_locks(requested);
    let locked = Event::Locked { requested, ttl: LOCK_TTL, fence: 8 };
    let effects = next.handle(now, locked);
    assert!(find_order(&effects).unwrap().0.number > first.number);
}

#[test]
fn a_lease_that_expired_during_a_pause_is_not_used() {
    let requested = Instant::from_us(1_000_000);
    let mut reconciler = awaiting_locks(requested);
    reconciler.handle(requested, Event::Conditions(Conditions { idle: false, other_replicas: 1 }));
    reconciler.handle(requested, Event::Locked { requested, ttl: LOCK_TTL, fence: 7 });
    let idle = Event::Conditions(Conditions { idle: true, other_replicas: 1 });
    let effects = reconciler.handle(requested + LOCK_TTL * 4, idle);
    assert!(find_order(&effects).is_none());
    assert!(effects.contains(&Effect::Lock));
}

#[test]
fn a_change_of_stage_drains_at_once_and_needs_no_replica() {
    let now = Instant::from_us(1_000_000);
    let mut reconciler = awaiting_locks(now);
    reconciler.handle(now, Event::Conditions(Conditions { idle: true, other_replicas: 0 }));
    let mut other = target("1");
    other.end_layer = 2;
    let effects = reconciler.handle(now, Event::Target(other));
    assert!(effects.contains(&Effect::Drain(true)));
    let locked = Event::Locked { requested: now, ttl: LOCK_TTL, fence: 7 };
    assert!(find_order(&reconciler.handle(now, locked)).is_some());
    let held = State { end_layer: 2, version: "1".to_owned(), ..Simulation::new(false).engine };
    assert!(reconciler.handle(now, Event::State(held)).contains(&Effect::Drain(false)));
}
