//! Which endpoint holds which layers, and which chains of endpoints serve a model.
//!
//! - [`estimate`]: what a chain is expected to serve.
//! - [`build`]: chains out of endpoints that are in no chain.
//! - [`revise`]: the next plan when endpoints come, leave or fail; it moves as little as it can.
//! - [`survey`]: what the chains of a plan are expected to serve together.
//! - [`order`]: what an endpoint is to be told next so that it comes to hold its part.

pub mod build;
pub mod estimate;
pub mod order;
pub mod revise;
pub mod survey;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::name;

/// Consecutive layers.
#[key]
#[derive(Default)]
pub struct Range {
    /// First layer, counted from 0.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
}

impl Range {
    /// Number of layers.
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.first)
    }

    /// Whether there are none.
    pub fn is_empty(self) -> bool {
        self.end <= self.first
    }

    /// Whether all layers of `other` are among these.
    pub fn covers(self, other: Self) -> bool {
        other.is_empty() || (self.first <= other.first && other.end <= self.end)
    }

    /// The layers in both.
    pub fn common(self, other: Self) -> Self {
        let first = self.first.max(other.first);
        Self { first, end: self.end.min(other.end).max(first) }
    }
}

/// A kind of accelerator.
#[data]
pub struct Accelerator {
    /// Memory for layers and requests, in bytes.
    pub memory: f64,
    /// Factor on the time of decode steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
}

/// A model that is split over endpoints, and how fast endpoints run it.
#[data]
pub struct Model {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer, in bytes.
    pub layer_bytes: f64,
    /// Memory of one token in one layer, in bytes.
    pub token_layer_bytes: f64,
    /// Time to load all layers.
    pub load: Duration,
    /// Requests that one endpoint takes as the first of a chain.
    pub slots: u32,
    /// Time of a decode step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each request, in milliseconds.
    pub step_request_ms: f64,
    /// Additional time of a step for each 1,000 tokens of context, in milliseconds.
    pub step_context_ms: f64,
    /// Prompt tokens that are read in a millisecond.
    pub read_per_ms: f64,
    /// Prompt tokens that are read in one step at most; infinite without a bound.
    #[serde(default = "unbounded")]
    pub chunk: f64,
    /// Steps of a pass, which is also the tokens of one event.
    pub stride: u32,
    /// Bytes that a stage passes on for each token.
    pub activation_bytes: f64,
    /// Bytes a second between two availability zones, for all chains together.
    pub pipe_bytes: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Kinds of accelerators by name.
    pub accelerators: BTreeMap<String, Accelerator>,
}

/// For tables that an entry of an earlier version passed on.
fn unbounded() -> f64 {
    f64::INFINITY
}

impl Model {
    /// Most layers that fit into `memory` bytes with room for `tokens` tokens.
    pub fn capacity(&self, memory: f64, tokens: f64) -> u32 {
        let layer = self.layer_bytes + tokens * self.token_layer_bytes;
        let most = (memory / layer).floor();
        // A float to integer cast saturates.
        (most as u32).min(self.layers)
    }

    /// Tokens for which there is room beside `layers` layers.
    pub fn room(&self, memory: f64, layers: u32) -> f64 {
        let layers = f64::from(layers.max(1));
        ((memory - layers * self.layer_bytes) / (layers * self.token_layer_bytes)).max(0.0)
    }
}

/// One endpoint's part of a chain.
#[data]
pub struct Stage {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its layers.
    pub layers: Range,
}

/// Endpoints that together hold all layers, in order.
#[data]
pub struct Chain {
    /// The stages.
    pub stages: Vec<Stage>,
}

impl Chain {
    /// Whether the stages hold each of `layers` layers once and in order.
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

/// The chains of each service. One value that all entries follow.
#[data]
#[derive(Default)]
pub struct Plan {
    /// Counts up with each plan.
    pub number: u64,
    /// Revision at which the store holds it; 0 before it has been written.
    pub revision: u64,
    /// Chains by service.
    pub services: BTreeMap<name::Service, Vec<Chain>>,
}

impl Plan {
    /// The layers that an endpoint is to hold, if it is in the plan.
    pub fn layers_of(&self, endpoint: &name::Endpoint) -> Option<Range> {
        let chains = self.services.values().flatten();
        let mut stages = chains.flat_map(|c| &c.stages);
        stages.find(|s| s.endpoint == *endpoint).map(|s| s.layers)
    }
}

/// An endpoint that may be given layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its kind of accelerator.
    pub accelerator: Accelerator,
    /// What it holds now.
    pub held: Range,
}
