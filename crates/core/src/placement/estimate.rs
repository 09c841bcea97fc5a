//! What a chain is expected to serve.

use super::{Accelerator, Model};

/// Time that a token spends between two stages, in milliseconds.
const HOP_MS: f64 = 0.4;

/// One stage for an estimate.
#[derive(Clone, Copy, Debug)]
pub struct Stage<'a> {
    /// The accelerator.
    pub accelerator: &'a Accelerator,
    /// Number of layers.
    pub layers: u32,
}

/// How slowly a chain runs, summed over its stages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Factor on the time of a decode step over all layers.
    steps: f64,
    /// Factor on the time of reading a prompt.
    reads: f64,
    /// The same of the slowest stage alone, which bounds how fast prompts follow each other.
    slowest_read: f64,
    /// Milliseconds that a token spends between stages.
    hops_ms: f64,
}

impl Cost {
    /// The cost of a chain of `stages`.
    pub fn of(model: &Model, stages: &[Stage<'_>]) -> Self {
        let steps = stages.iter().map(|s| share(model, s) * s.accelerator.step_factor).sum();
        let read = |s: &Stage<'_>| share(model, s) * s.accelerator.read_factor;
        let reads = stages.iter().map(read).sum();
        let slowest_read = stages.iter().map(read).fold(0.0, f64::max);
        Self { steps, reads, slowest_read, hops_ms: HOP_MS * stages.len() as f64 }
    }

    /// Milliseconds of one token with `requests` requests and `tokens` tokens of context in
    /// progress.
    pub fn token_ms(&self, model: &Model, requests: f64, tokens: f64) -> f64 {
        let whole = model.step_ms
            + model.step_request_ms * requests
            + model.step_context_ms * tokens / 1000.0;
        whole * self.steps + self.hops_ms
    }

    /// Milliseconds until prompts of `tokens` tokens have passed the slowest stage.
    pub fn queue_ms(&self, model: &Model, tokens: f64) -> f64 {
        tokens / model.read_per_ms * self.slowest_read
    }

    /// Milliseconds to read a prompt of `tokens` tokens on an idle chain.
    pub fn read_ms(&self, model: &Model, tokens: f64) -> f64 {
        tokens / model.read_per_ms * self.reads + self.hops_ms
    }
}

/// Tokens that the stage with the least room can hold.
pub fn room(model: &Model, stages: &[Stage<'_>]) -> f64 {
    let rooms = stages.iter().map(|s| model.room(s.accelerator.memory, s.layers));
    rooms.fold(f64::INFINITY, f64::min)
}

/// Milliseconds that `tokens` tokens take between two availability zones on an idle pipe.
pub fn crossing_ms(model: &Model, tokens: f64) -> f64 {
    tokens * model.activation_bytes / model.pipe_bytes * 1000.0
}

/// Part of a pipe between availability zones that one chain may fill.
const PIPE_PART: f64 = 0.3;

/// Usual requests that the chain completes in a second when it is full; `crossings` times their
/// tokens pass from one availability zone to another.
pub fn throughput(model: &Model, stages: &[Stage<'_>], crossings: usize) -> f64 {
    let usual = model.usual_prompt + model.usual_answer;
    let requests = (room(model, stages) / usual).min(f64::from(model.slots));
    let cost = Cost::of(model, stages);
    let step = cost.token_ms(model, requests, requests * usual);
    let crossing_ms = crossing_ms(model, usual) * crossings as f64;
    let read_ms = cost.read_ms(model, model.usual_prompt) + crossing_ms;
    let by_stages = requests / (step * model.usual_answer + read_ms) * 1000.0;
    if crossings == 0 {
        return by_stages;
    }
    by_stages.min(PIPE_PART * 1000.0 / crossing_ms)
}

fn share(model: &Model, stage: &Stage<'_>) -> f64 {
    f64::from(stage.layers) / f64::from(model.layers)
}
