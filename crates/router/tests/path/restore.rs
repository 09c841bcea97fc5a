//! The store comes back from a copy that is some seconds old, in a new era.

use oriole_core::fleet::State;
use oriole_platform_standin::fleet::Fault;
use serde_json::json;

use crate::cluster::{Cluster, Entry, LOST_REVISIONS};

/// Prefix of the registrations of endpoints.
const ENDPOINT_PREFIX: &str = "servers/";

/// Reads of the registrations that entries make at most while an endpoint's draining is noticed.
const MAX_READS: usize = 20;

fn is_draining(cluster: &Cluster, endpoint: &str) -> bool {
    let inner = cluster.entries[0].state.inner.borrow();
    inner.view.get(&endpoint.into()).is_some_and(|e| e.state == State::Draining)
}

/// Guards against listings that are ignored, and read again without a pause, until the revision has caught
/// up: requests went to endpoints that drained, and were lost when these exited.
#[actix_rt::test]
async fn an_endpoint_that_drains_after_a_restore_is_noticed_in_time() {
    let cluster = Cluster::new(1).await;
    let copy = cluster.store.copy();
    cluster.store.skip_revisions(LOST_REVISIONS);
    let lost = cluster.store.copy().revision();
    let seen = |c: &Cluster| c.entries[0].state.inner.borrow().view.listing().position.revision();
    cluster.wait(|c| seen(c) >= lost).await;
    cluster.store.restore(&copy);
    let reads = cluster.store.range_reads(ENDPOINT_PREFIX);
    cluster.fleet.set_fault("plain-0", Fault::Draining);
    cluster.wait(|c| is_draining(c, "plain-0")).await;
    let reads = cluster.store.range_reads(ENDPOINT_PREFIX) - reads;
    assert!(reads <= MAX_READS, "{reads} reads of the registrations");
}

/// Guards against a change that is missed since its revision was given out before the restore, too.
#[actix_rt::test]
async fn a_change_is_noticed_although_its_revision_was_given_out_before() {
    let cluster = Cluster::new(1).await;
    let copy = cluster.store.copy();
    cluster.store.skip_revisions(LOST_REVISIONS);
    let entries = |c: &Cluster| c.entries[0].state.entry_count();
    cluster.store.put("oriole/hosts/silent-1", &json!({"address": "127.0.0.1:1"}));
    cluster.wait(|c| entries(c) == 2).await;
    cluster.store.restore(&copy);
    cluster.store.put("oriole/hosts/silent-2", &json!({"address": "127.0.0.1:1"}));
    // No watch has been answered since, and the store now has the revision that they wait for.
    cluster.store.skip_revisions(2 * LOST_REVISIONS);
    let knows = |c: &Cluster, host: &str| {
        c.entries[0].state.inner.borrow().peers.contains_key(&host.into())
    };
    cluster.wait(|c| knows(c, "silent-2")).await;
    assert!(!knows(&cluster, "silent-1"), "its registration was lost");
}

/// Returns the number of the plan that the store holds; 0 if there is none.
fn stored_plan(cluster: &Cluster) -> u64 {
    let plan = cluster.store.get("oriole/plan");
    plan.and_then(|plan| plan["number"].as_u64()).unwrap_or_default()
}

fn plan_numbers(cluster: &Cluster) -> Vec<u64> {
    let number = |e: &Entry| e.state.inner.borrow().plans.first().map_or(0, |p| p.number);
    cluster.entries.iter().map(number).collect()
}

/// Guards against entries that wait for the revision of a plan that the store has lost: no plan was accepted
/// any more, and lost stages were not replaced.
#[actix_rt::test]
async fn a_plan_that_the_store_has_lost_is_written_back_and_revised() {
    let (cluster, copy) = Cluster::with_empty_copy().await;
    let number = stored_plan(&cluster);
    assert!(number > 0);
    cluster.store.restore(&copy);
    assert_eq!(stored_plan(&cluster), 0);
    cluster.wait(|c| stored_plan(c) >= number).await;
    let lost = cluster.entries[0].state.inner.borrow().plans[0].clone();
    let stage = lost.services.values().flatten().flat_map(|c| &c.stages).next().unwrap();
    cluster.fleet.set_fault(stage.endpoint.as_str(), Fault::Unresponsive);
    cluster.wait(|c| stored_plan(c) > number).await;
    cluster.wait(|c| plan_numbers(c).iter().all(|n| *n == stored_plan(c))).await;
}

/// Guards against an older plan of the copy that replaces the one in force, whose orders are under way.
#[actix_rt::test]
async fn an_older_plan_of_the_copy_does_not_replace_the_one_in_force() {
    let cluster = Cluster::new(2).await;
    let (older, copy) = (stored_plan(&cluster), cluster.store.copy());
    let plan = cluster.entries[0].state.inner.borrow().plans[0].clone();
    let stage = plan.services.values().flatten().flat_map(|c| &c.stages).next().unwrap();
    cluster.fleet.set_fault(stage.endpoint.as_str(), Fault::Unresponsive);
    cluster.wait(|c| plan_numbers(c).iter().all(|n| *n > older)).await;
    let newer = plan_numbers(&cluster)[0];
    let adopted = cluster.entries[0].state.metrics.plans.get();
    cluster.store.restore(&copy);
    cluster.wait(|c| stored_plan(c) >= newer).await;
    assert!(plan_numbers(&cluster).iter().all(|n| *n >= newer));
    let replans = cluster.entries[0].state.metrics.plans.get() - adopted;
    assert_eq!(replans, plan_numbers(&cluster)[0] - newer, "the older plan was in force");
    let tokens = |e: &Entry| e.state.inner.borrow().plans[0].position.fencing_token();
    let written = plan.position.fencing_token();
    assert!(cluster.entries.iter().all(|e| tokens(e) > written), "fencing tokens grow");
}
