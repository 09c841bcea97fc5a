//! What lately happened to requests at this side, for `explain`.

use std::collections::VecDeque;

use oriole_macros::data;

use crate::name;
use crate::request::{Attempt, Id, Position, Refused};
use crate::time::Instant;

/// Notes held.
const MAX_NOTES: usize = 16_384;

/// Something that happened to a request.
#[data]
#[serde(rename_all = "kebab-case")]
pub struct Note {
    /// When, on this process's monotonic clock.
    pub at: Instant,
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// What happened.
    pub what: Transition,
}

/// What happened.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Transition {
    /// It was let in.
    Admitted {
        /// Tokens of the requests that had been let in and had not started.
        backlog: u64,
        /// Positions held from an earlier attempt.
        held: Position,
    },
    /// Its first step, or its call, was handed to the endpoint.
    Started {
        /// Microseconds in the queue.
        waited_us: u64,
        /// Steps that went with it.
        batch: u32,
    },
    /// It was refused.
    Refused(Refused),
    /// An older attempt was asked about and fenced off.
    FencedOff,
    /// The engine or the next stage failed it.
    Broken,
    /// It ended, by its entry's word.
    Ended {
        /// Positions that had run.
        held: Position,
    },
    /// A plain service answered.
    Answered {
        /// HTTP status.
        status: u16,
    },
}

/// The latest notes.
#[derive(Default)]
pub struct Journal {
    notes: VecDeque<Note>,
}

impl Journal {
    /// Adds a note and drops the oldest beyond the bound.
    pub fn add(&mut self, note: Note) {
        if self.notes.len() >= MAX_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// The notes on a request, oldest first.
    pub fn explain(&self, request: Id) -> Vec<Note> {
        self.notes.iter().filter(|note| note.request == request).cloned().collect()
    }
}
