//! Locks in the key-value service: keys that are deleted when their lease ends.

use std::time::Duration;

use oriole_adapter::kv::Client;
use oriole_adapter::kv::message::{Compare, Put, Request, Txn};

/// Prefix of the keys of locks.
const KEY_PREFIX: &str = "oriole/lock/";

/// A set of locks that are held together or not at all, under one lease.
pub(crate) struct Lock {
    kv: Client,
    keys: Vec<String>,
    held: Option<Held>,
}

#[derive(Clone, Copy)]
struct Held {
    lease: i64,
    /// Fencing token.
    fence: u64,
}

impl Lock {
    /// Creates a set of locks that is not held.
    pub(crate) fn new(kv: Client, keys: Vec<String>) -> Self {
        Self { kv, keys, held: None }
    }

    /// Changes the keys. Takes effect when the locks are next acquired.
    pub(crate) fn set_keys(&mut self, keys: Vec<String>) {
        self.keys = keys;
    }

    /// Acquires the locks for `ttl`, or renews their lease if they are held. Returns the fencing
    /// token, which is the revision of the key-value service at which they were acquired, or `None`
    /// if they are not held.
    pub(crate) async fn acquire_or_renew(&mut self, ttl: Duration) -> Option<u64> {
        if let Some(held) = self.held {
            if self.kv.keep_alive(held.lease).await.is_ok() {
                return Some(held.fence);
            }
            self.release().await;
            return None;
        }
        let keys: Vec<Vec<u8>> =
            self.keys.iter().map(|key| format!("{KEY_PREFIX}{key}").into_bytes()).collect();
        let compare: Vec<Compare> = keys.iter().map(|key| Compare::unchanged(key, 0)).collect();
        // Check with a read first: during a rollout many sides wait for the same locks, and an
        // attempt to acquire them costs writes.
        let probe = Txn { compare: compare.clone(), ..Txn::default() };
        if !self.kv.txn(&probe).await.ok()?.succeeded {
            return None;
        }
        let lease = self.kv.grant(ttl).await.ok()?.id;
        let put = |key: &Vec<u8>| Put { key: key.clone(), value: Vec::new(), lease };
        let txn = Txn {
            compare,
            success: keys.iter().map(|key| Request::RequestPut(put(key))).collect(),
            failure: Vec::new(),
        };
        let acquired = match self.kv.txn(&txn).await {
            Ok(reply) if reply.succeeded => u64::try_from(reply.header.revision).ok(),
            // If only the reply was lost, the keys exist; revoking the lease below deletes them.
            Ok(_) | Err(_) => None,
        };
        self.held = Some(Held { lease, fence: acquired.unwrap_or_default() });
        if acquired.is_none() {
            self.release().await;
        }
        acquired
    }

    /// Releases the locks. If the call fails, they end when the lease expires.
    pub(crate) async fn release(&mut self) {
        if let Some(held) = self.held.take() {
            let _ = self.kv.revoke(held.lease).await;
        }
    }
}
