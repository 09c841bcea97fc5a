//! Callers that are refused while all chains are full, and come back at another entry.

use oriole_core::fleet::Load;
use oriole_platform_standin::config::{KEY, config};
use oriole_router::metrics::Metrics;
use serde_json::json;

use crate::cluster::{Cluster, Entry};

/// Lets the entry hear that another one fills all chains. That counts until its reports are too old.
fn fill_chains(entry: &Entry) {
    let mut inner = entry.state.inner.borrow_mut();
    let chains = inner.chains.values().flat_map(|chains| chains.iter());
    let full = |key| Load { key, requests: 100_000, tokens: 0, prefill: 0, factor: 1.0 };
    let loads = chains.map(|chain| full(chain.key.clone())).collect();
    inner.in_flight.update_peer("busy".into(), loads, entry.state.now());
}

fn expected(entry: &Entry) -> usize {
    entry.state.inner.borrow().returns.expected(entry.state.now())
}

fn has_counted(metrics: &Metrics, standing: &str) -> bool {
    metrics.text().contains(&format!("oriole_standings_total{{reason=\"{standing}\"}} 1"))
}

/// Puts a configuration in force in which another route to the model has a lower priority.
async fn add_less_urgent_route(cluster: &Cluster) {
    let mut changed = config(2, &[KEY]);
    let mut route = changed["routes"][0].clone();
    (route["prefix"], route["priority"]) = (json!("/review/"), json!(2));
    changed["routes"].as_array_mut().unwrap().push(route);
    cluster.store.put("op/config", &changed);
    let is_ranked = |e: &Entry| !e.state.inner.borrow().ranked_services.is_empty();
    cluster.wait(|c| c.entries.iter().all(is_ranked)).await;
}

/// Guards against a change of how requests are admitted where no priorities tell which of them go first.
#[actix_rt::test]
async fn requests_of_one_priority_are_admitted_by_arrival() {
    let cluster = Cluster::new(1).await;
    let entry = &cluster.entries[0];
    fill_chains(entry);
    assert_eq!(entry.call("/draft/full", "r1", KEY).await.status, 503);
    assert_eq!(expected(entry), 0);
    assert!(!has_counted(&entry.state.metrics, "first"));
}

/// Guards against a caller that is refused at one entry and counts as a first try at the next one, so that it takes
/// the room of callers whose answers could still be in time.
#[actix_rt::test]
async fn a_refused_caller_is_known_at_all_entries() {
    let cluster = Cluster::new(2).await;
    add_less_urgent_route(&cluster).await;
    let [first, second] = &cluster.entries[..] else { panic!("two entries") };
    fill_chains(first);
    let answer = first.call("/draft/full", "r1", KEY).await;
    assert_eq!(answer.status, 503);
    assert!(cluster.fleet.runs("r1").is_empty(), "the refusal promises that it has not run");
    assert!(has_counted(&first.state.metrics, "first"));
    cluster.wait(|_| expected(second) == 1).await;
    // It comes back at once, although it was told to wait, and there is room.
    let answer = second.call("/draft/full", "r2", KEY).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert!(has_counted(&second.state.metrics, "early"));
    let answer = second.call("/draft/other", "r3", KEY).await;
    assert_eq!(answer.status, 200);
    assert!(has_counted(&second.state.metrics, "first"), "another request is not its return");
}
