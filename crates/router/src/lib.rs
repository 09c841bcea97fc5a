//! An entry on the users' platform: one process that takes callers' requests and forwards them.
//!
//! - [`settings`]: what the process is told at its start.
//! - [`state`]: what it knows, shared by its tasks.
//! - [`follow`]: how it learns the routing table, the endpoints and the plan from the store.
//! - [`peers`]: how entries tell each other what they know and what they have in progress.
//! - [`planner`] and [`orders`]: how chains come to be.
//! - [`listen`]: callers' connections and the readiness route.
//! - [`serve`]: one request, by [`generation`] (over a chain) or [`call`] (a plain service).
//! - [`suspect`]: what is done about chains that fall silent.
//! - [`metrics`]: counters and histograms.
//! - [`log_output`]: log lines that never block the process.
//!
//! All tasks run on one thread. Decisions stand in `oriole_core`; what the platform calls things
//! stands in `oriole_platform`.

pub mod call;
pub mod cmd;
pub mod follow;
pub mod generation;
pub mod listen;
pub mod log_output;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod planner;
pub mod process;
pub mod reply;
pub mod serve;
pub mod settings;
pub mod state;
pub mod suspect;
