//! Load pattern: single endpoints run at a fraction of their speed for some seconds, and every stream
//! of the chains that they are in pauses too long.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{model, site, site_with};
use oriole_core::fleet::Incarnation;
use oriole_core::fleet::pace::Paces;
use oriole_core::name;
use oriole_core::placement::{Candidate, Chain, revise};
use oriole_core::time::Instant;

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

fn holds(chain: &Chain, endpoint: &name::Endpoint) -> bool {
    chain.stages.iter().any(|s| s.endpoint == *endpoint)
}

fn with_slow(endpoints: &[Candidate], slow: &[name::Endpoint]) -> Vec<Candidate> {
    let mark = |c: &Candidate| Candidate { is_slow: slow.contains(&c.endpoint), ..c.clone() };
    endpoints.iter().map(mark).collect()
}

#[test]
fn a_slow_stage_is_replaced_by_a_spare_of_its_zone() {
    let (model, endpoints) = (model(), site_with(2));
    let before = revise::revise(&model, &[], &endpoints);
    // The second stage of a zone's chain is a small accelerator.
    let slow = before[0].stages[1].endpoint.clone();
    let marked = with_slow(&endpoints, std::slice::from_ref(&slow));
    let after = revise::revise(&model, &before, &marked);
    assert!(after.iter().all(|c| c.is_complete(model.layers)));
    assert!(!after.iter().any(|c| holds(c, &slow)), "{slow} is still in a chain");
    let kept = before.iter().filter(|c| after.contains(c)).count();
    assert_eq!(kept, before.len() - 1, "other chains stay");
    let moved = before[0].stages.iter().filter(|s| !after[0].stages.contains(s)).count();
    assert_eq!(moved, 1, "only the slow stage moves");
    // It is a spare once it is fast again; the plan stays.
    assert_eq!(revise::revise(&model, &after, &endpoints), after);
}

#[test]
fn slow_stages_stay_where_nothing_can_replace_them() {
    let (model, endpoints) = (model(), site());
    let before = revise::revise(&model, &[], &endpoints);
    let all: Vec<_> = endpoints.iter().map(|c| c.endpoint.clone()).collect();
    let after = revise::revise(&model, &before, &with_slow(&endpoints, &all));
    assert_eq!(after, before);
}

#[test]
fn a_slow_pace_counts_for_one_incarnation_and_for_a_while() {
    let mut paces = Paces::default();
    let id: name::Endpoint = "e-1".into();
    let of = |born| Incarnation { endpoint: id.clone(), born };
    assert!(!paces.record(&of(1), 1.1, at_ms(0)), "not slow before or after");
    assert!(paces.record(&of(1), 4.0, at_ms(100)));
    assert!(!paces.record(&of(1), 3.0, at_ms(200)), "still slow");
    assert!(paces.is_slow(&id, 1, at_ms(1_000)));
    assert!(!paces.is_slow(&id, 2, at_ms(1_000)), "restarted");
    assert!(!paces.is_slow(&id, 1, at_ms(200) + Duration::from_secs(3)), "not confirmed");
    assert!(paces.record(&of(1), 1.0, at_ms(1_100)), "fast again");
    assert!(!paces.is_slow(&id, 1, at_ms(1_200)));
}
