//! Tests of endpoints that are silent for a while and then go on. Their silence is no reason to end
//! an answer sooner.

use std::cell::Cell;
use std::time::Duration;

use oriole_core::fleet::{Cause, Incarnation};
use oriole_platform_standin::caller::Answer;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::{Fault, Fleet};
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
    for id in &ids {
        fleet.set_fault(id, Fault::Silent);
    }
    let fleet = fleet.clone();
    actix_rt::spawn(async move {
        sleep(SILENCE).await;
        for id in &ids {
            fleet.set_fault(id, Fault::None);
        }
    });
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
        let path = cluster.fleet.path("r1").unwrap();
        let addresses = path.split(',').filter_map(|part| part.split('=').next());
        let stages: Vec<_> = addresses.filter_map(|a| cluster.fleet.endpoint_at(a)).collect();
        for id in (0..8).map(|n| format!("engine-{n}")).filter(|id| !stages.contains(id)) {
            let incarnation = Incarnation { endpoint: id.as_str().into(), born: 1 };
            let state = &cluster.entries[0].state;
            state.mark_unhealthy(&incarnation, Cause::ConnectionRefused, Duration::ZERO, "test");
        }
        silence(&cluster.fleet, stages[1..].to_vec());
    };
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
}

#[actix_rt::test]
async fn a_stream_is_not_cut_if_all_other_chains_refuse_it_while_its_own_is_silent() {
    let cluster = Cluster::new(1).await;
    let disturb = || {
        let first = cluster.fleet.runs("r1");
        let all = (0..8).map(|n| format!("engine-{n}"));
        for id in all.filter(|id| !first.contains(id)) {
            cluster.fleet.set_fault(&id, Fault::Full);
        }
        silence(&cluster.fleet, first);
    };
    let answer = disturbed(&cluster, disturb).await;
    assert_ran_once(&cluster, &answer);
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
