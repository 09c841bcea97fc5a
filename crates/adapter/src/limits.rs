//! What a process may use of its machine, and what callers may make it hold.

use serde::{Deserialize, Serialize};

use crate::number;

/// Part of the memory that requests may hold.
const REQUEST_DIVISOR: usize = 3;

/// Part of the memory that responses may hold.
const RESPONSE_DIVISOR: usize = 5;

/// Part of the memory that the buffers of callers' connections may use.
const CONNECTION_DIVISOR: usize = 4;

/// Part of the memory that unread bytes of callers may hold.
const UNREAD_DIVISOR: usize = 4;

/// Bounds of what responses may hold, whatever the memory. One of the largest size fits into the lower one.
const MIN_RESPONSE_BYTES: usize = 20 * 1024 * 1024;
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Descriptors that the platform keeps for files; sockets and pipes share the others.
const RESERVED_DESCRIPTORS: usize = 200;

/// Bounds of the receive buffer of a connection. With a smaller one, a large body from a distant caller would not
/// arrive in time.
const MIN_RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
const MAX_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// What the process may use of its machine. What clients may make it hold follows from this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Memory, in megabytes, with the bytes that have been received and not yet read.
    #[serde(deserialize_with = "number::whole")]
    pub memory_mb: usize,
    /// Open descriptors.
    #[serde(deserialize_with = "number::whole")]
    pub file_descriptors: usize,
}

impl Limits {
    /// Returns the memory that requests may hold while they are read and served, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.memory_bytes() / REQUEST_DIVISOR
    }

    /// Returns the memory that responses may hold until their callers have read them, in bytes.
    pub fn response_bytes(&self) -> usize {
        (self.memory_bytes() / RESPONSE_DIVISOR).clamp(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }

    /// Returns the number of callers' connections that may be open, of which each uses `bytes`. Each may need another
    /// one to an endpoint, and the process needs some for itself.
    pub fn max_connections(&self, bytes: usize) -> usize {
        let by_descriptors = self.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) * 3 / 8;
        let by_memory = self.memory_bytes() / CONNECTION_DIVISOR / bytes;
        by_descriptors.min(by_memory).max(1)
    }

    /// Returns the size of the receive buffer to request from the kernel for each of so many connections, with those
    /// that have not been accepted. As long as the smallest buffer allows, it bounds all unread bytes together.
    pub fn receive_buffer_bytes(&self, connections: usize) -> usize {
        let share = self.memory_bytes() / UNREAD_DIVISOR / connections;
        // The kernel doubles the size that it is given.
        (share / 2).clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES)
    }

    fn memory_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, file_descriptors: 4096 }
    }
}
