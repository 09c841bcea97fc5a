//! Revisions of the configuration: how a change is accepted and how it reaches every process.
//!
//! The key-value service stores each document under the hash of its content, and one head manifest
//! that lists the documents of the latest revision. An [`Operation`] replaces the head by
//! compare-and-swap: of two concurrent changes one is accepted first, and the other is rebased
//! onto it or rejected. Each process runs a [`Follower`], which obtains revisions from the
//! key-value service or from peers and adopts only complete, valid and newer ones.

mod change;
mod diff;
pub mod follower;
mod hash;
mod head;
mod operation;
mod snapshot;

use std::collections::BTreeMap;

use oriole_macros::data;

pub use self::change::{Change, Clash, Conflict, Edit, Outcome, Proposal, propose, resolve};
pub use self::diff::{FieldDiff, diff_fields};
pub use self::follower::Follower;
pub use self::hash::{Hash, HashError};
pub use self::head::{CHANGES_LIMIT, HEAD_LIMIT_BYTES, HeadError, Relation};
pub use self::operation::{Operation, Step};
pub use self::snapshot::{Snapshot, SnapshotError};

/// The head manifest, which lists the documents of one revision.
#[data]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Number of the revision, counted from 1.
    pub number: u64,
    /// Hash of the head that this one replaced; `None` in the first revision.
    pub previous: Option<Hash>,
    /// Content hashes by document name, such as `contract/gate-desk` or `endpoints`.
    pub documents: BTreeMap<String, Hash>,
    /// Ids of the latest [`CHANGES_LIMIT`] changes, one for each revision, newest last.
    pub changes: Vec<String>,
    /// Version of the roster by which contract limits are divided among entries.
    pub roster: RosterVersion,
}

/// Version of the roster: the last revision that changed the document `entries`.
#[data]
#[derive(Copy, Eq)]
#[serde(deny_unknown_fields)]
pub struct RosterVersion {
    /// Number of that revision, which is also the roster's number.
    pub number: u64,
    /// Number of the roster that this one replaced, 0 for the first.
    pub previous: u64,
}

impl RosterVersion {
    /// The roster of the first revision.
    pub const FIRST: Self = Self { number: 1, previous: 0 };
}

/// A message by which two processes exchange revisions.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Number of the sender's active revision, 0 if it has none.
    Number(u64),
    /// Requests the receiver's head.
    FetchHead,
    /// The head of the sender's active revision.
    Head(Head),
    /// Requests documents by hash.
    Fetch(Vec<Hash>),
    /// A document's hash and content.
    Document(Hash, #[serde(with = "serde_bytes")] Vec<u8>),
}
