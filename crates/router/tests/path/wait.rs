//! Tests of endpoints that refuse requests with 503 and say for how long they are in back-off.

use std::time::Duration;

use futures_util::future::join_all;
use oriole_platform_standin::caller::Answer;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Wait that endpoints name in these tests.
const WAIT: &str = "2.5";

/// The users' bound: requests that may reach an endpoint from half a second after its answer until
/// the end of its wait.
const MAX_CONTACTS: usize = 2;

/// Time after the answer from which on the bound holds.
const SLACK: Duration = Duration::from_millis(500);

/// Time for which requests are sent within the bound: less than the rest of the wait.
const BOUND_TIME: Duration = Duration::from_millis(1500);

async fn refuse(cluster: &Cluster, endpoints: &[String], headers: &[(&str, &str)]) {
    for endpoint in endpoints {
        cluster.fleet.set_fault(endpoint, Fault::Full);
        cluster.fleet.set_headers(endpoint, headers);
    }
}

async fn send(cluster: &Cluster, path: &str, prefix: &str, count: usize) -> Vec<Answer> {
    let calls = (0..count).map(|n| {
        let entry = &cluster.entries[n % cluster.entries.len()];
        async move { entry.call(path, &format!("{prefix}-{n}"), KEY).await }
    });
    join_all(calls).await
}

/// Lets endpoints refuse requests, and checks how many requests reach them later in their wait.
async fn check_bound(cluster: &Cluster, path: &str, endpoints: &[String]) -> Vec<Answer> {
    refuse(cluster, endpoints, &[("retry-after", WAIT)]).await;
    send(cluster, path, "told", 8).await;
    sleep(SLACK).await;
    let before: Vec<usize> = endpoints.iter().map(|e| cluster.fleet.contacts(e)).collect();
    let until = tokio::time::Instant::now() + BOUND_TIME;
    let (mut answers, mut round) = (vec![], 0);
    while tokio::time::Instant::now() < until {
        answers.extend(send(cluster, path, &format!("r{round}"), 4).await);
        round += 1;
        sleep(Duration::from_millis(50)).await;
    }
    for (endpoint, before) in endpoints.iter().zip(before) {
        let contacts = cluster.fleet.contacts(endpoint) - before;
        assert!(contacts <= MAX_CONTACTS, "{contacts} requests reached {endpoint} in its wait");
    }
    answers
}

#[actix_rt::test]
async fn a_plain_endpoint_gets_nothing_for_as_long_as_it_says() {
    let cluster = Cluster::new(1).await;
    let answers = check_bound(&cluster, "/page/a", &["plain-0".to_owned()]).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
}

#[actix_rt::test]
async fn engines_get_nothing_for_as_long_as_they_say_reports_included() {
    let cluster = Cluster::new(1).await;
    let engines: Vec<String> = (0..8).map(|n| format!("engine-{n}")).collect();
    let answers = check_bound(&cluster, "/draft/a", &engines).await;
    assert!(answers.iter().all(|answer| answer.status == 503), "{answers:?}");
}

#[actix_rt::test]
async fn calls_are_refused_at_once_until_the_first_wait_ends_if_all_endpoints_wait() {
    let cluster = Cluster::new(1).await;
    let plain = ["plain-0".to_owned(), "plain-1".to_owned()];
    let answers = check_bound(&cluster, "/once/a", &plain).await;
    assert!(answers.iter().all(|answer| answer.status == 503));
    let waits: Vec<f64> = answers.iter().filter_map(|answer| answer.retry_after).collect();
    assert_eq!(waits.len(), answers.len());
    let distinct: std::collections::BTreeSet<String> = waits.iter().map(f64::to_string).collect();
    assert!(distinct.len() > 4, "callers come back as one: {waits:?}");
    // Served again after the wait, without a restart.
    for endpoint in &plain {
        cluster.fleet.set_fault(endpoint, Fault::None);
        cluster.fleet.set_headers(endpoint, &[]);
    }
    while cluster.entries[0].call("/once/a", "later", KEY).await.status != 200 {
        sleep(Duration::from_millis(50)).await;
    }
}

/// Each value has a meaning, and none of them fails a request.
#[actix_rt::test]
async fn unreadable_waits_are_as_none() {
    for value in ["", "soon", "-3", "0", "NaN", "inf", "Wed, 21 Oct 2026 07:28:00 GMT", "1e999"] {
        let cluster = Cluster::new(1).await;
        let plain = ["plain-0".to_owned(), "plain-1".to_owned()];
        refuse(&cluster, &plain, &[("retry-after", value)]).await;
        send(&cluster, "/page/a", "told", 2).await;
        for endpoint in &plain {
            cluster.fleet.set_fault(endpoint, Fault::None);
        }
        let answer = cluster.entries[0].call("/page/a", "after", KEY).await;
        assert_eq!(answer.status, 200, "{value}");
    }
}
