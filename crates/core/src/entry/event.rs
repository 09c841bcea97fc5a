//! What an entry's decisions react to, and what they ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::Config;
use crate::membership::Listing;
use crate::message::{Answer, Message};
use crate::name;
use crate::request::{Id, Refused};
use crate::roster::Roster;

/// A generation that a caller asks for.
#[derive(Clone, Debug)]
pub struct Generate {
    /// The workspace that pays.
    pub workspace: name::Workspace,
    /// The model.
    pub model: name::Model,
    /// The prompt.
    pub prompt: Vec<u32>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Time until the answer must be complete.
    pub deadline: Option<Duration>,
}

/// A call of a plain service that a caller asks for.
#[derive(Clone, Debug)]
pub struct Request {
    /// The workspace that pays.
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

/// Something that an entry must react to.
#[derive(Debug)]
pub enum Event {
    /// A caller asks for a generation.
    Generate(Id, Generate),
    /// A caller asks for a call of a plain service.
    Call(Id, Request),
    /// The caller went away.
    Gone(Id),
    /// The caller does not keep up: no more tokens are to be made for now.
    Hold(Id),
    /// The caller has caught up.
    Resume(Id),
    /// A message arrived.
    Message {
        /// The sender.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A connection to a host is open.
    Up(name::Host),
    /// A connection to a host ended, or could not be opened; messages sent to it may be lost.
    Lost(name::Host),
    /// The host list, which lags.
    Hosts(BTreeMap<name::Host, Listing>),
    /// A configuration is in force.
    Configured {
        /// Number of its revision.
        revision: u64,
        /// The configuration.
        config: Box<Config>,
        /// The entries that share the limits.
        roster: Roster,
    },
    /// The entry takes no new requests any more.
    Stop,
    /// Time has passed.
    Tick,
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
    /// Delivers a piece of the answer to the caller.
    Deliver {
        /// The request.
        request: Id,
        /// Text of one token.
        text: String,
    },
    /// Ends a request; nothing follows.
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
        /// Whether the model ended the answer by itself.
        ended: bool,
    },
    /// A plain service has answered.
    Answered(Answer),
    /// Refused.
    Refused(Refused),
}
