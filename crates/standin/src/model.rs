//! A model whose every layer leaves its mark: a skipped, doubled or misordered layer or token
//! changes every later token of the answer.
//!
//! An activation is one number. Each layer folds its KV cache, itself a rolling hash of all
//! activations that it saw, into the activation.

use oriole_core::message::Sample;

/// Words that tokens stand for.
const WORDS: [&str; 32] = [
    "the", "gate", "is", "open", "and", "escort", "waits", "at", "door", "seven", "while", "room",
    "four", "holds", "its", "cold", "air", "below", "limit", "until", "morning", "comes", "with",
    "chair", "ready", "for", "lot", "nine", "to", "move", "before", "noon",
];

/// One token in this many ends the answer.
const END_ONE_IN: u64 = 211;

/// Number of different tokens that are sampled.
const VOCABULARY_SIZE: u64 = 50_000;

/// KV cache of one layer: a rolling hash of the activations that it saw.
pub type LayerCache = u64;

/// Activation between two layers.
pub type Activation = u64;

/// KV cache of a layer that saw nothing.
pub const EMPTY_CACHE: LayerCache = 0x6f72_696f_6c65;

/// Mixes two numbers so that a change of either changes the result everywhere.
fn mix(a: u64, b: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut x = a.rotate_left(23) ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The activation before the first layer.
pub fn embed(token: u32) -> Activation {
    mix(u64::from(token) + 1, 0x656d_6265_6400)
}

/// Runs one position through the layer with the index `layer`; returns its KV cache after the
/// position and the activation after the layer.
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
    // The remainder is below `VOCABULARY_SIZE`.
    let token = u32::try_from(drawn % VOCABULARY_SIZE).unwrap_or_default();
    let word = WORDS[token as usize % WORDS.len()];
    Sample { token, text: format!(" {word}"), end: (drawn >> 20) % END_ONE_IN == 0 }
}

/// A request as the model sees it.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Tokens of the prompt.
    pub prompt: &'a [u32],
    /// Seed for sampling.
    pub seed: u64,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Layers of the model.
    pub layers: u16,
}

/// The answer that an undisturbed run gives, without the token that ended it.
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

/// The text of [`expected`].
pub fn expected_text(request: &Request<'_>) -> String {
    expected(request).into_iter().map(|sample| sample.text).collect()
}

/// Runs one token through all layers.
fn run_token(cache: &mut [LayerCache], token: u32) -> Activation {
    let mut activation = embed(token);
    for (layer, layer_cache) in (0..).zip(cache.iter_mut()) {
        (*layer_cache, activation) = run_layer(layer, *layer_cache, activation);
    }
    activation
}
