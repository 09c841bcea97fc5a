//! Tests of a part of prompts under which engines crash.

use std::time::Duration;

use oriole_core::fleet::Incarnation;
use oriole_core::forward::Part;
use oriole_core::forward::quarantine::Suspect;
use oriole_platform_standin::caller::{Answer, Call};
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;
use serde_json::json;
use tokio::time::sleep;

use crate::all_events;
use crate::cluster::Cluster;

/// Part of prompts that crashes engines.
const BAD: &str = "bad0";

/// Part that sound requests share with those that crash engines.
const SHARED: &str = "5c1e07a2";

/// Sends a request to one of the entries in turn; its parts are `parts` and one of its own.
async fn call(cluster: &Cluster, number: usize, parts: &[&str]) -> Answer {
    let entry = &cluster.entries[number % cluster.entries.len()];
    let id = format!("r{number}");
    let mut list: Vec<String> = parts.iter().map(|part| format!("{part}:40")).collect();
    list.push(format!("{:x}:760", 0xabc_000 + number));
    let list = list.join(",");
    let call = Call::new("/draft/a", &id, KEY).parts(&list);
    call.send(entry.callers, |_| {}).await.unwrap()
}

async fn wait_for_chains(cluster: &Cluster) {
    cluster.wait(|c| c.entries.iter().all(|e| e.chains() >= 1)).await;
}

/// The users' bound: of requests with the part, three may reach engines after the fifth crash.
#[actix_rt::test]
async fn engines_do_not_crash_one_after_the_other_by_a_part_of_prompts() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.set_crashing_part(Some(BAD));
    for number in 0..16 {
        wait_for_chains(&cluster).await;
        // No two requests are alike: what they share is the part.
        let other = format!("{number:x}");
        call(&cluster, number, &[SHARED, &other, BAD]).await;
    }
    assert!(cluster.fleet.crashes() <= 5 + 3, "{} crashes", cluster.fleet.crashes());
}

/// The attempts then end for what is found of the engine, not by their connections.
#[actix_rt::test]
async fn crashes_that_leave_connections_open_count_too() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.set_crashing_part(Some(BAD));
    cluster.fleet.set_crashes_hang(true);
    for number in 0..10 {
        wait_for_chains(&cluster).await;
        call(&cluster, number, &[SHARED, &format!("{number:x}"), BAD]).await;
    }
    assert!(cluster.fleet.crashes() <= 5 + 3, "{} crashes", cluster.fleet.crashes());
}

#[actix_rt::test]
async fn a_request_that_has_not_run_is_sent_on_whatever_crashes_its_parts_are_suspect_of() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let chains = state.inner.borrow().chains.clone();
    let heads = chains.values().flat_map(|c| c.iter()).map(|c| c.head().as_str().to_owned());
    let heads: Vec<String> = heads.collect();
    // Whichever chain comes first, it refuses the request in all of these cases but one.
    for (number, able) in heads.iter().enumerate() {
        for head in &heads {
            let fault = if head == able { Fault::None } else { Fault::Full };
            cluster.fleet.set_fault(head, fault);
        }
        // A part of its own, since an answer clears it.
        let part = 0x77 + number as u64;
        for born in 1..=2 {
            let incarnation = Incarnation { endpoint: format!("e{part}").as_str().into(), born };
            state.record_crash(&incarnation, &[Suspect { request: 1, parts: vec![Part(part)] }]);
        }
        let answer = call(&cluster, number, &[&format!("{part:x}")]).await;
        assert_eq!((answer.status, answer.body), (200, all_events()), "only {able} is able");
        sleep(Duration::from_secs(1)).await;
    }
}

#[actix_rt::test]
async fn plain_calls_with_a_quarantined_part_are_refused_too() {
    let stored = json!([{"parts": [0xbad0], "until_ms": u64::MAX}]);
    let cluster = Cluster::with_stored(1, "oriole/quarantine", &stored).await;
    let entry = cluster.entries[0].callers;
    for (path, id) in [("/page/a", "r1"), ("/once/a", "r2")] {
        let call = Call::new(path, id, KEY).parts("5c1e07a2:40,bad0:40,1:760");
        assert_eq!(call.send(entry, |_| {}).await.unwrap().status, 503);
        assert_eq!(cluster.fleet.runs(id), Vec::<String>::new());
        let sound = Call::new(path, "sound", KEY).parts("5c1e07a2:40,1:760");
        assert_eq!(sound.send(entry, |_| {}).await.unwrap().status, 200);
    }
}

/// Entries that all start again have nobody to hear of the part from.
#[actix_rt::test]
async fn entries_that_start_when_no_other_runs_know_a_quarantined_part_from_the_store() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.set_crashing_part(Some(BAD));
    for number in 0..16 {
        wait_for_chains(&cluster).await;
        call(&cluster, number, &[SHARED, &format!("{number:x}"), BAD]).await;
    }
    cluster.wait(|c| c.store.get("oriole/quarantine").is_some()).await;
    let stored = cluster.store.get("oriole/quarantine").unwrap();

    let restarted = Cluster::with_stored(1, "oriole/quarantine", &stored).await;
    restarted.fleet.set_crashing_part(Some(BAD));
    let answer = call(&restarted, 0, &[SHARED, BAD]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.unwrap() > 1.0, "{answer:?}");
    assert_eq!(restarted.fleet.crashes(), 0);
    let sound = call(&restarted, 1, &[SHARED]).await;
    assert_eq!((sound.status, sound.body), (200, all_events()));
}

#[actix_rt::test]
async fn a_request_with_a_part_that_crashes_engines_is_refused_and_sound_ones_are_served() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.set_crashing_part(Some(BAD));
    let mut refused = None;
    for number in 0..16 {
        wait_for_chains(&cluster).await;
        let answer = call(&cluster, number, &[SHARED, BAD]).await;
        if answer.status == 503 && cluster.fleet.runs(&format!("r{number}")).is_empty() {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.expect("all requests with the part were sent to engines");
    assert!(refused.retry_after.unwrap() > 1.0, "{refused:?}");
    let crashes = cluster.fleet.crashes();
    for number in 100..106 {
        wait_for_chains(&cluster).await;
        let answer = call(&cluster, number, &[SHARED]).await;
        assert_eq!((answer.status, answer.body), (200, all_events()), "sound request {number}");
    }
    assert_eq!(cluster.fleet.crashes(), crashes);
}
