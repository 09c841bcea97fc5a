//! Settings, events, effects and counters of a [`Follower`](super::Follower).

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::name;
use crate::revision::{Hash, Message, Snapshot};

/// Time within which a call to the key-value service must end, so that its reply is not mistaken
/// for that of a later call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3500);

/// The role of a process in the system.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry, which polls the key-value service and announces revisions to its peers.
    Entry,
    /// A side, which obtains revisions from peers and calls the key-value service only if it hears
    /// from none that has a revision.
    Side,
}

/// Settings of one process's follower.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host of the process.
    pub host: name::Host,
    /// Role of the process.
    pub role: Role,
    /// Entries whose addresses are known before the process has a configuration.
    pub seeds: BTreeSet<name::Host>,
}

/// Version of the head's key in the key-value service, 0 if the key does not exist.
#[key]
#[serde(transparent)]
pub struct Version(pub i64);

/// An input of the follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A connection to a peer opened.
    Connected(name::Host),
    /// The last connection to a peer closed.
    Disconnected(name::Host),
    /// A message arrived from a peer.
    Message(name::Host, Message),
    /// The call to the key-value service ended.
    Kv(Reply),
}

/// The result of a call to the key-value service.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The head still has the version that the poll named.
    Unchanged,
    /// The encoded head and the version of its key.
    Head(Version, Vec<u8>),
    /// The service holds no head.
    Absent,
    /// The documents of an [`Effect::Read`], without those that the service does not hold.
    Documents(Vec<(Hash, Vec<u8>)>),
    /// The call failed or timed out.
    Failed,
}

/// An action that the process is to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Read the head from the key-value service, unless it still has the version `known`.
    Poll {
        /// The version that the process read last, `None` to read the head in any case.
        known: Option<Version>,
    },
    /// Read documents by hash from the key-value service.
    Read(Vec<Hash>),
    /// Send a message to a peer, over a new connection if there is none.
    Send(name::Host, Message),
    /// Activate this revision.
    Adopt(Snapshot),
}

/// State of the key-value service as this process sees it.
#[key]
#[derive(derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// This process has not called it yet.
    #[display("unused")]
    Unused,
    /// The last call was answered.
    #[display("up")]
    Up,
    /// The last call failed.
    #[display("down")]
    Down,
    /// It answers with older contents than the active revision, for example after it was restored
    /// from a backup.
    #[display("set-back")]
    SetBack,
}

/// Event counters since the process started.
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
    /// Revisions adopted.
    pub adopted: u64,
    /// Revisions adopted without proof that they contain all changes of the one before, because too
    /// many revisions lie between.
    pub unproven: u64,
    /// Replies in which the key-value service held older contents than the active revision, or
    /// none.
    pub set_back: u64,
    /// Heads refused because they lack accepted changes.
    pub forks: u64,
    /// Heads or documents refused as malformed or not matching their hash.
    pub corrupt: u64,
    /// Heads or documents refused as too large.
    pub oversized: u64,
    /// Complete revisions refused because their documents are not a valid configuration.
    pub invalid: u64,
    /// Revisions dropped because documents could not be obtained.
    pub incomplete: u64,
    /// Requests to peers that were not answered in time.
    pub peer_timeouts: u64,
}
