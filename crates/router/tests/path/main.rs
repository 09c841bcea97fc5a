//! End-to-end tests of the entry with faults: callers, entries, chains of engines, plain services.

#![allow(clippy::unwrap_used)] // test helpers panic on failure, as the tests do

mod back_off;
mod cluster;
mod crashing_request;
mod cut_off;
mod drills;
mod endless;
mod large;
mod late_version;
mod leaving;
mod limit;
mod lost_state;
mod odd_registration;
mod orders;
mod pause;
mod prompt_part;
mod refused;
mod registration;
mod restore;
mod resumed;
mod retry_budget;
mod secret;
mod silence;
mod stop;
mod suspects;
mod unframed;
mod wait;

use std::cell::Cell;

use cluster::Cluster;
use oriole_platform_standin::caller::{self, Answer};
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::{fleet, store};
use oriole_router::process;

/// Returns the complete stream that each stand-in engine sends.
fn all_events() -> String {
    (1..=40).map(|n| format!("id: {n}\ndata: token-{n}\n\n")).collect()
}

#[actix_rt::test]
async fn a_generation_runs_once_over_a_chain() {
    let cluster = Cluster::new(1).await;
    let answer = cluster.entries[0].call("/draft/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, all_events());
    let runs = cluster.fleet.runs("r1");
    assert_eq!(runs.len(), 1);
    assert_eq!(answer.signature, Some(format!("of-{}", runs[0])));
    let path = cluster.fleet.path("r1").unwrap();
    let mut next = 0;
    for part in path.split(',') {
        let (_, layers) = part.split_once('=').unwrap();
        let (first, end) = layers.split_once('-').unwrap();
        assert_eq!(first.parse::<u32>().unwrap(), next, "{path}");
        next = end.parse().unwrap();
    }
    assert_eq!(next, 80, "{path}");
    assert_eq!(cluster.fleet.last_workspace().as_deref(), Some("workspace-1"));
    assert_eq!(cluster.fleet.last_key(), None);
}

/// Starts stream `r1`, makes `endpoint` stop responding after the tenth event, and returns the
/// response.
async fn lose_endpoint(cluster: &Cluster, endpoint: impl Fn() -> String) -> Answer {
    let lost = Cell::new(false);
    let answer = cluster.entries[0].call_while("/draft/a", "r1", KEY, |body| {
        if body.contains("id: 10\n") && !lost.replace(true) {
            cluster.fleet.set_fault(&endpoint(), fleet::Fault::Unresponsive);
        }
    });
    answer.await
}

async fn lose_second_stage(cluster: &Cluster) -> Answer {
    let second = || {
        let path = cluster.fleet.path("r1").unwrap();
        let address = path.split(',').nth(1).unwrap().split('=').next().unwrap().to_owned();
        cluster.fleet.endpoint_at(&address).unwrap()
    };
    lose_endpoint(cluster, second).await
}

/// Checks that the caller got one complete response although the request ran twice.
fn assert_resumed_elsewhere(cluster: &Cluster, answer: &Answer) {
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    let runs = cluster.fleet.runs("r1");
    assert_eq!(runs.len(), 2);
    assert_eq!(answer.signature, Some(format!("of-{}", runs[0])));
}

#[actix_rt::test]
async fn a_lost_stage_is_replaced_without_running_the_request_again() {
    let cluster = Cluster::with_zones(1, 1).await;
    let answer = lose_second_stage(&cluster).await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
}

#[actix_rt::test]
async fn a_stream_resumes_on_another_chain_if_only_another_zone_could_replace_a_stage() {
    let cluster = Cluster::new(1).await;
    let answer = lose_second_stage(&cluster).await;
    assert_resumed_elsewhere(&cluster, &answer);
}

#[actix_rt::test]
async fn a_stream_resumes_on_another_chain_when_its_first_stage_is_lost() {
    let cluster = Cluster::new(1).await;
    let answer = lose_endpoint(&cluster, || cluster.fleet.runs("r1")[0].clone()).await;
    assert_resumed_elsewhere(&cluster, &answer);
}

#[actix_rt::test]
async fn an_event_cut_off_in_the_middle_is_sent_once_and_complete() {
    let cluster = Cluster::new(1).await;
    for n in 0..8 {
        cluster.fleet.set_fault(&format!("engine-{n}"), fleet::Fault::BreakStream);
    }
    let repaired = Cell::new(false);
    let answer = cluster.entries[0]
        .call_while("/draft/a", "r1", KEY, |body| {
            if body.contains("id: 19\n") && !repaired.get() {
                repaired.set(true);
                let first = cluster.fleet.runs("r1")[0].clone();
                for n in 0..8 {
                    let id = format!("engine-{n}");
                    if id != first {
                        cluster.fleet.set_fault(&id, fleet::Fault::None);
                    }
                }
            }
        })
        .await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(cluster.fleet.runs("r1").len(), 2);
}

/// A stream is silent while others on its chain have events, and no retry budget is left to run it
/// on another chain. Its engine works, so it must be waited for instead of being ended.
#[actix_rt::test]
async fn a_silent_stream_that_can_run_nowhere_else_is_waited_for() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let mut settings = state.settings.clone();
    (settings.retries.ratio, settings.retries.fixed) = (0.0, 0.0);
    state.reload(&settings);
    for n in 0..8 {
        cluster.fleet.set_fault(&format!("engine-{n}"), fleet::Fault::Preempt);
    }
    // Stands for other streams on the same chain, each event of which is recorded here.
    let others = async {
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            for engine in cluster.fleet.runs("slow") {
                let now = state.now();
                state.inner.borrow_mut().last_event_at.insert(engine.as_str().into(), now);
            }
        }
    };
    let answer = tokio::select! {
        answer = cluster.entries[0].call("/draft/a", "slow", KEY) => answer,
        () = others => panic!("the loop of other streams ended"),
    };
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert_eq!(cluster.fleet.runs("slow").len(), 1);
}

#[actix_rt::test]
async fn a_non_idempotent_call_is_not_sent_again_when_its_response_is_lost() {
    let cluster = Cluster::new(1).await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(id, fleet::Fault::ResetResponses);
    }
    let answer = cluster.entries[0].call("/once/a", "r1", KEY).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.signature, None);
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
}

#[actix_rt::test]
async fn an_idempotent_call_is_sent_to_another_endpoint_when_its_response_is_lost() {
    let cluster = Cluster::new(1).await;
    let probe = cluster.entries[0].call("/page/a", "probe", KEY).await;
    assert_eq!(probe.body, "the whole page");
    let first = cluster.fleet.runs("probe")[0].clone();
    cluster.fleet.set_fault(&first, fleet::Fault::ResetResponses);
    let answer = cluster.entries[0].call("/page/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "the whole page"));
    assert_eq!(cluster.fleet.runs("r1").len(), 2);
}

#[actix_rt::test]
async fn a_refused_request_has_not_run_and_gets_retry_after() {
    let cluster = Cluster::new(1).await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(id, fleet::Fault::Full);
    }
    for (path, id) in [("/once/a", "r1"), ("/page/a", "r2")] {
        let answer = cluster.entries[0].call(path, id, KEY).await;
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.unwrap() > 0.0);
        assert_eq!(cluster.fleet.runs(id), Vec::<String>::new());
    }
}

/// Guards against a promise that a request has not run, and against a second run, because of a refusal that
/// the endpoint had written before.
#[actix_rt::test]
async fn a_refusal_of_another_request_says_nothing_of_this_one() {
    let cluster = Cluster::new(1).await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(id, fleet::Fault::EarlierRefusal);
    }
    let answer = cluster.entries[0].call("/once/a", "r1", KEY).await;
    assert_eq!(answer.status, 502);
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
}

/// Guards against a status that promises that a request has not run, where the endpoint has run it.
#[actix_rt::test]
async fn a_refusal_that_does_not_state_that_the_request_has_not_run_is_no_promise() {
    let cluster = Cluster::new(1).await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(id, fleet::Fault::UnstatedRefusal);
    }
    let answer = cluster.entries[0].call("/once/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.signature), (502, None));
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
    // A request that may be repeated gets the endpoint's own answer.
    assert_eq!(cluster.entries[0].call("/page/a", "r2", KEY).await.status, 503);
}

/// Callers disconnect before the entry reads their requests, as when its event loop is blocked. The
/// entry must notice that and not forward the requests.
#[actix_rt::test]
async fn a_request_whose_caller_has_left_is_not_sent_on() {
    let cluster = Cluster::new(1).await;
    for n in 0..20 {
        caller::send_and_disconnect(
            cluster.entries[0].callers,
            "/once/a",
            &format!("left-{n}"),
            KEY,
        )
        .unwrap();
    }
    // This request arrives later, so the entry has read the others once it responds.
    assert_eq!(cluster.entries[0].call("/once/a", "r1", KEY).await.status, 200);
    assert_eq!(cluster.entries[0].call("/once/a", "r2", KEY).await.status, 200);
    for n in 0..20 {
        assert_eq!(cluster.fleet.runs(&format!("left-{n}")), Vec::<String>::new());
    }
}

#[actix_rt::test]
async fn a_response_to_another_request_is_not_forwarded() {
    let cluster = Cluster::new(1).await;
    for id in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(id, fleet::Fault::WrongRequestId);
    }
    let answer = cluster.entries[0].call("/once/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.signature), (502, None));
}

#[actix_rt::test]
async fn a_draining_endpoint_gets_no_new_requests() {
    let cluster = Cluster::new(1).await;
    cluster.fleet.set_fault("plain-0", fleet::Fault::Draining);
    cluster
        .wait(|c| {
            let now = c.entries[0].state.now();
            let inner = c.entries[0].state.inner.borrow();
            let grace = c.entries[0].state.drain_grace();
            !inner.view.is_usable(&"plain-0".into(), grace, now)
        })
        .await;
    for n in 0..5 {
        let id = format!("r{n}");
        cluster.entries[0].call("/once/a", &id, KEY).await;
        assert_eq!(cluster.fleet.runs(&id), ["plain-1"]);
    }
}

#[actix_rt::test]
async fn a_revoked_key_stays_refused_when_an_older_configuration_is_written() {
    let cluster = Cluster::new(1).await;
    assert_eq!(cluster.entries[0].call("/page/a", "r1", KEY).await.status, 200);
    assert_eq!(cluster.entries[0].call("/page/a", "r2", "unknown").await.status, 401);
    assert_eq!(cluster.entries[0].call("/nowhere/", "r3", KEY).await.status, 404);
    cluster.store.put("op/config", &config(2, &["another"]));
    let version = |c: &Cluster| c.entries[0].state.inner.borrow().table.as_ref().map(|t| t.version);
    cluster.wait(|c| version(c) == Some(2)).await;
    assert_eq!(cluster.entries[0].call("/page/a", "r4", KEY).await.status, 401);
    // An older version that is written later must not be put in force.
    cluster.store.put("op/config", &config(1, &[KEY]));
    cluster.store.put("op/config", &config(3, &["another"]));
    cluster.wait(|c| version(c) == Some(3)).await;
    assert_eq!(cluster.entries[0].call("/page/a", "r5", KEY).await.status, 401);
}

#[actix_rt::test]
async fn an_entry_without_the_store_learns_changes_from_its_peers() {
    let cluster = Cluster::new(1).await;
    let other_address = cluster.store.add_listener().await.unwrap();
    let second = cluster.entry_at(1, &other_address).await;
    cluster
        .wait(|c| c.entries[0].state.entry_count() == 2 && second.state.entry_count() == 2)
        .await;
    cluster.wait(|_| second.chains() >= 2).await;
    other_address.set_fault(store::Fault::Silent);
    cluster.store.put("op/config", &config(2, &["another"]));
    let version = || second.state.inner.borrow().table.as_ref().map(|t| t.version);
    cluster.wait(|_| version() == Some(2)).await;
    assert_eq!(second.call("/draft/a", "r1", KEY).await.status, 401);
    assert_eq!(second.call("/draft/a", "r2", "another").await.body, all_events());
    cluster.fleet.set_fault("plain-0", fleet::Fault::Draining);
    let is_draining = |state: &oriole_router::state::Shared| {
        !state.inner.borrow().view.is_ready(&"plain-0".into(), state.now())
    };
    cluster.wait(|_| is_draining(&second.state)).await;
}

#[actix_rt::test]
async fn a_plan_is_made_although_the_store_loses_responses() {
    let store = store::Store::start().await.unwrap();
    store.put("op/config", &config(1, &[KEY]));
    let fleet = fleet::Fleet::new(&store);
    for n in 0..4 {
        fleet.add_engine(&format!("engine-{n}"), "zone-0").await.unwrap();
    }
    store.set_fault(store::Fault::DropWriteResponses);
    let mut cluster = Cluster { store, fleet, entries: vec![] };
    let entry = cluster.entry(0).await;
    cluster.entries.push(entry);
    cluster.wait(|c| c.entries[0].chains() >= 1).await;
    let answer = cluster.entries[0].call("/draft/a", "r1", KEY).await;
    assert_eq!(answer.body, all_events());
}

#[actix_rt::test]
async fn an_entry_without_a_routing_table_responds_503() {
    let store = store::Store::start().await.unwrap();
    store.set_fault(store::Fault::Refuse(503));
    let fleet = fleet::Fleet::new(&store);
    let mut cluster = Cluster { store, fleet, entries: vec![] };
    let entry = cluster.entry(0).await;
    cluster.entries.push(entry);
    assert!(!cluster.entries[0].is_ready().await);
    let answer = cluster.entries[0].call("/page/a", "r1", KEY).await;
    assert_eq!(answer.status, 503);
    cluster.store.put("op/config", &config(1, &[KEY]));
    cluster.store.set_fault(store::Fault::None);
    cluster.wait(|c| c.entries[0].state.is_ready()).await;
    assert!(cluster.entries[0].is_ready().await);
}

#[actix_rt::test]
async fn a_stream_in_progress_completes_when_the_entry_stops() {
    let cluster = Cluster::new(1).await;
    let state = cluster.entries[0].state.clone();
    let stop_sent = Cell::new(false);
    let answer = cluster.entries[0]
        .call_while("/draft/a", "r1", KEY, |body| {
            if body.contains("id: 5\n") && !stop_sent.get() {
                stop_sent.set(true);
                let state = state.clone();
                actix_rt::spawn(async move { process::stop(&state).await });
            }
        })
        .await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert!(!cluster.entries[0].is_ready().await);
}

#[actix_rt::test]
async fn a_stopping_entry_admits_only_requests_that_finish_before_its_exit() {
    let cluster = Cluster::new(1).await;
    let state = cluster.entries[0].state.clone();
    state.stopping.set(true);
    state.closing.set(true);
    let millis = std::time::Duration::from_millis;
    state.exit_deadline.set(Some(state.now() + millis(50)));
    let answer = cluster.entries[0].call("/draft/a", "r1", KEY).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(cluster.fleet.runs("r1"), Vec::<String>::new());
    state.exit_deadline.set(Some(state.now() + millis(60_000)));
    let answer = cluster.entries[0].call("/draft/a", "r2", KEY).await;
    assert_eq!(answer.body, all_events());
}
