//! A complete revision: the head, all of its documents and the configuration parsed from them.

use std::collections::BTreeMap;
use std::sync::Arc;

use oriole_macros::failure;

use super::{Hash, Head, HeadError, RosterVersion};
use crate::config::{self, Config, DOCUMENT_LIMIT_BYTES};
use crate::roster::Roster;

/// Why a revision cannot be adopted.
#[failure]
pub enum SnapshotError {
    /// The head is inconsistent.
    #[display("{_0}")]
    Head(HeadError),
    /// A document that the head lists is missing.
    #[display("document {name} is missing")]
    Missing {
        /// Name of the document.
        name: String,
    },
    /// A document's content does not match its hash.
    #[display("the content of a document does not match its hash")]
    Corrupt,
    /// A document is larger than [`DOCUMENT_LIMIT_BYTES`].
    #[display("a document is larger than {DOCUMENT_LIMIT_BYTES} bytes")]
    Oversized,
    /// A document is not UTF-8 text.
    #[display("document {name} is not UTF-8")]
    NotText {
        /// Name of the document.
        name: String,
    },
    /// The documents do not form a valid configuration.
    #[display("{_0}")]
    Invalid(config::Error),
}

/// A complete, valid revision. Cloning is cheap, since clones share its parts.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The head manifest.
    pub head: Arc<Head>,
    /// Hash of the head.
    pub hash: Hash,
    /// The configuration parsed from the documents.
    pub config: Arc<Config>,
    /// The documents by hash, from which requests of peers are answered.
    pub documents: Arc<BTreeMap<Hash, Arc<[u8]>>>,
}

impl Snapshot {
    /// Checks a revision and parses its configuration. Documents that the head does not list are
    /// left out.
    pub fn new(head: Head, documents: &BTreeMap<Hash, Arc<[u8]>>) -> Result<Self, SnapshotError> {
        head.check().map_err(SnapshotError::Head)?;
        let mut texts = BTreeMap::new();
        let mut kept = BTreeMap::new();
        for (name, hash) in &head.documents {
            let missing = || SnapshotError::Missing { name: name.clone() };
            let bytes = documents.get(hash).ok_or_else(missing)?;
            verify(hash, bytes)?;
            let not_text = |_| SnapshotError::NotText { name: name.clone() };
            let text = std::str::from_utf8(bytes).map_err(not_text)?;
            texts.insert(name.clone(), text.to_owned());
            kept.insert(*hash, bytes.clone());
        }
        let config = Config::load(&texts).map_err(SnapshotError::Invalid)?;
        let hash = head.hash();
        Ok(Self { head: head.into(), hash, config: config.into(), documents: kept.into() })
    }

    /// Returns the roster by which this revision divides contract limits among entries.
    pub fn roster(&self) -> Roster {
        let weights = self.config.entries.iter().map(|(host, e)| (host.clone(), e.weight));
        let RosterVersion { number, previous } = self.head.roster;
        Roster { number, previous, entries: weights.collect() }
    }

    /// Creates revision 1 from document texts by name.
    pub fn first(documents: &BTreeMap<String, String>) -> Result<Self, SnapshotError> {
        let mut head = Head {
            number: 1,
            previous: None,
            documents: BTreeMap::new(),
            changes: vec!["first".to_owned()],
            roster: RosterVersion::FIRST,
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

/// Checks that a document is within the size limit and matches its hash.
pub(super) fn verify(hash: &Hash, bytes: &[u8]) -> Result<(), SnapshotError> {
    if bytes.len() > DOCUMENT_LIMIT_BYTES {
        return Err(SnapshotError::Oversized);
    }
    if Hash::of(bytes) != *hash {
        return Err(SnapshotError::Corrupt);
    }
    Ok(())
}
