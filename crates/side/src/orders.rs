//! Orders to one engine: carries out what `oriole_core::order` decides.

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

use crate::endpoint::Results;
use crate::lock::Lock;

/// Interval at which time passes for the decisions.
const TICK: Duration = Duration::from_millis(250);

/// Longest time for the engine to say what it holds.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP status of an engine that refuses an old fencing number.
const CONFLICT: u16 = 409;

/// What an orderer needs to know.
pub(crate) enum Input {
    /// What the engine is to hold, and the keys of the locks.
    Wanted(Target, Vec<String>),
    /// What goes on around the engine.
    Around(Conditions),
}

/// What an orderer works with.
pub(crate) struct Setup {
    pub(crate) endpoint: name::Endpoint,
    pub(crate) engine: engine::Client,
    pub(crate) service: kv::Client,
    pub(crate) clock: Clock,
    pub(crate) results: Results,
}

/// What an engine is to hold by `config`, and the locks that a change needs.
pub(crate) fn wanted(config: &Config, name: &name::Endpoint) -> Option<Input> {
    let Kind::Engine { model, first_layer, end_layer, .. } = &config.endpoints.get(name)?.kind
    else {
        return None;
    };
    let version = config.models.get(model)?.version.clone();
    let (first_layer, end_layer) = (*first_layer, *end_layer);
    let stage = format!("rollout/{model}/{first_layer}-{end_layer}");
    // One load at a time keeps to any rate of the weight store that one engine keeps to.
    let locks = vec![format!("order/{name}"), stage, "weights/0".to_owned()];
    Some(Input::Wanted(Target { model: model.clone(), version, first_layer, end_layer }, locks))
}

/// Orders an engine about until `inputs` is closed.
pub(crate) async fn run(setup: Setup, mut inputs: mpsc::UnboundedReceiver<Input>) {
    let mut orderer =
        Reconciler::new(setup.clock.now(), Duration::from_millis(rand::random_range(0..5_000)));
    let mut lock = Lock::new(setup.service.clone(), Vec::new());
    let mut tick = tokio::time::interval(TICK);
    let mut waits = None;
    loop {
        let event = tokio::select! {
            input = inputs.recv() => match input {
                None => return,
                Some(Input::Around(around)) => Event::Conditions(around),
                Some(Input::Wanted(target, keys)) => {
                    lock.set_keys(keys);
                    Event::Target(target)
                }
            },
            _ = tick.tick() => Event::Tick,
        };
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in orderer.handle(setup.clock.now(), event) {
                events.extend(setup.carry_out(effect, &mut lock).await);
            }
        }
        if orderer.wait() != waits {
            waits = orderer.wait();
            let reason = waits.map_or_else(String::new, |wait| wait.to_string());
            log::info!(endpoint:% = setup.endpoint, reason; "the state of the engine's orders");
        }
    }
}

impl Setup {
    async fn carry_out(&self, effect: Effect, lock: &mut Lock) -> Option<Event> {
        match effect {
            Effect::Read => Some(match self.engine.state(READ_TIMEOUT).await {
                Ok(state) => Event::State(state),
                Err(_) => Event::Unreachable,
            }),
            Effect::Lock => {
                let requested = self.clock.now();
                Some(match lock.hold(LOCK_TTL).await {
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
                // The process may have stopped meanwhile.
                let _ = self.results.send(event);
                None
            }
            // The process may have been paused since the decision.
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
