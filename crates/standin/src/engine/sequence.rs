//! The KV cache of one sequence for a range of layers.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use oriole_core::engine::Cache;
use oriole_core::request::Position;

use super::prefix;
use crate::model::{self, Activation, LayerCache};

/// Size of one layer's state at one position, and of one activation.
const STATE_BYTES: usize = 8;

/// The KV cache of a sequence. It keeps the state after each position, so that it can be truncated.
pub struct Sequence {
    first_layer: u16,
    layers: usize,
    /// State of each layer after each position, ordered by position, then by layer.
    states: Vec<LayerCache>,
    /// Length and hash of the prefix whose inputs have been hashed; `None` if the hash is unknown,
    /// as after an import.
    hashed_prefix: Option<(Position, u64)>,
}

impl Sequence {
    /// Returns an empty sequence for `layers` layers from `first_layer` on.
    pub fn new(first_layer: u16, layers: u16) -> Self {
        let hashed_prefix = Some((0, prefix::FNV_OFFSET_BASIS));
        Self { first_layer, layers: usize::from(layers), states: Vec::new(), hashed_prefix }
    }

    /// Returns the number of positions held.
    pub fn positions(&self) -> Position {
        let positions = self.states.len().checked_div(self.layers).unwrap_or_default();
        Position::try_from(positions).unwrap_or(Position::MAX)
    }

    /// Drops all positions from `position` on.
    pub fn truncate(&mut self, position: Position) {
        if position >= self.positions() {
            return;
        }
        self.states.truncate(position as usize * self.layers);
        let empty = (position == 0).then_some((0, prefix::FNV_OFFSET_BASIS));
        self.hashed_prefix = self.hashed_prefix.filter(|(end, _)| *end <= position).or(empty);
    }

    /// Runs one position through all layers held; returns the output of the last one.
    pub fn run(&mut self, mut activation: Activation) -> Activation {
        let before = self.states.len().checked_sub(self.layers);
        for offset in 0..self.layers {
            let state = before.map_or(model::EMPTY_CACHE, |start| self.states[start + offset]);
            // Cannot fail: the number of layers was a `u16`.
            let layer = self.first_layer + u16::try_from(offset).unwrap_or_default();
            let (after, next) = model::run_layer(layer, state, activation);
            self.states.push(after);
            activation = next;
        }
        activation
    }

    /// Adds the input of the position that was run last to the prefix's hash; returns the hash if
    /// the position completes a block, and `None` otherwise or if the hash is unknown.
    pub fn extend_prefix(&mut self, input: &[u8]) -> Option<u64> {
        let (end, hash) = self.hashed_prefix?;
        if end + 1 != self.positions() {
            self.hashed_prefix = None;
            return None;
        }
        let hash = prefix::extend_hash(hash, input);
        self.hashed_prefix = Some((end + 1, hash));
        ((end + 1) % prefix::BLOCK_TOKENS == 0).then_some(hash)
    }

    /// Returns the KV cache in its exported form.
    pub fn export(&self) -> Cache {
        let data: Vec<u8> = self.states.iter().flat_map(|s| s.to_le_bytes()).collect();
        let layers = u16::try_from(self.layers).unwrap_or_default();
        Cache {
            first_layer: self.first_layer,
            end_layer: self.first_layer + layers,
            positions: self.positions(),
            data: STANDARD.encode(data),
        }
    }

    /// Returns a sequence with the layers `first_layer..first_layer + layers` of an exported KV
    /// cache, or `None` if the cache is malformed or does not hold them all.
    pub fn import(first_layer: u16, layers: u16, cache: &Cache) -> Option<Self> {
        let held = usize::from(cache.end_layer.checked_sub(cache.first_layer)?);
        let skip = usize::from(first_layer.checked_sub(cache.first_layer)?);
        let take = usize::from(layers);
        let data = STANDARD.decode(&cache.data).ok()?;
        let expected = held.checked_mul(cache.positions as usize)?.checked_mul(STATE_BYTES)?;
        if held == 0 || skip + take > held || data.len() != expected {
            return None;
        }
        let rows = data.chunks_exact(held * STATE_BYTES);
        let states =
            rows.flat_map(|row| decode_u64s(&row[skip * STATE_BYTES..]).take(take)).collect();
        Some(Self { first_layer, layers: take, states, hashed_prefix: None })
    }
}

/// Decodes little-endian numbers, ignoring an incomplete one at the end.
pub fn decode_u64s(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes
        .chunks_exact(STATE_BYTES)
        .map(|chunk| chunk.iter().rev().fold(0, |number, byte| (number << 8) | u64::from(*byte)))
}
