//! Recent events of requests at this side, for `explain`.

use std::collections::VecDeque;

use oriole_macros::data;

use crate::name;
use crate::request::{Attempt, Id, Position, Refused};
use crate::time::Instant;

/// Maximum number of notes in memory.
const MAX_NOTES: usize = 16_384;

/// An event in the life of a request.
#[data]
#[serde(rename_all = "kebab-case")]
pub struct Note {
    /// Time of the event on this process's monotonic clock.
    pub at: Instant,
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The event.
    pub what: Transition,
}

/// A change of a request's state.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Transition {
    /// The request was admitted.
    Admitted {
        /// Tokens of all requests that were admitted and had not started.
        backlog: u64,
        /// Number of positions held from an earlier attempt.
        held: Position,
    },
    /// The first step, or the call, was sent to the endpoint.
    Started {
        /// Time in the queue, in microseconds.
        waited_us: u64,
        /// Number of steps in the batch; 1 for a call.
        batch: u32,
    },
    /// The request was refused.
    Refused(Refused),
    /// The entry asked to resolve an attempt that had not started, and it was fenced off.
    FencedOff,
    /// The engine failed a step, or the connection to the next stage was lost.
    Broken,
    /// The sequence ended: cancelled or resolved by its entry, expired, or orphaned.
    Ended {
        /// Number of positions that the engine held.
        held: Position,
    },
    /// A plain service answered.
    Answered {
        /// HTTP status.
        status: u16,
    },
}

/// The latest notes, up to a fixed number.
#[derive(Default)]
pub struct Journal {
    notes: VecDeque<Note>,
}

impl Journal {
    /// Adds a note; drops the oldest one if the journal is full.
    pub fn add(&mut self, note: Note) {
        if self.notes.len() >= MAX_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// Returns the notes on a request, oldest first.
    pub fn explain(&self, request: Id) -> Vec<Note> {
        self.notes.iter().filter(|note| note.request == request).cloned().collect()
    }
}
