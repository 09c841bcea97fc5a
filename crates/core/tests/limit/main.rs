//! Admission by contract over several entries.

mod bound;
mod share;
mod terms;
mod world;
