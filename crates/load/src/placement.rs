//! Compares the planner's proposal for a site with simple baselines, and computes what the loss of
//! each endpoint costs. A file describes the site.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::name;
use oriole_core::placement::estimate::{self, Assignment};
use oriole_core::placement::inventory::Inventory;
use oriole_core::placement::{Accelerator, Candidate, Chain, Model, Range, build, revise};
use serde::{Deserialize, Serialize};

const BYTES_PER_MB: f64 = 1e6;

const BYTES_PER_MBIT: f64 = 1e6 / 8.0;

/// The description of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Site {
    /// Model that the site serves.
    pub model: Profile,
    /// Kinds of accelerators, by name.
    pub accelerators: BTreeMap<String, Kind>,
    /// Numbers of endpoints in each availability zone.
    pub endpoints: Vec<Group>,
}

/// The memory and time costs of a model and the usual requests for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Profile {
    /// Number of layers.
    pub layers: u32,
    /// Weights of one layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    pub token_bytes: f64,
    /// Time to load all layers, in seconds.
    pub load_s: f64,
    /// Most concurrent requests of an endpoint that is the first stage of a chain.
    pub slots: u32,
    /// Time of a decode step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each request, in milliseconds.
    pub step_request_ms: f64,
    /// Additional time of a step for each 1,000 tokens of context, in milliseconds.
    pub step_context_ms: f64,
    /// Prompt tokens that prefill processes per millisecond, over all layers.
    #[serde(rename = "read-per-ms")]
    pub prefill_tokens_per_ms: f64,
    /// Most prompt tokens that one prefill step processes.
    pub chunk: f64,
    /// Tokens in one event of a streamed answer.
    pub stride: u32,
    /// Activations that a stage sends to the next one for each token, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth between two availability zones, shared by all chains, in megabits per second.
    #[serde(rename = "pipe-mbps")]
    pub zone_link_mbps: f64,
    /// Mean number of tokens of a prompt.
    #[serde(rename = "usual-prompt")]
    pub mean_prompt_tokens: f64,
    /// Mean number of tokens of an answer.
    #[serde(rename = "usual-answer")]
    pub mean_answer_tokens: f64,
}

/// A kind of accelerator.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Kind {
    /// Memory for weights and KV cache, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of decode steps.
    pub step_factor: f64,
    /// Factor on the time of prefill.
    #[serde(rename = "read-factor")]
    pub prefill_factor: f64,
}

/// Numbers of endpoints in one availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Group {
    /// Name of the availability zone.
    pub zone: String,
    /// Number of endpoints, by kind of accelerator.
    pub accelerators: BTreeMap<String, usize>,
}

/// A zone has a kind of accelerator that the site does not describe.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("availability zone {zone} has accelerators of the kind {kind}, which is not described")]
pub struct UnknownKind {
    zone: String,
    kind: String,
}

impl Site {
    /// Converts the model to the planner's type.
    pub fn model(&self) -> Model {
        let m = &self.model;
        let kinds = self.accelerators.iter().map(|(name, kind)| (name.clone(), kind.accelerator()));
        Model {
            layers: m.layers,
            layer_bytes: m.layer_mb * BYTES_PER_MB,
            token_layer_bytes: m.token_bytes / f64::from(m.layers.max(1)),
            load: Duration::from_secs_f64(m.load_s.max(0.0)),
            slots: m.slots,
            step_ms: m.step_ms,
            step_request_ms: m.step_request_ms,
            step_context_ms: m.step_context_ms,
            prefill_tokens_per_ms: m.prefill_tokens_per_ms,
            chunk: m.chunk,
            stride: m.stride,
            activation_bytes: m.activation_bytes,
            zone_link_bytes_per_s: m.zone_link_mbps * BYTES_PER_MBIT,
            mean_prompt_tokens: m.mean_prompt_tokens,
            mean_answer_tokens: m.mean_answer_tokens,
            accelerators: kinds.collect(),
        }
    }

    /// Returns the endpoints without loaded layers, named by availability zone, kind and number.
    ///
    /// Fails if a zone has a kind of accelerator that is not described.
    pub fn endpoints(&self) -> Result<Vec<Candidate>, UnknownKind> {
        let mut candidates = vec![];
        for group in &self.endpoints {
            for (kind, count) in &group.accelerators {
                let Some(described) = self.accelerators.get(kind) else {
                    return Err(UnknownKind { zone: group.zone.clone(), kind: kind.clone() });
                };
                let zone = name::Zone::from(group.zone.as_str());
                candidates.extend((1..=*count).map(|number| Candidate {
                    endpoint: format!("{}-{kind}-{number:02}", group.zone).as_str().into(),
                    zone: zone.clone(),
                    accelerator: described.accelerator(),
                    held: Range::default(),
                    is_slow: false,
                }));
            }
        }
        Ok(candidates)
    }
}

impl Kind {
    fn accelerator(&self) -> Accelerator {
        Accelerator {
            memory: self.memory_mb * BYTES_PER_MB,
            step_factor: self.step_factor,
            prefill_factor: self.prefill_factor,
        }
    }
}

/// The throughput of a proposal and its baselines, in requests of mean size per second.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Proposed chains with the throughput of each.
    pub chains: Vec<(Chain, f64)>,
    /// Endpoints that are in no chain.
    pub spares: Vec<name::Endpoint>,
    /// Throughput of all proposed chains together.
    pub total: f64,
    /// Throughput of one chain per availability zone that splits the layers equally over all
    /// endpoints of the zone.
    pub equal_shares: f64,
    /// Throughput of the best single chain within each availability zone.
    #[serde(rename = "chain_a_zone")]
    pub best_chain_per_zone: f64,
    /// Total throughput after the loss of each endpoint, once the revised plan is in force.
    pub losses: Vec<(name::Endpoint, f64)>,
}

/// Computes the proposal for a site and compares it with the baselines.
pub fn report(model: &Model, endpoints: &[Candidate]) -> Report {
    let inventory = Inventory::new(model, endpoints);
    let chains = revise::revise(model, &[], endpoints);
    let zones = by_zone(endpoints);
    let best = |zone: &Vec<Candidate>| {
        let chains = build::chains(model, zone, build::Existing::None);
        chains.iter().map(|c| inventory.throughput(c)).fold(0.0, f64::max)
    };
    Report {
        total: inventory.total_throughput(&chains),
        equal_shares: zones.values().map(|zone| equal_shares(model, zone)).sum(),
        best_chain_per_zone: zones.values().map(best).sum(),
        losses: losses(model, endpoints, &chains),
        spares: inventory.free(&chains).into_iter().map(|c| c.endpoint.clone()).collect(),
        chains: chains.into_iter().map(|c| (c.clone(), inventory.throughput(&c))).collect(),
    }
}

fn by_zone(endpoints: &[Candidate]) -> BTreeMap<name::Zone, Vec<Candidate>> {
    let mut zones: BTreeMap<name::Zone, Vec<Candidate>> = BTreeMap::new();
    for endpoint in endpoints {
        zones.entry(endpoint.zone.clone()).or_default().push(endpoint.clone());
    }
    zones
}

/// Returns the throughput of a chain that splits the layers equally over all endpoints of a zone;
/// 0 if a share does not fit into the memory of some endpoint.
fn equal_shares(model: &Model, zone: &[Candidate]) -> f64 {
    let layers = model.layers.div_ceil(zone.len().max(1) as u32);
    let fits = |c: &Candidate| c.accelerator.memory >= f64::from(layers) * model.layer_bytes;
    if !zone.iter().all(fits) {
        return 0.0;
    }
    let assignments: Vec<Assignment<'_>> =
        zone.iter().map(|c| Assignment { accelerator: &c.accelerator, layers }).collect();
    estimate::throughput(model, &assignments, 0)
}

/// Returns the total throughput after the loss of each endpoint.
fn losses(model: &Model, endpoints: &[Candidate], chains: &[Chain]) -> Vec<(name::Endpoint, f64)> {
    let after = |lost: &Candidate| {
        let is_left = |c: &&Candidate| c.endpoint != lost.endpoint;
        let left: Vec<Candidate> = endpoints.iter().filter(is_left).cloned().collect();
        let total =
            Inventory::new(model, &left).total_throughput(&revise::revise(model, chains, &left));
        (lost.endpoint.clone(), total)
    };
    endpoints.iter().map(after).collect()
}
