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

/// Milliseconds of one token with `requests` requests and `tokens` tokens of context in progress.
pub fn token_ms(model: &Model, stages: &[Stage<'_>], requests: f64, tokens: f64) -> f64 {
    let whole =
        model.step_ms + model.step_request_ms * requests + model.step_context_ms * tokens / 1000.0;
    let sum = stages.iter().map(|s| share(model, s) * s.accelerator.step_factor).sum::<f64>();
    whole * sum + HOP_MS * stages.len() as f64
}

/// Milliseconds to read a prompt of `tokens` tokens on an idle chain.
pub fn read_ms(model: &Model, stages: &[Stage<'_>], tokens: f64) -> f64 {
    let sum = stages.iter().map(|s| share(model, s) * s.accelerator.read_factor).sum::<f64>();
    tokens / model.read_per_ms * sum + HOP_MS * stages.len() as f64
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
    let step = token_ms(model, stages, requests, requests * usual);
    let crossing_ms = crossing_ms(model, usual) * crossings as f64;
    let read_ms = read_ms(model, stages, model.usual_prompt) + crossing_ms;
    let by_stages = requests / (step * model.usual_answer + read_ms) * 1000.0;
    if crossings == 0 {
        return by_stages;
    }
    by_stages.min(PIPE_PART * 1000.0 / crossing_ms)
}

fn share(model: &Model, stage: &Stage<'_>) -> f64 {
    f64::from(stage.layers) / f64::from(model.layers)
}
