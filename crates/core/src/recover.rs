//! What to do about a request that makes no progress.
//!
//! A lost message is far more common than a dead stage, and sending again costs little, so that
//! comes first. Both time-outs follow the expected time of the step, within bounds that keep the
//! recovery targets: 1 s for a death that shows, 2 s for a silent one.

use std::time::Duration;

use oriole_macros::{data, key};

use crate::message::{Hop, Stage};
use crate::request::Position;
use crate::time::Instant;

/// Multiple of the expected step time after which a message is sent again.
const RETRANSMIT_FACTOR: u32 = 3;

/// Bounds of the wait before a message is sent again.
const SHORTEST_RETRANSMIT: Duration = Duration::from_millis(100);
const LONGEST_RETRANSMIT: Duration = Duration::from_millis(400);

/// Multiple of the expected step time after which a stage is suspected.
const SUSPECT_FACTOR: u32 = 8;

/// Bounds of the wait before a stage is suspected.
const SHORTEST_SUSPECT: Duration = Duration::from_millis(700);
const LONGEST_SUSPECT: Duration = Duration::from_secs(6);

/// The wait before a stage is suspected although other requests progress there.
const BUSY_SUSPECT_FACTOR: u32 = 4;

/// Bytes of KV cache that one token takes in one layer.
const CACHE_BYTES: u64 = 4096;

/// Time of an import besides its transfer, in microseconds.
const IMPORT_US: u64 = 5_000;

/// Waits of one step.
#[key]
pub struct Patience {
    /// Before the step's message is sent again.
    pub retransmit: Duration,
    /// Before the slowest stage is suspected.
    pub suspect: Duration,
}

impl Patience {
    /// The waits for a step that is expected to take `expected`.
    pub fn new(expected: Duration) -> Self {
        let retransmit = expected.saturating_mul(RETRANSMIT_FACTOR);
        let suspect = expected.saturating_mul(SUSPECT_FACTOR);
        Self {
            // A step that is expected to take long is not sent again before it can be over.
            retransmit: retransmit.clamp(SHORTEST_RETRANSMIT, LONGEST_RETRANSMIT).max(expected),
            suspect: suspect.clamp(SHORTEST_SUSPECT, LONGEST_SUSPECT).max(expected * 2),
        }
    }
}

/// What to do about a step.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Send the message again.
    Retransmit,
    /// Give the stage with this index up.
    Suspect(u16),
}

/// What is known of a step that has no outcome yet.
#[derive(Clone, Debug)]
pub struct Silence<'a> {
    /// When the step's message was sent first.
    pub since: Instant,
    /// When it was sent last.
    pub sent: Instant,
    /// The waits.
    pub patience: Patience,
    /// When each stage was last heard to make progress, with any request.
    pub heard: &'a [Instant],
}

impl Silence<'_> {
    /// Decides at `now`.
    ///
    /// The stage that was heard least lately is the one to suspect. If every stage progresses
    /// with other requests, the step more likely waits in a queue, and more time is given.
    pub fn judge(&self, now: Instant) -> Step {
        let silent = now.since(self.since);
        let slowest = self.heard.iter().zip(0_u16..).min_by_key(|(heard, _)| **heard);
        if let Some((heard, stage)) = slowest {
            let busy = *heard > self.since;
            let factor = if busy { BUSY_SUSPECT_FACTOR } else { 1 };
            if silent >= self.patience.suspect.saturating_mul(factor) {
                return Step::Suspect(stage);
            }
        }
        if now.since(self.sent) >= self.patience.retransmit {
            return Step::Retransmit;
        }
        Step::Wait
    }
}

/// How a new chain gets the KV cache of the positions that have run.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// All stages still hold it and roll back to the position.
    Rollback,
    /// The replaced stages import it from the ones that they replace.
    Import,
    /// All stages run the positions again.
    Refill,
}

/// The ways that were weighed, and the one that is estimated to be the soonest.
#[data]
pub struct Plan {
    /// The way.
    pub way: Way,
    /// The position from which the attempt runs.
    pub resume: Position,
    /// Estimated microseconds of a refill.
    pub refill_us: u64,
    /// Estimated microseconds of an import, if the cache can still be reached.
    pub import_us: Option<u64>,
}

/// What is known when a new chain replaces an old one.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// The old chain.
    pub old: &'a [Stage],
    /// The new chain.
    pub new: &'a [Stage],
    /// Positions that the old chain has run.
    pub ran: Position,
    /// Microseconds of running them again on the new chain.
    pub refill_us: u64,
    /// Bytes a second from an old stage that can still export its cache; `None` if none can.
    pub export: Option<u64>,
}

impl Change<'_> {
    /// Picks the way that is estimated to be the soonest.
    pub fn weigh(&self) -> Plan {
        let replaced: u64 = self.replaced().map(|stage| u64::from(stage.end - stage.first)).sum();
        let plan = |way, resume, import_us| {
            let refill_us = self.refill_us;
            Plan { way, resume, refill_us, import_us }
        };
        if replaced == 0 && self.ran > 0 {
            return plan(Way::Rollback, self.ran, None);
        }
        let bytes = replaced * u64::from(self.ran) * CACHE_BYTES;
        // Ranges that were cut differently have no cache to import.
        let import_us = self
            .export
            .filter(|_| self.replaced().all(|s| self.twin(s)))
            .map(|rate| IMPORT_US.saturating_add(bytes.saturating_mul(1_000_000) / rate.max(1)));
        match import_us {
            Some(us) if us < self.refill_us => plan(Way::Import, self.ran, import_us),
            _ => plan(Way::Refill, 0, import_us),
        }
    }

    /// Stages of the new chain that do not hold the request yet.
    fn replaced(&self) -> impl Iterator<Item = &Stage> {
        self.new.iter().filter(|stage| !self.old.contains(stage))
    }

    fn twin(&self, stage: &Stage) -> bool {
        self.old.iter().any(|old| (old.first, old.end) == (stage.first, stage.end))
    }
}

/// Microseconds that the stages of a step were busy.
pub fn busy_us(hops: &[Hop]) -> u64 {
    hops.iter().map(|hop| u64::from(hop.queue_us) + u64::from(hop.run_us)).sum()
}
