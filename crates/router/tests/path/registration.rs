//! Registrations of entries that are lost, or written late.

use crate::cluster::Cluster;

/// Returns the lease of an entry's registration in the store.
fn lease(cluster: &Cluster, number: usize) -> Option<u64> {
    cluster.store.lease(&format!("oriole/hosts/entry-{number}"))
}

/// Guards against an entry that goes on renewing a lease which has been given to another one since.
#[actix_rt::test]
async fn an_entry_whose_registration_was_lost_registers_again() {
    let (cluster, copy) = Cluster::with_empty_copy().await;
    cluster.store.restore(&copy);
    // The leases of both entries run, but are of somebody else.
    cluster.store.grant_leases(8);
    cluster.wait(|c| (0..2).all(|n| lease(c, n).is_some_and(|lease| lease > 8))).await;
}

/// Guards against a registration that a late write has put under a lease which nobody renews: it ended with
/// that lease, unnoticed, and entries did not find each other again.
#[actix_rt::test]
async fn an_entry_whose_registration_was_written_late_registers_again() {
    let cluster = Cluster::new(2).await;
    let registration = cluster.store.get("oriole/hosts/entry-0").unwrap();
    let own = lease(&cluster, 0).unwrap();
    cluster.store.put_leased("oriole/hosts/entry-0", &registration, own + 100);
    cluster.wait(|c| lease(c, 0).is_some_and(|lease| lease != own && lease != own + 100)).await;
    cluster.store.remove("oriole/hosts/entry-1");
    cluster.wait(|c| lease(c, 1).is_some()).await;
}
