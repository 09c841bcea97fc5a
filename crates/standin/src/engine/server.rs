//! The HTTP interface of an engine, as `oriole_core::engine` describes it.

use std::cell::RefCell;
use std::rc::Rc;

use actix_http::{Method, StatusCode};
use oriole_core::engine::{Batch, Cache, Order};
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use super::{Engine, Error, Settings};
use crate::fault::Switch;
use crate::http::{self, Call, Reply};

/// Prefix of the paths that concern one sequence.
const SEQUENCES_PATH_PREFIX: &str = "/v1/sequences/";

struct Server {
    engine: RefCell<Engine>,
    /// Held while a batch runs, so that batches run one at a time.
    batch_lock: Mutex<()>,
    switch: Switch,
}

/// Serves an engine until `switch` makes it crash.
pub async fn serve(listener: TcpListener, settings: Settings, switch: Switch) {
    let engine = RefCell::new(Engine::new(settings));
    let server = Server { engine, batch_lock: Mutex::new(()), switch: switch.clone() };
    let server = Rc::new(server);
    let handler = move |call| {
        let server = server.clone();
        async move { server.answer(call).await }
    };
    http::serve(listener, switch, handler).await;
}

impl Server {
    async fn answer(&self, call: Call) -> Reply {
        self.switch.wait_while_stalled().await;
        if self.switch.take_failure() {
            return Reply::status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let reply = self.route(&call).await;
        // The engine may have stalled during the call; then the answer waits.
        self.switch.wait_while_stalled().await;
        if self.switch.take_lost_reply() { Reply::Disconnect } else { reply }
    }

    async fn route(&self, call: &Call) -> Reply {
        let now = Instant::now();
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/steps") => self.steps(call).await,
            (&Method::GET, "/v1/load") => {
                Reply::json(StatusCode::OK, &self.engine.borrow_mut().load(now))
            }
            (&Method::GET, "/v1/state") => {
                Reply::json(StatusCode::OK, &self.engine.borrow_mut().state(now))
            }
            (&Method::GET, "/v1/cache-events") => {
                let after = after_param(&call.query);
                Reply::json(StatusCode::OK, &self.engine.borrow().cache_events(now, after))
            }
            (&Method::POST, "/v1/orders") => self.order(call, now),
            (_, path) => match path.strip_prefix(SEQUENCES_PATH_PREFIX) {
                Some(rest) => self.sequence(call, rest),
                None => Reply::status(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn steps(&self, call: &Call) -> Reply {
        let Ok(batch) = call.json::<Batch>() else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        let _guard = self.batch_lock.lock().await;
        self.switch.wait_while_stalled().await;
        let run = self.engine.borrow_mut().run(Instant::now(), &batch);
        match run {
            Ok((outcomes, time)) => {
                sleep(self.switch.scale(time)).await;
                Reply::json(StatusCode::OK, &outcomes)
            }
            Err(e) => error_reply(e),
        }
    }

    fn order(&self, call: &Call, now: Instant) -> Reply {
        let Ok(order) = call.json::<Order>() else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        match self.engine.borrow_mut().order(now, order) {
            Ok(state) => Reply::json(StatusCode::OK, &state),
            Err(e) => error_reply(e),
        }
    }

    fn sequence(&self, call: &Call, rest: &str) -> Reply {
        let mut engine = self.engine.borrow_mut();
        let result = match (&call.method, rest.split_once('/')) {
            (&Method::DELETE, None) => engine.free(rest).map(|()| None),
            (&Method::GET, Some((name, "cache"))) => engine.export(name).map(Some),
            (&Method::PUT, Some((name, "cache"))) => match call.json::<Cache>() {
                Ok(cache) => engine.import(name, &cache).map(|()| None),
                Err(_) => return Reply::status(StatusCode::BAD_REQUEST),
            },
            _ => return Reply::status(StatusCode::NOT_FOUND),
        };
        match result {
            Ok(Some(cache)) => Reply::json(StatusCode::OK, &cache),
            Ok(None) => Reply::status(StatusCode::NO_CONTENT),
            Err(e) => error_reply(e),
        }
    }
}

/// Returns the reply that reports an error.
fn error_reply(error: Error) -> Reply {
    Reply::status(match error {
        Error::NoModel => StatusCode::SERVICE_UNAVAILABLE,
        Error::StaleFencingToken => StatusCode::CONFLICT,
        Error::UnknownSequence => StatusCode::NOT_FOUND,
        Error::CacheMismatch => StatusCode::UNPROCESSABLE_ENTITY,
    })
}

/// Returns the query parameter `after`, the number of the last event that the caller has seen, or 0
/// if it is missing or malformed.
fn after_param(query: &str) -> u64 {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == "after").and_then(|(_, v)| v.parse().ok());
    value.unwrap_or_default()
}
