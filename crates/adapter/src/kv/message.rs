//! The JSON messages of etcd v3's gateway: bytes as base64, 64-bit integers as strings. Fields that
//! are zero or empty may be absent.

use oriole_macros::data;

/// Raw bytes of a key or value, base64 in JSON.
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
    enum TextOrNumber {
        Text(String),
        Number(i64),
    }

    pub(super) fn serialize<S: Serializer>(value: &i64, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(value)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
        match TextOrNumber::deserialize(d)? {
            TextOrNumber::Text(text) => text.parse().map_err(D::Error::custom),
            TextOrNumber::Number(number) => Ok(number),
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
    /// End of the range, exclusive; empty to read only `key`.
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub range_end: Bytes,
    /// Largest number of keys to return; 0 for no limit.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// `DESCEND` for descending order of keys; empty for ascending order.
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
    /// The service's revision at which the key was created.
    #[serde(with = "int")]
    pub create_revision: i64,
    /// The service's revision at which the key was last written.
    #[serde(with = "int")]
    pub mod_revision: i64,
    /// The lease that the key is attached to; 0 for none.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// The header that each reply contains.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Header {
    /// The service's revision, which grows with each write.
    #[serde(with = "int")]
    pub revision: i64,
}

/// Reply to [`Range`].
#[data]
#[derive(Default)]
#[serde(default)]
pub struct RangeReply {
    /// Header of the reply.
    pub header: Header,
    /// The keys with their values.
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
    /// The lease to attach the key to, which deletes the key when it ends; 0 for none.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Reply to [`Put`] and to the revocation of a lease: only a header.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct EmptyReply {
    /// Header of the reply.
    pub header: Header,
}

/// `POST /v3/kv/txn`: comparisons, and the calls to make depending on their result.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Txn {
    /// The comparisons.
    pub compare: Vec<Compare>,
    /// Calls to make if all comparisons hold.
    pub success: Vec<Request>,
    /// Calls to make if any comparison does not hold.
    pub failure: Vec<Request>,
}

/// Compares the revision at which a key was last written, which is 0 if the key does not exist.
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
    /// The expected revision.
    #[serde(with = "int")]
    pub mod_revision: i64,
}

impl Compare {
    /// Creates a comparison that holds if `key` was last written at `mod_revision`.
    pub fn unchanged(key: &[u8], mod_revision: i64) -> Self {
        let (target, result) = ("MOD".to_owned(), "EQUAL".to_owned());
        Self { key: key.to_vec(), target, result, mod_revision }
    }
}

/// One call in a [`Txn`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads keys.
    RequestRange(Range),
    /// Writes a key.
    RequestPut(Put),
}

/// Reply to one call in a [`Txn`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// Reply to a read.
    ResponseRange(RangeReply),
    /// Reply to a write.
    ResponsePut(EmptyReply),
}

/// Reply to [`Txn`].
#[data]
#[derive(Default)]
#[serde(default)]
pub struct TxnReply {
    /// Header of the reply.
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Replies to the calls that were made, in their order.
    pub responses: Vec<Response>,
}

/// `POST /v3/lease/grant`, its reply, and the reply to a keep-alive.
#[data]
#[derive(Copy, Default)]
#[serde(default)]
pub struct Lease {
    /// Id of the lease; 0 in a request lets the service choose one.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
    /// Time to live in seconds; 0 in a reply if the lease has ended.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: i64,
}

/// `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[data]
#[derive(Copy, Default)]
#[serde(default)]
pub struct LeaseId {
    /// Id of the lease.
    #[serde(rename = "ID", with = "int")]
    pub id: i64,
}

/// The wrapper of each reply in a streaming call.
#[data]
pub struct StreamReply<T> {
    /// The reply.
    pub result: T,
}

/// `POST /v3/watch`.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchRange,
}

/// The keys to watch.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct WatchRange {
    /// First key.
    #[serde(with = "base64")]
    pub key: Bytes,
    /// End of the range, exclusive; empty to watch only `key`.
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub range_end: Bytes,
    /// The service's revision from which changes are reported; 0 to start with the current one.
    #[serde(with = "int", skip_serializing_if = "is_zero")]
    pub start_revision: i64,
}

/// One reply of a watch.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct WatchReply {
    /// Header of the reply.
    pub header: Header,
    /// Whether this reply only confirms that the watch was created.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// The changes since the last reply.
    pub events: Vec<Event>,
}

/// A change of a key.
#[data]
#[derive(Default)]
#[serde(default)]
pub struct Event {
    /// `DELETE` if the key was deleted; empty if it was written.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key, with its new value if it was written.
    pub kv: KeyValue,
}
