//! Expected latency and throughput of a chain.

use super::{Accelerator, Model};

/// Network time of a token for each stage of a chain, in milliseconds.
const HOP_MS: f64 = 0.4;

/// A number of layers assigned to an accelerator: one stage of a chain to be estimated.
#[derive(Clone, Copy, Debug)]
pub struct Assignment<'a> {
    /// The accelerator that runs the layers.
    pub accelerator: &'a Accelerator,
    /// Number of layers.
    pub layers: u32,
}

/// How slowly a chain runs, relative to the speed of its model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Multiplier of the decode step time, summed over the stages.
    step_factor: f64,
    /// Multiplier of the prefill time, summed over the stages.
    prefill_factor: f64,
    /// Multiplier of the prefill time on the slowest stage, which limits the rate of prompts.
    slowest_prefill_factor: f64,
    /// Network time of a token over all stages, in milliseconds.
    hops_ms: f64,
}

impl Cost {
    /// Computes the cost of a chain of these stages.
    pub fn of(model: &Model, assignments: &[Assignment<'_>]) -> Self {
        let step_factor =
            assignments.iter().map(|s| layer_fraction(model, s) * s.accelerator.step_factor).sum();
        let factor = |s: &Assignment<'_>| layer_fraction(model, s) * s.accelerator.prefill_factor;
        let prefill_factor = assignments.iter().map(factor).sum();
        let slowest_prefill_factor = assignments.iter().map(factor).fold(0.0, f64::max);
        Self {
            step_factor,
            prefill_factor,
            slowest_prefill_factor,
            hops_ms: HOP_MS * assignments.len() as f64,
        }
    }

    /// Estimates the time between tokens in milliseconds, with `requests` requests and `tokens`
    /// tokens of context in progress.
    pub fn token_ms(&self, model: &Model, requests: f64, tokens: f64) -> f64 {
        let full_step_ms = model.step_ms
            + model.step_request_ms * requests
            + model.step_context_ms * tokens / 1000.0;
        full_step_ms * self.step_factor + self.hops_ms
    }

    /// Estimates the milliseconds until queued prompts of `tokens` tokens in total have passed the
    /// slowest stage.
    pub fn queue_ms(&self, model: &Model, tokens: f64) -> f64 {
        tokens / model.prefill_tokens_per_ms * self.slowest_prefill_factor
    }

    /// Estimates the milliseconds to prefill a prompt of `tokens` tokens on an idle chain.
    pub fn prefill_ms(&self, model: &Model, tokens: f64) -> f64 {
        tokens / model.prefill_tokens_per_ms * self.prefill_factor + self.hops_ms
    }
}

/// Returns the KV-cache capacity of a chain in tokens, which is that of its smallest stage.
///
/// The capacity of a chain without stages is infinite.
pub fn token_capacity(model: &Model, assignments: &[Assignment<'_>]) -> f64 {
    let capacities =
        assignments.iter().map(|s| model.token_capacity(s.accelerator.memory, s.layers));
    capacities.fold(f64::INFINITY, f64::min)
}

/// Returns the milliseconds to transfer `tokens` tokens over an idle link between two availability
/// zones.
pub fn crossing_ms(model: &Model, tokens: f64) -> f64 {
    tokens * model.activation_bytes / model.zone_link_bytes_per_s * 1000.0
}

/// Share of the bandwidth between two availability zones that one chain may use.
const ZONE_LINK_SHARE: f64 = 0.3;

/// Estimates the mean-sized requests per second that a chain completes at full load.
///
/// `crossings` is the number of times that the chain passes from one availability zone to another.
pub fn throughput(model: &Model, assignments: &[Assignment<'_>], crossings: usize) -> f64 {
    let tokens = model.mean_prompt_tokens + model.mean_answer_tokens;
    let requests = (token_capacity(model, assignments) / tokens).min(f64::from(model.slots));
    let cost = Cost::of(model, assignments);
    let step = cost.token_ms(model, requests, requests * tokens);
    let crossing_ms = crossing_ms(model, tokens) * crossings as f64;
    let prefill_ms = cost.prefill_ms(model, model.mean_prompt_tokens) + crossing_ms;
    let by_compute = requests / (step * model.mean_answer_tokens + prefill_ms) * 1000.0;
    if crossings == 0 {
        return by_compute;
    }
    by_compute.min(ZONE_LINK_SHARE * 1000.0 / crossing_ms)
}

/// Returns the share of the model's layers that a stage runs.
fn layer_fraction(model: &Model, stage: &Assignment<'_>) -> f64 {
    f64::from(stage.layers) / f64::from(model.layers)
}
