//! Locks in the key-value service: keys that end with one lease.

use std::time::Duration;

use oriole_adapter::kv::Client;
use oriole_adapter::kv::message::{Compare, Put, Request, Txn};

/// Start of the keys of locks.
const PREFIX: &str = "oriole/lock/";

/// Some keys that are held together, or not at all.
pub(crate) struct Lock {
    service: Client,
    keys: Vec<String>,
    held: Option<Held>,
}

#[derive(Clone, Copy)]
struct Held {
    lease: i64,
    fence: u64,
}

impl Lock {
    pub(crate) fn new(service: Client, keys: Vec<String>) -> Self {
        Self { service, keys, held: None }
    }

    /// Changes the keys, for the next time that they are taken.
    pub(crate) fn set_keys(&mut self, keys: Vec<String>) {
        self.keys = keys;
    }

    /// Takes the keys, or keeps them for `ttl` from now on. Returns the fencing number: the
    /// service's revision at which they were taken.
    pub(crate) async fn hold(&mut self, ttl: Duration) -> Option<u64> {
        if let Some(held) = self.held {
            if self.service.keep_alive(held.lease).await.is_ok() {
                return Some(held.fence);
            }
            self.release().await;
            return None;
        }
        let keys: Vec<Vec<u8>> =
            self.keys.iter().map(|key| format!("{PREFIX}{key}").into_bytes()).collect();
        let compare: Vec<Compare> = keys.iter().map(|key| Compare::unchanged(key, 0)).collect();
        // A look costs no write; many wait for the same locks during a rollout.
        let look = Txn { compare: compare.clone(), ..Txn::default() };
        if !self.service.txn(&look).await.ok()?.succeeded {
            return None;
        }
        let lease = self.service.grant(ttl).await.ok()?.id;
        let put = |key: &Vec<u8>| Put { key: key.clone(), value: Vec::new(), lease };
        let txn = Txn {
            compare,
            success: keys.iter().map(|key| Request::RequestPut(put(key))).collect(),
            failure: Vec::new(),
        };
        let taken = match self.service.txn(&txn).await {
            Ok(reply) if reply.succeeded => u64::try_from(reply.header.revision).ok(),
            // A write whose reply was lost ends with the lease, which is given back below.
            Ok(_) | Err(_) => None,
        };
        self.held = Some(Held { lease, fence: taken.unwrap_or_default() });
        if taken.is_none() {
            self.release().await;
        }
        taken
    }

    /// Gives the keys back; without an answer they end with the lease.
    pub(crate) async fn release(&mut self) {
        if let Some(held) = self.held.take() {
            let _ = self.service.revoke(held.lease).await;
        }
    }
}
