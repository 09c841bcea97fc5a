//! Admission by contract over several entries.

mod bound;
mod model;
mod share;
mod terms;
mod world;
