//! A rate-limited weight store.
//!
//! `GET /v1/weights/{model}/{version}/{layer}` answers with the bytes of one layer as soon as the
//! rate limit allows. A call that would wait for more than [`Settings::max_wait`] is refused with
//! 429.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

use crate::fault::Switch;
use crate::http::{self, Call, Reply};

/// Prefix of the paths of layers.
const PATH_PREFIX: &str = "/v1/weights/";

/// Settings of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Download rate of all callers together, in bytes per second.
    pub bytes_per_second: u64,
    /// Size of one layer, in bytes.
    pub layer_bytes: usize,
    /// Longest time that a call waits for the rate limit.
    pub max_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bytes_per_second: 1_000_000_000,
            layer_bytes: 1_000_000,
            max_wait: Duration::from_secs(10),
        }
    }
}

/// Schedules the layers that are sent so that they keep to the rate.
#[derive(Debug)]
pub struct RateLimiter {
    settings: Settings,
    /// When the last scheduled layer has been sent.
    next_free: Instant,
}

impl RateLimiter {
    /// Returns a limiter with no layers scheduled.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self { settings, next_free: now }
    }

    /// Schedules a layer and returns when it may be sent, or `None`, without scheduling it, if that
    /// is more than [`Settings::max_wait`] away.
    pub fn reserve(&mut self, now: Instant) -> Option<Instant> {
        let rate = self.settings.bytes_per_second.max(1) as f64;
        let time = Duration::from_secs_f64(self.settings.layer_bytes as f64 / rate);
        let ready = self.next_free.max(now) + time;
        if ready > now + self.settings.max_wait {
            return None;
        }
        self.next_free = ready;
        Some(ready)
    }
}

/// Serves the store until `switch` makes it crash.
pub async fn serve(listener: TcpListener, settings: Settings, switch: Switch) {
    let limiter = Rc::new(RefCell::new(RateLimiter::new(settings, Instant::now())));
    let layer = Bytes::from(vec![0; settings.layer_bytes]);
    let faults = switch.clone();
    let handler = move |call| answer(call, limiter.clone(), layer.clone(), faults.clone());
    http::serve(listener, switch, handler).await;
}

async fn answer(
    call: Call,
    limiter: Rc<RefCell<RateLimiter>>,
    layer: Bytes,
    switch: Switch,
) -> Reply {
    switch.wait_while_stalled().await;
    if switch.take_failure() {
        return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if call.method != Method::GET || !call.path.starts_with(PATH_PREFIX) {
        return Reply::status(StatusCode::NOT_FOUND);
    }
    let reserved = limiter.borrow_mut().reserve(Instant::now());
    let Some(ready) = reserved else {
        return Reply::status(StatusCode::TOO_MANY_REQUESTS);
    };
    sleep_until(ready).await;
    if switch.take_lost_reply() {
        return Reply::Disconnect;
    }
    let content_type = "application/octet-stream".to_owned();
    Reply::Answer { status: StatusCode::OK, content_type, body: layer }
}
