//! Revisions of the configuration: how a change is accepted, and how every process learns of it.
//!
//! The key-value service holds documents under the hash of their content, and one head manifest
//! that names them. A change replaces the head by compare-and-swap, so that of two concurrent
//! changes one is accepted first and the other is rebased or refused:
//! [`Operation`].
//! Each process runs a [`Follower`], which adopts only whole, valid and newer revisions, from the
//! key-value service or from peers.

mod adopted;
mod change;
mod diff;
pub mod follower;
mod hash;
mod head;
mod operation;

use std::collections::BTreeMap;

use oriole_macros::data;

pub use self::adopted::{Adopted, Refusal};
pub use self::change::{Change, Clash, Conflict, Edit, Outcome, Proposal, propose, settle};
pub use self::diff::{Field, fields};
pub use self::follower::Follower;
pub use self::hash::{Hash, HashError};
pub use self::head::{CHANGES_LIMIT, HEAD_LIMIT_BYTES, HeadError, Relation};
pub use self::operation::{Operation, Step};

/// The head manifest: what makes up one revision.
#[data]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Number of the revision, from 1; it only grows.
    pub number: u64,
    /// Hash of the head that this one replaced.
    pub previous: Option<Hash>,
    /// Documents by name, such as `contract/gate-desk` or `endpoints`.
    pub documents: BTreeMap<String, Hash>,
    /// Ids of the latest changes, newest last, one for each revision.
    pub changes: Vec<String>,
    /// The roster by which limits are divided.
    pub roster: Division,
}

/// Which revision made the roster: the last one that changed the document `entries`.
#[data]
#[derive(Copy, Eq)]
#[serde(deny_unknown_fields)]
pub struct Division {
    /// Number of that revision; it is the roster's number.
    pub number: u64,
    /// Number of the roster before, 0 if it is the first.
    pub previous: u64,
}

impl Division {
    /// The first one.
    pub const FIRST: Self = Self { number: 1, previous: 0 };
}

/// A message between two processes.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender's revision, 0 if it has none.
    Number(u64),
    /// Asks for the head.
    FetchHead,
    /// The sender's head.
    Head(Head),
    /// Asks for documents.
    Fetch(Vec<Hash>),
    /// One document.
    Document(Hash, #[serde(with = "serde_bytes")] Vec<u8>),
}
