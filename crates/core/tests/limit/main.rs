//! Admission by contract over several entries.

mod bound;
mod share;
mod world;
