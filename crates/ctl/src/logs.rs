//! What the log lines of entries tell afterwards.
//!
//! - [`line`]: one line, with its source, message and key-values.
//! - [`request`]: what became of a request, and what its entry believed then.
//! - [`summary`]: what each entry believed last.

pub mod line;
pub mod request;
pub mod summary;
