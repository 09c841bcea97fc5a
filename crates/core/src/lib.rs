//! Decisions of oriolelanding: events and the present time in, effects out.
//!
//! Nothing here performs I/O, reads a clock or draws its own random numbers, so that a test can
//! drive the whole from outside. The crates `entry` and `side` are the adapters around it.
//!
//! - [`name`], [`request`], [`time`], [`units`], [`message`]: the shared vocabulary.
//! - [`contract`], [`config`], [`revision`]: what operators write and how it is agreed.
//! - [`engine`]: what sides and engines say to each other.
//! - [`share`]: messages by which entries share a contract's limits.
//! - [`status`]: what every process tells operators about itself.
//! - [`limit`], [`roster`]: admission by contract, shared among the entries.
//! - [`entry`]: the decisions of an entry, out of [`plan`], [`answer`], [`retry`], [`recover`] and
//!   [`explain`].
//! - [`route`], [`fleet`]: routing tables and endpoints of a platform that keeps both in its store.
//! - [`placement`]: which endpoint holds which layers there.
//! - [`forward`]: the decisions about one request there.
//! - [`report_interval`]: how often sides report load.
//! - [`membership`]: which hosts may be given work.
//! - [`side`]: the decisions of a side, out of [`queue`], [`backlog`], [`ledger`], [`drain`] and
//!   [`home`].

pub mod answer;
pub mod backlog;
pub mod config;
pub mod contract;
pub mod drain;
pub mod engine;
pub mod entry;
pub mod estimate;
pub mod explain;
pub mod fleet;
pub mod forward;
pub mod home;
pub mod ledger;
pub mod limit;
pub mod membership;
pub mod message;
pub mod name;
pub mod order;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod recover;
pub mod report_interval;
pub mod request;
pub mod retry;
pub mod revision;
pub mod roster;
pub mod route;
pub mod share;
pub mod side;
pub mod status;
pub mod time;
pub mod token;
pub mod units;
