//! Records at which endpoint a request runs, and finds out whether it broke off by a crash.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_core::fleet::Incarnation;
use oriole_core::forward::{Fingerprint, runs};
use tokio::time::sleep;

use crate::serve::Request;
use crate::state::{Shared, hold};
use crate::suspect;

/// Time after which an endpoint whose connection broke, and that did not seem to have crashed, is
/// asked once more: it may close its listener after its connections.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(250);

/// An endpoint that runs a request.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it gives reports, as model engines do.
    pub has_reports: bool,
}

/// A request that runs at an endpoint. If this is dropped, the run has broken off.
///
/// The end of an endpoint that leaves is no crash.
pub struct Run {
    state: Shared,
    key: runs::Key,
    request: Fingerprint,
    target: Target,
}

impl Run {
    /// Records that a request is sent to an endpoint.
    pub fn begin(state: &Shared, request: &Request, target: Target) -> Self {
        let incarnation = target.incarnation.clone();
        let key = state.inner.borrow_mut().runs.begin(incarnation, request.fingerprint);
        Self { state: state.clone(), key, request: request.fingerprint, target }
    }

    /// Returns the endpoint.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Records that the endpoint has begun to answer.
    pub fn begin_answer(&self) {
        let now = self.state.now();
        self.state.inner.borrow_mut().runs.begin_answer(self.key, now);
    }

    /// Records that the request has not run, or was answered with a failure.
    pub fn finish(self) {
        self.state.inner.borrow_mut().runs.finish(self.key);
    }

    /// Records that the endpoint has answered the request, which clears it of crashes.
    pub fn record_sound(self) {
        let (state, request) = (self.state.clone(), self.request);
        self.finish();
        hold::record_sound(&state, request);
    }

    /// Records that the connection to the endpoint broke, and finds out whether it crashed: at once, and
    /// again a little later in the background. Calls `crashed` if so. Returns whether it is known to have.
    pub async fn examine(self, crashed: impl FnOnce(&Shared) + 'static) -> bool {
        let (state, target) = (self.state.clone(), self.target.clone());
        drop(self);
        if suspect::has_crashed(&state, &target).await {
            crashed(&state);
            return true;
        }
        actix_rt::spawn(async move {
            sleep(ASK_AGAIN_DELAY).await;
            if suspect::has_crashed(&state, &target).await {
                crashed(&state);
            }
        });
        false
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut inner = self.state.inner.borrow_mut();
        if inner.view.is_expected_to_run(&self.target.incarnation) {
            inner.runs.break_off(self.key, now);
        } else {
            inner.runs.finish(self.key);
        }
    }
}
