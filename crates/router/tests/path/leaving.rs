//! Tests of endpoints that say in their answers that they are leaving.

use std::time::Duration;

use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// The users' bound on requests to a leaving endpoint, as the settings of the cluster have it.
const DRAIN_TIME: Duration = Duration::from_millis(1000);

/// Makes `endpoints` say that they leave, sends requests until an entry has passed that on, and lets the
/// bound pass.
async fn leave(cluster: &Cluster, path: &str, endpoints: &[&str], values: &[&str]) {
    for endpoint in endpoints {
        cluster.fleet.set_leaving(endpoint, values);
    }
    for number in 0..8 {
        for (n, entry) in cluster.entries.iter().enumerate() {
            entry.call(path, &format!("told-{n}-{number}"), KEY).await;
        }
    }
    sleep(DRAIN_TIME).await;
}

/// Sends requests to all entries, and returns their statuses.
async fn send(cluster: &Cluster, path: &str) -> Vec<u16> {
    let mut statuses = vec![];
    for number in 0..8 {
        for (n, entry) in cluster.entries.iter().enumerate() {
            statuses.push(entry.call(path, &format!("after-{n}-{number}"), KEY).await.status);
        }
    }
    statuses
}

#[actix_rt::test]
async fn a_plain_endpoint_that_says_it_leaves_gets_no_more_calls() {
    let cluster = Cluster::new(2).await;
    leave(&cluster, "/page/a", &["plain-0"], &["1"]).await;
    let before = cluster.fleet.arrivals("plain-0");
    assert!(send(&cluster, "/page/a").await.iter().all(|status| *status == 200));
    assert_eq!(cluster.fleet.arrivals("plain-0"), before);
}

/// The header is there twice, and in a refusal.
#[actix_rt::test]
async fn an_endpoint_that_says_it_leaves_while_it_refuses_gets_no_more_calls() {
    let cluster = Cluster::new(1).await;
    cluster.fleet.set_fault("plain-0", Fault::Full);
    leave(&cluster, "/page/a", &["plain-0"], &["0", "1"]).await;
    let before = cluster.fleet.arrivals("plain-0");
    assert!(send(&cluster, "/page/a").await.iter().all(|status| *status == 200));
    assert_eq!(cluster.fleet.arrivals("plain-0"), before);
}

#[actix_rt::test]
async fn first_stages_that_say_they_leave_get_no_more_generations() {
    let cluster = Cluster::new(2).await;
    let head = {
        let inner = cluster.entries[0].state.inner.borrow();
        inner.chains.values().flat_map(|c| c.iter()).next().unwrap().head().as_str().to_owned()
    };
    for engine in 0..8 {
        let engine = format!("engine-{engine}");
        let value = if engine == head { "1" } else { "0" };
        cluster.fleet.set_leaving(&engine, &[value]);
    }
    while cluster.fleet.arrivals(&head) == 0 {
        let calls = (0..6).map(|n| {
            let entry = &cluster.entries[n % 2];
            async move { entry.call("/draft/a", &format!("told-{n}"), KEY).await }
        });
        futures_util::future::join_all(calls).await;
    }
    sleep(DRAIN_TIME).await;
    cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 1)).await;
    let before = cluster.fleet.arrivals(&head);
    for number in 0..4 {
        for (n, entry) in cluster.entries.iter().enumerate() {
            let answer = entry.call("/draft/a", &format!("after-{n}-{number}"), KEY).await;
            assert_eq!(answer.status, 200);
        }
    }
    assert_eq!(cluster.fleet.arrivals(&head), before);
}

#[actix_rt::test]
async fn an_entry_that_starts_hears_which_endpoints_leave() {
    let mut cluster = Cluster::new(2).await;
    leave(&cluster, "/page/a", &["plain-0"], &["1"]).await;
    let started = cluster.entry(2).await;
    cluster.entries.push(started);
    while !cluster.entries[2].is_ready().await {
        sleep(Duration::from_millis(10)).await;
    }
    let before = cluster.fleet.arrivals("plain-0");
    assert!(send(&cluster, "/page/a").await.iter().all(|status| *status == 200));
    assert_eq!(cluster.fleet.arrivals("plain-0"), before);
}

#[actix_rt::test]
async fn calls_are_refused_at_once_when_all_endpoints_say_they_leave() {
    let cluster = Cluster::new(1).await;
    // The second one is used, and says so, only once the first one is not.
    for _ in 0..2 {
        leave(&cluster, "/once/a", &["plain-0", "plain-1"], &["1"]).await;
    }
    let before = cluster.fleet.arrivals("plain-0") + cluster.fleet.arrivals("plain-1");
    assert!(send(&cluster, "/once/a").await.iter().all(|status| *status == 503));
    assert_eq!(cluster.fleet.arrivals("plain-0") + cluster.fleet.arrivals("plain-1"), before);
}

#[actix_rt::test]
async fn other_values_of_the_header_change_nothing() {
    for value in ["0", "true", "11", "", "1;q=1", "leaving"] {
        let cluster = Cluster::new(1).await;
        leave(&cluster, "/page/a", &["plain-0", "plain-1"], &[value]).await;
        let statuses = send(&cluster, "/page/a").await;
        assert!(statuses.iter().all(|status| *status == 200), "{value}: {statuses:?}");
    }
}
