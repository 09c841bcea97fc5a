//! Revisions of the configuration, as processes learn them from each other.

use std::collections::BTreeMap;

use oriole_macros::{data, key};

/// SHA-256 of a document's bytes.
#[key]
#[serde(transparent)]
pub struct Hash(pub [u8; 32]);

/// The head manifest: what makes up one revision.
#[data]
pub struct Head {
    /// Number of the revision; it only grows.
    pub number: u64,
    /// Hash of the head that this one replaced.
    pub previous: Option<Hash>,
    /// Documents by name, such as `contract/gate-desk` or `endpoints`.
    pub documents: BTreeMap<String, Hash>,
    /// Ids of the latest changes, newest last.
    pub changes: Vec<String>,
}

/// A message between two processes.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender's revision.
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
