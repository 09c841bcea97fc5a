//! Results of attempts, and whether a request may be attempted again.

use oriole_macros::key;

use crate::name;
use crate::route::Route;

/// How an attempt ended without a complete answer.
#[key]
pub enum Failure {
    /// The connection could not be opened: nothing was sent.
    NotSent,
    /// The endpoint answered that it did not run the request.
    NotExecuted,
    /// The request may have run: the connection broke, or the answer is not usable.
    Unknown,
    /// The request has run, and this process has no memory for its answer. That is no fault of the endpoint.
    NoMemory,
    /// A stage of the chain was marked unhealthy; the request may have run.
    Doubted,
}

impl Failure {
    /// Returns the name of the failure in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotExecuted => "not-executed",
            Self::Unknown => "unknown",
            Self::NoMemory => "no-memory",
            Self::Doubted => "doubted",
        }
    }

    /// Returns whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotExecuted)
    }
}

/// Attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Endpoints that may have run the request, without duplicates.
    ///
    /// Endpoints that seem lost are kept, as they may be unreachable from this entry only; those that have
    /// crashed are not.
    pub ran_at: Vec<name::Endpoint>,
    /// Whether the request may have run at any endpoint.
    pub may_have_run: bool,
    /// Number of attempts that certainly did not run.
    pub not_run: u32,
}

/// Attempts that certainly did not run after which a request is given up.
const MAX_NOT_RUN_ATTEMPTS: u32 = 3;

impl Attempts {
    /// Records that an attempt at `endpoint` ended with `failure`.
    pub fn record(&mut self, endpoint: &name::Endpoint, failure: Failure) {
        if failure.is_not_run() {
            self.not_run += 1;
            return;
        }
        self.may_have_run = true;
        if !self.ran_at.contains(endpoint) {
            self.ran_at.push(endpoint.clone());
        }
    }

    /// Records that an endpoint has crashed since, so that the request no longer runs there.
    pub fn record_crash(&mut self, endpoint: &name::Endpoint) {
        self.ran_at.retain(|ran_at| ran_at != endpoint);
    }

    /// Returns whether the route allows another attempt after `failure`.
    ///
    /// Once the route's maximum number of endpoints has been used, one of these may still run the
    /// request again.
    pub fn may_retry(&self, route: &Route, failure: Failure) -> bool {
        let repeatable = failure.is_not_run() || route.may_repeat();
        repeatable && self.not_run < MAX_NOT_RUN_ATTEMPTS
    }

    /// Returns whether an endpoint that has not run the request yet may run it.
    pub fn may_run_elsewhere(&self, route: &Route) -> bool {
        self.ran_at.len() < route.max_attempts as usize
    }
}
