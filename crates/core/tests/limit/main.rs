//! Admission by contract over several entries.

mod bound;
mod message;
mod model;
mod share;
mod terms;
mod world;
