//! What a side and a model engine say to each other, as JSON over HTTP.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /v1/steps` | [`Batch`] | [`Outcomes`], when the whole batch has run |
//! | `DELETE /v1/sequences/{id}` | | frees the sequence's KV cache |
//! | `GET /v1/sequences/{id}/cache` | | [`Cache`]: exports the KV cache |
//! | `PUT /v1/sequences/{id}/cache` | [`Cache`] | imports it |
//! | `GET /v1/load` | | [`Load`], which may lag |
//! | `GET /v1/cache-events?after=N` | | [`CacheEvents`], late and with gaps |
//! | `GET /v1/state` | | [`State`] |
//! | `POST /v1/orders` | [`Order`] | [`State`], or 409 for an old fencing number |
//!
//! A step at position `p` first truncates the sequence to `p` positions; a step that leaves a gap
//! fails with [`StepError::Gap`]. Sequences are named by the side.

use oriole_macros::{data, failure};

use crate::message::Sample;
use crate::name;
use crate::request::Position;

/// Steps that run together.
#[data]
pub struct Batch {
    /// The steps, each of another sequence.
    pub steps: Vec<Step>,
}

/// Runs consecutive positions of one sequence through the engine's layers.
#[data]
pub struct Step {
    /// Name of the sequence.
    pub sequence: String,
    /// Position of the first token.
    pub position: Position,
    /// What to run.
    pub input: Input,
    /// Whether to sample a token after the last position; only for an engine with the last layer.
    pub sample: bool,
    /// Seed for sampling.
    pub seed: u64,
    /// Priority, 0 (lowest) to 7.
    pub priority: u8,
}

/// Input of a step.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// Tokens, for an engine that holds the first layer.
    Tokens(Vec<u32>),
    /// Activations of the layer before the engine's first one.
    Activation {
        /// Number of positions.
        count: u32,
        /// The activations, in Base64.
        data: String,
    },
}

/// Results of a batch, in the order of its steps.
#[data]
pub struct Outcomes {
    /// One for each step.
    pub outcomes: Vec<Result<Output, StepError>>,
}

/// Output of a step.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Activations after the engine's last layer, in Base64.
    Activation(String),
    /// The sampled token.
    Sample(Sample),
    /// Nothing: the engine holds the last layer and no token was asked for.
    Nothing,
}

/// Why a step failed.
#[failure]
#[derive(Copy, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepError {
    /// The sequence holds fewer positions than the step's.
    #[display("the sequence is shorter than the step's position")]
    Gap,
    /// No memory for the KV cache.
    #[display("no memory for the KV cache")]
    Memory,
    /// The input cannot be understood.
    #[display("malformed input")]
    Malformed,
}

/// A KV cache of one sequence for the engine's layers.
#[data]
pub struct Cache {
    /// First layer.
    pub first_layer: u16,
    /// One past the last layer.
    pub end_layer: u16,
    /// Positions held.
    pub positions: Position,
    /// The cache, in Base64.
    pub data: String,
}

/// An engine's load.
#[data]
pub struct Load {
    /// Sequences held.
    pub sequences: u32,
    /// Tokens of KV cache in use.
    pub used_tokens: u32,
    /// Tokens of KV cache in all.
    pub total_tokens: u32,
    /// Microseconds of the last batch.
    pub batch_us: u32,
}

/// Changes of the prefix cache.
#[data]
pub struct CacheEvents {
    /// Number of the last event; gaps in numbers are lost events.
    pub last: u64,
    /// Hashes of prefixes that were stored.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// What an engine holds.
#[data]
pub struct State {
    /// The model, if one is loaded.
    pub model: Option<name::Model>,
    /// Version of the model.
    pub version: String,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// First layer.
    pub first_layer: u16,
    /// One past the last layer.
    pub end_layer: u16,
    /// Highest fencing number seen, 0 if the engine ignores it.
    pub fence: u64,
    /// Number of the last order that was carried out or is being carried out.
    pub order: u64,
    /// Whether the last order is still being carried out.
    pub busy: bool,
}

/// An order to an engine.
#[data]
pub struct Order {
    /// Number that names the order.
    pub number: u64,
    /// Fencing number of the orderer's lease.
    pub fence: u64,
    /// What to hold.
    pub action: Action,
}

/// What an order asks for.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Action {
    /// Hold these layers of a model.
    LoadModel {
        /// The model.
        model: name::Model,
        /// Its version.
        version: String,
        /// First layer.
        first_layer: u16,
        /// One past the last layer.
        end_layer: u16,
    },
    /// Hold nothing.
    UnloadModel,
    /// Hold an adapter.
    LoadAdapter(String),
    /// Drop an adapter.
    UnloadAdapter(String),
}
