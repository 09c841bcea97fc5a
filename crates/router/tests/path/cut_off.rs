//! Tests of endpoints that two entries could not reach for a while, and that are sound otherwise.

use std::time::Duration;

use oriole_core::fleet::{Cause, Incarnation};
use oriole_platform_standin::unframed::Closing;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Returns how each entry finds an endpoint to be unhealthy.
fn causes(cluster: &Cluster, id: &str) -> Vec<Option<Cause>> {
    cluster.entries.iter().map(|entry| entry.state.unhealthy_cause(&id.into())).collect()
}

/// Makes all entries find an endpoint silent, as if two of them had not been able to connect to it.
fn find_silent(cluster: &Cluster, id: &str) {
    let incarnation = Incarnation { endpoint: id.into(), born: 1 };
    for entry in &cluster.entries {
        for by in &cluster.entries {
            entry.state.suspect(&incarnation, &by.state.host);
        }
    }
    assert_eq!(causes(cluster, id), vec![Some(Cause::Silent); cluster.entries.len()]);
}

/// Waits until all entries use an endpoint again.
async fn wait_until_used(cluster: &Cluster, id: &str) {
    cluster.wait(|c| causes(c, id).iter().all(Option::is_none)).await;
}

/// Waits until all entries know an endpoint.
async fn wait_until_listed(cluster: &Cluster, id: &str) {
    let is_listed = |c: &Cluster| {
        c.entries.iter().all(|e| e.state.inner.borrow().view.get(&id.into()).is_some())
    };
    cluster.wait(is_listed).await;
}

/// Checks that a plain endpoint that meets requests for reports as `closing` says is used again.
async fn check_plain(closing: Closing) {
    let cluster = Cluster::new(2).await;
    cluster.fleet.add_unframed_plain("raw", "zone-0").await.unwrap();
    wait_until_listed(&cluster, "raw").await;
    cluster.fleet.set_closing(closing);
    find_silent(&cluster, "raw");
    wait_until_used(&cluster, "raw").await;
}

/// Guards against a plain endpoint that no entry uses any more, since it closes the connections of requests for
/// reports, which plain endpoints do not give.
#[actix_rt::test]
async fn a_plain_endpoint_that_closes_connections_at_unknown_paths_is_used_again() {
    check_plain(Closing::UnknownPaths).await;
}

/// Guards against the same where it holds such requests.
#[actix_rt::test]
async fn a_plain_endpoint_that_holds_requests_to_unknown_paths_is_used_again() {
    check_plain(Closing::UnknownPathsLater).await;
}

/// Guards against a finding of silence that is renewed without end by closed connections, as of an endpoint that has
/// too many: nothing of a caller reaches the endpoint that could end it.
#[actix_rt::test]
async fn a_plain_endpoint_that_closes_all_connections_does_not_stay_silent() {
    check_plain(Closing::Always).await;
}

/// Guards against the same for model engines, whose requests for reports fail in this way, too.
#[actix_rt::test]
async fn an_engine_that_closes_all_connections_does_not_stay_silent() {
    let cluster = Cluster::new(2).await;
    cluster.fleet.add_unframed_engine("raw", "zone-0").await.unwrap();
    wait_until_listed(&cluster, "raw").await;
    cluster.fleet.set_closing(Closing::Always);
    find_silent(&cluster, "raw");
    wait_until_used(&cluster, "raw").await;
}

/// Guards against an endpoint that is never asked again once its answers have been unclear.
#[actix_rt::test]
async fn an_engine_that_stops_closing_connections_is_used_again_by_all() {
    let cluster = Cluster::new(3).await;
    cluster.fleet.add_unframed_engine("raw", "zone-0").await.unwrap();
    wait_until_listed(&cluster, "raw").await;
    cluster.fleet.set_closing(Closing::Always);
    find_silent(&cluster, "raw");
    sleep(Duration::from_secs(3)).await;
    cluster.fleet.set_closing(Closing::Never);
    wait_until_used(&cluster, "raw").await;
}
