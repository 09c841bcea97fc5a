//! A deterministic model for tests: if a layer or a token is skipped, repeated or out of order,
//! every later token of the answer changes.
//!
//! An activation is one number. The KV cache of a layer is a rolling hash of the activations that
//! the layer has processed. A layer computes its output from its input and its KV cache.

use oriole_core::message::Sample;

/// Words for the texts of tokens; many tokens share one.
const WORDS: [&str; 32] = [
    "the", "gate", "is", "open", "and", "escort", "waits", "at", "door", "seven", "while", "room",
    "four", "holds", "its", "cold", "air", "below", "limit", "until", "morning", "comes", "with",
    "chair", "ready", "for", "lot", "nine", "to", "move", "before", "noon",
];

/// On average, one sampled token in this many ends the answer.
const END_ONE_IN: u64 = 211;

/// Number of tokens that can be sampled.
const VOCABULARY_SIZE: u64 = 50_000;

/// KV cache of one layer: a rolling hash of the activations that the layer has processed.
pub type LayerCache = u64;

/// Activation that one layer passes to the next.
pub type Activation = u64;

/// KV cache of a layer that has processed no positions.
pub const EMPTY_CACHE: LayerCache = 0x6f72_696f_6c65;

/// Hashes two numbers to one; a change of a bit in either changes about half of the result's bits.
fn mix(a: u64, b: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut x = a.rotate_left(23) ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the input of the first layer for a token.
pub fn embed(token: u32) -> Activation {
    mix(u64::from(token) + 1, 0x656d_6265_6400)
}

/// Runs one position through the layer with index `layer`; returns the layer's new KV cache and
/// its output.
pub fn run_layer(
    layer: u16,
    cache: LayerCache,
    activation: Activation,
) -> (LayerCache, Activation) {
    let input = mix(activation, u64::from(layer) + 1);
    (mix(cache, input), mix(input, cache))
}

/// Samples a token from the activation after the last layer.
pub fn sample(activation: Activation, seed: u64) -> Sample {
    let drawn = mix(activation, seed ^ 0x7361_6d70);
    // Cannot fail: the remainder is below `VOCABULARY_SIZE`.
    let token = u32::try_from(drawn % VOCABULARY_SIZE).unwrap_or_default();
    let word = WORDS[token as usize % WORDS.len()];
    Sample { token, text: format!(" {word}"), end: (drawn >> 20) % END_ONE_IN == 0 }
}

/// The parts of a request that determine the answer.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Tokens of the prompt.
    pub prompt: &'a [u32],
    /// Seed for sampling.
    pub seed: u64,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Number of layers of the model.
    pub layers: u16,
}

/// Returns the answer of a run without faults, without the token that ends it.
pub fn expected(request: &Request<'_>) -> Vec<Sample> {
    let mut cache = vec![EMPTY_CACHE; usize::from(request.layers)];
    let mut last = 0;
    for token in request.prompt {
        last = run_token(&mut cache, *token);
    }
    let mut answer = Vec::new();
    while (answer.len() as u64) < u64::from(request.max_tokens) {
        let next = sample(last, request.seed);
        if next.end {
            break;
        }
        last = run_token(&mut cache, next.token);
        answer.push(next);
    }
    answer
}

/// Returns the text of [`expected`].
pub fn expected_text(request: &Request<'_>) -> String {
    expected(request).into_iter().map(|sample| sample.text).collect()
}

/// Runs one token through all layers; returns the output of the last one.
fn run_token(cache: &mut [LayerCache], token: u32) -> Activation {
    let mut activation = embed(token);
    for (layer, layer_cache) in (0..).zip(cache.iter_mut()) {
        (*layer_cache, activation) = run_layer(layer, *layer_cache, activation);
    }
    activation
}
