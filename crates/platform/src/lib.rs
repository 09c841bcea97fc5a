//! Ports and adapters: the outside systems as the processes see them.

pub mod engine;
pub mod http;
pub mod service;
