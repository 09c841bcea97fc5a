//! The configuration in the key-value service, and its changes.

mod apply;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use oriole_adapter::kv::{self, Client, Documents};
use oriole_core::config::Config;
use oriole_core::revision::follower::{Reply, Version};
use oriole_core::revision::{Clash, Conflict, FieldDiff, Hash, Head};
use oriole_macros::data;

use crate::Error;
use crate::settings::Settings;

pub use apply::{Accepted, Update};

/// Largest number of documents that one call reads.
const MAX_DOCUMENTS_PER_READ: usize = 32;

/// The configuration in the key-value service.
pub struct Store {
    documents: Documents,
}

/// Attempts of a call that is safe to repeat.
const MAX_CALL_ATTEMPTS: u32 = 4;

/// Pause between two attempts of a call.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// One revision: its head and documents.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The head; `None` if nothing has been accepted yet.
    pub head: Option<Head>,
    /// Documents by name.
    pub documents: BTreeMap<String, String>,
}

impl Snapshot {
    /// Returns the number of the revision, 0 if nothing has been accepted yet.
    pub fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.number)
    }
}

/// Documents that conflict, since others changed them after the folder's base.
#[data]
pub struct Clashes {
    /// How they differ, by name of the document.
    pub documents: BTreeMap<String, Differences>,
}

/// How the versions of a conflicting document differ.
#[data]
pub struct Differences {
    /// Fields that accepted changes have set since the folder's base.
    pub accepted: Vec<FieldDiff>,
    /// Fields that the folder would change.
    pub wanted: Vec<FieldDiff>,
}

impl fmt::Display for Clashes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not accepted: others changed the same documents meanwhile")?;
        for (name, differences) in &self.documents {
            write!(f, "\n{name}")?;
            for field in &differences.accepted {
                write!(f, "\n  accepted meanwhile  {field}")?;
            }
            for field in &differences.wanted {
                write!(f, "\n  wanted by you       {field}")?;
            }
        }
        Ok(())
    }
}

/// Makes a call until it succeeds, at most [`MAX_CALL_ATTEMPTS`] times. It must be safe to repeat.
pub(crate) async fn retry<T>(call: impl AsyncFn() -> Result<T, kv::Error>) -> Result<T, Error> {
    let mut attempts = 1;
    loop {
        match call().await {
            Ok(answer) => return Ok(answer),
            Err(e) if attempts >= MAX_CALL_ATTEMPTS => return Err(e.into()),
            Err(_) => tokio::time::sleep(CALL_RETRY_PAUSE).await,
        }
        attempts += 1;
    }
}

impl Store {
    /// Creates a client of the key-value service in the settings.
    pub fn new(settings: &Settings) -> Self {
        Self { documents: Documents::new(Client::new(settings.kv.clone())) }
    }

    /// Returns the adapter, for calls without retries.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Reads the head and its version; version 0 and `None` if nothing has been accepted yet.
    pub async fn head(&self) -> Result<(Version, Option<Head>), Error> {
        match retry(async || self.documents.poll(None).await).await? {
            Reply::Head(version, bytes) => {
                let damaged = |_| Error::Damaged { name: "the head".to_owned() };
                Ok((version, Some(Head::decode(&bytes).map_err(damaged)?)))
            }
            _ => Ok((Version(0), None)),
        }
    }

    /// Reads the head with all documents.
    pub async fn snapshot(&self) -> Result<Snapshot, Error> {
        let (_, head) = self.head().await?;
        let Some(head) = head else {
            return Ok(Snapshot::default());
        };
        let documents = self.read(&head.documents).await?;
        Ok(Snapshot { head: Some(head), documents })
    }

    /// Reads the latest accepted configuration and its revision number.
    pub async fn config(&self) -> Result<(u64, Config), Error> {
        let snapshot = self.snapshot().await?;
        Ok((snapshot.number(), Config::load(&snapshot.documents)?))
    }

    /// Reads the documents with the given hashes, by name, and verifies their contents.
    ///
    /// Returns [`Error::Damaged`] if one is missing or does not match its hash.
    pub async fn read(
        &self,
        hashes: &BTreeMap<String, Hash>,
    ) -> Result<BTreeMap<String, String>, Error> {
        let mut texts = BTreeMap::new();
        let all: Vec<(&String, &Hash)> = hashes.iter().collect();
        for batch in all.chunks(MAX_DOCUMENTS_PER_READ) {
            let wanted: Vec<Hash> = batch.iter().map(|(_, hash)| **hash).collect();
            let found: BTreeMap<Hash, Vec<u8>> =
                retry(async || self.documents.read(&wanted).await).await?.into_iter().collect();
            for (name, hash) in batch {
                let damaged = || Error::Damaged { name: (*name).clone() };
                let bytes = found.get(hash).filter(|bytes| Hash::of(bytes) == **hash);
                let text = bytes.and_then(|bytes| String::from_utf8(bytes.clone()).ok());
                texts.insert((*name).clone(), text.ok_or_else(damaged)?);
            }
        }
        Ok(texts)
    }

    /// Describes a conflict field by field. `ours` are the folder's documents by name.
    async fn describe_conflict(
        &self,
        conflict: &Conflict,
        ours: &BTreeMap<String, String>,
    ) -> Clashes {
        let mut documents = BTreeMap::new();
        for (name, clash) in &conflict.clashes {
            let base = self.read_text(clash.base).await;
            let theirs = self.read_text(clash.theirs).await;
            let ours = ours.get(name).cloned().unwrap_or_default();
            let (accepted, wanted) = Clash::field_diffs(&base, &theirs, &ours);
            documents.insert(name.clone(), Differences { accepted, wanted });
        }
        Clashes { documents }
    }

    /// Reads a document's text; empty if there is no hash or the document cannot be read.
    async fn read_text(&self, hash: Option<Hash>) -> String {
        let Some(hash) = hash else {
            return String::new();
        };
        let found = self.documents.read(&[hash]).await.unwrap_or_default();
        let bytes = found.into_iter().next().map(|(_, bytes)| bytes);
        bytes.and_then(|bytes| String::from_utf8(bytes).ok()).unwrap_or_default()
    }
}
