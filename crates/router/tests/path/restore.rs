//! The store comes back from a copy that is some seconds old, in a new era.

use oriole_core::fleet::State;
use oriole_platform_standin::fleet::Fault;

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
