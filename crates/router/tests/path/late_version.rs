//! Versions of the configuration are in force in time whatever happens to calls to the store.

use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::store::Fault;
use serde_json::json;

use crate::cluster::{Cluster, Entry};

/// Prefix of the operator's keys.
const OPERATOR_PREFIX: &str = "op/";

/// Number of other entries, with which watches are at their longest.
const OTHER_ENTRIES: usize = 24;

/// Registers entries that answer nobody, so that this one paces its calls as among many but hears
/// of no version from others.
async fn add_silent_entries(cluster: &Cluster) {
    for n in 0..OTHER_ENTRIES {
        let key = format!("oriole/hosts/silent-{n}");
        cluster.store.put(&key, &json!({"address": "127.0.0.1:1"}));
    }
    cluster.wait(|c| c.entries[0].state.entry_count() > OTHER_ENTRIES).await;
}

/// Guards against a version that waits for the end of a watch whose connection has gone silent.
#[actix_rt::test]
async fn a_version_is_in_force_while_the_watch_of_the_configuration_is_silent() {
    let cluster = Cluster::new(1).await;
    let version = |c: &Cluster| c.entries[0].state.versions().0;
    add_silent_entries(&cluster).await;
    let watches = cluster.store.watches(OPERATOR_PREFIX);
    cluster.store.put("op/config", &config(2, &[KEY]));
    cluster.wait(|c| version(c) == 2 && c.store.watches(OPERATOR_PREFIX) > watches).await;
    let reads = cluster.store.range_reads(OPERATOR_PREFIX);
    cluster.store.set_fault(Fault::SilentWatches);
    cluster.store.put("op/config", &config(3, &[KEY]));
    cluster.wait(|c| version(c) == 3).await;
    assert_eq!(cluster.store.range_reads(OPERATOR_PREFIX), reads, "the watch was given up first");
}

/// Guards against an entry that the store turns away and whose registration has therefore lapsed, so
/// that the others no longer tell it anything.
#[actix_rt::test]
async fn entries_whose_registrations_have_lapsed_still_tell_each_other_of_versions() {
    let cluster = Cluster::new(1).await;
    let listener = cluster.store.add_listener().await.unwrap();
    let turned_away = cluster.entry_at(1, &listener).await;
    let entries = [&cluster.entries[0], &turned_away];
    let peers = |entry: &&Entry| entry.state.inner.borrow().peers.len();
    cluster.wait(|_| entries.iter().all(|e| peers(e) == 1 && e.chains() >= 2)).await;
    cluster.wait(|_| entries.iter().all(|e| e.state.entry_count() == 2)).await;
    for number in 0..2 {
        cluster.store.remove(&format!("oriole/hosts/entry-{number}"));
    }
    cluster.wait(|_| entries.iter().all(|e| peers(e) == 0)).await;
    listener.set_fault(Fault::Silent);
    cluster.store.put("op/config", &config(2, &[KEY]));
    cluster.wait(|_| turned_away.state.versions().0 == 2).await;
}
