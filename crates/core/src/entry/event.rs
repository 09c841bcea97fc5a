//! The events that the entry's state machine handles, and the effects that it returns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::membership::Listing;
use crate::message::{Answer, Message};
use crate::name;
use crate::request::{Id, Refused};
use crate::roster::Roster;

/// A request for a generation.
#[derive(Clone, Debug)]
pub struct Generate {
    /// The workspace whose contract applies.
    pub workspace: name::Workspace,
    /// The model.
    pub model: name::Model,
    /// Token ids of the prompt.
    pub prompt: Vec<u32>,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Time until the answer must be complete.
    pub deadline: Option<Duration>,
}

/// A request for a call of a plain service.
#[derive(Clone, Debug)]
pub struct Request {
    /// The workspace whose contract applies.
    pub workspace: name::Workspace,
    /// The service.
    pub service: name::Service,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Idempotency key, a UUIDv7.
    pub key: Option<u128>,
    /// Time until the answer must be complete.
    pub deadline: Option<Duration>,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// A caller asks for a generation.
    Generate(Id, Generate),
    /// A caller asks for a call of a plain service.
    Call(Id, Request),
    /// The caller has closed its connection.
    CallerLeft(Id),
    /// The caller reads too slowly: no more tokens are to be generated until it has caught up.
    Pause(Id),
    /// The caller has caught up.
    Resume(Id),
    /// A message arrived.
    Message {
        /// The sender.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A connection to a host was opened.
    Connected(name::Host),
    /// A connection to a host ended, or could not be opened; messages sent to it may be lost.
    Disconnected(name::Host),
    /// The host list, which may be out of date.
    HostList(BTreeMap<name::Host, Listing>),
    /// A configuration revision was adopted.
    Configured {
        /// Number of its revision.
        revision: u64,
        /// The configuration.
        config: Box<Config>,
        /// The entries that share the limits.
        roster: Roster,
    },
    /// The entry is stopping and refuses new requests.
    Stop,
    /// Periodic tick, on which timeouts are checked.
    Tick,
}

/// An action that the adapter must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a host, and connects to the address first if one is given.
    Send {
        /// The receiver.
        host: name::Host,
        /// Where it listens.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// Delivers a piece of the answer to the caller.
    Deliver {
        /// The request.
        request: Id,
        /// Text of one token.
        text: String,
    },
    /// Ends a request. No further effect refers to it.
    Finish {
        /// The request.
        request: Id,
        /// How it ended.
        outcome: Outcome,
    },
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A generation is complete.
    Complete {
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the answer.
        answer: u32,
        /// Whether the model ended the answer, rather than the limit of its length.
        ended: bool,
    },
    /// A plain service has answered.
    Answered(Answer),
    /// The request was refused or abandoned.
    Refused(Refused),
}
