//! Decides when a step without an outcome is retransmitted or its stage replaced, and how a new
//! chain gets the KV cache.
//!
//! A lost message is far more common than a dead stage, and a retransmission costs little, so it
//! comes first. Both timeouts follow the expected time of the step, within bounds that keep the
//! recovery targets: 1 s after a detected failure, 2 s after a silent one.

use std::time::Duration;

use oriole_macros::{data, key};

use crate::message::{Hop, Stage};
use crate::request::Position;
use crate::time::Instant;

/// Multiple of the expected step time after which a message is retransmitted.
const RETRANSMIT_FACTOR: u32 = 3;

/// Bounds of the timeout before a message is retransmitted.
const MIN_RETRANSMIT: Duration = Duration::from_millis(100);
const MAX_RETRANSMIT: Duration = Duration::from_millis(400);

/// Multiple of the expected step time after which a stage is suspected.
const SUSPECT_FACTOR: u32 = 8;

/// Bounds of the timeout before a stage is suspected.
const MIN_SUSPECT: Duration = Duration::from_millis(700);
const MAX_SUSPECT: Duration = Duration::from_secs(6);

/// Factor by which the timeout is extended if every stage progresses with other requests.
const BUSY_SUSPECT_FACTOR: u32 = 4;

/// Estimated bytes of KV cache that one token takes in one layer.
const CACHE_BYTES_PER_TOKEN_LAYER: u64 = 4096;

/// Estimated time of an import apart from the transfer of its bytes.
const IMPORT_OVERHEAD_US: u64 = 5_000;

/// Timeouts of one step.
#[key]
pub struct Timeouts {
    /// Time after the last transmission until the message is retransmitted.
    pub retransmit: Duration,
    /// Time after the first transmission until a stage is suspected.
    pub suspect: Duration,
}

impl Timeouts {
    /// Returns the timeouts for a step that is expected to take `expected`.
    pub fn new(expected: Duration) -> Self {
        let retransmit = expected.saturating_mul(RETRANSMIT_FACTOR);
        let suspect = expected.saturating_mul(SUSPECT_FACTOR);
        Self {
            // A long step is not retransmitted before it can have finished.
            retransmit: retransmit.clamp(MIN_RETRANSMIT, MAX_RETRANSMIT).max(expected),
            suspect: suspect.clamp(MIN_SUSPECT, MAX_SUSPECT).max(expected * 2),
        }
    }
}

/// What to do about an outstanding step.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Keep waiting.
    Wait,
    /// Retransmit the message.
    Retransmit,
    /// Replace the stage with this index.
    Suspect(u16),
}

/// A step that has no outcome yet.
#[derive(Clone, Debug)]
pub struct Outstanding<'a> {
    /// When the message of the step was first sent.
    pub step_started: Instant,
    /// When the message was last sent.
    pub last_sent: Instant,
    /// The timeouts of the step.
    pub timeouts: Timeouts,
    /// When each stage last made progress with any request.
    pub last_progress: &'a [Instant],
}

impl Outstanding<'_> {
    /// Decides what to do at `now`.
    ///
    /// The stage whose last progress is the oldest is the one to suspect. If every stage has
    /// progressed with other requests since the step was sent, the step more likely waits in a
    /// queue, and the timeout is extended.
    pub fn decide(&self, now: Instant) -> Action {
        let silent = now.since(self.step_started);
        let slowest = self.last_progress.iter().zip(0_u16..).min_by_key(|(progress, _)| **progress);
        if let Some((progress, stage)) = slowest {
            let busy = *progress > self.step_started;
            let factor = if busy { BUSY_SUSPECT_FACTOR } else { 1 };
            if silent >= self.timeouts.suspect.saturating_mul(factor) {
                return Action::Suspect(stage);
            }
        }
        if now.since(self.last_sent) >= self.timeouts.retransmit {
            return Action::Retransmit;
        }
        Action::Wait
    }
}

/// How a new chain gets the KV cache of the positions that have already run.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// All stages still hold the cache and roll back to the resume position.
    Rollback,
    /// The new stages import the cache from the stages that they replace.
    Import,
    /// All stages run the positions again.
    Refill,
}

/// The strategy that is estimated to be the fastest, with the estimates.
#[data]
pub struct Plan {
    /// The chosen strategy.
    #[serde(rename = "way")]
    pub strategy: Strategy,
    /// The position from which the attempt runs.
    pub resume: Position,
    /// Estimated time of a refill, in microseconds.
    pub refill_us: u64,
    /// Estimated time of an import, in microseconds; `None` if the cache cannot be imported.
    pub import_us: Option<u64>,
}

/// The replacement of a chain by a new one.
#[derive(Clone, Copy, Debug)]
pub struct Replacement<'a> {
    /// The old chain.
    pub old: &'a [Stage],
    /// The new chain.
    pub new: &'a [Stage],
    /// Positions that the old chain has run.
    pub ran: Position,
    /// Estimated time to run these positions on the new chain, in microseconds.
    pub refill_us: u64,
    /// Rate in bytes per second at which the old stages can export their cache; `None` if they
    /// cannot.
    pub export_rate: Option<u64>,
}

impl Replacement<'_> {
    /// Picks the strategy that is estimated to be the fastest.
    pub fn plan(&self) -> Plan {
        let new_layers: u64 =
            self.new_stages().map(|stage| u64::from(stage.end - stage.first)).sum();
        let plan = |strategy, resume, import_us| {
            let refill_us = self.refill_us;
            Plan { strategy, resume, refill_us, import_us }
        };
        if new_layers == 0 && self.ran > 0 {
            return plan(Strategy::Rollback, self.ran, None);
        }
        let bytes = new_layers * u64::from(self.ran) * CACHE_BYTES_PER_TOKEN_LAYER;
        // A cache can be imported only from an old stage with the same range of layers.
        let import_us = self
            .export_rate
            .filter(|_| self.new_stages().all(|s| self.has_same_range(s)))
            .map(|rate| {
                IMPORT_OVERHEAD_US.saturating_add(bytes.saturating_mul(1_000_000) / rate.max(1))
            });
        match import_us {
            Some(us) if us < self.refill_us => plan(Strategy::Import, self.ran, import_us),
            _ => plan(Strategy::Refill, 0, import_us),
        }
    }

    /// Returns the stages of the new chain that are not part of the old one.
    fn new_stages(&self) -> impl Iterator<Item = &Stage> {
        self.new.iter().filter(|stage| !self.old.contains(stage))
    }

    /// Returns whether a stage of the old chain has the same range of layers.
    fn has_same_range(&self, stage: &Stage) -> bool {
        self.old.iter().any(|old| (old.first, old.end) == (stage.first, stage.end))
    }
}

/// Returns the time that a step spent queued or running at its stages, in microseconds.
pub fn busy_us(hops: &[Hop]) -> u64 {
    hops.iter().map(|hop| u64::from(hop.queue_us) + u64::from(hop.run_us)).sum()
}
