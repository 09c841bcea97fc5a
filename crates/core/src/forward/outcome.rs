//! What may be said and done after an attempt ended.

use oriole_macros::key;

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
    /// Whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotExecuted)
    }
}

/// Attempts so far of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    /// Attempts that were sent to an endpoint that works and may have run.
    pub ran: u32,
    /// Attempts that certainly did not run.
    pub not_run: u32,
    /// Attempts that were given up since a stage of their chain did not work.
    pub doubted: u32,
}

/// Attempts of one request that may be refused as not run before it is given up.
const MAX_NOT_RUN: u32 = 3;

impl Tries {
    /// Counts the end of an attempt.
    pub fn count(&mut self, failure: Failure) {
        match failure {
            Failure::NotSent | Failure::NotExecuted => self.not_run += 1,
            Failure::Unknown => self.ran += 1,
            // An endpoint that ended does not count against the route's attempts.
            Failure::Doubted => self.doubted += 1,
        }
    }

    /// Whether another attempt is allowed by the route after `failure`.
    pub fn may_retry(&self, route: &Route, failure: Failure) -> bool {
        let repeatable = failure.is_not_run() || route.may_repeat();
        repeatable && self.ran < route.max_attempts && self.not_run < MAX_NOT_RUN
    }

    /// Whether the request has certainly not run, so that the caller may be told so.
    pub fn is_not_run(&self) -> bool {
        self.ran == 0 && self.doubted == 0
    }
}
