//! The task that brings one engine to what the configuration assigns to it. It carries out the
//! effects of `oriole_core::order`.

use std::time::Duration;

use oriole_adapter::clock::Clock;
use oriole_adapter::engine;
use oriole_adapter::http::Error;
use oriole_adapter::kv;
use oriole_core::config::{Config, Kind};
use oriole_core::drain::Cause;
use oriole_core::name;
use oriole_core::order::{Conditions, Effect, Event, LOCK_TTL, ORDER_TIMEOUT, Reconciler, Target};
use oriole_core::side;
use tokio::sync::mpsc;

use crate::endpoint::EventSender;
use crate::lock::Lock;

/// Interval of ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time for reading the state of the engine.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP status with which an engine refuses an order whose fencing token is too old.
const CONFLICT: u16 = 409;

/// An input of [`run`].
pub(crate) enum Input {
    /// The model part that the engine has to hold, and the keys of the locks for changing it.
    Target(Target, Vec<String>),
    /// The conditions outside the engine that decide whether it may be changed.
    Conditions(Conditions),
}

/// Clients and settings that [`run`] works with.
pub(crate) struct Setup {
    pub(crate) endpoint: name::Endpoint,
    pub(crate) engine: engine::Client,
    pub(crate) kv: kv::Client,
    pub(crate) clock: Clock,
    pub(crate) event_sender: EventSender,
}

/// Returns what `config` assigns to an engine, and the locks that a change needs; `None` if `name`
/// is not an engine of the configuration or its model is unknown.
pub(crate) fn assignment(config: &Config, name: &name::Endpoint) -> Option<Input> {
    let Kind::Engine { model, first_layer, end_layer, .. } = &config.endpoints.get(name)?.kind
    else {
        return None;
    };
    let version = config.models.get(model)?.version.clone();
    let (first_layer, end_layer) = (*first_layer, *end_layer);
    let stage = format!("rollout/{model}/{first_layer}-{end_layer}");
    // The weight store may limit its rate. With one load at a time, the limit holds if one engine
    // keeps to it.
    let locks = vec![format!("order/{name}"), stage, "weights/0".to_owned()];
    Some(Input::Target(Target { model: model.clone(), version, first_layer, end_layer }, locks))
}

/// Reconciles an engine with its target until `inputs` is closed.
pub(crate) async fn run(setup: Setup, mut inputs: mpsc::UnboundedReceiver<Input>) {
    let mut reconciler =
        Reconciler::new(setup.clock.now(), Duration::from_millis(rand::random_range(0..5_000)));
    let mut lock = Lock::new(setup.kv.clone(), Vec::new());
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    let mut last_wait = None;
    loop {
        let event = tokio::select! {
            input = inputs.recv() => match input {
                None => return,
                Some(Input::Conditions(conditions)) => Event::Conditions(conditions),
                Some(Input::Target(target, keys)) => {
                    lock.set_keys(keys);
                    Event::Target(target)
                }
            },
            _ = tick.tick() => Event::Tick,
        };
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in reconciler.handle(setup.clock.now(), event) {
                events.extend(setup.carry_out(effect, &mut lock).await);
            }
        }
        if reconciler.wait() != last_wait {
            last_wait = reconciler.wait();
            let reason = last_wait.map_or_else(String::new, |wait| wait.to_string());
            log::info!(endpoint:% = setup.endpoint, reason; "wait reason of orders changed");
        }
    }
}

impl Setup {
    /// Carries out an effect and returns the event that results from it, if any.
    async fn carry_out(&self, effect: Effect, lock: &mut Lock) -> Option<Event> {
        match effect {
            Effect::Read => Some(match self.engine.state(READ_TIMEOUT).await {
                Ok(state) => Event::State(state),
                Err(_) => Event::Unreachable,
            }),
            Effect::Lock => {
                let requested = self.clock.now();
                Some(match lock.acquire_or_renew(LOCK_TTL).await {
                    Some(fence) => Event::Locked { requested, ttl: LOCK_TTL, fence },
                    None => Event::Unlocked,
                })
            }
            Effect::Unlock => {
                lock.release().await;
                None
            }
            Effect::Drain(leaving) => {
                let (endpoint, cause) = (self.endpoint.clone(), Cause::Order);
                let event = side::Event::Leaving { endpoint, cause, leaving };
                // The send fails if the process has stopped.
                let _ = self.event_sender.send(event);
                None
            }
            // The process may have been suspended between the decision and this check. After
            // `not_after`, the lease may end while the order is in progress.
            Effect::Issue { not_after, .. } if self.clock.now() > not_after => {
                Some(Event::Unreachable)
            }
            Effect::Issue { order, .. } => {
                Some(match self.engine.order(&order, ORDER_TIMEOUT).await {
                    Ok(state) => Event::State(state),
                    Err(Error::Status { status: CONFLICT }) => Event::Fenced,
                    Err(_) => Event::Unreachable,
                })
            }
        }
    }
}
