//! A revision in force: the head, all of its documents and the configuration read from them.

use std::collections::BTreeMap;
use std::sync::Arc;

use oriole_macros::failure;

use super::{Division, Hash, Head, HeadError};
use crate::config::{self, Config, DOCUMENT_LIMIT_BYTES};
use crate::roster::Roster;

/// Why a revision cannot be put in force.
#[failure]
pub enum Refusal {
    /// The head is not one.
    #[display("{_0}")]
    Head(HeadError),
    /// A document is missing.
    #[display("document {name} is missing")]
    Missing {
        /// The document.
        name: String,
    },
    /// A document's content does not match its hash.
    #[display("the content of a document does not match its hash")]
    Corrupt,
    /// A document is larger than allowed.
    #[display("a document is larger than {DOCUMENT_LIMIT_BYTES} bytes")]
    Oversized,
    /// A document is not text.
    #[display("document {name} is not UTF-8")]
    NotText {
        /// The document.
        name: String,
    },
    /// The documents do not make up a valid configuration.
    #[display("{_0}")]
    Invalid(config::Error),
}

/// A whole, valid revision. Clones share its parts.
#[derive(Clone, Debug)]
pub struct Adopted {
    /// The head.
    pub head: Arc<Head>,
    /// The head's hash.
    pub hash: Hash,
    /// The configuration.
    pub config: Arc<Config>,
    /// The documents by hash, for peers that ask.
    pub documents: Arc<BTreeMap<Hash, Arc<[u8]>>>,
}

impl Adopted {
    /// Checks and reads a revision. Documents that the head does not list are dropped.
    pub fn new(head: Head, documents: &BTreeMap<Hash, Arc<[u8]>>) -> Result<Self, Refusal> {
        head.check().map_err(Refusal::Head)?;
        let mut texts = BTreeMap::new();
        let mut kept = BTreeMap::new();
        for (name, hash) in &head.documents {
            let missing = || Refusal::Missing { name: name.clone() };
            let bytes = documents.get(hash).ok_or_else(missing)?;
            verify(hash, bytes)?;
            let not_text = |_| Refusal::NotText { name: name.clone() };
            let text = std::str::from_utf8(bytes).map_err(not_text)?;
            texts.insert(name.clone(), text.to_owned());
            kept.insert(*hash, bytes.clone());
        }
        let config = Config::load(&texts).map_err(Refusal::Invalid)?;
        let hash = head.hash();
        Ok(Self { head: head.into(), hash, config: config.into(), documents: kept.into() })
    }

    /// The roster by which this revision divides the limits.
    pub fn roster(&self) -> Roster {
        let weights = self.config.entries.iter().map(|(host, e)| (host.clone(), e.weight));
        let Division { number, previous } = self.head.roster;
        Roster { number, previous, entries: weights.collect() }
    }

    /// The first revision, made of these documents by name.
    pub fn first(documents: &BTreeMap<String, String>) -> Result<Self, Refusal> {
        let mut head = Head {
            number: 1,
            previous: None,
            documents: BTreeMap::new(),
            changes: vec!["first".to_owned()],
            roster: Division::FIRST,
        };
        let mut contents = BTreeMap::new();
        for (name, text) in documents {
            let bytes: Arc<[u8]> = text.as_bytes().into();
            let hash = Hash::of(&bytes);
            head.documents.insert(name.clone(), hash);
            contents.insert(hash, bytes);
        }
        Self::new(head, &contents)
    }
}

/// Refuses a document that is too large or does not match its hash.
pub(super) fn verify(hash: &Hash, bytes: &[u8]) -> Result<(), Refusal> {
    if bytes.len() > DOCUMENT_LIMIT_BYTES {
        return Err(Refusal::Oversized);
    }
    if Hash::of(bytes) != *hash {
        return Err(Refusal::Corrupt);
    }
    Ok(())
}
