//! Revisions of the configuration in the key-value service.
//!
//! | key | value |
//! | --- | --- |
//! | `/oriole/head` | the head, as JSON: number and document hashes of the latest revision |
//! | `/oriole/document/<hash>` | the text of a document |
//! | `/oriole/history/<number>` | a [`Record`] of the change that made a revision, as JSON |

use oriole_core::revision::follower::{CALL_TIMEOUT, Effect, Reply, Version};
use oriole_core::revision::{Change, Hash, Head};
use oriole_macros::data;
use tokio::time::timeout;

use super::message::{Compare, Put, Range, RangeReply, Request, Response, Txn};
use super::{Cause, Client, Error, Operation};

const HEAD_KEY: &[u8] = b"/oriole/head";
const DOCUMENT_PREFIX: &str = "/oriole/document/";
const HISTORY_PREFIX: &str = "/oriole/history/";

/// A record of the history: the change that made a revision.
#[data]
pub struct Record {
    /// Number of the revision.
    pub number: u64,
    /// The change, as its id and the edited documents.
    pub change: Change,
    /// The operator's note on the change; may be empty.
    pub note: String,
}

/// Reads and writes the head, the documents and the history of the configuration.
#[derive(Clone)]
pub struct Documents {
    client: Client,
}

impl Documents {
    /// Creates an adapter that calls the service through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Returns the client, for its counts.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Makes the call to the service that an effect of a follower requires; returns `None` if it
    /// requires none.
    ///
    /// The call ends within [`CALL_TIMEOUT`], even if the settings allow a longer timeout.
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

    /// Reads the head in one call.
    ///
    /// Returns [`Reply::Unchanged`] if its version is still `known`.
    pub async fn poll(&self, known: Option<Version>) -> Result<Reply, Error> {
        let range = Range { key: HEAD_KEY.to_vec(), ..Range::default() };
        let reply = match known {
            None => self.client.range(&range).await?,
            Some(Version(version)) => {
                let compare = vec![Compare::unchanged(HEAD_KEY, version)];
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

    /// Reads documents in one call. The result does not contain those that do not exist.
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

    /// Writes a document. The call is idempotent, since the key is the hash of the contents.
    pub async fn write(&self, hash: &Hash, bytes: &[u8]) -> Result<(), Error> {
        let put = Put { key: document_key(hash), value: bytes.to_vec(), lease: 0 };
        self.client.put(&put).await.map(drop)
    }

    /// Replaces the head by compare-and-swap, and adds a record to the history in the same
    /// transaction.
    ///
    /// Returns whether the head still had `version` and was replaced. After an error for which
    /// [`Error::is_not_applied`] is false, the caller must read the head again to find out.
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
            compare: vec![Compare::unchanged(HEAD_KEY, version.0)],
            success: vec![put(HEAD_KEY.to_vec(), value), put(history_key(record.number), history)],
            failure: Vec::new(),
        };
        Ok(self.client.txn(&txn).await?.succeeded)
    }

    /// Reads the latest `limit` records, newest first. Skips records that cannot be decoded.
    pub async fn history(&self, limit: u32) -> Result<Vec<Record>, Error> {
        let mut range_end = HISTORY_PREFIX.as_bytes().to_vec();
        if let Some(last) = range_end.last_mut() {
            *last += 1;
        }
        let range = Range {
            key: HISTORY_PREFIX.as_bytes().to_vec(),
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
    format!("{DOCUMENT_PREFIX}{hash}").into_bytes()
}

/// Returns the key of a record. Numbers have a fixed width, so that keys sort by number.
fn history_key(number: u64) -> Vec<u8> {
    format!("{HISTORY_PREFIX}{number:020}").into_bytes()
}
