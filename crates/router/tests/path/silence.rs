//! Tests of endpoints that are silent for a while and then go on. Their silence is no reason to end
//! an answer sooner.

use std::cell::Cell;
use std::time::Duration;

use oriole_core::fleet::{Cause, Incarnation};
use oriole_core::forward::in_flight::Work;
use oriole_platform_standin::caller::Answer;
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::{Fault, Fleet};
use oriole_router::generation::Slot;
use serde_json::json;
use tokio::time::sleep;

use crate::all_events;
use crate::cluster::Cluster;

/// Time for which endpoints are silent: longer than it takes to find that they do not answer.
const SILENCE: Duration = Duration::from_millis(2500);

/// Leaves no retry budget to the entries.
fn take_retry_budget(cluster: &Cluster) {
    for entry in &cluster.entries {
        let mut settings = entry.state.settings.clone();
        (settings.retries.ratio, settings.retries.fixed) = (0.0, 0.0);
        entry.state.reload(&settings);
    }
}

/// Makes endpoints silent for [`SILENCE`].
fn silence(fleet: &Fleet, ids: Vec<String>) {
    silence_for(fleet, ids, SILENCE);
}

fn silence_for(fleet: &Fleet, ids: Vec<String>, time: Duration) {
    for id in &ids {
        fleet.set_fault(id, Fault::Silent);
    }
    let fleet = fleet.clone();
    actix_rt::spawn(async move {
        sleep(time).await;
        for id in &ids {
            fleet.set_fault(id, Fault::None);
        }
    });
}

/// Returns the stages of stream `r1` in order.
fn stages(cluster: &Cluster) -> Vec<String> {
    let path = cluster.fleet.path("r1").unwrap();
    let addresses = path.split(',').filter_map(|part| part.split('=').next());
    addresses.filter_map(|a| cluster.fleet.endpoint_at(a)).collect()
}

/// Returns the engines that are not in `ids`.
fn other_engines(ids: &[String]) -> Vec<String> {
    (0..8).map(|n| format!("engine-{n}")).filter(|id| !ids.contains(id)).collect()
}

fn mark_unhealthy(cluster: &Cluster, id: &str, cause: Cause) {
    let incarnation = Incarnation { endpoint: id.into(), born: 1 };
    cluster.entries[0].state.mark_unhealthy(&incarnation, cause, Duration::ZERO, "test");
}

/// Starts stream `r1`, calls `disturb` after its tenth event, and returns the response.
async fn disturbed(cluster: &Cluster, disturb: impl Fn()) -> Answer {
    let is_disturbed = Cell::new(false);
    let answer = cluster.entries[0].call_while("/draft/a", "r1", KEY, |body| {
        if body.contains("id: 10\n") && !is_disturbed.replace(true) {
            disturb();
        }
    });
    answer.await
}

fn assert_ran_once(cluster: &Cluster, answer: &Answer) {
    assert!(answer.is_complete, "cut after {:?}", answer.body.lines().last());
    assert_eq!(answer.body, all_events());
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
}

#[actix_rt::test]
async fn a_stream_is_not_cut_while_its_first_stage_is_silent_and_no_retry_is_left() {
    let cluster = Cluster::new(1).await;
    take_retry_budget(&cluster);
    let disturb = || silence(&cluster.fleet, cluster.fleet.runs("r1"));
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
}

#[actix_rt::test]
async fn a_stream_is_not_cut_while_a_later_stage_is_silent_and_nothing_can_replace_it() {
    let cluster = Cluster::new(1).await;
    take_retry_budget(&cluster);
    let disturb = || {
        let stages = stages(&cluster);
        for id in other_engines(&stages) {
            mark_unhealthy(&cluster, &id, Cause::ConnectionRefused);
        }
        silence(&cluster.fleet, stages[1..].to_vec());
    };
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
}

/// The first stage ends the response itself if a later one is lost; here it goes on.
#[actix_rt::test]
async fn a_stream_is_not_cut_before_its_first_stage_ends_it() {
    let cluster = Cluster::new(1).await;
    take_retry_budget(&cluster);
    let disturb = || {
        let stages = stages(&cluster);
        for id in other_engines(&stages[..1]) {
            mark_unhealthy(&cluster, &id, Cause::ConnectionRefused);
        }
        silence(&cluster.fleet, stages[1..].to_vec());
    };
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
}

#[actix_rt::test]
async fn a_stream_with_events_does_not_leave_a_stage_that_others_find_unhealthy() {
    let cluster = Cluster::new(1).await;
    let disturb = || mark_unhealthy(&cluster, &stages(&cluster)[0], Cause::Peer);
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
}

#[actix_rt::test]
async fn a_stream_of_a_silent_chain_is_not_sent_again_and_again_to_one_that_fails() {
    let cluster = Cluster::new(1).await;
    let disturb = || {
        let first = cluster.fleet.runs("r1");
        for id in other_engines(&first) {
            cluster.fleet.set_fault(&id, Fault::WrongRequestId);
        }
        silence(&cluster.fleet, first);
    };
    let answer = disturbed(&cluster, disturb).await;
    assert!(answer.is_complete, "cut after {:?}", answer.body.lines().last());
    assert_eq!(answer.body, all_events());
    assert_eq!(cluster.fleet.runs("r1").len(), 2, "{:?}", cluster.fleet.runs("r1"));
}

#[actix_rt::test]
async fn a_stream_goes_on_where_it_was_if_the_other_chain_is_silent_for_longer() {
    let cluster = Cluster::new(1).await;
    let disturb = || {
        let stages = stages(&cluster);
        silence_for(&cluster.fleet, other_engines(&stages), SILENCE * 4);
        silence_for(&cluster.fleet, stages[..1].to_vec(), SILENCE / 2);
    };
    let answer = disturbed(&cluster, disturb).await;
    assert!(answer.is_complete, "cut after {:?}", answer.body.lines().last());
    assert_eq!(answer.body, all_events());
}

#[actix_rt::test]
async fn a_stream_is_not_cut_if_all_other_chains_refuse_it_while_its_own_is_silent() {
    let cluster = Cluster::new(1).await;
    let disturb = || {
        let first = cluster.fleet.runs("r1");
        for id in other_engines(&first) {
            cluster.fleet.set_fault(&id, Fault::Full);
        }
        silence(&cluster.fleet, first);
    };
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
}

/// A chain must not seem slow for the events of responses that are not read.
#[actix_rt::test]
async fn a_suspended_stream_does_not_count_as_silent() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let key = "engine-0".into();
    let streams = || state.inner.borrow().in_flight.silence(&key, 1, state.now());
    let slot = Slot::reserve(state, &key, Work { requests: 1, tokens: 10, prefill: 5 });
    slot.begin_stream();
    assert!(streams().is_some());
    slot.suspend_stream();
    assert!(streams().is_none());
    slot.begin_stream();
    assert!(streams().is_some());
    drop(slot);
    assert!(streams().is_none());
}

#[actix_rt::test]
async fn an_idempotent_call_is_not_given_up_while_its_endpoint_is_silent_and_no_retry_is_left() {
    let cluster = Cluster::new(1).await;
    take_retry_budget(&cluster);
    silence(&cluster.fleet, vec!["plain-0".to_owned(), "plain-1".to_owned()]);
    let answer = cluster.entries[0].call("/page/a", "r1", KEY).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "the whole page"));
    assert_eq!(cluster.fleet.runs("r1").len(), 1);
}

/// Sends a request that stalls at its first chain, which has the fault `first`, while others have `other`.
async fn call_stalling(cluster: &Cluster, request: &str, first: Fault, other: Fault) -> Answer {
    let state = &cluster.entries[0].state;
    for n in 0..8 {
        cluster.fleet.set_fault(&format!("engine-{n}"), first);
    }
    // Stands for other streams on the same chain, each event of which is recorded here.
    let others = async {
        loop {
            sleep(Duration::from_millis(100)).await;
            let Some(first) = cluster.fleet.runs(request).first().cloned() else {
                continue;
            };
            state.inner.borrow_mut().last_event_at.insert(first.as_str().into(), state.now());
            for n in 0..8 {
                let id = format!("engine-{n}");
                if id != first {
                    cluster.fleet.set_fault(&id, other);
                }
            }
        }
    };
    tokio::select! {
        answer = cluster.entries[0].call("/draft/a", request, KEY) => answer,
        () = others => panic!("the loop of other streams ended"),
    }
}

/// A byte now and then is no event: the stream leaves its chain as a silent one does.
#[actix_rt::test]
async fn a_stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere() {
    let cluster = Cluster::new(1).await;
    let answer = call_stalling(&cluster, "slow", Fault::Drip, Fault::None).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert_eq!(cluster.fleet.runs("slow").len(), 2);
}

#[actix_rt::test]
async fn a_stalled_stream_that_sends_comments_goes_on_elsewhere() {
    let cluster = Cluster::new(1).await;
    let answer = call_stalling(&cluster, "slow-comments", Fault::Drip, Fault::None).await;
    let events = answer.body.replace(": still here\n\n", "");
    assert_eq!((answer.is_complete, events), (true, all_events()));
    assert_eq!(cluster.fleet.runs("slow-comments").len(), 2);
}

/// Guards against a stream that keeps all comments of the chain that it has left until another one has an event: their
/// number has no bound, and each piece was read once more with all earlier ones.
#[actix_rt::test]
async fn comments_without_end_are_not_kept_while_a_stream_waits_for_another_chain() {
    let cluster = Cluster::new(1).await;
    let mut operator = config(2, &[KEY]);
    operator["routes"][0]["timeout_ms"] = json!(15_000);
    cluster.store.put("op/config", &operator);
    let version = |c: &Cluster| c.entries[0].state.inner.borrow().table.as_ref().map(|t| t.version);
    cluster.wait(|c| version(c) == Some(2)).await;
    let answer = call_stalling(&cluster, "slow", Fault::Flood, Fault::Preempt).await;
    let events = answer.body.replace(": still here\n\n", "");
    assert_eq!((answer.is_complete, events), (true, all_events()));
    assert_eq!(cluster.fleet.runs("slow").len(), 2);
}

/// Guards against plain endpoints that get no request any more, at any entry, once two entries could not connect to
/// them: they give no reports, and each answer to the request for one renewed the finding.
#[actix_rt::test]
async fn a_plain_endpoint_that_was_silent_is_used_again() {
    let cluster = Cluster::new(2).await;
    for id in ["plain-0", "plain-1"] {
        let incarnation = Incarnation { endpoint: id.into(), born: 1 };
        for entry in &cluster.entries {
            for by in &cluster.entries {
                entry.state.suspect(&incarnation, &by.state.host);
            }
            assert_eq!(entry.state.unhealthy_cause(&id.into()), Some(Cause::Silent));
        }
    }
    let is_used = |c: &Cluster, id: &str| {
        c.entries.iter().all(|entry| entry.state.unhealthy_cause(&id.into()).is_none())
    };
    cluster.wait(|c| is_used(c, "plain-0") && is_used(c, "plain-1")).await;
    for (n, entry) in cluster.entries.iter().enumerate() {
        assert_eq!(entry.call("/once/a", &format!("r{n}"), KEY).await.status, 200);
    }
}
