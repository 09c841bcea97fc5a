//! Orders to an engine: two orderers, of which either may be paused, over lost replies, late
//! orders and leases that lapse.

use std::collections::VecDeque;
use std::time::Duration;

use oriole_core::engine::{Action, Order, State};
use oriole_core::order::{Around, Effect, Event, LOCK_TTL, ORDER_TIMEOUT, Orderer, Target, Wait};
use oriole_core::time::{Instant, as_us};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOAD_MS: u64 = 2_000;

fn target(version: &str) -> Target {
    Target { model: "m".into(), version: version.to_owned(), first_layer: 0, end_layer: 4 }
}

fn ms(duration: Duration) -> u64 {
    as_us(duration) / 1000
}

/// An engine, and the lock that the key-value service keeps for it.
struct World {
    now_ms: u64,
    engine: State,
    loading: Option<(u64, Action)>,
    checks: bool,
    /// Holder, fencing number, end.
    lock: Option<(usize, u64, u64)>,
    revision: u64,
    orderers: [Orderer; 2],
    /// Orders that were sent, with their sender and when they arrive.
    flying: Vec<(u64, usize, Order)>,
    /// Effects that wait for a paused process, with what it knew when it decided.
    held: [VecDeque<(Around, Effect)>; 2],
    /// Effects that each process carries out before it is paused; `None` if it is not to be.
    budget: [Option<u64>; 2],
    around: Around,
    /// What each process has heard of it.
    known: [Around; 2],
    violations: Vec<&'static str>,
}

/// What becomes of one effect.
#[derive(Clone, Copy, Debug)]
struct Fate {
    lost: bool,
    reply_lost: bool,
    late_ms: u64,
}

const CALM: Fate = Fate { lost: false, reply_lost: false, late_ms: 1 };

impl World {
    fn new(checks: bool) -> Self {
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
        let mut world = Self {
            now_ms: 1_000,
            engine,
            loading: None,
            checks,
            lock: None,
            revision: 10,
            orderers: [0, 1].map(|_| Orderer::new(Instant::from_us(0), Duration::ZERO)),
            flying: Vec::new(),
            held: Default::default(),
            budget: [None; 2],
            around: Around { idle: true, others: 1 },
            known: [Around::default(); 2],
            violations: Vec::new(),
        };
        for (who, version) in ["1", "2"].into_iter().enumerate() {
            world.tell(who, Event::Wanted(target(version)), CALM);
        }
        world
    }

    fn now(&self) -> Instant {
        Instant::from_us(self.now_ms * 1000)
    }

    fn tell(&mut self, who: usize, event: Event, fate: Fate) {
        if let Event::Around(around) = event {
            self.known[who] = around;
        }
        self.decide(who, event);
        self.carry_out(who, fate);
    }

    fn decide(&mut self, who: usize, event: Event) {
        let effects = self.orderers[who].handle(self.now(), event);
        let effects = effects.into_iter().map(|effect| (self.known[who], effect));
        self.held[who].extend(effects);
    }

    /// The process runs on from where it was.
    fn carry_out(&mut self, who: usize, fate: Fate) {
        while self.budget[who] != Some(0) {
            let Some((known, effect)) = self.held[who].pop_front() else { return };
            self.budget[who] = self.budget[who].map(|left| left - 1);
            let reply = match effect {
                Effect::Read if fate.lost => Event::Unreachable,
                Effect::Read => Event::State(self.engine.clone()),
                Effect::Lock => self.take_lock(who, fate),
                Effect::Unlock => {
                    self.lock.take_if(|(holder, ..)| *holder == who);
                    continue;
                }
                Effect::Drain(_) => Event::Around(self.around),
                Effect::Issue { not_after, .. } if self.now() > not_after => Event::Unreachable,
                Effect::Issue { order, .. } => {
                    if !known.idle || known.others == 0 {
                        self.violations.push("ordered while work runs, or the last chain");
                    }
                    let late = self.now_ms + fate.late_ms.min(ms(ORDER_TIMEOUT) - 1);
                    if !fate.lost {
                        self.flying.push((late, who, order));
                    }
                    continue;
                }
            };
            if !fate.reply_lost || matches!(reply, Event::Unreachable | Event::Unlocked) {
                self.tell(who, reply, fate);
            }
        }
    }

    fn take_lock(&mut self, who: usize, fate: Fate) -> Event {
        let free = self.lock.is_none_or(|(_, _, end)| end <= self.now_ms);
        let own = self.lock.filter(|(holder, _, end)| *holder == who && *end > self.now_ms);
        if fate.lost || (!free && own.is_none()) {
            return Event::Unlocked;
        }
        self.revision += 1;
        let fence = own.map_or(self.revision, |(_, fence, _)| fence);
        self.lock = Some((who, fence, self.now_ms + ms(LOCK_TTL)));
        Event::Locked { asked: self.now(), ttl: LOCK_TTL, fence }
    }

    fn pass(&mut self, for_ms: u64) {
        let end = self.now_ms + for_ms;
        while self.now_ms < end {
            self.now_ms += 1;
            let (now_ms, mut arrived) = (self.now_ms, Vec::new());
            self.flying.retain(|flying| {
                let arrives = flying.0 <= now_ms;
                arrived.extend(arrives.then(|| flying.clone()));
                !arrives
            });
            for (_, who, order) in arrived {
                self.arrive(who, order);
            }
            if let Some((_, action)) = self.loading.take_if(|(at, _)| *at <= now_ms) {
                let Action::LoadModel { version, .. } = action else { continue };
                (self.engine.version, self.engine.busy) = (version, false);
            }
        }
    }

    fn arrive(&mut self, who: usize, order: Order) {
        if self.checks && order.fence < self.engine.fence {
            return;
        }
        let held = self.lock.filter(|(_, _, end)| *end > self.now_ms);
        if held.is_none_or(|(holder, fence, _)| holder != who || fence != order.fence) {
            self.violations.push("obeyed an orderer without the lock");
        }
        if order.number > self.engine.order {
            self.engine.order = order.number;
            self.engine.fence = if self.checks { order.fence } else { 0 };
            self.engine.busy = true;
            self.loading = Some((self.now_ms + LOAD_MS, order.action));
        }
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    (prop::bool::weighted(0.2), prop::bool::weighted(0.2), 0u64..4_000)
        .prop_map(|(lost, reply_lost, late_ms)| Fate { lost, reply_lost, late_ms })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    /// The engine obeys nobody who does not hold the lock, and in the end holds what the orderer
    /// that is left wants.
    #[test]
    fn one_orderer_is_obeyed(
        checks in any::<bool>(),
        ops in prop::collection::vec((0u8..9, 0usize..2, 0u64..20_000, fate()), 1..80),
    ) {
        let mut world = World::new(checks);
        for (op, who, step_ms, fate) in ops {
            match op {
                0 => {
                    world.budget[who] = None;
                    world.carry_out(who, fate);
                    world.tell(who, Event::Tick, fate);
                }
                1..=3 if world.budget[who] == Some(0) => {}
                1..=3 => world.tell(who, Event::Tick, fate),
                4 => world.budget[who] = Some(step_ms % 8),
                5 => {
                    world.around = Around { idle: step_ms % 4 > 0, others: step_ms as u32 % 3 };
                }
                6 => world.pass(step_ms),
                _ => world.pass(step_ms / 20),
            }
            // A paused process does not hear what goes on around it.
            for who in [0, 1] {
                if world.budget[who] == Some(0) {
                    continue;
                }
                world.tell(who, Event::Around(world.around), fate);
            }
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
        world.budget = [Some(0), None];
        world.held = Default::default();
        world.around = Around { idle: true, others: 1 };
        world.tell(1, Event::Around(world.around), CALM);
        for _ in 0..200 {
            world.tell(1, Event::Tick, CALM);
            world.pass(500);
        }
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        prop_assert_eq!(world.engine.version.as_str(), "2");
        prop_assert_eq!(world.orderers[1].wait(), None);
    }
}

#[test]
fn the_last_chain_and_work_in_progress_are_left_alone() {
    let mut world = World::new(true);
    world.around = Around { idle: true, others: 0 };
    world.tell(0, Event::Around(world.around), CALM);
    for _ in 0..40 {
        world.tell(0, Event::Tick, CALM);
        world.pass(500);
    }
    assert_eq!((world.engine.order, world.orderers[0].wait()), (0, Some(Wait::LastChain)));
    world.around = Around { idle: false, others: 1 };
    world.tell(0, Event::Around(world.around), CALM);
    for _ in 0..40 {
        world.tell(0, Event::Tick, CALM);
        world.pass(500);
    }
    assert_eq!((world.engine.order, world.orderers[0].wait()), (0, Some(Wait::Draining)));
}

/// An orderer that has drained the engine's endpoint and waits for the locks.
fn ready(now: Instant) -> Orderer {
    let mut orderer = Orderer::new(now, Duration::ZERO);
    orderer.handle(now, Event::Wanted(target("1")));
    orderer.handle(now, Event::State(World::new(false).engine));
    orderer.handle(now, Event::Around(Around { idle: true, others: 1 }));
    orderer
}

fn issued(effects: &[Effect]) -> Option<(&Order, Instant)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Issue { order, not_after } => Some((order, *not_after)),
        _ => None,
    })
}

#[test]
fn an_order_ends_within_the_lease() {
    let (asked, now) = (Instant::from_us(1_000_000), Instant::from_us(3_000_000));
    let mut orderer = ready(asked);
    let locked = Event::Locked { asked, ttl: LOCK_TTL, fence: 7 };
    let effects = orderer.handle(now, locked.clone());
    let (first, not_after) = issued(&effects).unwrap();
    assert!(not_after + ORDER_TIMEOUT < asked + LOCK_TTL, "{not_after:?}");
    // A holder that was paused from before the order until the lease was too short.
    let mut paused = ready(asked);
    let late = asked + LOCK_TTL - ORDER_TIMEOUT;
    assert!(issued(&paused.handle(late, locked)).is_none());
    assert!(issued(&paused.handle(asked + LOCK_TTL, Event::Tick)).is_none());
    // The next holder's number is higher, although the engine has not seen the first order yet.
    let mut next = ready(asked);
    let locked = Event::Locked { asked, ttl: LOCK_TTL, fence: 8 };
    let effects = next.handle(now, locked);
    assert!(issued(&effects).unwrap().0.number > first.number);
}

#[test]
fn a_lease_that_lapsed_in_a_pause_is_not_used() {
    let asked = Instant::from_us(1_000_000);
    let mut orderer = ready(asked);
    orderer.handle(asked, Event::Around(Around { idle: false, others: 1 }));
    orderer.handle(asked, Event::Locked { asked, ttl: LOCK_TTL, fence: 7 });
    let idle = Event::Around(Around { idle: true, others: 1 });
    let effects = orderer.handle(asked + LOCK_TTL * 4, idle);
    assert!(issued(&effects).is_none());
    assert!(effects.contains(&Effect::Lock));
}

#[test]
fn an_engine_of_another_stage_is_closed_at_once_and_needs_no_replica() {
    let now = Instant::from_us(1_000_000);
    let mut orderer = ready(now);
    orderer.handle(now, Event::Around(Around { idle: true, others: 0 }));
    let mut other = target("1");
    other.end_layer = 2;
    let effects = orderer.handle(now, Event::Wanted(other));
    assert!(effects.contains(&Effect::Drain(true)));
    let locked = Event::Locked { asked: now, ttl: LOCK_TTL, fence: 7 };
    assert!(issued(&orderer.handle(now, locked)).is_some());
    let held = State { end_layer: 2, version: "1".to_owned(), ..World::new(false).engine };
    assert!(orderer.handle(now, Event::State(held)).contains(&Effect::Drain(false)));
}
