//! `oriole-load`: runs deployments on embedded stand-ins and measures them.
//!
//! - [`deployment`], [`cluster`]: reads a deployment and runs it over loopback.
//! - [`caller`], [`arrivals`], [`tally`]: sends requests, judges and counts the answers.
//! - [`demo`]: the main job of a deployment, with a failure in the middle.
//! - [`platform`]: the path on the operators' platform.
//! - [`placement`]: the planner's proposal for a site, its baselines and the cost of losses.
//! - [`run`]: streams of arrivals on several threads.
//! - [`bound`]: admitted throughput over the contracts' bounds.
//! - [`recover`]: time from a fault to the next token.
//! - [`slopes`], [`synthetic`]: how costs grow with the size of a deployment.
//! - [`plot`]: plots as SVG files.
//! - [`cmd`]: the subcommands.

pub mod arrivals;
pub mod bound;
pub mod caller;
pub mod cluster;
pub mod cmd;
pub mod demo;
pub mod deployment;
pub mod placement;
pub mod platform;
pub mod plot;
pub mod recover;
pub mod run;
pub mod slopes;
pub mod synthetic;
pub mod tally;
