//! Orders to one engine: which layers it loads, and when the side may send the order.
//!
//! [`Reconciler`] compares the configuration with the state that the engine reports, and issues an
//! order only when they differ. It holds three locks in the key-value service: the endpoint's (only
//! one process sends orders to an engine), the stage's (only one replica of a stage changes at a
//! time) and one that limits the load on the weight store. The locks share a lease; the revision at
//! which they were taken is the fencing token of the orders.
//!
//! The lease is counted from the time of the request, not of the reply. An order is issued only if
//! the lease outlasts the order's timeout, and the adapter checks this again just before it sends
//! the order ([`Effect::Issue`]). This protects engines that ignore the fencing token. See
//! `docs/design/orders.md`.

use std::time::Duration;

use oriole_macros::{data, key};

use crate::engine::{Action, Order, State};
use crate::name;
use crate::time::Instant;

/// Time after which the outcome of an order that was sent counts as unknown.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time-to-live with which the locks are requested.
pub const LOCK_TTL: Duration = Duration::from_secs(15);

/// Part of a lease that is left unused, to allow for the drift between two clocks.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Interval at which the state of an engine that holds its target is read.
const STEADY_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which the state of an engine that is being changed, or is unknown, is read.
const CHANGING_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between a failed request for the locks and the next one.
const LOCK_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Upper limit on the `jitter` of [`Reconciler::new`].
const MAX_LOCK_JITTER: Duration = Duration::from_secs(5);

/// The part of a model that an engine should hold.
#[data]
pub struct Target {
    /// Name of the model.
    pub model: name::Model,
    /// Version of the model.
    pub version: String,
    /// First layer, counted from 0.
    pub first_layer: u16,
    /// One past the last layer.
    pub end_layer: u16,
}

/// Why an engine does not hold its target yet.
#[key]
#[derive(derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// The engine did not report its state.
    #[display("unreachable")]
    Unreachable,
    /// Another process holds a lock, or the key-value service does not answer.
    #[display("locked")]
    Locked,
    /// No other open endpoint serves the engine's stage, so changing it would break the last chain.
    #[display("last-chain")]
    LastChain,
    /// The endpoint still has work in progress.
    #[display("draining")]
    Draining,
    /// The engine is carrying out an order.
    #[display("loading")]
    Loading,
}

/// Input of the reconciler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration assigns a target to the engine.
    Target(Target),
    /// The engine reported its state.
    State(State),
    /// The engine did not answer; an order may or may not have arrived.
    Unreachable,
    /// The engine refused an order because its fencing token is too old.
    Fenced,
    /// All locks are held.
    Locked {
        /// When they were requested.
        requested: Instant,
        /// Time-to-live, counted from `requested`.
        ttl: Duration,
        /// Fencing token of the lease.
        fence: u64,
    },
    /// The locks could not be taken, or were lost.
    Unlocked,
    /// The load of the endpoint, or the number of its replicas, has changed.
    Conditions(Conditions),
    /// A regular tick: timers may have expired.
    Tick,
}

/// Conditions outside the engine that decide whether it may be changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// Whether the endpoint has no work in progress.
    pub idle: bool,
    /// Number of other endpoints that are open and serve the same stage.
    pub other_replicas: u32,
}

/// Action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Reads the engine's state.
    Read,
    /// Takes the locks, or renews them if they are held.
    Lock,
    /// Releases the locks.
    Unlock,
    /// Starts draining the endpoint if `true`, or opens it again.
    Drain(bool),
    /// Sends an order, unless the time of sending is later than `not_after`.
    Issue {
        /// The order.
        order: Order,
        /// Last moment at which the lease still outlasts the order's timeout.
        not_after: Instant,
    },
}

enum Lock {
    None { retry_at: Instant },
    Requested { at: Instant },
    Held { until: Instant, renew_at: Instant, fence: u64 },
}

/// Brings one engine to its target.
pub struct Reconciler {
    target: Option<Target>,
    engine: Option<State>,
    last_read: Option<Instant>,
    lock: Lock,
    conditions: Conditions,
    drained: bool,
    /// When the order that awaits its reply was sent.
    order_sent_at: Option<Instant>,
    wait: Option<Wait>,
    lock_retry_delay: Duration,
}

impl Reconciler {
    /// Creates a reconciler without a target and without a known state of the engine.
    ///
    /// `jitter` is a random time that is added to the pause before locks are requested again, so
    /// that many reconcilers do not request the same locks at once.
    pub fn new(now: Instant, jitter: Duration) -> Self {
        Self {
            target: None,
            engine: None,
            last_read: None,
            lock: Lock::None { retry_at: now },
            conditions: Conditions::default(),
            drained: false,
            order_sent_at: None,
            wait: None,
            lock_retry_delay: LOCK_RETRY_DELAY + jitter.min(MAX_LOCK_JITTER),
        }
    }

    /// Returns why the engine does not hold its target, or `None` if it does.
    pub fn wait(&self) -> Option<Wait> {
        self.wait
    }

    /// Processes an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Target(target) => self.set_target(target, &mut effects),
            Event::State(state) => {
                self.engine = Some(state);
                self.order_sent_at = None;
            }
            Event::Unreachable => self.engine = None,
            Event::Fenced => {
                self.order_sent_at = None;
                self.lock = Lock::None { retry_at: now + self.lock_retry_delay };
            }
            Event::Locked { requested, ttl, fence } => {
                let until = requested + ttl.saturating_sub(CLOCK_DRIFT_MARGIN);
                self.lock = Lock::Held { until, renew_at: requested + ttl / 3, fence };
            }
            Event::Unlocked => self.lock = Lock::None { retry_at: now + self.lock_retry_delay },
            Event::Conditions(conditions) => self.conditions = conditions,
            Event::Tick => {}
        }
        self.expire(now);
        self.advance(now, &mut effects);
        effects
    }

    /// Sets the target. A change of stage drains the endpoint at once, without waiting for the
    /// engine's state.
    fn set_target(&mut self, target: Target, effects: &mut Vec<Effect>) {
        let same_stage = |old: &Target| {
            let layers = (old.first_layer, old.end_layer);
            old.model == target.model && layers == (target.first_layer, target.end_layer)
        };
        if self.target.as_ref().is_some_and(|old| !same_stage(old)) {
            self.drained = true;
            effects.push(Effect::Drain(true));
        }
        self.target = Some(target);
    }

    /// Drops a lease that has expired, also while the process was paused, a request for the locks
    /// that got no answer, and an order that got no reply in time.
    fn expire(&mut self, now: Instant) {
        match self.lock {
            Lock::Held { until, .. } if until <= now => self.lock = Lock::None { retry_at: now },
            Lock::Requested { at } if at + LOCK_TTL <= now => {
                self.lock = Lock::None { retry_at: now }
            }
            _ => {}
        }
        if self.order_sent_at.is_some_and(|at| at + ORDER_TIMEOUT <= now) {
            // The reply is lost; the engine's state shows whether it carried out the order.
            self.order_sent_at = None;
            self.engine = None;
        }
    }

    fn advance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.order_sent_at.is_some() {
            self.wait = Some(Wait::Loading);
            return self.renew(now, effects);
        }
        let changing = self.drained || self.engine.is_none();
        let interval = if changing { CHANGING_READ_INTERVAL } else { STEADY_READ_INTERVAL };
        if self.last_read.is_none_or(|at| at + interval <= now) {
            self.last_read = Some(now);
            effects.push(Effect::Read);
        }
        let Some(target) = self.target.clone() else { return };
        let Some(engine) = self.engine.clone() else {
            self.wait = Some(Wait::Unreachable);
            return self.renew(now, effects);
        };
        if engine.busy {
            self.wait = Some(Wait::Loading);
            return self.renew(now, effects);
        }
        if holds_target(&engine, &target) {
            self.wait = None;
            return self.release(effects);
        }
        self.change(now, &engine, &target, effects);
    }

    /// Takes the next step towards `target`.
    fn change(&mut self, now: Instant, engine: &State, target: &Target, effects: &mut Vec<Effect>) {
        // An engine with other layers gets no requests, since the configuration assigns it another
        // stage; it needs no replica to be changed.
        let serves_same_stage = serves_stage(engine, target);
        if !serves_same_stage && !self.drained {
            self.drained = true;
            effects.push(Effect::Drain(true));
        }
        if serves_same_stage && self.conditions.other_replicas == 0 {
            self.wait = Some(Wait::LastChain);
            return self.release(effects);
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
        if !self.conditions.idle {
            self.wait = Some(Wait::Draining);
            return;
        }
        let not_after = until - ORDER_TIMEOUT;
        if now > not_after {
            self.wait = Some(Wait::Locked);
            return;
        }
        let action = Action::LoadModel {
            model: target.model.clone(),
            version: target.version.clone(),
            first_layer: target.first_layer,
            end_layer: target.end_layer,
        };
        // The number is higher than any number of an earlier lock holder, so that the engine
        // ignores late orders of that holder.
        let number = engine.order.saturating_add(1).max(fence.saturating_mul(1 << 16));
        let order = Order { number, fence, action };
        effects.push(Effect::Issue { order, not_after });
        self.order_sent_at = Some(now);
        self.wait = Some(Wait::Loading);
    }

    /// Requests the locks when a retry is due, or renews them at a third of their time-to-live.
    fn renew(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        match &mut self.lock {
            Lock::None { retry_at } if *retry_at <= now => {
                self.lock = Lock::Requested { at: now };
                effects.push(Effect::Lock);
            }
            Lock::Held { renew_at, .. } if *renew_at <= now => {
                *renew_at = now + LOCK_TTL / 3;
                effects.push(Effect::Lock);
            }
            _ => {}
        }
    }

    /// Opens the endpoint and releases the locks.
    fn release(&mut self, effects: &mut Vec<Effect>) {
        if std::mem::take(&mut self.drained) {
            effects.push(Effect::Drain(false));
        }
        if let Lock::Held { until, .. } = self.lock {
            self.lock = Lock::None { retry_at: until };
            effects.push(Effect::Unlock);
        }
    }
}

fn holds_target(engine: &State, target: &Target) -> bool {
    serves_stage(engine, target) && engine.version == target.version
}

/// Returns whether the engine serves the target's stage, with any version of the model.
fn serves_stage(engine: &State, target: &Target) -> bool {
    engine.model.as_ref() == Some(&target.model)
        && engine.first_layer == target.first_layer
        && engine.end_layer == target.end_layer
}
