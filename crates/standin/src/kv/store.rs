//! The data of the key-value service: keys, revisions and leases.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_adapter::kv::message::{
    Compare, EmptyReply, Event, Header, KeyValue, Lease, Put, Range, RangeReply, Request, Response,
    Txn, TxnReply,
};
use tokio::time::Instant;

/// Keys by name, and leases by id with the time at which they expire.
#[derive(Clone, Debug)]
pub(super) struct Store {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, (Lease, Instant)>,
    next_lease: i64,
    /// Changes that [`Store::take_changes`] has not returned yet.
    changes: Vec<Event>,
}

impl Default for Store {
    fn default() -> Self {
        let (keys, leases) = (BTreeMap::new(), BTreeMap::new());
        Self { revision: 1, keys, leases, next_lease: 1, changes: Vec::new() }
    }
}

/// Returns whether `key` lies in `first..end`; with an empty `end`, whether it equals `first`.
pub(super) fn contains(first: &[u8], end: &[u8], key: &[u8]) -> bool {
    if end.is_empty() { key == first } else { first <= key && key < end }
}

impl Store {
    pub(super) fn header(&self) -> Header {
        Header { revision: self.revision }
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn range(&self, range: &Range) -> RangeReply {
        let in_range = |kv: &&KeyValue| contains(&range.key, &range.range_end, &kv.key);
        let mut kvs: Vec<KeyValue> = self.keys.values().filter(in_range).cloned().collect();
        let count = i64::try_from(kvs.len()).unwrap_or(i64::MAX);
        if range.sort_order == "DESCEND" {
            kvs.reverse();
        }
        if range.limit > 0 {
            kvs.truncate(usize::try_from(range.limit).unwrap_or(usize::MAX));
        }
        RangeReply { header: self.header(), kvs, count }
    }

    /// Writes a key; returns `None` if the key is empty or the lease does not exist.
    pub(super) fn put(&mut self, put: &Put) -> Option<EmptyReply> {
        self.validate(put)?;
        self.revision += 1;
        self.write(put);
        Some(EmptyReply { header: self.header() })
    }

    /// Evaluates the comparisons and executes the list of requests that they select; returns `None`
    /// and changes nothing if one of the list's writes is invalid.
    pub(super) fn txn(&mut self, txn: &Txn) -> Option<TxnReply> {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let requests = if succeeded { &txn.success } else { &txn.failure };
        let puts = requests.iter().filter_map(|request| match request {
            Request::RequestPut(put) => Some(put),
            Request::RequestRange(_) => None,
        });
        let puts: Vec<&Put> = puts.collect();
        for put in &puts {
            self.validate(put)?;
        }
        self.revision += i64::from(!puts.is_empty());
        let responses = requests.iter().map(|request| self.execute(request)).collect();
        Some(TxnReply { header: self.header(), succeeded, responses })
    }

    fn execute(&mut self, request: &Request) -> Response {
        match request {
            Request::RequestRange(range) => Response::ResponseRange(self.range(range)),
            Request::RequestPut(put) => {
                self.write(put);
                Response::ResponsePut(EmptyReply { header: self.header() })
            }
        }
    }

    /// Returns whether the key was last written at the given revision; 0 if it does not exist.
    fn holds(&self, compare: &Compare) -> bool {
        let found = self.keys.get(&compare.key).map_or(0, |kv| kv.mod_revision);
        found == compare.mod_revision
    }

    /// Returns `None` if the key is empty or the lease does not exist.
    fn validate(&self, put: &Put) -> Option<()> {
        let known = put.lease == 0 || self.leases.contains_key(&put.lease);
        (known && !put.key.is_empty()).then_some(())
    }

    /// Writes a key at the current revision, which the caller has incremented.
    fn write(&mut self, put: &Put) {
        let created = self.keys.get(&put.key).map_or(self.revision, |kv| kv.create_revision);
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: created,
            mod_revision: self.revision,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kv.clone());
        self.changes.push(Event { kind: String::new(), kv });
    }

    /// Grants a lease of at least one second; picks its id if the requested one is 0.
    pub(super) fn grant(&mut self, requested: Lease, now: Instant) -> Lease {
        let id = if requested.id == 0 { self.next_lease } else { requested.id };
        self.next_lease = self.next_lease.max(id) + 1;
        let lease = Lease { id, ttl: requested.ttl.max(1) };
        self.leases.insert(id, (lease, now + ttl(lease)));
        lease
    }

    /// Renews a lease; the returned TTL is 0 if the lease does not exist.
    pub(super) fn keep_alive(&mut self, id: i64, now: Instant) -> Lease {
        match self.leases.get_mut(&id) {
            Some((lease, expiry)) => {
                *expiry = now + ttl(*lease);
                *lease
            }
            None => Lease { id, ttl: 0 },
        }
    }

    /// Ends a lease and deletes its keys; returns `None` if the lease does not exist.
    pub(super) fn revoke(&mut self, id: i64) -> Option<EmptyReply> {
        self.leases.remove(&id)?;
        self.remove_keys(id);
        Some(EmptyReply { header: self.header() })
    }

    /// Ends the leases that have expired and deletes their keys.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, (_, expiry))| *expiry <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    fn remove_keys(&mut self, lease: i64) {
        let keys = self.keys.values().filter(|kv| kv.lease == lease);
        let keys: Vec<Vec<u8>> = keys.map(|kv| kv.key.clone()).collect();
        self.revision += i64::from(!keys.is_empty());
        for key in keys {
            self.keys.remove(&key);
            let kv = KeyValue { key, mod_revision: self.revision, ..KeyValue::default() };
            self.changes.push(Event { kind: "DELETE".to_owned(), kv });
        }
    }
}

fn ttl(lease: Lease) -> Duration {
    Duration::from_secs(u64::try_from(lease.ttl).unwrap_or(0))
}
