//! What goes into the machine of a side, and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::drain::Cause;
use crate::message::{Answer, Call, Message};
use crate::request::{Id, Ran};
use crate::{engine, name};

/// Something that a side must react to.
#[derive(Debug)]
pub enum Event {
    /// A message arrived.
    Message {
        /// The sender.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A connection to a host is open.
    Connected(name::Host),
    /// The connection to a host ended; messages sent to it may be lost.
    Disconnected(name::Host),
    /// An engine has run a batch, or failed as a whole.
    BatchFinished {
        /// The engine.
        endpoint: name::Endpoint,
        /// Outcomes in the order of the batch's steps; `None` if the engine failed.
        outcomes: Option<Vec<Result<engine::Output, engine::StepError>>>,
    },
    /// A plain service has answered, or failed.
    CallFinished {
        /// The service's endpoint.
        endpoint: name::Endpoint,
        /// The request.
        request: Id,
        /// The answer, or whether the call may have run.
        answer: Result<Answer, Ran>,
    },
    /// What an engine says of itself, which may lag.
    EngineObserved {
        /// The engine.
        endpoint: name::Endpoint,
        /// Tokens of KV cache that are free.
        free_tokens: u32,
        /// Hashes of prompt prefixes that were added to its cache.
        stored_prefixes: Vec<u64>,
    },
    /// An endpoint is leaving, or is back.
    Leaving {
        /// The endpoint.
        endpoint: name::Endpoint,
        /// Who says so.
        cause: Cause,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A configuration is in force.
    Configured {
        /// The configuration.
        config: Box<Config>,
        /// Number of its revision.
        revision: u64,
        /// Number of the roster by which entries share the limits.
        roster: u64,
    },
    /// Another process has this revision in force.
    RevisionConfirmed(u64),
    /// Time has passed.
    Tick {
        /// Milliseconds since the Unix epoch.
        wall_ms: u64,
    },
}

/// Something that the adapter must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a host, dialling the address if one is given.
    Send {
        /// The receiver.
        host: name::Host,
        /// Where it listens.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Runs a batch on an engine; [`Event::Ran`] must follow.
    Run {
        /// The engine.
        endpoint: name::Endpoint,
        /// The batch.
        batch: engine::Batch,
    },
    /// Frees a sequence at an engine, after the batch that runs and before the next one.
    Release {
        /// The engine.
        endpoint: name::Endpoint,
        /// The sequence.
        sequence: String,
    },
    /// Calls a plain service; [`Event::Answered`] must follow.
    Call {
        /// The call.
        call: Call,
        /// Time until its deadline.
        limit: Duration,
    },
}
