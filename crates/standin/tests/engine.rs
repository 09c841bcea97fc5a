//! The engine stand-in over HTTP, called through the adapter for engines.
#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::time::Duration;

use oriole_adapter::engine::{Client, Error};
use oriole_core::engine::{Action, Batch, Input, Order, Output, Step, StepError};
use oriole_core::message::Sample;
use oriole_standin::engine::{Settings, prefix, server};
use oriole_standin::fault::Switch;
use oriole_standin::model;
use tokio::net::TcpListener;

const LAYERS: u16 = 8;
const TIMEOUT: Duration = Duration::from_secs(5);
const SEED: u64 = 7;

async fn start(first_layer: u16, end_layer: u16, checks_fencing: bool) -> (Client, Switch) {
    let settings = Settings {
        model: Some("assist-model".into()),
        layers: LAYERS,
        first_layer,
        end_layer,
        step_time: Duration::ZERO,
        prompt_token_time: Duration::ZERO,
        order_time: Duration::ZERO,
        checks_fencing,
        load_lag: Duration::ZERO,
        event_delivery: prefix::Delivery { delay: Duration::ZERO, lose_one_in: 0 },
        ..Settings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let switch = Switch::new();
    actix_rt::spawn(server::serve(listener, settings, switch.clone()));
    (client, switch)
}

fn step(position: u32, input: Input, sample: bool) -> Batch {
    let sequence = "req-1".to_owned();
    Batch { steps: vec![Step { sequence, position, input, sample, seed: SEED, priority: 3 }] }
}

/// Runs tokens through a chain from `position` on; returns the sampled token.
async fn forward_pass(
    chain: &[Client],
    position: u32,
    tokens: &[u32],
) -> Result<Sample, StepError> {
    let mut input = Input::Tokens(tokens.to_vec());
    for client in chain {
        let mut outcomes = client.steps(&step(position, input, true), TIMEOUT).await.unwrap();
        match outcomes.outcomes.remove(0)? {
            Output::Activation(data) => {
                input = Input::Activation { count: tokens.len() as u32, data };
            }
            Output::Sample(sample) => return Ok(sample),
            Output::Nothing => panic!("no sample"),
        }
    }
    panic!("chain does not reach the last layer")
}

/// Starts three engines that hold all layers together.
async fn chain() -> (Vec<Client>, Vec<Switch>) {
    let mut all = (Vec::new(), Vec::new());
    for (first, end) in [(0, 3), (3, 5), (5, LAYERS)] {
        let (client, switch) = start(first, end, true).await;
        all.0.push(client);
        all.1.push(switch);
    }
    all
}

async fn generate(chain: &[Client], prompt: &[u32], max_tokens: usize) -> Vec<Sample> {
    let mut answer: Vec<Sample> = Vec::new();
    let mut next = forward_pass(chain, 0, prompt).await.unwrap();
    while !next.end && answer.len() < max_tokens {
        let position = (prompt.len() + answer.len()) as u32;
        answer.push(next.clone());
        next = forward_pass(chain, position, &[next.token]).await.unwrap();
    }
    answer
}

fn expected(prompt: &[u32], max_tokens: u32) -> Vec<Sample> {
    model::expected(&model::Request { prompt, seed: SEED, max_tokens, layers: LAYERS })
}

#[actix_rt::test]
async fn a_chain_gives_the_expected_answer() {
    let (chain, _switches) = chain().await;
    let prompt = [5, 6, 7, 8];
    assert_eq!(generate(&chain, &prompt, 20).await, expected(&prompt, 20));
}

#[actix_rt::test]
async fn repeated_skipped_and_swapped_positions_change_the_answer() {
    assert_ne!(expected(&[1, 2, 3], 5), expected(&[1, 2, 2, 3], 5));
    assert_ne!(expected(&[1, 2, 3], 5), expected(&[1, 3], 5));
    assert_ne!(expected(&[1, 2, 3], 5), expected(&[2, 1, 3], 5));
}

#[actix_rt::test]
async fn a_step_at_an_earlier_position_repeats_the_same_token() {
    let (chain, _switches) = chain().await;
    let first = forward_pass(&chain, 0, &[1, 2, 3]).await.unwrap();
    let second = forward_pass(&chain, 3, &[first.token]).await.unwrap();
    forward_pass(&chain, 4, &[second.token]).await.unwrap();
    assert_eq!(forward_pass(&chain, 3, &[first.token]).await.unwrap(), second);
}

#[actix_rt::test]
async fn a_step_beyond_the_end_of_the_sequence_is_refused() {
    let (chain, _switches) = chain().await;
    forward_pass(&chain, 0, &[1, 2]).await.unwrap();
    assert_eq!(forward_pass(&chain, 3, &[9]).await, Err(StepError::Gap));
}

/// An engine that imports another one's KV cache gives the same tokens. A cache that lacks some of
/// the engine's layers is refused.
#[actix_rt::test]
async fn an_imported_cache_continues_like_the_exported_one() {
    let (chain, _switches) = chain().await;
    let first = forward_pass(&chain, 0, &[1, 2, 3]).await.unwrap();
    let (wide, _switch) = start(3, LAYERS, true).await;
    let (narrow, _switch) = start(3, 5, true).await;
    let cache = chain[1].export("req-1", TIMEOUT).await.unwrap();
    narrow.import("req-1", &cache, TIMEOUT).await.unwrap();
    let unfit = wide.import("req-1", &cache, TIMEOUT).await;
    assert_eq!(unfit, Err(Error::Status { status: 422 }));
    let other = [chain[0].clone(), narrow, chain[2].clone()];
    let moved = forward_pass(&other, 3, &[first.token]).await.unwrap();
    assert_eq!(moved, forward_pass(&chain, 3, &[first.token]).await.unwrap());
}

#[actix_rt::test]
async fn a_freed_sequence_is_no_longer_held() {
    let (chain, _switches) = chain().await;
    forward_pass(&chain, 0, &[1, 2, 3]).await.unwrap();
    assert_eq!(chain[0].load(TIMEOUT).await.unwrap().sequences, 1);
    chain[0].free("req-1", TIMEOUT).await.unwrap();
    assert_eq!(chain[0].load(TIMEOUT).await.unwrap().sequences, 0);
    chain[0].free("req-1", TIMEOUT).await.unwrap();
}

#[actix_rt::test]
async fn a_stale_fencing_token_is_refused_only_if_the_engine_checks_it() {
    let order = |number, fence| Order { number, fence, action: Action::UnloadModel };
    let (strict, _switch) = start(0, LAYERS, true).await;
    strict.order(&order(1, 5), TIMEOUT).await.unwrap();
    let refused = strict.order(&order(2, 4), TIMEOUT).await;
    assert_eq!(refused, Err(Error::Status { status: 409 }));
    let (lax, _switch) = start(0, LAYERS, false).await;
    lax.order(&order(1, 5), TIMEOUT).await.unwrap();
    lax.order(&order(2, 4), TIMEOUT).await.unwrap();
    let state = lax.state(TIMEOUT).await.unwrap();
    assert_eq!((state.order, state.fence, state.model), (2, 0, None));
}

#[actix_rt::test]
async fn whole_blocks_of_a_prompt_are_reported_as_stored() {
    let (chain, _switches) = chain().await;
    let prompt: Vec<u32> = (0..40).collect();
    forward_pass(&chain, 0, &prompt).await.unwrap();
    let events = chain[0].cache_events(0, TIMEOUT).await.unwrap();
    assert_eq!(events.stored, prefix::block_hashes(&prompt));
    assert!(chain[0].cache_events(events.last, TIMEOUT).await.unwrap().stored.is_empty());
}

#[actix_rt::test]
async fn each_fault_is_a_distinct_error_of_the_adapter() {
    let (client, switch) = start(0, LAYERS, true).await;
    let batch = step(0, Input::Tokens(vec![1]), true);
    switch.fail_next(1);
    assert_eq!(client.steps(&batch, TIMEOUT).await, Err(Error::Status { status: 500 }));
    switch.lose_replies(1);
    assert_eq!(client.steps(&batch, TIMEOUT).await, Err(Error::Lost));
    switch.set_stalled(true);
    let stalled = client.steps(&batch, Duration::from_millis(50)).await;
    assert_eq!(stalled, Err(Error::Timeout));
    switch.set_stalled(false);
    client.steps(&batch, TIMEOUT).await.unwrap();
    switch.crash();
    // The first call may still reach the old connection, which is being closed; then no listener is
    // left.
    let _ = client.steps(&batch, TIMEOUT).await;
    assert_eq!(client.steps(&batch, TIMEOUT).await, Err(Error::Unreachable));
}
