//! Replays a chain that gets as many prompts as its passes can prefill, without a network.
//!
//! Load pattern: a fast chain takes requests faster than the prefill of its passes, which are bounded in
//! prompt tokens. Its pauses stay short, so that only the time to the first event shows the backlog.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::collections::VecDeque;
use std::time::Duration;

use fleet_fixture::{model, only_chain, route};
use oriole_core::forward::chain::{self, Query};
use oriole_core::forward::headroom::Headroom;
use oriole_core::forward::in_flight::{Tracker, Work};
use oriole_core::placement::Model;
use oriole_core::time::Instant;

/// Time for which a stream writes after its first event.
const WRITING: Duration = Duration::from_millis(1_200);

/// A request on the chain: when it was admitted, and the prompt tokens that are not prefilled yet.
struct Prompt {
    admitted: Instant,
    left: f64,
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

/// Guards against a backlog of prompts that never drains, in which all requests begin late although the
/// chain could begin as many of them in time.
#[test]
fn requests_that_a_chain_admits_begin_in_time_while_prompts_keep_coming() {
    // Memory and compute suffice, so that only the bounded passes limit the prompts.
    let model =
        Model { prefill_tokens_per_ms: 300.0, token_layer_bytes: 4_000.0, stride: 5, ..model() };
    let chain = only_chain(&model, at_ms(0));
    let (route, zone) = (route(), chain.zone.clone());
    let work = Work { requests: 1, tokens: 900, prefill: 800 };
    let mut in_flight = Tracker::default();
    let (mut prompts, mut streams) = (VecDeque::<Prompt>::new(), VecDeque::<Instant>::new());
    let (mut latest, mut begun, mut refused) = (Duration::ZERO, 0, 0);
    let mut next_pass = at_ms(0);
    for ms in 0..10_000 {
        let now = at_ms(ms);
        while streams.front().is_some_and(|begin| now.since(*begin) >= WRITING) {
            streams.pop_front();
            in_flight.remove(&chain.key, Work { prefill: 0, ..work }, now);
        }
        if now >= next_pass {
            let sum = in_flight.sum(&chain.key, now);
            next_pass = now + chain.event_time(&model, sum.requests, sum.tokens);
            let mut pass = model.pass_tokens();
            while let Some(prompt) = prompts.front_mut().filter(|_| pass > 0.0) {
                let part = pass.min(prompt.left);
                (pass, prompt.left) = (pass - part, prompt.left - part);
                if prompt.left > 0.0 {
                    break;
                }
                latest = latest.max(next_pass.since(prompt.admitted));
                begun += 1;
                in_flight.begin_stream(&chain.key, work, now);
                streams.push_back(now);
                prompts.pop_front();
            }
        }
        // 100 requests a second, which is more than the passes can prefill.
        if ms % 10 == 0 {
            let query = Query {
                route: &route,
                work,
                zone: &zone,
                ran_at: &[],
                avoid: None,
                closed: &[],
                accepts_late: false,
                counts_passes: true,
                headroom: Headroom::NONE,
            };
            let chains = std::slice::from_ref(&chain);
            match chain::choose(&model, chains, &in_flight, &query, now) {
                Some(_) => {
                    in_flight.add(&chain.key, work, now);
                    prompts.push_back(Prompt { admitted: now, left: 800.0 });
                }
                None => refused += 1,
            }
        }
    }
    assert!(refused > 0, "the load must exceed the chain");
    assert!(begun > 300, "{begun}");
    assert!(latest <= route.objective, "{latest:?}, {begun} begun, {refused} refused");
}
