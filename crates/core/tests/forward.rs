//! Tests of usable chains and of the choice among them.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{Fixture, route, service};
use oriole_core::fleet::Load;
use oriole_core::forward::chain::{self, Chain, Query};
use oriole_core::forward::choice::{self, Failures};
use oriole_core::forward::headroom::Headroom;
use oriole_core::forward::in_flight::{Tracker, Work};
use oriole_core::forward::slowdown::Meter;
use oriole_core::name;
use oriole_core::time::Instant;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

impl Fixture {
    fn choose(
        &self,
        chains: &[Chain],
        in_flight: &Tracker,
        ran_at: &[name::Endpoint],
    ) -> Option<Chain> {
        let (route, zone) = (route(), "zone-0".into());
        let query = Query {
            route: &route,
            work: prefilled(1_000),
            zone: &zone,
            ran_at,
            avoid: None,
            closed: &[],
            accepts_late: false,
            counts_passes: false,
            headroom: Headroom::NONE,
        };
        chain::choose(&self.model, chains, in_flight, &query, at_ms(0)).cloned()
    }

    fn choose_for(
        &self,
        chains: &[Chain],
        in_flight: &Tracker,
        work: Work,
        accepts_late: bool,
        now: Instant,
    ) -> Option<Chain> {
        let (route, zone) = (route(), "zone-0".into());
        let query = Query {
            route: &route,
            work,
            zone: &zone,
            ran_at: &[],
            avoid: None,
            closed: &[],
            accepts_late,
            counts_passes: false,
            headroom: Headroom::NONE,
        };
        chain::choose(&self.model, chains, in_flight, &query, now).cloned()
    }
}

/// Returns the work of a request of `tokens` tokens whose prefill is complete.
fn prefilled(tokens: u64) -> Work {
    Work { requests: 1, tokens, prefill: 0 }
}

/// Asserts that the hops of a chain cover each layer once and in order.
fn assert_covers_layers(chain: &Chain, layers: u32) {
    let mut next = 0;
    for hop in &chain.hops {
        assert_eq!(hop.layers.first, next, "{}", chain.path());
        next = hop.layers.end;
    }
    assert_eq!(next, layers, "{}", chain.path());
}

#[test]
fn all_chains_of_a_plan_are_usable() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    assert_eq!(chains.len(), fixture.plan.services[&service()].len());
    chains.iter().for_each(|chain| assert_covers_layers(chain, fixture.model.layers));
}

#[test]
fn requests_of_a_lost_stage_are_rerouted_through_endpoints_of_other_chains() {
    let mut fixture = Fixture::new(at_ms(0));
    let lost = fixture.plan.services[&service()][0].stages[2].endpoint.clone();
    let head = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&lost, at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let chain = chains.iter().find(|c| c.key == head).unwrap();
    assert_covers_layers(chain, fixture.model.layers);
    assert!(chain.hops.iter().all(|h| h.endpoint != lost));
}

#[test]
fn a_lost_first_stage_is_replaced_by_endpoints_that_hold_its_layers() {
    let mut fixture = Fixture::new(at_ms(0));
    let head = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&head, at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let chain = chains.iter().find(|c| c.key == head).unwrap();
    assert_covers_layers(chain, fixture.model.layers);
    assert_ne!(*chain.head(), head);
    assert_eq!(chains.len(), fixture.plan.services[&service()].len());
}

/// Guards against evicted sequences when demand exceeds capacity: the admitted work must fit the
/// memory of each stage.
#[test]
fn a_burst_is_not_admitted_beyond_the_memory_of_any_stage() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let mut in_flight = Tracker::default();
    let mut admitted = 0;
    while let Some(chain) = fixture.choose(&chains, &in_flight, &[]) {
        in_flight.add(&chain.key, prefilled(1_000), at_ms(0));
        admitted += 1;
        assert!(admitted < 10_000);
    }
    assert!(admitted > 100, "{admitted}");
    for chain in &chains {
        let tokens = in_flight.sum(&chain.key, at_ms(0)).tokens as f64;
        for hop in &chain.hops {
            let bytes = tokens * f64::from(hop.layers.len()) * fixture.model.token_layer_bytes;
            assert!(bytes <= hop.free, "{} at {}", hop.endpoint, chain.path());
        }
    }
}

/// Guards against assigning the memory of an endpoint twice when it replaces a lost stage of
/// another chain.
#[test]
fn an_endpoint_in_two_chains_is_not_filled_twice() {
    let mut fixture = Fixture::new(at_ms(0));
    let lost = fixture.plan.services[&service()][0].stages[2].endpoint.clone();
    fixture.mark_unhealthy(&lost, at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let mut in_flight = Tracker::default();
    for _ in 0..10_000 {
        let Some(chain) = fixture.choose(&chains, &in_flight, &[]) else { break };
        in_flight.add(&chain.key, prefilled(1_000), at_ms(0));
    }
    let mut used = std::collections::BTreeMap::<_, f64>::new();
    for chain in &chains {
        for hop in &chain.hops {
            let tokens = in_flight.sum(&chain.key, at_ms(0)).tokens as f64;
            let bytes = tokens * f64::from(hop.layers.len()) * fixture.model.token_layer_bytes;
            *used.entry((&hop.endpoint, hop.free as u64)).or_default() += bytes;
        }
    }
    assert!(used.iter().all(|((_, free), bytes)| *bytes <= *free as f64));
}

#[test]
fn the_load_of_a_peer_counts_until_it_expires() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let mut in_flight = Tracker::default();
    let full = |chain: &Chain| Load {
        key: chain.key.clone(),
        requests: 192,
        tokens: 10_000_000,
        prefill: 0,
        factor: 1.0,
    };
    in_flight.update_peer("other".into(), chains.iter().map(full).collect(), at_ms(0));
    assert_eq!(fixture.choose(&chains, &in_flight, &[]), None);
    assert_eq!(in_flight.sum(&chains[0].key, at_ms(5_000)).requests, 0);
}

/// Guards against late first events when many prompts arrive at once: a chain gets no more prompts
/// than it can prefill in time, and transfers between availability zones count for all chains that
/// cross.
#[test]
fn a_burst_of_prompts_is_not_sent_where_it_would_begin_late() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let mut in_flight = Tracker::default();
    let prompt = Work { requests: 1, tokens: 1_000, prefill: 1_000 };
    let mut admitted = 0;
    while let Some(chain) = fixture.choose_for(&chains, &in_flight, prompt, false, at_ms(0)) {
        in_flight.add(&chain.key, prompt, at_ms(0));
        admitted += 1;
    }
    assert!(admitted > 10, "{admitted}");
    let prefill = |chain: &Chain| in_flight.sum(&chain.key, at_ms(0)).prefill;
    let crossing: u64 = chains.iter().map(|c| prefill(c) * c.crossings() as u64).sum();
    for chain in &chains {
        let first =
            chain.prefill_time(&fixture.model, 1_000, prefill(chain) - 1_000, crossing as f64);
        assert!(first <= route().objective, "{first:?} on {}", chain.path());
    }
    // A request that accepts a late answer is still admitted if all chains would begin late.
    assert!(fixture.choose_for(&chains, &in_flight, prompt, true, at_ms(0)).is_some());
    let chain = chains[0].key.clone();
    let before = in_flight.sum(&chain, at_ms(0)).prefill;
    in_flight.begin_stream(&chain, prompt, at_ms(0));
    assert_eq!(in_flight.sum(&chain, at_ms(0)).prefill, before - 1_000);
    assert!(fixture.choose_for(&chains, &in_flight, prompt, false, at_ms(0)).is_some());
}

/// Guards against sending further requests to a chain that accepts requests but produces no event.
#[test]
fn a_chain_that_produces_no_event_gets_no_further_requests() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let first = fixture.choose(&chains, &Tracker::default(), &[]).unwrap();
    let mut in_flight = Tracker::default();
    for round in 0..12 {
        in_flight.add(&first.key, prefilled(100), at_ms(round * 150));
        in_flight.close_period(|_, _| Some(Duration::from_millis(40)), at_ms(round * 150));
    }
    let other =
        fixture.choose_for(&chains, &in_flight, prefilled(100), false, at_ms(1_800)).unwrap();
    assert_ne!(other.key, first.key);
    assert!(in_flight.slowdown_factor(&first.key, at_ms(1_800)) > 3.0);
}

/// Guards against overload of one chain when thirty entries choose by loads that are up to one
/// gossip interval old: not all may choose the chain that had the most capacity then.
#[test]
fn entries_that_hear_of_each_other_late_do_not_all_choose_the_same_chain() {
    const ENTRIES: usize = 30;
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let heads: Vec<_> = chains.iter().map(|c| c.key.clone()).collect();
    let mut trackers: Vec<Tracker> = (0..ENTRIES).map(|_| Tracker::default()).collect();
    let mut total = vec![0_u32; heads.len()];
    // Each entry gets a request every 120 ms; the entries send their loads at staggered times.
    for ms in (0..1_800).step_by(10) {
        for entry in 0..ENTRIES {
            if ms % 120 == entry % 12 * 10 {
                let chosen = fixture.choose_for(
                    &chains,
                    &trackers[entry],
                    prefilled(300),
                    false,
                    at_ms(ms as u64),
                );
                let key = chosen.map(|chain| chain.key);
                if let Some(index) = heads.iter().position(|h| Some(h) == key.as_ref()) {
                    trackers[entry].add(&heads[index], prefilled(300), at_ms(ms as u64));
                    total[index] += 1;
                }
            }
            if ms % 900 == entry * 30 {
                let loads = trackers[entry].loads();
                for other in (0..ENTRIES).filter(|&o| o != entry) {
                    let host = format!("entry-{entry}").as_str().into();
                    trackers[other].update_peer(host, loads.clone(), at_ms(ms as u64));
                }
            }
        }
    }
    // Distribution of as many requests by a single entry that has complete information.
    let mut ideal = Tracker::default();
    let mut even = vec![0_u32; heads.len()];
    for _ in 0..total.iter().sum::<u32>() {
        let Some(chain) = fixture.choose_for(&chains, &ideal, prefilled(300), false, at_ms(0))
        else {
            break;
        };
        let index = heads.iter().position(|h| *h == chain.key).unwrap();
        even[index] += 1;
        let key = chain.key.clone();
        ideal.add(&key, prefilled(300), at_ms(0));
    }
    for (most, even) in total.iter().zip(&even) {
        assert!(*most <= even + 30, "{total:?} in place of {even:?}");
    }
}

#[test]
fn a_request_that_reached_its_maximum_of_endpoints_returns_to_one_of_them() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let ran_at = [chains[1].head().clone(), chains[2].head().clone()];
    let chosen = fixture.choose(&chains, &Tracker::default(), &ran_at).unwrap();
    assert!(ran_at.contains(chosen.head()));
    let gone = ["gone-1".into(), "gone-2".into()];
    assert_eq!(fixture.choose(&chains, &Tracker::default(), &gone), None);
}

/// Guards against sending work to a chain with a slow stage: admission follows the observed pauses.
#[test]
fn a_chain_with_long_pauses_gets_little_work() {
    let fixture = Fixture::new(at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let fast = fixture.choose(&chains, &Tracker::default(), &[]).unwrap();
    let mut in_flight = Tracker::default();
    in_flight.add(&fast.key, prefilled(1_000), at_ms(0));
    in_flight.begin_stream(&fast.key, prefilled(1_000), at_ms(0));
    for round in 1..20 {
        in_flight.record_event(&fast.key, Duration::from_millis(900), at_ms(round * 150));
        in_flight.close_period(|_, _| Some(Duration::from_millis(40)), at_ms(round * 150));
    }
    assert!(in_flight.slowdown_factor(&fast.key, at_ms(0)) > 5.0);
    let other = fixture.choose(&chains, &in_flight, &[]).unwrap();
    assert_ne!(other.head(), fast.head());
}

#[test]
fn slowdown_rises_without_events_and_decays_without_requests() {
    let mut meter = Meter::new(at_ms(0));
    for round in 1..10 {
        meter.close_period(Duration::from_millis(50), 3, at_ms(round * 150));
    }
    let silent = meter.factor();
    assert!(silent > 5.0);
    for round in 10..110 {
        meter.close_period(Duration::from_millis(50), 0, at_ms(round * 150));
    }
    assert!(meter.factor() < 1.0 + (silent - 1.0) / 8.0);
}

#[test]
fn an_endpoint_that_fails_often_is_failing_until_a_while_after() {
    let mut failures = Failures::default();
    let (often, once) = ("often".into(), "once".into());
    failures.add(&once, at_ms(0));
    for ms in [0, 100, 200, 300] {
        failures.add(&often, at_ms(ms));
    }
    assert_eq!(failures.failing(at_ms(300)), [often]);
    assert_eq!(failures.failing(at_ms(5_000)), []);
}

#[test]
fn a_plain_service_avoids_endpoints_with_recent_failures() {
    let fixture = Fixture::new(at_ms(0));
    let endpoints: Vec<_> = fixture.view.listing().endpoints.values().take(2).collect();
    let mut failures = Failures::default();
    let choose = |failures: &Failures, tried: &[name::Endpoint]| {
        let all = endpoints.iter().copied();
        let zone = "zone-0".into();
        let found = choice::choose(all, &Tracker::default(), failures, &zone, tried, at_ms(0));
        found.unwrap().id.clone()
    };
    let first = choose(&failures, &[]);
    assert_ne!(choose(&failures, std::slice::from_ref(&first)), first);
    for _ in 0..4 {
        failures.add(&first, at_ms(0));
    }
    assert_ne!(choose(&failures, &[]), first);
    assert!(failures.weight(&first, at_ms(20_000)) < 0.1);
}
