//! Messages between entries about endpoints and configuration.

use oriole_macros::{data, key};

use super::{Listing, Position};
use crate::forward::quarantine::{Group, Sound, Suspect};
use crate::forward::rate::{Notice, Reply};
use crate::forward::returns::Refused;
use crate::forward::{choice, hold};
use crate::{name, placement, route};

/// Work in progress of one entry on one chain, or on one endpoint of a plain service.
#[data]
pub struct Load {
    /// The first endpoint that the plan assigns to the chain, or the endpoint of the plain service.
    #[serde(rename = "head")]
    pub key: name::Endpoint,
    /// Number of requests in progress.
    pub requests: u32,
    /// Tokens that the requests occupy or are expected to occupy in KV caches.
    pub tokens: u64,
    /// Prompt tokens of requests that have had no event yet.
    #[serde(rename = "reading")]
    pub prefill: u64,
    /// Ratio of observed to estimated pauses between events, as the sender measures it.
    pub factor: f64,
}

/// One run of an endpoint, from a start to the next.
#[data]
#[derive(Eq, Ord, PartialOrd)]
pub struct Incarnation {
    /// Identifier of the endpoint.
    pub endpoint: name::Endpoint,
    /// Unix time of the start in milliseconds.
    pub born: u64,
}

/// State that an entry sends to all other entries several times a second.
#[data]
pub struct Gossip {
    /// Version of the sender's routing table, 0 if it has none.
    pub table: u64,
    /// Position of the sender's plan, the first one if it has none.
    pub plan: Position,
    /// Number of the sender's plan, 0 if it has none.
    #[serde(default)]
    pub plan_number: u64,
    /// Time since the store told the sender that its routing table is the newest, in milliseconds;
    /// `None` if it has not.
    #[serde(default)]
    pub table_age_ms: Option<u64>,
    /// Age of the sender's listing in milliseconds.
    pub listing_age_ms: u64,
    /// Time for which the sender's listings have come without a gap, in milliseconds.
    #[serde(default)]
    pub unbroken_ms: u64,
    /// Time after which the sender gets new connections, in milliseconds; 0 if it does already.
    #[serde(default)]
    pub ready_in_ms: u64,
    /// Work in progress of the sender.
    pub loads: Vec<Load>,
    /// Endpoints that the sender treats as unhealthy for other reasons than their silence, with the age
    /// of the finding in milliseconds.
    #[serde(rename = "doubts")]
    pub unhealthy: Vec<(Incarnation, u64)>,
    /// Endpoints that said that they are leaving, with the time since in milliseconds.
    #[serde(default)]
    pub leaving: Vec<(Incarnation, u64)>,
    /// Parts of prompts whose requests the sender does not run.
    #[serde(default)]
    pub quarantined: Vec<Group>,
    /// Limits that endpoints name.
    #[serde(default)]
    pub limits: Vec<Notice>,
    /// Requests that the sender has refused since its last message.
    #[serde(default)]
    pub refused: Vec<Refused>,
    /// First stages that send what is no answer.
    #[serde(default)]
    pub failing: choice::Notice,
}

/// Data that an entry may request from another entry.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The routing table.
    Table,
    /// The plan.
    Plan,
    /// The listing of registered endpoints.
    Listing,
}

/// A message between entries about endpoints and configuration.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// State of the sender, sent several times a second.
    #[serde(rename = "news")]
    Gossip(Box<Gossip>),
    /// Request for the receiver's version of a topic on which the sender is behind.
    Want(Topic),
    /// A routing table that the receiver requested.
    Table(Box<route::Table>),
    /// A plan that is new or that the receiver requested.
    Plan(placement::Plan),
    /// A listing that the receiver requested, and its age in milliseconds.
    Listing(Listing, u64),
    /// Layers that an endpoint reported to hold, and the number of orders that it had accepted.
    Held(Incarnation, placement::Range, u64),
    /// The sender monitors an order that an endpoint carries out, for at most the given number of
    /// milliseconds; 0 ends it.
    Ordered(Incarnation, u64),
    /// An endpoint that the sender found to be unhealthy.
    #[serde(rename = "doubt")]
    Unhealthy(Incarnation),
    /// Ratio of an endpoint's step time to its usual one, as it reported.
    Pace(Incarnation, f64),
    /// An endpoint that refused a request of the sender, although it has room by its own report.
    Refusal(Incarnation),
    /// An endpoint that did not answer the sender. The cause may be the sender or its link.
    Suspicion(Incarnation),
    /// An endpoint that several entries suspected and that has answered the sender since.
    Answered(Incarnation),
    /// An endpoint that said to the sender that it is leaving.
    Leaving(Incarnation),
    /// An endpoint that crashed, and requests of the sender that it had hardly begun to answer.
    Crash(Incarnation, Vec<Suspect>),
    /// Parts of prompts that the sender has seen answered, although others suspect them.
    Sound(Vec<Sound>),
    /// An endpoint that crashed, and requests that it was running for the sender.
    Crashed(hold::Loss),
    /// Requests that the sender has seen answered, although others suspect or hold them.
    Released(Vec<hold::Release>),
    /// Requests that the sender suspects, holds and has released.
    Holds(hold::Summary),
    /// A limit that an endpoint names, or names no more.
    Limit(Notice),
    /// Request for a permit to send one request to an endpoint, with the limit that the sender knows.
    PermitRequest(Notice),
    /// Answer to the receiver's request for a permit.
    Permit(Incarnation, Reply),
}
