//! The decision logic of oriolelanding, as state machines without I/O.
//!
//! The state machines take events and the current time and return effects. They perform no I/O,
//! read no clock and draw no random numbers of their own, so that tests control all inputs. An
//! entry is the process that accepts callers' requests and forwards them; a side is the process
//! that runs next to the engines of a host. The crates `entry` and `side` carry out the effects.
//!
//! - [`name`], [`request`], [`time`], [`units`], [`token`], [`message`]: basic types and the
//!   messages between processes.
//! - [`contract`], [`config`], [`revision`]: the configuration that operators write, and how all
//!   processes agree on its revision.
//! - [`engine`], [`order`]: the protocol between sides and engines, and the orders that change what
//!   an engine holds.
//! - [`share`]: messages by which entries share a contract's limits.
//! - [`status`]: the state that every process reports to operators.
//! - [`limit`], [`roster`]: admission by contract, with limits that the entries share.
//! - [`entry`]: the state machine of an entry, which uses [`plan`], [`answer`], [`retry`],
//!   [`recover`] and [`explain`].
//! - [`route`], [`fleet`]: routing tables and endpoints of a platform that keeps both in its store.
//! - [`placement`]: assignment of layers to the endpoints of such a platform.
//! - [`forward`]: forwarding of one request on such a platform.
//! - [`estimate`]: estimates that follow observations and decay without them.
//! - [`report_interval`]: how often sides report load.
//! - [`membership`]: which hosts may get work.
//! - [`side`]: the state machine of a side, which uses [`queue`], [`backlog`], [`ledger`],
//!   [`drain`] and [`home`].

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
