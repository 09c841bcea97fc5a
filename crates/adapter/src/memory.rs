//! Memory of requests and responses, each of which holds a lease of a shared pool.
//!
//! Clients and endpoints may send large bodies. Each one alone is bounded, but many come at the same time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::{Display, Error};
use oriole_core::forward::memory::{Full, Key, Pool};
use oriole_core::time::Instant;

use crate::eviction::{self, Eviction, Holder};

/// Capacity of a body whose first bytes arrive, unless its length is known.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// The memory of all requests or of all responses. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    pool: Pool,
    /// Dropped when the lease must give way.
    holders: BTreeMap<Key, Holder>,
}

/// A part of the memory, which is given back when this is dropped.
#[derive(Debug)]
pub struct Lease {
    memory: Memory,
    key: Key,
    eviction: Eviction,
}

impl Memory {
    /// Creates a memory of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let inner = Inner { pool: Pool::new(max_bytes), holders: BTreeMap::new() };
        Self { inner: Rc::new(RefCell::new(inner)) }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.inner.borrow().pool.used()
    }

    /// Returns the most bytes that were in use at any time.
    pub fn peak(&self) -> usize {
        self.inner.borrow().pool.peak()
    }

    /// Begins a lease without memory, which may have to give way.
    pub fn begin(&self, now: Instant) -> Lease {
        let (holder, eviction) = eviction::channel();
        let mut inner = self.inner.borrow_mut();
        let key = inner.pool.begin(now);
        inner.holders.insert(key, holder);
        Lease { memory: self.clone(), key, eviction }
    }
}

impl Lease {
    /// Changes the bytes of the lease. Others give way for it if they hardly make progress.
    pub fn resize(&self, bytes: usize, now: Instant) -> Result<(), Full> {
        let mut inner = self.memory.inner.borrow_mut();
        for evicted in inner.pool.resize(self.key, bytes, now)? {
            inner.holders.remove(&evicted);
        }
        Ok(())
    }

    /// Records that bytes were received from the caller, or sent to it.
    pub fn record_progress(&self, bytes: usize) {
        self.memory.inner.borrow_mut().pool.record_progress(self.key, bytes);
    }

    /// Keeps the lease from giving way while its progress depends on others than the caller.
    pub fn pin(&self) {
        self.memory.inner.borrow_mut().pool.pin(self.key);
    }

    /// Lets the lease give way again.
    pub fn unpin(&self, now: Instant) {
        self.memory.inner.borrow_mut().pool.unpin(self.key, now);
    }

    /// Returns what tells that the lease must give way.
    pub fn eviction(&mut self) -> &mut Eviction {
        &mut self.eviction
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut inner = self.memory.inner.borrow_mut();
        inner.pool.end(self.key);
        inner.holders.remove(&self.key);
    }
}

/// Why a body cannot grow.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// It would be larger than it may be.
    #[display("larger than allowed")]
    TooLarge,
    /// There is no memory for it.
    #[display("no memory")]
    Full,
}

impl From<Full> for Refusal {
    fn from(Full: Full) -> Self {
        Self::Full
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    lease: Lease,
    /// Bytes of the lease that are not for the body.
    other_bytes: usize,
    content: Vec<u8>,
    max_bytes: usize,
}

impl Body {
    /// Begins a body of at most `max_bytes`. The lease has `other_bytes` already.
    pub fn new(lease: Lease, other_bytes: usize, max_bytes: usize) -> Self {
        Self { lease, other_bytes, content: vec![], max_bytes }
    }

    /// Makes room for a body whose length is known.
    pub fn reserve(&mut self, bytes: usize, now: Instant) -> Result<(), Refusal> {
        if bytes > self.max_bytes {
            return Err(Refusal::TooLarge);
        }
        self.lease.resize(self.other_bytes + bytes, now)?;
        self.content.reserve_exact(bytes - self.content.len().min(bytes));
        Ok(())
    }

    /// Appends bytes that have been received.
    pub fn push(&mut self, bytes: &[u8], now: Instant) -> Result<(), Refusal> {
        let length = self.content.len() + bytes.len();
        if length > self.max_bytes {
            return Err(Refusal::TooLarge);
        }
        if length > self.content.capacity() {
            let doubled = (2 * self.content.capacity()).max(MIN_CAPACITY_BYTES);
            self.reserve(length.max(doubled.min(self.max_bytes)), now)?;
        }
        self.content.extend_from_slice(bytes);
        self.lease.record_progress(bytes.len());
        Ok(())
    }

    /// Returns the lease.
    pub fn lease(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Returns whether no bytes have been received.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Ends the body. Its memory counts until the lease is dropped.
    pub fn finish(self) -> (Bytes, Lease) {
        (self.content.into(), self.lease)
    }
}
