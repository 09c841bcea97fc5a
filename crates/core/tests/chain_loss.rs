//! Load pattern: a chain near its capacity loses a stage. Its streams fall silent, a replacement is
//! ready a second later, and the other chains have no room for the work in between.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{listing, model, route, service, site_with};
use oriole_core::fleet::{Cause, Incarnation, Position, View};
use oriole_core::forward::chain::{self, Chain, Query, Resolver};
use oriole_core::forward::headroom::Headroom;
use oriole_core::forward::in_flight::{Tracker, Work};
use oriole_core::placement::{Model, Plan, Stage, revise};
use oriole_core::time::Instant;

const GRACE: Duration = Duration::from_millis(800);

/// Work of a request of usual size.
const WORK: Work = Work { requests: 1, tokens: 1_000, prefill: 800 };

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

/// Returns the usable chains of `plan` at a site whose endpoints hold the layers that it assigns.
fn usable(model: &Model, plan: &Plan, lost: Option<&Stage>, now: Instant) -> Vec<Chain> {
    let mut view = View::default();
    view.update_listing(listing(&site_with(2), plan), at_ms(0));
    if let Some(stage) = lost {
        let incarnation = Incarnation { endpoint: stage.endpoint.clone(), born: 1 };
        view.mark_unhealthy(&incarnation, Cause::ConnectionRefused, now, now);
    }
    let service = service();
    let resolver = Resolver { model, service: &service, view: &view, grace: GRACE, now };
    chain::usable(&resolver, std::slice::from_ref(plan))
}

fn plan(model: &Model) -> Plan {
    let chains = revise::revise(model, &[], &site_with(2));
    Plan { number: 1, position: Position::new(0, 1), services: [(service(), chains)].into() }
}

/// Lets all streams on `chain` be silent for two seconds.
fn fall_silent(in_flight: &mut Tracker, model: &Model, chain: &Chain) {
    for _ in 0..10 {
        in_flight.add(&chain.key, WORK, at_ms(0));
        in_flight.begin_stream(&chain.key, WORK, at_ms(10));
    }
    for step in 1..=13 {
        let estimate = |_: &_, sum: oriole_core::forward::in_flight::Sum| {
            Some(chain.event_time(model, sum.requests, sum.tokens))
        };
        in_flight.close_period(estimate, at_ms(step * 150));
    }
}

fn is_chosen(model: &Model, chain: &Chain, in_flight: &Tracker, now: Instant) -> bool {
    let route = route();
    let query = Query {
        route: &route,
        work: WORK,
        zone: &chain.zone,
        ran_at: &[],
        avoid: None,
        closed: &[],
        accepts_late: false,
        counts_passes: false,
        headroom: Headroom::NONE,
    };
    chain::choose(model, std::slice::from_ref(chain), in_flight, &query, now).is_some()
}

#[test]
fn a_chain_whose_silent_stage_was_replaced_gets_work_at_once() {
    let model = model();
    let plan = plan(&model);
    let whole = usable(&model, &plan, None, at_ms(0));
    let lost = plan.services[&service()][0].stages[1].clone();
    let broken = usable(&model, &plan, Some(&lost), at_ms(0));
    let first = whole.iter().find(|c| c.key == plan.services[&service()][0].stages[0].endpoint);
    let first = first.unwrap();

    let mut in_flight = Tracker::default();
    fall_silent(&mut in_flight, &model, first);
    assert!(!is_chosen(&model, first, &in_flight, at_ms(2_000)), "silent chains get no work");

    assert!(chain::with_other_stages(&whole, &whole).next().is_none());
    let changed: Vec<_> = chain::with_other_stages(&broken, &whole).collect();
    assert!(changed.contains(&&first.key));
    for key in changed {
        in_flight.forget_pauses(key, at_ms(2_000));
    }
    assert!(is_chosen(&model, first, &in_flight, at_ms(2_000)));
    assert!(in_flight.silence(&first.key, 3, at_ms(2_100)).is_some(), "streams stay counted");
}

#[test]
fn moving_to_stages_of_the_same_zone_needs_no_link() {
    let model = model();
    let plan = plan(&model);
    let whole = usable(&model, &plan, None, at_ms(0));
    for chain in &whole {
        assert_eq!(chain.move_time(&model, chain, 100_000), Duration::ZERO);
    }
}

/// A stage that only another zone can replace is reached over a link that all chains share. All
/// tokens of all streams pass it twice, to the stage and back.
#[test]
fn moving_to_another_zone_takes_the_time_of_the_link() {
    let mut model = model();
    let plan = plan(&model);
    let whole = usable(&model, &plan, None, at_ms(0));
    let chain = whole.iter().find(|c| c.crossings() == 0).unwrap();
    let mut other = chain.clone();
    other.hops[1].zone = "zone-far".into();
    other.hops[1].endpoint = "e-far".into();
    // 60,000 tokens of 30,000 bytes, twice.
    let seconds = |model: &Model| chain.move_time(model, &other, 60_000).as_secs_f64();
    assert!((seconds(&model) - 1.8).abs() < 0.01, "{}", seconds(&model));
    model.zone_link_bytes_per_s /= 8.0;
    assert!((seconds(&model) - 14.4).abs() < 0.01, "{}", seconds(&model));
}
