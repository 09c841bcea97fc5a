//! Tests of generations that run beside one that crashes endpoints.

use oriole_platform_standin::caller::{Answer, Call};
use oriole_platform_standin::config::KEY;

use crate::cluster::Cluster;

/// Number of sound generations that begin together with one that crashes endpoints.
const BESIDE: usize = 8;

/// Number of chains, of which at most three are lost at a time.
const CHAINS: usize = 5;

/// Endpoints that one request may crash.
const MAX_CRASHES: u64 = 3;

/// Sends the request that crashes endpoints, and sound ones beside it. Returns the answers to those.
async fn send_beside(cluster: &Cluster, round: usize) -> Vec<Answer> {
    let send = |number: usize| {
        let entry = cluster.entries[number % 2].callers;
        let path = match number {
            0 => "/draft/crash".to_owned(),
            number => format!("/draft/beside-{round}-{number}"),
        };
        let id = format!("r{round}-{number}");
        async move { Call::new(&path, &id, KEY).send(entry, |_| {}).await.unwrap() }
    };
    let mut answers = futures_util::future::join_all((0..=BESIDE).map(send)).await;
    answers.split_off(1)
}

/// Requests that were running when endpoints crashed are neither refused nor cut for that.
#[actix_rt::test]
async fn generations_beside_one_that_crashes_endpoints_finish() {
    let cluster = Cluster::new(2).await;
    for number in 8..24 {
        let zone = format!("zone-{}", number % 2);
        cluster.fleet.add_engine(&format!("engine-{number}"), &zone).await.unwrap();
    }
    for round in 0..4 {
        cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= CHAINS)).await;
        for answer in send_beside(&cluster, round).await {
            assert!(answer.status == 200 && answer.is_complete, "round {round}: {answer:?}");
        }
    }
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
}
