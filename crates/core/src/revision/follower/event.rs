//! What goes into a [`Follower`](super::Follower) and what comes out.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::name;
use crate::revision::{Adopted, Hash, Message};

/// Time within which a call to the key-value service must end, so that its answer is not taken for
/// that of a later call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3500);

/// What a process does in the system.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It polls the key-value service, and announces revisions to all peers.
    Entry,
    /// It learns revisions from entries, and calls the service only if it hears none.
    Side,
}

/// How one process takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The process's host.
    pub host: name::Host,
    /// Its role.
    pub role: Role,
    /// Entries that it can reach before it has a configuration.
    pub seeds: BTreeSet<name::Host>,
}

/// Version of the head's key in the key-value service; 0 if there is no such key.
#[key]
#[serde(transparent)]
pub struct Version(pub i64);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A connection to a peer is open.
    Up(name::Host),
    /// The last connection to a peer ended.
    Lost(name::Host),
    /// A message came from a peer.
    Message(name::Host, Message),
    /// The key-value service answered the last call, or the call failed.
    Service(Reply),
}

/// The end of a call to the key-value service.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The head is still of the version that the poll named.
    Unchanged,
    /// The head.
    Head(Version, Vec<u8>),
    /// There is no head.
    Absent,
    /// The documents of an [`Effect::Read`]; those that it does not hold are left out.
    Documents(Vec<(Hash, Vec<u8>)>),
    /// The call failed or took too long.
    Failed,
}

/// Something to be done by the process.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Read the head from the key-value service, unless it is still of the version `known`.
    Poll {
        /// The version that the process has.
        known: Option<Version>,
    },
    /// Read documents from the key-value service.
    Read(Vec<Hash>),
    /// Send a message to a peer, over a new connection if there is none.
    Send(name::Host, Message),
    /// Put this revision in force.
    Adopt(Adopted),
}

/// Whether the key-value service can be reached, as this process sees it.
#[key]
#[derive(derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// This process has not called it.
    #[display("unused")]
    Unused,
    /// The last call was answered.
    #[display("up")]
    Up,
    /// The last call failed.
    #[display("down")]
    Down,
    /// It answers with older contents than are in force.
    #[display("set-back")]
    SetBack,
}

/// Events since the process started, one number for each reason.
#[data]
#[derive(Copy, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Counts {
    /// Polls of the key-value service.
    pub polls: u64,
    /// Reads of documents from the key-value service.
    pub reads: u64,
    /// Calls of either kind that failed.
    pub service_failures: u64,
    /// Revisions put in force.
    pub adopted: u64,
    /// Revisions put in force whose descent was too far to prove.
    pub unproven: u64,
    /// Heads refused because the key-value service went back to older contents.
    pub set_back: u64,
    /// Heads refused because they leave out accepted changes.
    pub forks: u64,
    /// Heads or documents refused as malformed or not matching their hash.
    pub corrupt: u64,
    /// Heads or documents refused as too large.
    pub oversized: u64,
    /// Whole revisions refused because their documents are not a valid configuration.
    pub invalid: u64,
    /// Revisions given up because documents could not be had.
    pub incomplete: u64,
    /// Requests to peers that were not answered in time.
    pub peer_timeouts: u64,
}
