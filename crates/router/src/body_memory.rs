//! One bound on the memory of all response bodies that are kept until they are complete.
//!
//! Endpoints may send bodies without end. Each one alone is bounded, but many come at the same time.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// Most bytes of all bodies together.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Memory that bodies use. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory {
    used: Rc<Cell<usize>>,
    peak: Rc<Cell<usize>>,
}

/// A body that is being read. Its memory counts until it is dropped.
#[derive(Debug)]
pub struct Body {
    memory: BodyMemory,
    content: BytesMut,
    max_bytes: usize,
}

impl BodyMemory {
    /// Begins a body of at most `max_bytes`.
    pub fn begin(&self, max_bytes: usize) -> Body {
        Body { memory: self.clone(), content: BytesMut::new(), max_bytes }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the most bytes that were in use at any time.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }
}

impl Body {
    /// Appends bytes. Returns false if the body or all bodies together would be too large.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let used = self.memory.used() + bytes.len();
        if self.content.len() + bytes.len() > self.max_bytes || used > MAX_BYTES {
            return false;
        }
        self.memory.used.set(used);
        self.memory.peak.set(self.memory.peak().max(used));
        self.content.extend_from_slice(bytes);
        true
    }

    /// Returns what has been read so far.
    pub fn content(&self) -> &[u8] {
        &self.content
    }

    /// Ends the body, which no longer counts: it is about to be forwarded.
    pub fn finish(mut self) -> Bytes {
        let content = self.content.split().freeze();
        self.memory.used.set(self.memory.used() - content.len());
        content
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used() - self.content.len());
    }
}
