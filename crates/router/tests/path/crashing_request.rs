//! Tests of one request, sent again and again, under which each endpoint crashes.

use oriole_core::name;
use oriole_platform_standin::caller::{Answer, Call};
use oriole_platform_standin::config::{KEY, PLAIN_SERVICE};

use crate::cluster::{Cluster, Entry};

/// Number of repeats that callers send.
const REPEATS: usize = 24;

/// The users' bound: the first three crashes, and three more requests that reach endpoints.
const MAX_CRASHES: u64 = 3 + 3;

/// Starts two entries before four plain endpoints and eight engines.
async fn start() -> Cluster {
    let cluster = Cluster::new(2).await;
    for number in 2..4 {
        cluster.fleet.add_plain(&format!("plain-{number}"), "zone-0").await.unwrap();
    }
    cluster.wait(|c| c.entries.iter().all(|e| plain_endpoints(e) == 4)).await;
    cluster
}

/// Returns the number of plain endpoints that an entry can use.
fn plain_endpoints(entry: &Entry) -> usize {
    let (now, grace) = (entry.state.now(), entry.state.drain_grace());
    let inner = entry.state.inner.borrow();
    let plain = name::Service::from(PLAIN_SERVICE);
    let endpoints = inner.view.of_service(&plain).map(|e| e.id.clone()).collect::<Vec<_>>();
    endpoints.iter().filter(|id| inner.view.is_usable(id, grace, now)).count()
}

/// Sends a request with an id of its own to one of the entries in turn.
async fn send(cluster: &Cluster, path: &str, number: usize) -> Answer {
    cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 1 && plain_endpoints(e) >= 2)).await;
    let entry = &cluster.entries[number % cluster.entries.len()];
    Call::new(path, &format!("r{number}"), KEY).send(entry.callers, |_| {}).await.unwrap()
}

/// Sends the same request again and again, and returns the last answer.
async fn repeat(cluster: &Cluster, path: &str) -> Answer {
    let mut last = None;
    for number in 0..REPEATS {
        last = Some(send(cluster, path, number).await);
    }
    last.unwrap()
}

#[actix_rt::test]
async fn endpoints_do_not_crash_one_after_the_other_by_one_idempotent_call() {
    let cluster = start().await;
    repeat(&cluster, "/page/crash").await;
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
}

#[actix_rt::test]
async fn endpoints_do_not_crash_one_after_the_other_by_one_call_that_may_not_be_repeated() {
    let cluster = start().await;
    repeat(&cluster, "/once/crash").await;
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
}

#[actix_rt::test]
async fn endpoints_do_not_crash_one_after_the_other_by_one_generation_without_shared_parts() {
    let cluster = start().await;
    repeat(&cluster, "/draft/crash").await;
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
}

#[actix_rt::test]
async fn a_request_that_crashed_three_endpoints_is_refused_and_others_are_served() {
    let cluster = start().await;
    for path in ["/page/crash", "/once/crash", "/draft/crash"] {
        let answer = repeat(&cluster, path).await;
        assert_eq!((answer.status, answer.signature.clone()), (503, None), "{path}: {answer:?}");
        assert!(answer.retry_after.unwrap() > 1.0, "{path}: {answer:?}");
        let crashes = cluster.fleet.crashes();
        for (number, sound) in ["/page/a", "/once/a", "/draft/a"].into_iter().enumerate() {
            assert_eq!(
                send(&cluster, sound, 100 + number).await.status,
                200,
                "{sound} beside {path}"
            );
        }
        assert_eq!(cluster.fleet.crashes(), crashes);
    }
}
