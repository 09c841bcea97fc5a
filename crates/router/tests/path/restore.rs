//! The store comes back from a copy that is some seconds old, in a new era.

use oriole_core::fleet::State;
use oriole_platform_standin::fleet::Fault;
use serde_json::json;

use crate::cluster::Cluster;

/// Revisions that are lost, more than any test makes up for.
const LOST_REVISIONS: u64 = 1_000_000;

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
