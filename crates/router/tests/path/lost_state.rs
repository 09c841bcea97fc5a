//! The store loses what entries keep there of crashes.

use oriole_core::forward::hold::{Hold, Summary};
use oriole_core::forward::quarantine::Group;
use oriole_core::forward::{Fingerprint, Part};
use oriole_router::state;

use crate::cluster::Cluster;

/// Keys of what entries keep of crashes.
const KEYS: [&str; 2] = ["oriole/holds", "oriole/quarantine"];

/// Lets an entry know a request and a part of prompts that crash endpoints.
fn record_crashes(cluster: &Cluster) {
    let fingerprint = Fingerprint([7, 7]);
    let held = Hold { fingerprint, age_ms: 0, is_tied: false, trials: 0, trial_age_ms: 0 };
    let state = &cluster.entries[0].state;
    let summary = Summary { holds: vec![held], ..Summary::default() };
    state::hold::hear_summary(state, &summary, "test");
    let group = Group { parts: vec![Part(0xbad)], remaining_ms: 60_000 };
    state.adopt_quarantine(&[group]);
}

/// Returns whether the store holds what [`record_crashes`] told.
fn is_stored(cluster: &Cluster) -> bool {
    let [holds, quarantine] = KEYS.map(|key| cluster.store.get(key).unwrap_or_default());
    let fingerprint = &holds["summary"]["holds"][0]["fingerprint"];
    fingerprint == &serde_json::json!([7, 7]) && quarantine[0]["parts"][0] == 0xbad
}

/// Guards against a request that crashes endpoints again after all entries have been replaced.
#[actix_rt::test]
async fn what_the_store_has_lost_of_crashes_is_written_back() {
    let (cluster, copy) = Cluster::with_empty_copy().await;
    record_crashes(&cluster);
    cluster.wait(is_stored).await;
    cluster.store.restore(&copy);
    assert!(!is_stored(&cluster));
    cluster.wait(is_stored).await;
}

/// Guards against writes without a pause on the condition of a value that is never taken over.
#[actix_rt::test]
async fn values_that_cannot_be_decoded_are_replaced() {
    let cluster = Cluster::new(2).await;
    for key in KEYS {
        cluster.store.put_text(key, "{\"of\": \"another writer\"}");
    }
    record_crashes(&cluster);
    cluster.wait(is_stored).await;
}
