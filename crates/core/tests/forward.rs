//! Decisions about one request: chains that can be used, room, retries, events, waiting.
#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{listing, model, proptest_config, route, service, site};
use oriole_core::fleet::{Incarnation, Load, State, View};
use oriole_core::forward::budget::{Bound, Budget};
use oriole_core::forward::chain::{self, Chain, Query, Resolver};
use oriole_core::forward::choice::{self, Failures};
use oriole_core::forward::event::Splitter;
use oriole_core::forward::in_flight::{Tracker, Work};
use oriole_core::forward::outcome::{Failure, Tries};
use oriole_core::forward::queue::{Queue, Refusals};
use oriole_core::forward::slowdown::Meter;
use oriole_core::name;
use oriole_core::placement::{Model, Plan, revise};
use oriole_core::route::Kind;
use oriole_core::time::Instant;
use proptest::prelude::*;

const GRACE: Duration = Duration::from_millis(800);

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

/// A site with a plan whose endpoints hold their layers.
struct Fixture {
    model: Model,
    plan: Plan,
    view: View,
}

impl Fixture {
    fn new() -> Self {
        let (model, endpoints) = (model(), site());
        let chains = revise::revise(&model, &[], &endpoints);
        let plan = Plan { number: 1, revision: 1, services: [(service(), chains)].into() };
        let mut view = View::default();
        view.update_listing(listing(&endpoints, &plan), at_ms(0));
        Self { model, plan, view }
    }

    fn chains(&self, now: Instant) -> Vec<Chain> {
        let service = service();
        let (model, view) = (&self.model, &self.view);
        let resolver = Resolver { model, service: &service, view, grace: GRACE, now };
        chain::usable(&resolver, std::slice::from_ref(&self.plan))
    }

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
            accepts_late: false,
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
        let query =
            Query { route: &route, work, zone: &zone, ran_at: &[], avoid: None, accepts_late };
        chain::choose(&self.model, chains, in_flight, &query, now).cloned()
    }

    fn mark_unhealthy(&mut self, id: &name::Endpoint, now: Instant) {
        self.view.mark_unhealthy(&Incarnation { endpoint: id.clone(), born: 1 }, now, now);
    }
}

/// A request that holds `tokens` tokens and has been read.
fn prefilled(tokens: u64) -> Work {
    Work { requests: 1, tokens, prefill: 0 }
}

/// The layers of a lane, which must be each once and in order.
fn assert_covers_layers(chain: &Chain, layers: u32) {
    let mut next = 0;
    for hop in &chain.hops {
        assert_eq!(hop.layers.first, next, "{}", chain.path());
        next = hop.layers.end;
    }
    assert_eq!(next, layers, "{}", chain.path());
}

#[test]
fn all_chains_of_a_plan_can_be_used() {
    let fixture = Fixture::new();
    let chains = fixture.chains(at_ms(0));
    assert_eq!(chains.len(), fixture.plan.services[&service()].len());
    chains.iter().for_each(|chain| assert_covers_layers(chain, fixture.model.layers));
}

#[test]
fn a_lost_stage_is_bridged_by_endpoints_of_other_chains() {
    let mut fixture = Fixture::new();
    let lost = fixture.plan.services[&service()][0].stages[2].endpoint.clone();
    let head = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&lost, at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let chain = chains.iter().find(|c| c.key == head).unwrap();
    assert_covers_layers(chain, fixture.model.layers);
    assert!(chain.hops.iter().all(|h| h.endpoint != lost));
}

#[test]
fn a_lost_first_stage_is_replaced_by_others_that_hold_its_layers() {
    let mut fixture = Fixture::new();
    let head = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&head, at_ms(0));
    let chains = fixture.chains(at_ms(0));
    let chain = chains.iter().find(|c| c.key == head).unwrap();
    assert_covers_layers(chain, fixture.model.layers);
    assert_ne!(*chain.head(), head);
    assert_eq!(chains.len(), fixture.plan.services[&service()].len());
}

#[test]
fn doubts_that_are_passed_on_are_not_renewed() {
    let mut fixture = Fixture::new();
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&id, at_ms(0));
    let reported = fixture.view.unhealthy(at_ms(4_000));
    assert_eq!((reported.len(), reported[0].1), (1, 4_000));
    let mut other = Fixture::new();
    assert!(other.view.mark_unhealthy(&reported[0].0, at_ms(0), at_ms(4_000)));
    assert!(!fixture.view.mark_unhealthy(&reported[0].0, at_ms(0), at_ms(4_000)));
    assert!(other.view.is_unhealthy(&id, at_ms(5_900)));
    assert!(!other.view.is_unhealthy(&id, at_ms(6_100)));
}

#[test]
fn a_doubt_ends_with_another_start_of_the_endpoint() {
    let mut fixture = Fixture::new();
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    fixture.mark_unhealthy(&id, at_ms(0));
    assert!(fixture.view.is_unhealthy(&id, at_ms(1)));
    let mut listing = fixture.view.listing().clone();
    listing.revision += 1;
    listing.endpoints.get_mut(&id).unwrap().born = 2;
    fixture.view.update_listing(listing, at_ms(10));
    assert!(!fixture.view.is_unhealthy(&id, at_ms(10)));
}

#[test]
fn a_leaving_endpoint_gets_no_work_after_the_grace() {
    let mut fixture = Fixture::new();
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    let mut listing = fixture.view.listing().clone();
    listing.revision += 1;
    listing.endpoints.get_mut(&id).unwrap().state = State::Draining;
    fixture.view.update_listing(listing, at_ms(0));
    assert!(fixture.view.is_usable(&id, GRACE, at_ms(700)));
    assert!(!fixture.view.is_usable(&id, GRACE, at_ms(800)));
    assert!(!fixture.view.is_ready(&id, at_ms(0)));
}

#[test]
fn an_older_listing_changes_nothing() {
    let mut fixture = Fixture::new();
    let mut older = fixture.view.listing().clone();
    older.revision = 0;
    older.endpoints.clear();
    assert!(!fixture.view.update_listing(older, at_ms(50)));
    assert!(!fixture.view.listing().endpoints.is_empty());
}

#[test]
fn only_periods_that_run_out_make_time_matter() {
    let mut fixture = Fixture::new();
    let id = fixture.plan.services[&service()][0].stages[1].endpoint.clone();
    assert!(fixture.view.has_no_pending_expiry(GRACE, at_ms(0)));
    fixture.view.pause(&id, at_ms(0));
    assert!(!fixture.view.has_no_pending_expiry(GRACE, at_ms(399)));
    assert!(fixture.view.has_no_pending_expiry(GRACE, at_ms(400)));
    fixture.mark_unhealthy(&id, at_ms(1_000));
    assert!(!fixture.view.has_no_pending_expiry(GRACE, at_ms(6_999)));
    assert!(fixture.view.has_no_pending_expiry(GRACE, at_ms(7_000)));
}

/// One of many entries has a slow link: it hears nothing from endpoints that work.
#[test]
fn an_endpoint_is_doubted_when_several_entries_hear_nothing() {
    let mut fixture = Fixture::new();
    let id = fixture.plan.services[&service()][0].stages[1].endpoint.clone();
    let incarnation = Incarnation { endpoint: id.clone(), born: 1 };
    for ms in [0, 300, 600] {
        assert!(!fixture.view.suspect(&incarnation, "slow".into(), 4, at_ms(ms)));
    }
    // Too late to count together.
    assert!(!fixture.view.suspect(&incarnation, "other".into(), 4, at_ms(2_700)));
    assert!(!fixture.view.is_unhealthy(&id, at_ms(2_700)));
    assert!(fixture.view.suspect(&incarnation, "third".into(), 4, at_ms(2_800)));
    assert!(fixture.view.is_unhealthy(&id, at_ms(2_800)));
    let mut large = Fixture::new();
    for (n, host) in ["a", "b", "c", "d"].into_iter().enumerate() {
        assert_eq!(large.view.suspect(&incarnation, host.into(), 29, at_ms(0)), n == 3);
    }
    let mut alone = Fixture::new();
    assert!(alone.view.suspect(&incarnation, "only".into(), 1, at_ms(0)));
}

/// The store was away and leases ran out: endpoints come back within two seconds of its return.
#[test]
fn endpoints_that_lapsed_in_an_outage_are_given_time_to_come_back() {
    let mut fixture = Fixture::new();
    let all = fixture.view.listing().endpoints.len();
    let listed = |revision, count| {
        let mut listing = listing(&site(), &Plan::default());
        listing.revision = revision;
        listing.endpoints = listing.endpoints.into_iter().take(count).collect();
        listing
    };
    // Without an outage a missing endpoint is gone.
    fixture.view.update_listing(listed(2, all - 1), at_ms(600));
    assert_eq!(fixture.view.listing().endpoints.len(), all - 1);
    fixture.view.update_listing(listed(3, 3), at_ms(6_600));
    assert_eq!(fixture.view.listing().endpoints.len(), all - 1);
    fixture.view.update_listing(listed(4, 20), at_ms(7_200));
    assert_eq!(fixture.view.listing().endpoints.len(), all - 1);
    // What is still missing after two seconds is gone.
    fixture.view.update_listing(listed(5, 30), at_ms(7_800));
    fixture.view.update_listing(listed(6, 30), at_ms(8_400));
    fixture.view.update_listing(listed(7, 30), at_ms(9_000));
    assert_eq!(fixture.view.listing().endpoints.len(), 30);
}

#[test]
fn what_an_endpoint_reported_outlasts_registrations_written_before() {
    let mut fixture = Fixture::new();
    let id = fixture.plan.services[&service()][0].stages[0].endpoint.clone();
    let layers = oriole_core::placement::Range { first: 3, end: 9 };
    fixture.view.record_layers(&Incarnation { endpoint: id.clone(), born: 1 }, layers, 4);
    let listed = |beat| {
        let mut listing = listing(&site(), &fixture.plan);
        listing.revision = beat;
        listing.endpoints.get_mut(&id).unwrap().heartbeat = beat;
        listing
    };
    fixture.view.update_listing(listed(2), at_ms(10));
    assert_eq!(fixture.view.get(&id).unwrap().layers, layers);
    assert_eq!(fixture.view.get(&id).unwrap().orders, 4);
    // A registration of two heartbeats later is newer for certain.
    fixture.view.update_listing(listed(3), at_ms(20));
    assert_ne!(fixture.view.get(&id).unwrap().layers, layers);
}

/// Demand beyond what the chains hold: nothing is admitted beyond the memory of any stage.
#[test]
fn a_burst_is_not_admitted_beyond_the_room_of_any_stage() {
    let fixture = Fixture::new();
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

/// A stage that serves two chains at once has its memory counted for both.
#[test]
fn a_bridging_endpoint_is_not_filled_twice() {
    let mut fixture = Fixture::new();
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
fn work_of_other_entries_counts_until_they_fall_silent() {
    let fixture = Fixture::new();
    let chains = fixture.chains(at_ms(0));
    let mut in_flight = Tracker::default();
    let full = |chain: &Chain| Load {
        head: chain.key.clone(),
        requests: 192,
        tokens: 10_000_000,
        prefill: 0,
        factor: 1.0,
    };
    in_flight.update_peer("other".into(), chains.iter().map(full).collect(), at_ms(0));
    assert_eq!(fixture.choose(&chains, &in_flight, &[]), None);
    assert_eq!(in_flight.sum(&chains[0].key, at_ms(5_000)).requests, 0);
}

/// Many prompts at once: a chain gets no more than it reads before its first events would be late,
/// and what passes between availability zones counts for all chains that pass there.
#[test]
fn a_burst_of_prompts_is_not_sent_where_it_would_begin_late() {
    let fixture = Fixture::new();
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
    // Where all would begin late, late is better than never, up to a point.
    assert!(fixture.choose_for(&chains, &in_flight, prompt, true, at_ms(0)).is_some());
    let chain = chains[0].key.clone();
    let before = in_flight.sum(&chain, at_ms(0)).prefill;
    in_flight.begin_stream(&chain, prompt, at_ms(0));
    assert_eq!(in_flight.sum(&chain, at_ms(0)).prefill, before - 1_000);
    assert!(fixture.choose_for(&chains, &in_flight, prompt, false, at_ms(0)).is_some());
}

/// A chain takes requests and gives no event: it must not go on to take them.
#[test]
fn a_chain_that_never_begins_is_left() {
    let fixture = Fixture::new();
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

/// Thirty entries choose by what they heard up to an interval of news ago: their requests must not
/// all go where there was most room then.
#[test]
fn entries_that_hear_of_each_other_late_do_not_all_choose_the_same_chain() {
    const ENTRIES: usize = 30;
    let fixture = Fixture::new();
    let chains = fixture.chains(at_ms(0));
    let heads: Vec<_> = chains.iter().map(|c| c.key.clone()).collect();
    let mut trackers: Vec<Tracker> = (0..ENTRIES).map(|_| Tracker::default()).collect();
    let mut total = vec![0_u32; heads.len()];
    // One request each 120 ms at each entry; entries tell the others at times of their own.
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
    // What one that always knows all would do with as many requests.
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
fn a_request_that_ran_at_as_many_endpoints_as_allowed_goes_back_to_one_of_them() {
    let fixture = Fixture::new();
    let chains = fixture.chains(at_ms(0));
    let ran_at = [chains[1].head().clone(), chains[2].head().clone()];
    let chosen = fixture.choose(&chains, &Tracker::default(), &ran_at).unwrap();
    assert!(ran_at.contains(chosen.head()));
    let gone = ["gone-1".into(), "gone-2".into()];
    assert_eq!(fixture.choose(&chains, &Tracker::default(), &gone), None);
}

/// A stage turns slow: its chain gets less, and what it gets follows the pauses that are seen.
#[test]
fn a_chain_with_long_pauses_gets_little_work() {
    let fixture = Fixture::new();
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
fn a_gauge_without_events_notices_silence_and_forgets_it() {
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
fn a_plain_service_avoids_endpoints_that_failed_lately() {
    let fixture = Fixture::new();
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

#[test]
fn only_what_certainly_did_not_run_is_tried_again_where_it_may_run_once() {
    let mut once = route();
    once.kind = Kind::NonIdempotent;
    let tries = Tries::default();
    assert!(tries.may_retry(&once, Failure::NotSent));
    assert!(tries.may_retry(&once, Failure::NotExecuted));
    assert!(!tries.may_retry(&once, Failure::Unknown));
    assert!(!tries.may_retry(&once, Failure::Doubted));
    let mut stream = route();
    assert!(tries.may_retry(&stream, Failure::Unknown));
    stream.resumable = false;
    assert!(!tries.may_retry(&stream, Failure::Unknown));
}

/// An entry whose own link is slow takes endpoints for lost that work: they count all the same.
#[test]
fn every_endpoint_that_may_have_run_a_request_counts() {
    let mut tries = Tries::default();
    let (a, b): (name::Endpoint, name::Endpoint) = ("a".into(), "b".into());
    tries.record(&a, Failure::Doubted);
    assert!(tries.may_have_run && tries.may_run_elsewhere(&route()));
    tries.record(&b, Failure::Unknown);
    tries.record(&b, Failure::Doubted);
    assert_eq!(tries.ran_at, [a.clone(), b]);
    assert!(!tries.may_run_elsewhere(&route()));
    tries.record(&a, Failure::NotExecuted);
    assert_eq!((tries.ran_at.len(), tries.not_run), (2, 1));
}

#[test]
fn ranks_go_first_and_workspaces_take_turns() {
    let mut queue = Queue::default();
    let much = |queue: &mut Queue| queue.push(1, Some("much".into())).unwrap();
    let first: Vec<_> = (0..4).map(|_| much(&mut queue)).collect();
    let little = queue.push(1, Some("little".into())).unwrap();
    let urgent = queue.push(0, Some("much".into())).unwrap();
    let mut order = vec![];
    while let Some(ticket) = queue.first() {
        order.push(ticket);
        queue.remove(ticket, true);
    }
    assert_eq!(order, [urgent, first[0], little, first[1], first[2], first[3]]);
}

#[test]
fn a_queue_refuses_what_it_cannot_hold() {
    let mut queue = Queue::default();
    let mut count = 0;
    while queue.push(1, None).is_some() {
        count += 1;
        assert!(count < 100_000);
    }
    assert!(!queue.would_be_first(1));
    assert!(queue.would_be_first(0));
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// However a stream is cut into pieces, whole events come out once, in order, unchanged.
    #[test]
    fn events_do_not_depend_on_how_the_stream_is_cut(
        lengths in prop::collection::vec(0_usize..40, 1..20),
        cuts in prop::collection::vec(1_usize..30, 1..80),
        carriage in any::<bool>(),
    ) {
        let line = if carriage { "\r\n" } else { "\n" };
        let event = |(i, n): (usize, &usize)| {
            format!("id: {}{line}data: {}{line}{line}", i + 1, "x".repeat(*n))
        };
        let stream: String = lengths.iter().enumerate().map(event).collect();
        let mut splitter = Splitter::default();
        let (mut out, mut count, mut rest) = (vec![], 0, stream.as_bytes());
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let (piece, left) = rest.split_at(cuts.next().unwrap().min(rest.len()));
            let whole = splitter.push(piece).unwrap();
            count += whole.count;
            out.extend(whole.bytes);
            rest = left;
        }
        prop_assert!(!splitter.is_partial());
        prop_assert_eq!(out, stream.as_bytes());
        prop_assert_eq!(count, lengths.len());
        let last = lengths.len().to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }

    /// A stream that is cut anywhere passes on only whole events and knows the last of them.
    #[test]
    fn a_torn_event_is_not_passed_on(count in 1_usize..10, cut in any::<prop::sample::Index>()) {
        let stream: String = (1..=count).map(|i| format!("id: {i}\ndata: d\n\n")).collect();
        let cut = cut.index(stream.len());
        let mut splitter = Splitter::default();
        let whole = splitter.push(&stream.as_bytes()[..cut]).unwrap();
        prop_assert!(whole.bytes.is_empty() || whole.bytes.ends_with(b"\n\n"));
        let last = (whole.count > 0).then(|| whole.count.to_string());
        prop_assert_eq!(splitter.last_id(), last.as_deref());
    }

    /// In any window, all entries together make no more retries than the bound.
    #[test]
    fn entries_together_keep_the_retry_bound(
        entries in 1_usize..6,
        steps in prop::collection::vec((0_usize..6, any::<bool>(), 0_u64..200), 1..400),
    ) {
        let bound = Bound { ratio: 0.2, fixed: 40.0, window: Duration::from_secs(10) };
        let mut budgets: Vec<_> = (0..entries).map(|_| Budget::new(bound)).collect();
        let (mut requests, mut retries, mut ms) = (vec![], vec![], 0);
        for (entry, retry, pause) in steps {
            ms += pause;
            let budget = &mut budgets[entry % entries];
            if !retry {
                budget.record_request(at_ms(ms));
                requests.push(ms);
            } else if budget.try_take(entries, at_ms(ms)) {
                retries.push(ms);
            }
            let within = |times: &[u64]| times.iter().filter(|t| ms - **t <= 10_000).count() as f64;
            prop_assert!(within(&retries) <= bound.fixed + bound.ratio * within(&requests));
        }
    }

    /// Refused callers are spread over time, and told to come back within seconds.
    #[test]
    fn refused_callers_come_back_spread(
        refused in 1_usize..600,
        randoms in prop::collection::vec(any::<u64>(), 2),
    ) {
        let mut refusals = Refusals::default();
        for _ in 1..refused {
            refusals.refuse(at_ms(0), 0);
        }
        let first = refusals.refuse(at_ms(0), randoms[0]);
        prop_assert!(first >= Duration::from_millis(800) && first < Duration::from_secs(6));
        let second = refusals.refuse(at_ms(0), randoms[1]);
        prop_assert!(randoms[0] >> 11 == randoms[1] >> 11 || first != second);
    }
}

/// Requests that are refused twice, of those that come while `served_ms` apart can be served in the
/// first six seconds and twice as many afterwards; each comes back once, after `wait`.
fn refused_twice(mut wait: impl FnMut(Instant, u64) -> Duration) -> usize {
    let mut random = 1_u64;
    let mut arrivals = std::collections::BTreeSet::new();
    // 50 a second for 12 s.
    for n in 0..600_u64 {
        arrivals.insert((n * 20, n, false));
    }
    let (mut free_at, mut twice) = (0.0, 0);
    while let Some((ms, n, is_return)) = arrivals.pop_first() {
        let service_ms = if ms < 6_000 { 40.0 } else { 10.0 };
        // A request waits for at most 250 ms.
        if free_at - ms as f64 <= 250.0 {
            free_at = f64::max(free_at, ms as f64) + service_ms;
        } else if is_return {
            twice += 1;
        } else {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let back = wait(at_ms(ms), random).as_millis() as u64;
            arrivals.insert((ms + back, n, true));
        }
    }
    twice
}

/// Half of the capacity is gone for six seconds: callers that are told to come back later the more
/// are refused find room more often than those that come back soon.
#[test]
fn callers_that_come_back_later_while_capacity_is_short_find_room() {
    let soon = refused_twice(|_, random| Duration::from_millis(800 + random % 800));
    let mut refusals = Refusals::default();
    let later = refused_twice(|now, random| refusals.refuse(now, random));
    println!("refused twice: {soon} coming back soon, {later} coming back later");
    assert!(later * 4 < soon * 3, "{later} of {soon}");
}
