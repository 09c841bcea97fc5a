//! The configuration in the key-value service, and changes of it.

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

pub use apply::{Accepted, Plan};

/// Documents that are read in one call.
const READ_LIMIT: usize = 32;

/// The configuration in the key-value service.
pub struct Store {
    documents: Documents,
}

/// Tries of a call that changes nothing, and the pause between two of them.
const READ_TRIES: u32 = 4;
const READ_PAUSE: Duration = Duration::from_millis(200);

/// A head with its documents.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The head, `None` if nothing was accepted yet.
    pub head: Option<Head>,
    /// Documents by name.
    pub documents: BTreeMap<String, String>,
}

impl Snapshot {
    /// Number of the revision, 0 if nothing was accepted yet.
    pub fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.number)
    }
}

/// Documents that two operators changed, with the fields.
#[data]
pub struct Clashes {
    /// By document.
    pub documents: BTreeMap<String, Differences>,
}

/// How the contents of a clashing document differ.
#[data]
pub struct Differences {
    /// What was accepted since the folder was made.
    pub accepted: Vec<FieldDiff>,
    /// What the folder would change now.
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

/// Repeats a call that changes nothing until it is answered, a few times.
pub(crate) async fn retry<T>(call: impl AsyncFn() -> Result<T, kv::Error>) -> Result<T, Error> {
    let mut tries = 1;
    loop {
        match call().await {
            Ok(answer) => return Ok(answer),
            Err(e) if tries >= READ_TRIES => return Err(e.into()),
            Err(_) => tokio::time::sleep(READ_PAUSE).await,
        }
        tries += 1;
    }
}

impl Store {
    /// The store that the settings name.
    pub fn new(settings: &Settings) -> Self {
        Self { documents: Documents::new(Client::new(settings.kv.clone())) }
    }

    /// The adapter.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Reads the head and its version.
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

    /// Reads the configuration in force.
    pub async fn config(&self) -> Result<(u64, Config), Error> {
        let snapshot = self.snapshot().await?;
        Ok((snapshot.number(), Config::load(&snapshot.documents)?))
    }

    /// Reads documents by name.
    pub async fn read(
        &self,
        hashes: &BTreeMap<String, Hash>,
    ) -> Result<BTreeMap<String, String>, Error> {
        let mut texts = BTreeMap::new();
        let all: Vec<(&String, &Hash)> = hashes.iter().collect();
        for part in all.chunks(READ_LIMIT) {
            let asked: Vec<Hash> = part.iter().map(|(_, hash)| **hash).collect();
            let found: BTreeMap<Hash, Vec<u8>> =
                retry(async || self.documents.read(&asked).await).await?.into_iter().collect();
            for (name, hash) in part {
                let damaged = || Error::Damaged { name: (*name).clone() };
                let bytes = found.get(hash).filter(|bytes| Hash::of(bytes) == **hash);
                let text = bytes.and_then(|bytes| String::from_utf8(bytes.clone()).ok());
                texts.insert((*name).clone(), text.ok_or_else(damaged)?);
            }
        }
        Ok(texts)
    }

    /// Describes a conflict by fields. `ours` are the folder's documents by name.
    async fn explain(&self, conflict: &Conflict, ours: &BTreeMap<String, String>) -> Clashes {
        let mut documents = BTreeMap::new();
        for (name, clash) in &conflict.clashes {
            let base = self.text(clash.base).await;
            let theirs = self.text(clash.theirs).await;
            let ours = ours.get(name).cloned().unwrap_or_default();
            let (accepted, wanted) = Clash::field_diffs(&base, &theirs, &ours);
            documents.insert(name.clone(), Differences { accepted, wanted });
        }
        Clashes { documents }
    }

    /// A document's text, empty if there is none or it cannot be read.
    async fn text(&self, hash: Option<Hash>) -> String {
        let Some(hash) = hash else {
            return String::new();
        };
        let found = self.documents.read(&[hash]).await.unwrap_or_default();
        let bytes = found.into_iter().next().map(|(_, bytes)| bytes);
        bytes.and_then(|bytes| String::from_utf8(bytes).ok()).unwrap_or_default()
    }
}
