//! The protocol between a side and a model engine: JSON over HTTP.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /v1/steps` | [`Batch`] | [`Outcomes`], when the whole batch has run |
//! | `DELETE /v1/sequences/{id}` | | empty; frees the sequence's KV cache |
//! | `GET /v1/sequences/{id}/cache` | | [`Cache`]: exports the KV cache |
//! | `PUT /v1/sequences/{id}/cache` | [`Cache`] | empty; imports the KV cache |
//! | `GET /v1/load` | | [`Load`], which may be out of date |
//! | `GET /v1/cache-events?after=N` | | [`CacheEvents`], which may be late and incomplete |
//! | `GET /v1/state` | | [`State`] |
//! | `POST /v1/orders` | [`Order`] | [`State`], or 409 for an old fencing token |
//!
//! A step at position `p` first truncates the sequence to `p` positions; a step that leaves a gap
//! fails with [`StepError::Gap`]. The side assigns the names of sequences.

use oriole_macros::{data, failure};

use crate::message::Sample;
use crate::name;
use crate::request::Position;

/// Steps that run together.
#[data]
pub struct Batch {
    /// The steps, at most one for each sequence.
    pub steps: Vec<Step>,
}

/// Runs consecutive positions of one sequence through the engine's layers.
#[data]
pub struct Step {
    /// Name of the sequence, assigned by the side.
    pub sequence: String,
    /// Position of the first token.
    pub position: Position,
    /// Tokens or activations to run.
    pub input: Input,
    /// Whether to sample a token after the last position. Only engines with the last layer can.
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
    /// One outcome for each step, in the same order.
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
    /// No output: the engine holds the last layer and the step asked for no token.
    Nothing,
}

/// Why a step failed.
#[failure]
#[derive(Copy, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepError {
    /// The sequence holds fewer positions than the step's position requires.
    #[display("the sequence is shorter than the step's position")]
    Gap,
    /// The engine has no memory left for the KV cache.
    #[display("no memory for the KV cache")]
    Memory,
    /// The engine cannot parse the input.
    #[display("malformed input")]
    Malformed,
}

/// The KV cache of one sequence for the engine's layers, as exported and imported.
#[data]
pub struct Cache {
    /// First layer.
    pub first_layer: u16,
    /// One past the last layer.
    pub end_layer: u16,
    /// Number of positions in the cache.
    pub positions: Position,
    /// The cache, in Base64.
    pub data: String,
}

/// An engine's load.
#[data]
pub struct Load {
    /// Number of sequences that the engine holds.
    pub sequences: u32,
    /// KV cache in use, in tokens.
    pub used_tokens: u32,
    /// Total KV cache, in tokens.
    pub total_tokens: u32,
    /// Duration of the last batch in microseconds.
    pub batch_us: u32,
}

/// Changes of the prefix cache.
#[data]
pub struct CacheEvents {
    /// Number of the last event. A gap in the numbers means lost events.
    pub last: u64,
    /// Hashes of prefixes that were stored.
    pub stored: Vec<u64>,
    /// Hashes of prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// What an engine holds, and the last order that it received.
#[data]
pub struct State {
    /// The model, if one is loaded.
    pub model: Option<name::Model>,
    /// Version of the loaded model.
    pub version: String,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// First layer.
    pub first_layer: u16,
    /// One past the last layer.
    pub end_layer: u16,
    /// Highest fencing token seen, 0 if the engine ignores fencing tokens.
    pub fence: u64,
    /// Number of the last order that the engine has carried out or is carrying out.
    pub order: u64,
    /// Whether the engine is still carrying out the last order.
    pub busy: bool,
}

/// An order that changes what an engine holds.
#[data]
pub struct Order {
    /// Number of the order. The engine ignores an order whose number is not above the last one's.
    pub number: u64,
    /// Fencing token: the revision at which the sender took its locks.
    pub fence: u64,
    /// The change to carry out.
    pub action: Action,
}

/// The change that an order asks for.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Action {
    /// Load the given layers of a model in place of what the engine holds.
    LoadModel {
        /// The model.
        model: name::Model,
        /// Version of the model.
        version: String,
        /// First layer.
        first_layer: u16,
        /// One past the last layer.
        end_layer: u16,
    },
    /// Unload the model.
    UnloadModel,
    /// Load an adapter, given by name.
    LoadAdapter(String),
    /// Unload an adapter, given by name.
    UnloadAdapter(String),
}
