//! Revisions of the configuration in the key-value service.
//!
//! | key | value |
//! | --- | --- |
//! | `/oriole/head` | the head manifest, as JSON |
//! | `/oriole/document/<hash>` | a document |
//! | `/oriole/history/<number>` | a [`Record`] of the change that made a revision |

use oriole_core::revision::follower::{CALL_TIMEOUT, Effect, Reply, Version};
use oriole_core::revision::{Change, Hash, Head};
use oriole_macros::data;
use tokio::time::timeout;

use super::message::{Compare, Put, Range, RangeReply, Request, Response, Txn};
use super::{Cause, Client, Error, Operation};

const HEAD: &[u8] = b"/oriole/head";
const DOCUMENT: &str = "/oriole/document/";
const HISTORY: &str = "/oriole/history/";

/// The change that made a revision.
#[data]
pub struct Record {
    /// The revision.
    pub number: u64,
    /// The change.
    pub change: Change,
    /// What the operator says about it.
    pub note: String,
}

/// Reads and writes revisions.
#[derive(Clone)]
pub struct Documents {
    client: Client,
}

impl Documents {
    /// Revisions in the service that `client` calls.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// The client, for its counts.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Carries out a follower's call, within [`CALL_TIMEOUT`] whatever the settings say; `None` if
    /// the effect is not a call.
    pub async fn carry_out(&self, effect: &Effect) -> Option<Reply> {
        let call = async {
            Some(match effect {
                Effect::Poll { known } => self.poll(*known).await,
                Effect::Read(hashes) => self.read(hashes).await.map(Reply::Documents),
                Effect::Send(..) | Effect::Adopt(_) => return None,
            })
        };
        match timeout(CALL_TIMEOUT, call).await {
            Ok(reply) => reply.map(|reply| reply.unwrap_or(Reply::Failed)),
            Err(_) => Some(Reply::Failed),
        }
    }

    /// Reads the head, unless it is still of the version `known`, in one call.
    pub async fn poll(&self, known: Option<Version>) -> Result<Reply, Error> {
        let range = Range { key: HEAD.to_vec(), ..Range::default() };
        let reply = match known {
            None => self.client.range(&range).await?,
            Some(Version(version)) => {
                let compare = vec![Compare::unchanged(HEAD, version)];
                let failure = vec![Request::RequestRange(range)];
                let txn = Txn { compare, success: Vec::new(), failure };
                let reply = self.client.txn(&txn).await?;
                if reply.succeeded {
                    return Ok(Reply::Unchanged);
                }
                first_range(reply.responses)
            }
        };
        let head = reply.kvs.into_iter().next();
        Ok(head.map_or(Reply::Absent, |kv| Reply::Head(Version(kv.mod_revision), kv.value)))
    }

    /// Reads documents in one call; those that do not exist are left out.
    pub async fn read(&self, hashes: &[Hash]) -> Result<Vec<(Hash, Vec<u8>)>, Error> {
        let range = |hash: &Hash| Range { key: document_key(hash), ..Range::default() };
        let success = hashes.iter().map(|hash| Request::RequestRange(range(hash))).collect();
        let reply = self.client.txn(&Txn { success, ..Txn::default() }).await?;
        let mut documents = Vec::new();
        for (hash, response) in hashes.iter().zip(reply.responses) {
            if let Response::ResponseRange(range) = response {
                documents.extend(range.kvs.into_iter().map(|kv| (*hash, kv.value)));
            }
        }
        Ok(documents)
    }

    /// Writes a document. Writing it again does no harm.
    pub async fn write(&self, hash: &Hash, bytes: &[u8]) -> Result<(), Error> {
        let put = Put { key: document_key(hash), value: bytes.to_vec(), lease: 0 };
        self.client.put(&put).await.map(drop)
    }

    /// Replaces the head by compare-and-swap, and adds the record of the change.
    ///
    /// Returns whether the head was still of `version`. After an error that is not
    /// [`Error::is_not_applied`], the head must be read again to learn whether it was replaced.
    pub async fn replace(
        &self,
        version: Version,
        head: &Head,
        record: &Record,
    ) -> Result<bool, Error> {
        let unencodable = Error { operation: Operation::Txn, cause: Cause::Unencodable };
        let value = head.encode().map_err(|_| unencodable)?;
        let history = serde_json::to_vec(record).map_err(|_| unencodable)?;
        let put = |key, value| Request::RequestPut(Put { key, value, lease: 0 });
        let txn = Txn {
            compare: vec![Compare::unchanged(HEAD, version.0)],
            success: vec![put(HEAD.to_vec(), value), put(history_key(record.number), history)],
            failure: Vec::new(),
        };
        Ok(self.client.txn(&txn).await?.succeeded)
    }

    /// The latest records, newest first. Records that cannot be read are left out.
    pub async fn history(&self, limit: u32) -> Result<Vec<Record>, Error> {
        let mut range_end = HISTORY.as_bytes().to_vec();
        if let Some(last) = range_end.last_mut() {
            *last += 1;
        }
        let range = Range {
            key: HISTORY.as_bytes().to_vec(),
            range_end,
            limit: i64::from(limit),
            sort_order: "DESCEND".to_owned(),
        };
        let reply = self.client.range(&range).await?;
        let records = reply.kvs.iter().map(|kv| serde_json::from_slice(&kv.value));
        Ok(records.filter_map(Result::ok).collect())
    }
}

fn first_range(responses: Vec<Response>) -> RangeReply {
    let ranges = responses.into_iter().filter_map(|response| match response {
        Response::ResponseRange(range) => Some(range),
        Response::ResponsePut(_) => None,
    });
    ranges.into_iter().next().unwrap_or_default()
}

fn document_key(hash: &Hash) -> Vec<u8> {
    format!("{DOCUMENT}{hash}").into_bytes()
}

/// Numbers have a fixed width, so that keys are in the order of numbers.
fn history_key(number: u64) -> Vec<u8> {
    format!("{HISTORY}{number:020}").into_bytes()
}
