//! `oriole-load`: the load generator, which runs deployments in one process and measures them.
//!
//! Engines, plain services, the key-value service and the network are simulated by stand-ins.
//!
//! - [`deployment`] reads a deployment, and [`cluster`] runs it over loopback.
//! - [`arrivals`] and [`run`] generate open-loop load on several threads.
//! - [`caller`] sends requests and checks the answers, and [`tally`] counts them.
//! - [`demo`] runs the main functions of a deployment and kills a stage during an answer.
//! - [`platform`] checks the router of the operators' platform in the same way.
//! - [`placement`] compares the planner's proposal for a site with baselines and computes what
//!   the loss of each endpoint costs.
//! - [`bound`] measures admitted throughput relative to the limits of the contracts.
//! - [`recover`] measures the time from a fault to the next token.
//! - [`slopes`] measures how costs grow with the size of a deployment; [`synthetic`] generates
//!   the deployments for it.
//! - [`plot`] draws plots as SVG files.
//! - [`cmd`] contains the subcommands.

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
