//! Input events and output effects of [`Machine`](super::Machine).

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::drain::Cause;
use crate::message::{Answer, Call, Message};
use crate::request::{Id, Ran};
use crate::{engine, name};

/// An input of [`Machine::handle`](super::Machine::handle).
#[derive(Debug)]
pub enum Event {
    /// A message arrived.
    Message {
        /// The sender.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A connection to a host was opened.
    Connected(name::Host),
    /// The connection to a host ended, or a message to it could not be sent. Messages sent before
    /// may be lost.
    Disconnected(name::Host),
    /// An engine finished or failed a batch.
    BatchFinished {
        /// The engine.
        endpoint: name::Endpoint,
        /// Outcomes in the order of the batch's steps; `None` if the whole batch failed.
        outcomes: Option<Vec<Result<engine::Output, engine::StepError>>>,
    },
    /// A call of a plain service was answered or failed.
    CallFinished {
        /// The service's endpoint.
        endpoint: name::Endpoint,
        /// The request.
        request: Id,
        /// The answer, or whether the failed call may have run.
        answer: Result<Answer, Ran>,
    },
    /// The periodic status that an engine reports; it may lag behind the engine's state.
    EngineObserved {
        /// The engine.
        endpoint: name::Endpoint,
        /// Free KV cache, in tokens.
        free_tokens: u32,
        /// Hashes of prompt prefixes that were added to its cache since the last status.
        stored_prefixes: Vec<u64>,
    },
    /// A drain of an endpoint starts or ends.
    Leaving {
        /// The endpoint.
        endpoint: name::Endpoint,
        /// The source of the drain; other sources are unaffected.
        cause: Cause,
        /// Whether the drain starts.
        leaving: bool,
    },
    /// A revision of the configuration has come into force.
    Configured {
        /// The configuration.
        config: Box<Config>,
        /// Number of its revision.
        revision: u64,
        /// Number of the roster by which the entries share the limits.
        roster: u64,
    },
    /// Another process reports that this revision is in force there.
    RevisionConfirmed(u64),
    /// A periodic tick.
    Tick {
        /// Wall-clock time in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
}

/// An action that the adapter has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a host.
    Send {
        /// The receiver.
        host: name::Host,
        /// The address to dial if no connection is open; without it only an open one is used.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Runs a batch on an engine; [`Event::BatchFinished`] must follow.
    Run {
        /// The engine.
        endpoint: name::Endpoint,
        /// The batch.
        batch: engine::Batch,
    },
    /// Frees a sequence at an engine, between the running batch and the next one.
    Release {
        /// The engine.
        endpoint: name::Endpoint,
        /// The engine's name of the sequence.
        sequence: String,
    },
    /// Calls a plain service; [`Event::CallFinished`] must follow.
    Call {
        /// The call.
        call: Call,
        /// Time left until the call's deadline.
        limit: Duration,
    },
}
