//! Orders to one engine: what it is to hold, by whom, and when.
//!
//! [`Orderer`] compares the configuration with what the engine says of itself, and issues an order
//! only for a difference. It holds locks in the key-value service: the endpoint's own (one orderer),
//! the stage's (one replica of a stage changes at a time) and one for the weight store's rate. The
//! locks share a lease; the revision at which they were taken is the fencing number.
//!
//! A lease is counted from before it was asked for, and an order is issued only if the lease
//! outlasts the order's timeout, which the adapter checks again just before it sends
//! ([`Effect::Issue`]). That protects engines that ignore the fencing number. See
//! `docs/design/orders.md`.

use std::time::Duration;

use oriole_macros::{data, key};

use crate::engine::{Action, Order, State};
use crate::name;
use crate::time::Instant;

/// Time after which an order that was sent is given up.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time-to-live that locks are asked for.
pub const LOCK_TTL: Duration = Duration::from_secs(15);

/// Part of a lease that is not used, for the drift between two clocks.
const DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Interval of reading an engine that holds what it is to hold.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of reading an engine that is being changed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time before locks are asked for again.
const LOCK_RETRY: Duration = Duration::from_secs(5);

/// Longest part of [`Orderer::new`]'s `spread` that is used.
const MAX_SPREAD: Duration = Duration::from_secs(5);

/// What an engine is to hold.
#[data]
pub struct Target {
    /// The model.
    pub model: name::Model,
    /// Its version.
    pub version: String,
    /// First layer.
    pub first_layer: u16,
    /// One past the last layer.
    pub end_layer: u16,
}

/// Why an engine does not hold yet what it is to hold.
#[key]
#[derive(derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// The engine could not be read.
    #[display("unreachable")]
    Unreachable,
    /// Another holds a lock, or the key-value service is out.
    #[display("locked")]
    Locked,
    /// No other endpoint serves the stage that the engine holds.
    #[display("last-chain")]
    LastChain,
    /// Work is in progress.
    #[display("draining")]
    Draining,
    /// The engine carries an order out.
    #[display("loading")]
    Loading,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration says what the engine is to hold.
    Wanted(Target),
    /// The engine says what it holds.
    State(State),
    /// The engine did not answer; an order may or may not have arrived.
    Unreachable,
    /// The engine refused an order for its fencing number.
    Fenced,
    /// All locks are held.
    Locked {
        /// When they were asked for.
        asked: Instant,
        /// Time-to-live from then on.
        ttl: Duration,
        /// The fencing number.
        fence: u64,
    },
    /// The locks were not had, or are lost.
    Unlocked,
    /// What goes on around the engine.
    Around(Around),
    /// Time has passed.
    Tick,
}

/// What goes on around an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Around {
    /// Whether nothing is in progress at the endpoint.
    pub idle: bool,
    /// Other endpoints that are open and serve the same stage.
    pub others: u32,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Reads the engine's state.
    Read,
    /// Takes the locks, or renews them if they are held.
    Lock,
    /// Gives the locks back.
    Unlock,
    /// Lets the endpoint leave, or come back.
    Drain(bool),
    /// Sends an order, unless it is later than `not_after` by then.
    Issue {
        /// The order.
        order: Order,
        /// When the lease is too short for the order's timeout.
        not_after: Instant,
    },
}

enum Lock {
    None { retry: Instant },
    Asked { at: Instant },
    Held { until: Instant, renew: Instant, fence: u64 },
}

/// Orders one engine about.
pub struct Orderer {
    wanted: Option<Target>,
    engine: Option<State>,
    read: Option<Instant>,
    lock: Lock,
    around: Around,
    drained: bool,
    /// When an order was sent that was not answered yet.
    issued: Option<Instant>,
    wait: Option<Wait>,
    retry: Duration,
}

impl Orderer {
    /// An orderer that knows nothing. `spread`, a random time, keeps many of them from asking for
    /// the same locks at once.
    pub fn new(now: Instant, spread: Duration) -> Self {
        Self {
            wanted: None,
            engine: None,
            read: None,
            lock: Lock::None { retry: now },
            around: Around::default(),
            drained: false,
            issued: None,
            wait: None,
            retry: LOCK_RETRY + spread.min(MAX_SPREAD),
        }
    }

    /// Why the engine does not hold what it is to hold; `None` if it does.
    pub fn wait(&self) -> Option<Wait> {
        self.wait
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Wanted(target) => self.want(target, &mut effects),
            Event::State(state) => {
                self.engine = Some(state);
                self.issued = None;
            }
            Event::Unreachable => self.engine = None,
            Event::Fenced => {
                self.issued = None;
                self.lock = Lock::None { retry: now + self.retry };
            }
            Event::Locked { asked, ttl, fence } => {
                let until = asked + ttl.saturating_sub(DRIFT_MARGIN);
                self.lock = Lock::Held { until, renew: asked + ttl / 3, fence };
            }
            Event::Unlocked => self.lock = Lock::None { retry: now + self.retry },
            Event::Around(around) => self.around = around,
            Event::Tick => {}
        }
        self.expire(now);
        self.advance(now, &mut effects);
        effects
    }

    /// A change of stage closes the endpoint at once, before the engine is known to differ.
    fn want(&mut self, target: Target, effects: &mut Vec<Effect>) {
        let same = |old: &Target| {
            let layers = (old.first_layer, old.end_layer);
            old.model == target.model && layers == (target.first_layer, target.end_layer)
        };
        if self.wanted.as_ref().is_some_and(|old| !same(old)) {
            self.drained = true;
            effects.push(Effect::Drain(true));
        }
        self.wanted = Some(target);
    }

    /// Drops what time has made void: a lease that has lapsed, also during a pause.
    fn expire(&mut self, now: Instant) {
        match self.lock {
            Lock::Held { until, .. } if until <= now => self.lock = Lock::None { retry: now },
            Lock::Asked { at } if at + LOCK_TTL <= now => self.lock = Lock::None { retry: now },
            _ => {}
        }
        if self.issued.is_some_and(|at| at + ORDER_TIMEOUT <= now) {
            // The reply is lost: the engine itself says what became of the order.
            self.issued = None;
            self.engine = None;
        }
    }

    fn advance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.issued.is_some() {
            self.wait = Some(Wait::Loading);
            return self.renew(now, effects);
        }
        let changing = self.drained || self.engine.is_none();
        let interval = if changing { CHANGE_INTERVAL } else { READ_INTERVAL };
        if self.read.is_none_or(|at| at + interval <= now) {
            self.read = Some(now);
            effects.push(Effect::Read);
        }
        let Some(wanted) = self.wanted.clone() else { return };
        let Some(engine) = self.engine.clone() else {
            self.wait = Some(Wait::Unreachable);
            return self.renew(now, effects);
        };
        if engine.busy {
            self.wait = Some(Wait::Loading);
            return self.renew(now, effects);
        }
        if holds(&engine, &wanted) {
            self.wait = None;
            return self.settle(effects);
        }
        self.change(now, &engine, &wanted, effects);
    }

    /// Takes the next step towards what is wanted.
    fn change(&mut self, now: Instant, engine: &State, wanted: &Target, effects: &mut Vec<Effect>) {
        // An engine with other layers serves nobody: the configuration gives it another stage.
        let serves = serves(engine, wanted);
        if !serves && !self.drained {
            self.drained = true;
            effects.push(Effect::Drain(true));
        }
        if serves && self.around.others == 0 {
            self.wait = Some(Wait::LastChain);
            return self.settle(effects);
        }
        self.renew(now, effects);
        let Lock::Held { until, fence, .. } = self.lock else {
            self.wait = Some(Wait::Locked);
            return;
        };
        if !self.drained {
            self.drained = true;
            effects.push(Effect::Drain(true));
        }
        if !self.around.idle {
            self.wait = Some(Wait::Draining);
            return;
        }
        let not_after = until - ORDER_TIMEOUT;
        if now > not_after {
            self.wait = Some(Wait::Locked);
            return;
        }
        let action = Action::LoadModel {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
            first_layer: wanted.first_layer,
            end_layer: wanted.end_layer,
        };
        // Higher than any number of an earlier holder, whose late orders are then ignored.
        let number = engine.order.saturating_add(1).max(fence.saturating_mul(1 << 16));
        let order = Order { number, fence, action };
        effects.push(Effect::Issue { order, not_after });
        self.issued = Some(now);
        self.wait = Some(Wait::Loading);
    }

    /// Takes the locks, or renews them in time.
    fn renew(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        match &mut self.lock {
            Lock::None { retry } if *retry <= now => {
                self.lock = Lock::Asked { at: now };
                effects.push(Effect::Lock);
            }
            Lock::Held { renew, .. } if *renew <= now => {
                *renew = now + LOCK_TTL / 3;
                effects.push(Effect::Lock);
            }
            _ => {}
        }
    }

    /// Gives back what a change needed.
    fn settle(&mut self, effects: &mut Vec<Effect>) {
        if std::mem::take(&mut self.drained) {
            effects.push(Effect::Drain(false));
        }
        if let Lock::Held { until, .. } = self.lock {
            self.lock = Lock::None { retry: until };
            effects.push(Effect::Unlock);
        }
    }
}

fn holds(engine: &State, wanted: &Target) -> bool {
    serves(engine, wanted) && engine.version == wanted.version
}

/// Whether the engine serves the stage, whatever the version.
fn serves(engine: &State, wanted: &Target) -> bool {
    engine.model.as_ref() == Some(&wanted.model)
        && engine.first_layer == wanted.first_layer
        && engine.end_layer == wanted.end_layer
}
