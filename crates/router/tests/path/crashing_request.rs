//! Tests of one request, sent again and again, under which each endpoint crashes.

use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{Method, RequestHead};
use oriole_core::name;
use oriole_platform::ingress;
use oriole_platform_standin::caller::{Answer, Call};
use oriole_platform_standin::config::{self, KEY, PLAIN_SERVICE};
use oriole_platform_standin::store;
use serde_json::json;

use tokio::time::sleep;

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

/// Returns the number of requests that an entry holds.
fn holds(entry: &Entry) -> usize {
    entry.state.summary_of_holds().holds.len()
}

/// Returns the number of crashes of which an entry knows suspects, at most three.
fn crashes_known(entry: &Entry) -> u64 {
    let summary = entry.state.summary_of_holds();
    if !summary.holds.is_empty() {
        return 3;
    }
    summary.suspects.iter().map(|suspect| suspect.crashes.len() as u64).max().unwrap_or_default()
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

/// Repeats that run side by side crash their endpoints within a few milliseconds of each other.
#[actix_rt::test]
async fn repeats_that_crash_endpoints_at_one_moment_are_held() {
    let cluster = start().await;
    for round in 0..6 {
        cluster.wait(|c| c.entries.iter().all(|e| plain_endpoints(e) >= 3)).await;
        let calls = (0..3).map(|number| {
            let entry = cluster.entries[number % 2].callers;
            let id = format!("r{round}-{number}");
            async move { Call::new("/once/crash", &id, KEY).send(entry, |_| {}).await }
        });
        let answers = futures_util::future::join_all(calls).await;
        assert!(answers.iter().all(Result::is_ok), "{answers:?}");
        // The other endpoints have been found to have crashed, too, once the reports are in.
        sleep(Duration::from_millis(300)).await;
    }
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
    assert!(cluster.entries.iter().all(|e| holds(e) == 1));
}

#[actix_rt::test]
async fn a_request_that_crashed_three_endpoints_is_refused_and_others_are_served() {
    let cluster = start().await;
    for (held, path) in ["/page/crash", "/once/crash", "/draft/crash"].into_iter().enumerate() {
        repeat(&cluster, path).await;
        cluster.wait(|c| c.entries.iter().all(|e| holds(e) > held)).await;
        let answer = send(&cluster, path, REPEATS).await;
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

/// Crashes may leave the connections open: what ran is known all the same once one entry finds the loss.
#[actix_rt::test]
async fn a_request_is_held_when_crashed_endpoints_leave_its_connections_open() {
    let cluster = start().await;
    cluster.fleet.set_crashes_hang(true);
    for number in 0..8 {
        if cluster.entries.iter().all(|e| holds(e) > 0) {
            break;
        }
        let crashes = cluster.fleet.crashes();
        let (entry, id) = (cluster.entries[number % 2].callers, format!("r{number}"));
        cluster.wait(|c| c.entries.iter().all(|e| plain_endpoints(e) >= 2)).await;
        actix_rt::spawn(async move {
            let answer = Call::new("/once/crash", &id, KEY).send(entry, |_| {}).await;
            assert!(answer.is_ok(), "{answer:?}");
        });
        cluster
            .wait(|c| c.fleet.crashes() > crashes || c.entries.iter().all(|e| holds(e) > 0))
            .await;
        // Calls of others find that the endpoint refuses connections.
        for entry in &cluster.entries {
            let other = format!("other-{number}");
            entry.call("/page/a", &other, KEY).await;
        }
    }
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
}

#[actix_rt::test]
async fn entries_that_start_know_a_held_request_from_another_one_and_from_the_store() {
    let mut cluster = start().await;
    repeat(&cluster, "/page/crash").await;
    cluster.wait(|c| c.entries.iter().all(|e| holds(e) == 1)).await;
    let crashes = cluster.fleet.crashes();
    let started = cluster.entry(2).await;
    cluster.entries.push(started);
    while !cluster.entries[2].is_ready().await {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(cluster.entries[2].call("/page/crash", "to-a-new-entry", KEY).await.status, 503);
    cluster.wait(|c| c.store.get("oriole/holds").is_some()).await;

    let stored = cluster.store.get("oriole/holds").unwrap();
    let restarted = Cluster::with_stored(1, "oriole/holds", &stored).await;
    let answer = restarted.entries[0].call("/page/crash", "after-a-restart-of-all", KEY).await;
    assert_eq!((answer.status, restarted.fleet.crashes()), (503, 0), "{answer:?}");
    assert_eq!(cluster.fleet.crashes(), crashes);
}

/// Two crashes are in the store, so that the third after a restart of all entries is the third.
#[actix_rt::test]
async fn crashes_that_are_not_yet_enough_outlast_all_entries() {
    let cluster = start().await;
    send(&cluster, "/page/crash", 0).await;
    assert_eq!(cluster.fleet.crashes(), 2);
    let has_both = |stored: &serde_json::Value| {
        stored["summary"]["suspects"][0]["crashes"].as_array().is_some_and(|all| all.len() == 2)
    };
    cluster.wait(|c| c.store.get("oriole/holds").as_ref().is_some_and(has_both)).await;
    // The endpoints of another cluster are others, whatever they are called.
    let stored = cluster.store.get("oriole/holds").unwrap().to_string().replace("plain-", "old-");
    let stored = serde_json::from_str(&stored).unwrap();
    let restarted = Cluster::with_stored(1, "oriole/holds", &stored).await;
    for number in 0..3 {
        restarted.wait(|c| plain_endpoints(&c.entries[0]) >= 1).await;
        restarted.entries[0].call("/page/crash", &format!("r{number}"), KEY).await;
    }
    assert_eq!(restarted.fleet.crashes(), 1);
}

/// Endpoints that fail together, or again and again, are no reason to refuse what they ran meanwhile.
#[actix_rt::test]
async fn a_sound_request_is_not_held_when_endpoints_crash_by_themselves() {
    let cluster = start().await;
    // All four at once, with equal calls on three of them that were never answered before.
    let entry = cluster.entries[0].callers;
    let calls = (0..8).map(|number| async move {
        let other = format!("/once/slow-{number}");
        let path = if number < 3 { "/once/slow" } else { other.as_str() };
        Call::new(path, &format!("r{number}"), KEY).send(entry, |_| {}).await
    });
    let crash = async {
        cluster.wait(|c| (0..8).all(|n| c.fleet.runs(&format!("r{n}")).len() == 1)).await;
        cluster.fleet.crash_plain();
    };
    futures_util::future::join(futures_util::future::join_all(calls), crash).await;
    sleep(Duration::from_millis(400)).await;
    assert_eq!(cluster.entries.iter().map(holds).sum::<usize>(), 0);
    // Again and again, with an answer between.
    for round in 0..4 {
        assert_eq!(send(&cluster, "/page/slow", 100 + round).await.status, 200, "round {round}");
        let id = format!("cut-{round}");
        let call = Call::new("/page/slow", &id, KEY).send(entry, |_| {});
        let crash = async {
            cluster.wait(|c| !c.fleet.runs(&id).is_empty()).await;
            cluster.fleet.crash_plain();
        };
        let (answer, ()) = futures_util::future::join(call, crash).await;
        assert!(answer.is_ok());
    }
    assert_eq!(send(&cluster, "/page/slow", 200).await.status, 200);
    assert_eq!(cluster.entries.iter().map(holds).sum::<usize>(), 0);
}

/// Returns what the store holds after a request was held for `age_ms`, which others may explain.
fn stored_hold(path: &str, age_ms: u64, trials: u32) -> serde_json::Value {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = path.parse().unwrap();
    head.headers.insert(header::HOST, HeaderValue::from_static(config::HOST));
    let workspace = name::Workspace::from("workspace-1");
    let fingerprint = ingress::fingerprint(&head, b"the caller's body ", Some(&workspace));
    json!({"written_ms": u64::MAX, "summary": {"suspects": [], "releases": [], "holds": [
        {"fingerprint": fingerprint, "age_ms": age_ms, "is_tied": true, "trials": trials,
            "trial_age_ms": 0}]}})
}

#[actix_rt::test]
async fn entries_make_one_trial_of_a_held_request_together() {
    let cluster =
        Cluster::with_stored(2, "oriole/holds", &stored_hold("/page/crash", 11_000, 0)).await;
    for number in 0..6 {
        let entry = &cluster.entries[number % 2];
        let answer = entry.call("/page/crash", &format!("r{number}"), KEY).await;
        assert!(matches!(answer.status, 502 | 503), "{answer:?}");
    }
    assert_eq!(cluster.fleet.crashes(), 1);
    let stored = cluster.store.get("oriole/holds").unwrap();
    assert_eq!(stored["summary"]["holds"][0]["trials"], 1, "{stored}");
}

#[actix_rt::test]
async fn a_sound_request_that_was_held_is_served_at_all_entries_after_its_trial() {
    let cluster = Cluster::with_stored(2, "oriole/holds", &stored_hold("/page/a", 11_000, 0)).await;
    assert_eq!(cluster.entries[0].call("/page/a", "trial", KEY).await.status, 200);
    cluster.wait(|c| c.entries.iter().all(|e| holds(e) == 0)).await;
    for (number, entry) in cluster.entries.iter().enumerate() {
        assert_eq!(entry.call("/page/a", &format!("r{number}"), KEY).await.status, 200);
    }
    cluster.wait(|c| c.store.get("oriole/holds").unwrap()["summary"]["holds"] == json!([])).await;
}

/// Without the store entries cannot count trials together, and make none.
#[actix_rt::test]
async fn a_held_request_is_not_tried_while_the_store_is_away() {
    let cluster =
        Cluster::with_stored(1, "oriole/holds", &stored_hold("/page/crash", 11_000, 0)).await;
    cluster.store.set_fault(store::Fault::Silent);
    for number in 0..3 {
        let answer = cluster.entries[0].call("/page/crash", &format!("r{number}"), KEY).await;
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.unwrap() > 1.0, "{answer:?}");
    }
    assert_eq!(cluster.fleet.crashes(), 0);
}

/// Sound calls that run beside the request are suspects with it, and are served all the same.
#[actix_rt::test]
async fn calls_that_run_beside_a_request_that_crashes_endpoints_are_served_afterwards() {
    let cluster = start().await;
    for number in 0..8 {
        cluster.wait(|c| c.entries.iter().all(|e| plain_endpoints(e) >= 2)).await;
        let entry = cluster.entries[number % 2].callers;
        let (bad, sound) = (format!("bad-{number}"), format!("sound-{number}"));
        let bad = Call::new("/page/crash", &bad, KEY).send(entry, |_| {});
        let sound = Call::new("/page/slow", &sound, KEY).send(entry, |_| {});
        let (bad, sound) = futures_util::future::join(bad, sound).await;
        assert!(bad.is_ok() && sound.is_ok());
    }
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
    for (number, path) in ["/page/slow", "/page/a", "/once/a"].into_iter().enumerate() {
        assert_eq!(send(&cluster, path, 100 + number).await.status, 200, "{path}");
    }
}

/// Only the request is known to crash endpoints, not the part of its prompt that sound ones share.
#[actix_rt::test]
async fn a_part_is_not_quarantined_since_one_request_with_it_crashes_endpoints() {
    let cluster = start().await;
    let generation = |path, number: usize, parts: &'static str| {
        let entry = cluster.entries[number % 2].callers;
        let id = format!("r{number}");
        async move { Call::new(path, &id, KEY).parts(parts).send(entry, |_| {}).await.unwrap() }
    };
    for number in 0..8 {
        cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 1)).await;
        generation("/draft/crash", number, "5c1e07a2:40,abc:760").await;
    }
    cluster.wait(|c| c.entries.iter().all(|e| holds(e) == 1)).await;
    sleep(Duration::from_millis(400)).await;
    cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 1)).await;
    for number in 100..102 {
        let answer = generation("/draft/a", number, "5c1e07a2:40,def:760").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Entries that cannot reach each other know of crashes from the store.
#[actix_rt::test]
async fn entries_that_are_cut_from_each_other_count_crashes_together() {
    let cluster = start().await;
    for entry in &cluster.entries {
        *entry.state.hub.borrow_mut() = None;
    }
    for number in 0..8 {
        send(&cluster, "/once/crash", number).await;
        cluster.wait(|c| c.entries.iter().all(|e| crashes_known(e) == c.fleet.crashes())).await;
    }
    assert!(cluster.fleet.crashes() <= MAX_CRASHES, "{} crashes", cluster.fleet.crashes());
}
