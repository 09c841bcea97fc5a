//! Tests of the retry budget over entries that end and start.

use futures_util::future::join_all;
use oriole_platform_standin::config::KEY;
use oriole_platform_standin::fleet::Fault;

use crate::cluster::{Cluster, Entry};

/// Retries that all entries may send in the window.
const FIXED: f64 = 60.0;

/// Calls to one process, more than it has retries.
const CALLS: usize = 80;

/// Lets all calls of an entry fail at their first endpoint, and returns how many were sent to another one.
async fn spend(cluster: &Cluster, entry: &Entry, prefix: &str) -> usize {
    let mut settings = entry.state.settings.clone();
    (settings.retries.ratio, settings.retries.fixed) = (0.0, FIXED);
    entry.state.reload(&settings);
    let calls = (0..CALLS).map(|n| async move {
        let id = format!("{prefix}-{n}");
        entry.call("/page/a", &id, KEY).await;
        cluster.fleet.runs(&id).len().saturating_sub(1)
    });
    join_all(calls).await.into_iter().sum()
}

/// Guards against a share that begins anew with each process of an entry.
#[actix_rt::test]
async fn an_entry_that_starts_again_does_not_spend_its_share_of_retries_again() {
    let cluster = Cluster::new(1).await;
    for endpoint in ["plain-0", "plain-1"] {
        cluster.fleet.set_fault(endpoint, Fault::ResetResponses);
    }
    let mut spent = spend(&cluster, &cluster.entries[0], "first").await;
    assert!(spent > 0, "a process that has just started may retry");
    for prefix in ["second", "third"] {
        let started = cluster.entry(0).await;
        let is_ready = || started.state.is_ready();
        cluster.wait(|_| is_ready()).await;
        spent += spend(&cluster, &started, prefix).await;
    }
    assert!(spent as f64 <= FIXED, "{spent} retries, {FIXED} allowed");
}
