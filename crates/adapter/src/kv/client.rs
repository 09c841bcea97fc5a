//! Single calls to the key-value service, each with a timeout.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::http::{Method, StatusCode};
use oriole_core::units;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::message::{
    EmptyReply, Lease, LeaseId, Put, Range, RangeReply, StreamReply, Txn, TxnReply, WatchRange,
    WatchRequest,
};
use super::{Cause, Count, Error, Operation, Watch};
use crate::http;

/// Addresses and timeout of the key-value service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Addresses of the service's members. After a failed call, the next call uses the next one.
    pub addresses: Vec<SocketAddr>,
    /// Time within which the response to a call must be complete.
    #[serde(with = "units::duration", default = "default_timeout")]
    pub timeout: Duration,
}

fn default_timeout() -> Duration {
    Duration::from_secs(3)
}

impl Settings {
    /// Creates settings with one address and the default timeout.
    pub fn new(address: SocketAddr) -> Self {
        Self { addresses: vec![address], timeout: default_timeout() }
    }
}

/// A client of the key-value service. Clones share the connection pool and the counts.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

struct Inner {
    http: awc::Client,
    settings: Settings,
    /// Number of failed calls other than watches. Modulo the number of addresses, it is the index
    /// of the address in use.
    current: Cell<usize>,
    counts: RefCell<BTreeMap<Operation, Count>>,
}

impl Client {
    /// Creates a client. It connects on first use.
    pub fn new(settings: Settings) -> Self {
        let (current, counts) = (Cell::new(0), RefCell::default());
        Self { inner: Rc::new(Inner { http: http::client(), settings, current, counts }) }
    }

    /// Returns the number of calls, by operation, since the client was created.
    pub fn counts(&self) -> BTreeMap<Operation, Count> {
        self.inner.counts.borrow().clone()
    }

    /// Reads a key or a range of keys.
    pub async fn range(&self, range: &Range) -> Result<RangeReply, Error> {
        self.call(Operation::Range, "/v3/kv/range", range).await
    }

    /// Writes a key.
    pub async fn put(&self, put: &Put) -> Result<EmptyReply, Error> {
        self.call(Operation::Put, "/v3/kv/put", put).await
    }

    /// Runs a transaction: compares, then reads or writes atomically.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnReply, Error> {
        self.call(Operation::Txn, "/v3/kv/txn", txn).await
    }

    /// Grants a lease of `ttl`, rounded down to whole seconds, and of at least one second.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX).max(1);
        let lease = Lease { id: 0, ttl: seconds };
        self.call(Operation::LeaseGrant, "/v3/lease/grant", &lease).await
    }

    /// Renews a lease for its full time to live.
    ///
    /// Fails with [`Cause::LeaseEnded`] if the lease has expired or was revoked.
    pub async fn keep_alive(&self, id: i64) -> Result<Lease, Error> {
        let operation = Operation::LeaseKeepAlive;
        let reply: StreamReply<Lease> =
            self.call(operation, "/v3/lease/keepalive", &LeaseId { id }).await?;
        if reply.result.ttl <= 0 {
            return Err(Error { operation, cause: Cause::LeaseEnded });
        }
        Ok(reply.result)
    }

    /// Revokes a lease, and deletes all keys that are attached to it.
    pub async fn revoke(&self, id: i64) -> Result<EmptyReply, Error> {
        self.call(Operation::LeaseRevoke, "/v3/lease/revoke", &LeaseId { id }).await
    }

    /// Watches keys. Opening a watch counts as one call. No daemon of the system uses watches.
    pub async fn watch(&self, range: WatchRange) -> Result<Watch, Error> {
        let operation = Operation::Watch;
        let opened = self.open_watch(range).await;
        self.count(operation, opened.as_ref().err());
        opened
    }

    async fn open_watch(&self, range: WatchRange) -> Result<Watch, Error> {
        let fail = |cause| Error { operation: Operation::Watch, cause };
        let address = self.address().ok_or(fail(Cause::NoAddress))?;
        let request = WatchRequest { create_request: range };
        let body = serde_json::to_vec(&request).map_err(|_| fail(Cause::Unencodable))?;
        let url = format!("http://{address}/v3/watch");
        let sending = self.inner.http.post(url).send_body(body);
        let timeout = self.inner.settings.timeout;
        match tokio::time::timeout(timeout, sending).await {
            Err(_) => Err(fail(Cause::Http(http::Error::Timeout))),
            Ok(Err(e)) => Err(fail(Cause::Http(http::send_error(e)))),
            Ok(Ok(response)) if response.status() == StatusCode::OK => Ok(Watch::new(response)),
            Ok(Ok(response)) => Err(fail(Cause::from_status(response.status().as_u16()))),
        }
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        operation: Operation,
        path: &str,
        request: &Q,
    ) -> Result<R, Error> {
        let result = self.exchange(path, request).await;
        let result = result.map_err(|cause| Error { operation, cause });
        self.count(operation, result.as_ref().err());
        if result.is_err() {
            // The next call uses another member, which may be reachable. The caller decides whether
            // to retry.
            self.inner.current.set(self.inner.current.get().wrapping_add(1));
        }
        result
    }

    async fn exchange<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<R, Cause> {
        let address = self.address().ok_or(Cause::NoAddress)?;
        let body = serde_json::to_vec(request).map_err(|_| Cause::Unencodable)?;
        let (method, content_type) = (Method::POST, http::JSON);
        let request =
            http::Request { method, path, content_type, body: body.into(), is_alone: false };
        let timeout = self.inner.settings.timeout;
        let response = http::send(&self.inner.http, address, request, timeout).await;
        let response = response.map_err(Cause::Http)?;
        if response.status != StatusCode::OK {
            return Err(Cause::from_status(response.status.as_u16()));
        }
        response.decode().map_err(Cause::Http)
    }

    fn address(&self) -> Option<SocketAddr> {
        let addresses = &self.inner.settings.addresses;
        let index = self.inner.current.get().checked_rem(addresses.len())?;
        addresses.get(index).copied()
    }

    fn count(&self, operation: Operation, failure: Option<&Error>) {
        let mut counts = self.inner.counts.borrow_mut();
        let count = counts.entry(operation).or_default();
        count.calls += 1;
        if let Some(e) = failure {
            let not_applied = e.is_not_applied();
            count.not_applied += u64::from(not_applied);
            count.unknown += u64::from(!not_applied);
        }
    }
}
