//! Tests of endpoints that name how many requests a second they take from all entries together.

use std::time::Duration;

use futures_util::future::join_all;
use oriole_core::fleet::Incarnation;
use oriole_core::forward::rate::Notice;
use oriole_core::name;
use oriole_platform_standin::caller::Answer;
use oriole_platform_standin::config::KEY;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::cluster::Cluster;

/// Requests a second that an endpoint names in these tests.
const LIMIT: f64 = 4.0;

/// Time within which all entries have heard of a limit.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// Sends `count` requests at the same time, to the entries in turn.
async fn send_all(cluster: &Cluster, path: &str, prefix: &str, count: usize) -> Vec<Answer> {
    let send = async |n: usize| {
        let entry = &cluster.entries[n % cluster.entries.len()];
        entry.call(path, &format!("{prefix}{n}"), KEY).await
    };
    join_all((0..count).map(send)).await
}

fn served(answers: &[Answer]) -> usize {
    answers.iter().filter(|a| a.status == 200 && a.is_complete).count()
}

/// The users' bound: one and a half times what the limit allows, and five requests.
fn allowed(elapsed: Duration) -> usize {
    (1.5 * LIMIT * elapsed.as_secs_f64()) as usize + 5
}

/// Names a limit at `endpoints`, lets all entries hear of it, and sends rounds of requests that would
/// exceed it. Returns the answers.
async fn exceed(cluster: &Cluster, path: &str, endpoints: &[String]) -> Vec<Answer> {
    for endpoint in endpoints {
        cluster.fleet.set_limits(endpoint, &[&LIMIT.to_string()]);
    }
    send_all(cluster, path, "first-", 24).await;
    sleep(SPREAD_TIME).await;
    let before: Vec<usize> = endpoints.iter().map(|e| cluster.fleet.arrivals(e)).collect();
    let (began, mut answers) = (Instant::now(), vec![]);
    for round in 0..4 {
        answers.extend(send_all(cluster, path, &format!("{round}-"), 24).await);
    }
    let most = allowed(began.elapsed());
    for (endpoint, before) in endpoints.iter().zip(before) {
        let arrived = cluster.fleet.arrivals(endpoint) - before;
        assert!(arrived <= most, "{arrived} requests at {endpoint}, {most} allowed");
    }
    answers
}

fn engines() -> Vec<String> {
    (0..8).map(|n| format!("engine-{n}")).collect()
}

/// Guards against a limit that is not read, or that each entry holds for itself.
#[actix_rt::test]
async fn an_engine_gets_no_more_generations_from_all_entries_than_it_says_it_takes() {
    let cluster = Cluster::new(3).await;
    let answers = exceed(&cluster, "/draft/a", &engines()).await;
    assert!(served(&answers) > 0, "the limit allows some");
    let others = answers.iter().filter(|a| a.status != 200);
    assert!(others.clone().all(|a| a.status == 503 && a.retry_after.is_some()));
}

#[actix_rt::test]
async fn calls_above_the_limit_of_an_endpoint_go_to_another_one() {
    let cluster = Cluster::new(3).await;
    let answers = exceed(&cluster, "/page/a", &["plain-0".to_owned()]).await;
    assert_eq!(served(&answers), answers.len());
}

/// Guards against an entry that starts, knows of no limit, and sends what the others may not.
#[actix_rt::test]
async fn an_entry_that_starts_holds_the_limits_that_others_know() {
    let mut cluster = Cluster::new(2).await;
    for endpoint in engines() {
        cluster.fleet.set_limits(&endpoint, &[&LIMIT.to_string()]);
    }
    send_all(&cluster, "/draft/a", "first-", 16).await;
    let started = cluster.entry(2).await;
    cluster.entries = vec![started];
    cluster.wait(|c| c.entries[0].chains() >= 2 && c.entries[0].state.is_ready()).await;
    let arrivals = |c: &Cluster| engines().iter().map(|e| c.fleet.arrivals(e)).sum::<usize>();
    let (before, began) = (arrivals(&cluster), Instant::now());
    send_all(&cluster, "/draft/a", "second-", 48).await;
    let arrived = arrivals(&cluster) - before;
    // The heads of two chains.
    assert!(arrived <= 2 * allowed(began.elapsed()), "{arrived} requests");
}

/// An entry that does not reach the one that grants permits sends nothing to a limited endpoint.
#[actix_rt::test]
async fn an_entry_that_gets_no_permits_refuses_at_once_what_only_limited_endpoints_can_serve() {
    let cluster = Cluster::new(1).await;
    let entry = &cluster.entries[0];
    for n in 0..8 {
        let key = format!("oriole/hosts/silent-{n}");
        cluster.store.put(&key, &json!({"address": "127.0.0.1:1"}));
    }
    cluster.wait(|c| c.entries[0].state.entry_count() == 9).await;
    for endpoint in engines() {
        cluster.fleet.set_limits(&endpoint, &[&LIMIT.to_string()]);
        let endpoint = name::Endpoint::from(endpoint.as_str());
        let born = entry.state.inner.borrow().view.get(&endpoint).unwrap().born;
        let incarnation = Incarnation { endpoint, born };
        let notice = Notice { incarnation, rate: Some(LIMIT), age_ms: 0 };
        entry.state.hear_limit(&notice, &"silent-0".into());
    }
    let is_granted_here =
        |head: &String| entry.state.first_for(&head.as_str().into()) == entry.state.host;
    let heads: Vec<String> = engines().into_iter().filter(|e| !is_granted_here(e)).collect();
    assert!(!heads.is_empty(), "others grant the permits of some endpoints");
    let arrivals = |c: &Cluster| heads.iter().map(|e| c.fleet.arrivals(e)).sum::<usize>();
    let before = arrivals(&cluster);
    let answers = send_all(&cluster, "/draft/a", "second-", 24).await;
    assert_eq!(arrivals(&cluster), before);
    assert!(answers.iter().any(|a| a.status == 503 && a.retry_after.is_some()));
}
