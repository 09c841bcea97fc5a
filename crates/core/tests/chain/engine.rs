//! A small deterministic engine. The state of each position depends on the previous one, so an
//! answer differs if a stage runs a position twice, omits one, or runs them out of order.

use std::collections::BTreeMap;

use oriole_core::engine::{Batch, Input, Output, Step, StepError};
use oriole_core::message::Sample;

/// Number of stages of the model.
pub const STAGES: u16 = 3;

/// An engine that holds one stage.
pub struct Engine {
    stage: u16,
    sequences: BTreeMap<String, Vec<u64>>,
}

impl Engine {
    pub fn new(stage: u16) -> Self {
        Self { stage, sequences: BTreeMap::new() }
    }

    pub fn run(&mut self, batch: &Batch) -> Vec<Result<Output, StepError>> {
        batch.steps.iter().map(|step| self.step(step)).collect()
    }

    pub fn release(&mut self, sequence: &str) {
        self.sequences.remove(sequence);
    }

    pub fn clear(&mut self) {
        self.sequences.clear();
    }

    fn step(&mut self, step: &Step) -> Result<Output, StepError> {
        let states = self.sequences.entry(step.sequence.clone()).or_default();
        if states.len() < step.position as usize {
            return Err(StepError::Gap);
        }
        states.truncate(step.position as usize);
        let inputs: Vec<u64> = match &step.input {
            Input::Tokens(tokens) => tokens.iter().map(|t| u64::from(*t)).collect(),
            Input::Activation { data, .. } => {
                data.split(',').map_while(|x| x.parse().ok()).collect()
            }
        };
        let first = states.len();
        for input in inputs {
            states.push(mix(self.stage, states.last().copied(), input));
        }
        if self.stage + 1 < STAGES {
            let out: Vec<String> = states[first..].iter().map(u64::to_string).collect();
            return Ok(Output::Activation(out.join(",")));
        }
        let last = states.last().copied().ok_or(StepError::Malformed)?;
        Ok(if step.sample { Output::Sample(sample(last)) } else { Output::Nothing })
    }
}

fn mix(stage: u16, previous: Option<u64>, input: u64) -> u64 {
    let x = previous.unwrap_or(7).rotate_left(11) ^ input.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x.wrapping_add(u64::from(stage)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

fn sample(state: u64) -> Sample {
    let token = (state >> 40) as u32;
    Sample { token, text: format!("{token} "), end: false }
}

/// Returns the answer of a run without faults.
pub fn expected_answer(prompt: &[u32], max_tokens: usize) -> String {
    let mut tokens = prompt.to_vec();
    let mut states = [None; STAGES as usize];
    let (mut text, mut next) = (String::new(), 0);
    for _ in 0..max_tokens {
        for token in &tokens[next..] {
            let mut value = u64::from(*token);
            for (stage, state) in (0..STAGES).zip(&mut states) {
                value = mix(stage, *state, value);
                *state = Some(value);
            }
        }
        next = tokens.len();
        let sample = sample(states[usize::from(STAGES) - 1].unwrap());
        tokens.push(sample.token);
        text.push_str(&sample.text);
    }
    text
}
