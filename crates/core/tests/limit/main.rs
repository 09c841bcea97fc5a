//! Rate limits by contract over several entries.

mod bound;
mod contracts;
mod message;
mod model;
mod node;
mod share;
mod world;
