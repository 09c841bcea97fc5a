//! What may be said and done after an attempt ended.

use oriole_macros::key;

use crate::name;
use crate::route::Route;

/// How an attempt ended without a complete answer.
#[key]
pub enum Failure {
    /// The connection could not be opened: nothing was sent.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotExecuted,
    /// The outcome is unknown: the connection broke, or the answer is not usable.
    Unknown,
    /// A stage of the chain was found not to work.
    Doubted,
}

impl Failure {
    /// The failure as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotExecuted => "not-executed",
            Self::Unknown => "unknown",
            Self::Doubted => "doubted",
        }
    }

    /// Whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotExecuted)
    }
}

/// Attempts so far of one request.
#[derive(Clone, Debug, Default)]
pub struct Tries {
    /// Endpoints that may have run it, each once.
    ///
    /// Those that seem lost stay among them: they may only be out of this entry's reach.
    pub ran_at: Vec<name::Endpoint>,
    /// Whether it may have run at all.
    pub may_have_run: bool,
    /// Attempts that certainly did not run.
    pub not_run: u32,
}

/// Attempts of one request that may be refused as not run before it is given up.
const MAX_NOT_RUN_ATTEMPTS: u32 = 3;

impl Tries {
    /// Counts the end of an attempt at `endpoint`.
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

    /// Whether another attempt is allowed by the route after `failure`.
    ///
    /// Where all of the route's endpoints have been used, one of them may still run it again.
    pub fn may_retry(&self, route: &Route, failure: Failure) -> bool {
        let repeatable = failure.is_not_run() || route.may_repeat();
        repeatable && self.not_run < MAX_NOT_RUN_ATTEMPTS
    }

    /// Whether another endpoint may run it.
    pub fn may_run_elsewhere(&self, route: &Route) -> bool {
        self.ran_at.len() < route.max_attempts as usize
    }
}
