//! Assignment of model layers to endpoints, and of endpoints to the chains that serve a model.
//!
//! - [`estimate`]: expected latency and throughput of one chain.
//! - [`build`]: new chains from endpoints that are in no chain.
//! - [`revise`]: the next plan after endpoints join, leave or fail, with as few moves as possible.
//! - [`inventory`]: the available endpoints by name, and the expected throughput of a set of
//!   chains.
//! - [`stored`]: what the store holds of the plan.
//! - [`order`]: the next layer range to order from an endpoint on the way to its planned range.

pub mod build;
pub mod estimate;
pub mod inventory;
pub mod order;
pub mod revise;
pub mod stored;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::fleet::Position;
use crate::name;

/// A range of consecutive layers.
#[key]
#[derive(Default)]
pub struct Range {
    /// First layer, counted from 0.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
}

impl Range {
    /// Returns the number of layers.
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.first)
    }

    /// Returns whether the range has no layers.
    pub fn is_empty(self) -> bool {
        self.end <= self.first
    }

    /// Returns whether this range contains all layers of `other`; an empty range is always covered.
    pub fn covers(self, other: Self) -> bool {
        other.is_empty() || (self.first <= other.first && other.end <= self.end)
    }

    /// Returns the layers that are in both ranges; an empty range if there are none.
    pub fn intersection(self, other: Self) -> Self {
        let first = self.first.max(other.first);
        Self { first, end: self.end.min(other.end).max(first) }
    }
}

/// A kind of accelerator.
#[data]
pub struct Accelerator {
    /// Memory for layers and KV cache together, in bytes.
    pub memory: f64,
    /// Multiplier of the model's decode step time.
    pub step_factor: f64,
    /// Multiplier of the model's prefill time.
    #[serde(rename = "read_factor")]
    pub prefill_factor: f64,
}

/// A model that is split over endpoints, with its memory demand, speed and typical requests.
///
/// Times hold for an accelerator whose factors are 1.
#[data]
pub struct Model {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer, in bytes.
    pub layer_bytes: f64,
    /// KV cache of one token in one layer, in bytes.
    pub token_layer_bytes: f64,
    /// Time to load all layers.
    pub load: Duration,
    /// Most concurrent requests that an endpoint accepts as the first stage of a chain.
    pub slots: u32,
    /// Fixed part of a decode step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a decode step for each request in progress, in milliseconds.
    pub step_request_ms: f64,
    /// Additional time of a decode step for each 1,000 tokens of context, in milliseconds.
    pub step_context_ms: f64,
    /// Prefill speed over all layers, in prompt tokens per millisecond.
    #[serde(rename = "read_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Most prompt tokens in one prefill step; infinite if there is no bound.
    #[serde(default = "unbounded")]
    pub chunk: f64,
    /// Decode steps that an engine runs in one pass; each pass yields one event with as many
    /// tokens.
    pub stride: u32,
    /// Bytes of activations that a stage sends to the next one for each token.
    pub activation_bytes: f64,
    /// Bandwidth between two availability zones in bytes per second, shared by all chains.
    #[serde(rename = "pipe_bytes")]
    pub zone_link_bytes_per_s: f64,
    /// Mean length of a prompt, in tokens.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: f64,
    /// Mean length of an answer, in tokens.
    #[serde(rename = "usual_answer")]
    pub mean_answer_tokens: f64,
    /// Kinds of accelerators by name.
    pub accelerators: BTreeMap<String, Accelerator>,
}

/// Default of [`Model::chunk`] for routing tables sent by entries of versions without the field.
fn unbounded() -> f64 {
    f64::INFINITY
}

impl Model {
    /// Returns the most layers that fit into `memory` bytes beside the KV cache of `tokens` tokens.
    pub fn layer_capacity(&self, memory: f64, tokens: f64) -> u32 {
        let layer = self.layer_bytes + tokens * self.token_layer_bytes;
        let most = (memory / layer).floor();
        // The cast from float to integer saturates.
        (most as u32).min(self.layers)
    }

    /// Returns the most prompt tokens that one pass prefills; infinite if there is no bound.
    pub fn pass_tokens(&self) -> f64 {
        self.chunk * f64::from(self.stride)
    }

    /// Returns the tokens whose KV cache fits into `memory` bytes beside `layers` layers.
    pub fn token_capacity(&self, memory: f64, layers: u32) -> f64 {
        let layers = f64::from(layers.max(1));
        ((memory - layers * self.layer_bytes) / (layers * self.token_layer_bytes)).max(0.0)
    }
}

/// One endpoint of a chain with the layers that it runs there.
#[data]
pub struct Stage {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The layers that it runs.
    pub layers: Range,
}

/// Endpoints that together hold all layers of a model, in layer order.
#[data]
pub struct Chain {
    /// The stages.
    pub stages: Vec<Stage>,
}

impl Chain {
    /// Returns whether the stages hold each of the model's `layers` layers once and in order.
    pub fn is_complete(&self, layers: u32) -> bool {
        let mut next = 0;
        for stage in &self.stages {
            if stage.layers.first != next || stage.layers.is_empty() {
                return false;
            }
            next = stage.layers.end;
        }
        next == layers
    }
}

/// The chains of each service, as a single value in the store that all entries follow.
#[data]
#[derive(Default)]
pub struct Plan {
    /// Number of the plan; each plan increments it.
    pub number: u64,
    /// Position at which the store accepted the plan; the first one before that.
    #[serde(rename = "revision")]
    pub position: Position,
    /// Chains by service name.
    pub services: BTreeMap<name::Service, Vec<Chain>>,
}

impl Plan {
    /// Returns whether this plan replaces `other`.
    ///
    /// The number counts first, since it goes on when the store comes back from a copy. Of two plans with
    /// one number, which entries that did not hear of each other may hold then, the one written later counts.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.number, self.position) > (other.number, other.position)
    }

    /// Returns the layers that the plan assigns to an endpoint, or `None` if it is in no chain.
    pub fn layers_of(&self, endpoint: &name::Endpoint) -> Option<Range> {
        let chains = self.services.values().flatten();
        let mut stages = chains.flat_map(|c| &c.stages);
        stages.find(|s| s.endpoint == *endpoint).map(|s| s.layers)
    }
}

/// An endpoint to which layers may be assigned.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its kind of accelerator.
    pub accelerator: Accelerator,
    /// The layers that it holds now.
    pub held: Range,
    /// Whether it runs much more slowly than its kind at present.
    pub is_slow: bool,
}
