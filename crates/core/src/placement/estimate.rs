//! What a chain is expected to serve.

use std::time::Duration;

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

/// Most requests at once for which an event takes no longer than `pause`.
pub fn requests_within(model: &Model, stages: &[Stage<'_>], pause: Duration) -> u32 {
    let pause_ms = pause.as_secs_f64() * 1000.0;
    let usual = model.usual_prompt + model.usual_answer / 2.0;
    let event_ms = |n: f64| token_ms(model, stages, n, n * usual) * f64::from(model.stride);
    let (base, next) = (event_ms(0.0), event_ms(1.0));
    if base >= pause_ms {
        return 1;
    }
    let most = (pause_ms - base) / (next - base).max(f64::EPSILON);
    (most as u32).clamp(1, model.slots)
}

/// Usual requests that the chain completes in a second when it is full.
pub fn throughput(model: &Model, stages: &[Stage<'_>]) -> f64 {
    let usual = model.usual_prompt + model.usual_answer;
    let requests = (room(model, stages) / usual).min(f64::from(model.slots));
    let step = token_ms(model, stages, requests, requests * usual);
    let duration_ms = step * model.usual_answer + read_ms(model, stages, model.usual_prompt);
    requests / duration_ms * 1000.0
}

fn share(model: &Model, stage: &Stage<'_>) -> f64 {
    f64::from(stage.layers) / f64::from(model.layers)
}
