//! Decisions about forwarding one caller's request to chains and endpoints.
//!
//! - [`in_flight`]: requests in progress of this entry and of its peers, by chain or endpoint.
//! - [`slowdown`]: ratio of observed to estimated pauses between events, by chain.
//! - [`chain`]: chains that are usable now, and the choice among them.
//! - [`choice`]: the choice among the endpoints of a plain service, which has no chains.
//! - [`queue`]: the order in which requests wait for capacity.
//! - [`quarantine`]: parts of prompts that crash endpoints.
//! - [`recent`]: when each of many things was last seen.
//! - [`runs`]: which requests run at which endpoint, and which may have crashed it.
//! - [`headroom`]: the part of a chain that stays free for requests that go first.
//! - [`hold`]: requests that crash endpoints and are not run.
//! - [`returns`]: callers that were refused, and when they may come back.
//! - [`rate`]: limits on the rate of requests that endpoints name.
//! - [`budget`]: this entry's share of a service's retry budget.
//! - [`outcome`]: results of attempts, and whether another attempt is allowed.
//! - [`event`]: splits response streams at event boundaries.
//! - [`memory`]: one bound on the memory that callers make an entry hold.
//! - [`connections`]: a bound on the connections of callers.
//! - [`stop`]: when a caller that a stopping entry turns away may come back.

pub mod budget;
pub mod chain;
pub mod choice;
pub mod connections;
pub mod event;
pub mod headroom;
pub mod hold;
pub mod in_flight;
pub mod memory;
pub mod outcome;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod recent;
pub mod returns;
pub mod runs;
pub mod slowdown;
pub mod stop;

use std::fmt;

use oriole_macros::key;

use crate::route;

/// Tokens that one generation is expected to use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Maximum tokens in the answer.
    pub max_answer: u32,
    /// The caller's estimate of the tokens in the answer, if it gave one.
    pub hint: Option<u32>,
}

/// A part of a prompt that several requests may share.
#[key]
pub struct Part(pub u64);

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifies what a caller asks for: equal for a request and its repeats, whichever entry they come to.
#[key]
pub struct Fingerprint(pub [u64; 2]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

/// Fraction of the expected answer to reserve: sequences in progress are on average half done.
const RESERVED_ANSWER_FRACTION: f64 = 0.6;

impl Need {
    /// Returns the tokens to reserve in KV caches for this generation.
    pub fn tokens(&self) -> u64 {
        let expected = self.hint.map_or(self.max_answer, |hint| hint.min(self.max_answer));
        u64::from(self.prompt) + (f64::from(expected) * RESERVED_ANSWER_FRACTION) as u64
    }
}

/// Returns the priority of a request; lower values go first.
///
/// The workspace's priority overrides the route's.
pub fn priority(route: &route::Route, workspace: Option<&route::Workspace>) -> u8 {
    workspace.and_then(|w| w.priority).unwrap_or(route.priority)
}
