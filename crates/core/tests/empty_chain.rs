//! What a chain without work takes of requests that leave a part of it free.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use fleet_fixture::{model, only_chain, route};
use oriole_core::forward::chain::{self, Chain, Query};
use oriole_core::forward::headroom::Demand;
use oriole_core::forward::in_flight::{Tracker, Work};
use oriole_core::forward::returns::Standing;
use oriole_core::placement::Model;
use oriole_core::time::Instant;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

/// Returns whether a chain takes a request of `tokens` tokens with this standing.
fn takes(
    model: &Model,
    chain: &Chain,
    in_flight: &Tracker,
    tokens: u64,
    standing: Standing,
) -> bool {
    let (route, zone) = (route(), chain.zone.clone());
    let query = Query {
        route: &route,
        work: Work { requests: 1, tokens, prefill: 0 },
        zone: &zone,
        ran_at: &[],
        avoid: None,
        closed: &[],
        accepts_late: false,
        counts_passes: true,
        headroom: Demand::default().headroom(1, standing, at_ms(0)),
    };
    chain::choose(model, std::slice::from_ref(chain), in_flight, &query, at_ms(0)).is_some()
}

/// Guards against requests that are refused at each return, since the chain has one slot only or they need nearly all
/// of its memory.
#[test]
fn an_empty_chain_takes_a_request_that_leaves_a_part_of_chains_free() {
    let single = Model { slots: 1, ..model() };
    let single_chain = only_chain(&single, at_ms(0));
    let several = Model { slots: 8, ..model() };
    let several_chain = only_chain(&several, at_ms(0));
    let empty = Tracker::default();
    let largest = (1..1_000_u64)
        .map(|thousands| thousands * 1_000)
        .take_while(|tokens| takes(&several, &several_chain, &empty, *tokens, Standing::First))
        .last()
        .unwrap();
    for standing in [Standing::First, Standing::Returned, Standing::Early] {
        assert!(takes(&single, &single_chain, &empty, 1_000, standing), "{standing:?}");
        assert!(takes(&several, &several_chain, &empty, largest, standing), "{standing:?}");
    }
    // A chain with work keeps a part free.
    let mut busy = Tracker::default();
    let work = Work { requests: 7, tokens: 7_000, prefill: 0 };
    busy.add(&several_chain.key, work, at_ms(0));
    assert!(takes(&several, &several_chain, &busy, 1_000, Standing::First));
    assert!(!takes(&several, &several_chain, &busy, 1_000, Standing::Returned));
}
