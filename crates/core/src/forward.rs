//! Decisions about one caller's request on its way to chains and endpoints.
//!
//! - [`book`]: work in progress of this entry and of the others, by first endpoint.
//! - [`gauge`]: how much more slowly than estimated events come.
//! - [`lane`]: chains that can be used now, and the choice among them.
//! - [`choice`]: the choice among the endpoints of a plain service.
//! - [`wait`]: the order in which requests wait for room.
//! - [`budget`]: this entry's share of the retries that a service may get.
//! - [`outcome`]: what may be said and done after an attempt ended.
//! - [`event`]: events of a stream, cut at their boundaries.

pub mod budget;
pub mod chain;
pub mod choice;
pub mod event;
pub mod in_flight;
pub mod outcome;
pub mod queue;
pub mod slowdown;

use crate::route;

/// What one generation is expected to need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub max_answer: u32,
    /// The caller's estimate of the tokens of the answer.
    pub hint: Option<u32>,
}

/// Part of the expected answer that is reserved: sequences in progress are on average half done.
const RESERVED_ANSWER_FRACTION: f64 = 0.6;

impl Need {
    /// Tokens to reserve.
    pub fn tokens(&self) -> u64 {
        let expected = self.hint.map_or(self.max_answer, |hint| hint.min(self.max_answer));
        u64::from(self.prompt) + (f64::from(expected) * RESERVED_ANSWER_FRACTION) as u64
    }
}

/// The rank of a request: the workspace's before the route's, 0 first.
pub fn rank(route: &route::Route, workspace: Option<&route::Workspace>) -> u8 {
    workspace.and_then(|w| w.priority).unwrap_or(route.priority)
}
