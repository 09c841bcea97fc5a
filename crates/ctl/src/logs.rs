//! Analysis of the log files of entries on the operators' platform (`oriole-router`).
//!
//! - [`mod@line`]: parses one line into its source, message and key-values.
//! - [`losses`]: requests that were not served in time, by time and first logged cause.
//! - [`request`]: how a request ended, and the state of its entry at that time.
//! - [`summary`]: the last logged state of each entry, and how its requests ended.

pub mod line;
pub mod losses;
pub mod request;
pub mod summary;
