//! The JSON of etcd v3's gateway: bytes in base64, 64-bit integers as text, zeros left out.

use oriole_macros::data;

/// Bytes of a key or value.
pub type Bytes = Vec<u8>;

mod base64 {
    use ::base64::Engine;
    use ::base64::engine::general_purpose::STANDARD;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        STANDARD.decode(String::deserialize(d)?).map_err(D::Error::custom)
    }
}

mod int {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Text(String),
        Number(i64),
    }

    pub(super) fn serialize<S: Serializer>(value: &i64, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(value)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
        match Form::deserialize(d)? {
            Form::Text(text) => text.parse().map_err(D::Error::custom),
            Form::Number(number) => Ok(number),
        }
    }
}

fn is_zero(value: &i64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

/// `POST /v3/kv/range`.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Range {
    /// First key.
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub key: Bytes,
    /// One past the last key; empty for the one key.
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub range_end: Bytes,
    /// Most keys to answer with; 0 for all.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// `DESCEND` for the last keys first.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub sort_order: String,
}

/// A key and its value.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde(with = "base64")]
    pub key: Bytes,
    /// The value.
    #[serde(with = "base64")]
    pub value: Bytes,
    /// The service's revision at which the key was made.
    #[serde(with = "int")]
    pub create_revision: i64,
    /// The service's revision at which the key was last written.
    #[serde(with = "int")]
    pub mod_revision: i64,
    /// The lease with which the key ends, 0 for none.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Part of each answer.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Header {
    /// The service's revision.
    #[serde(with = "int")]
    pub revision: i64,
}

/// Answer to [`Range`].
#[data]
#[derive(Default)]
#[serde(default)]
pub struct RangeReply {
    /// Part of each answer.
    pub header: Header,
    /// The keys.
    pub kvs: Vec<KeyValue>,
    /// Number of keys in the range.
    #[serde(with = "int")]
    pub count: i64,
}

/// `POST /v3/kv/put`.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Put {
    /// The key.
    #[serde(with = "base64")]
    pub key: Bytes,
    /// The value.
    #[serde(with = "base64")]
    pub value: Bytes,
    /// The lease with which the key is to end, 0 for none.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Answer to [`Put`], [`Revoke`] and other calls that return nothing else.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Done {
    /// Part of each answer.
    pub header: Header,
}

/// `POST /v3/kv/txn`: a comparison, and what to do if it holds or not.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Txn {
    /// All of them must hold.
    pub compare: Vec<Compare>,
    /// Done if they hold.
    pub success: Vec<Request>,
    /// Done if not.
    pub failure: Vec<Request>,
}

/// Compares the revision at which a key was last written; it is 0 for a key that does not exist.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Compare {
    /// The key.
    #[serde(with = "base64")]
    pub key: Bytes,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// The revision.
    #[serde(with = "int")]
    pub mod_revision: i64,
}

impl Compare {
    /// Holds if `key` was last written at `mod_revision`.
    pub fn unchanged(key: &[u8], mod_revision: i64) -> Self {
        let (target, result) = ("MOD".to_owned(), "EQUAL".to_owned());
        Self { key: key.to_vec(), target, result, mod_revision }
    }
}

/// One call in a [`Txn`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads.
    RequestRange(Range),
    /// Writes.
    RequestPut(Put),
}

/// Answer to one call in a [`Txn`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// To a read.
    ResponseRange(RangeReply),
    /// To a write.
    ResponsePut(Done),
}

/// Answer to [`Txn`].
#[data]
#[derive(Default)]
#[serde(default)]
pub struct TxnReply {
    /// Part of each answer.
    pub header: Header,
    /// Whether the comparisons held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Answers to the calls that were carried out.
    pub responses: Vec<Response>,
}

/// `POST /v3/lease/grant`, its answer, and the answer to a keep-alive.
#[data]
#[derive(Copy, Default)]
#[serde(default)]
pub struct Lease {
    /// The lease's id.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
    /// Seconds that it lasts; 0 in an answer if it has ended.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: i64,
}

/// `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[data]
#[derive(Copy, Default)]
#[serde(default)]
pub struct LeaseId {
    /// The lease's id.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
}

/// Wraps each answer of a stream.
#[data]
pub struct Streamed<T> {
    /// The answer.
    pub result: T,
}

/// `POST /v3/watch`.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Watching {
    /// What to watch.
    pub create_request: WatchRange,
}

/// The keys that a watch is about.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct WatchRange {
    /// First key.
    #[serde(with = "base64")]
    pub key: Bytes,
    /// One past the last key; empty for the one key.
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub range_end: Bytes,
    /// The service's revision from which on changes are told; 0 for now.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub start_revision: i64,
}

/// One answer of a watch.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Watched {
    /// Part of each answer.
    pub header: Header,
    /// Whether this answer only confirms the watch.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Changes.
    pub events: Vec<Change>,
}

/// A change that a watch tells.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Change {
    /// `DELETE` for the end of a key.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key and its new value.
    pub kv: KeyValue,
}
