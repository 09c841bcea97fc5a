//! The secret by which entries authenticate to each other is lost, or replaced.

use crate::cluster::{Cluster, Entry};

/// Returns the number of other entries from which an entry has heard lately.
fn heard(entry: &Entry) -> usize {
    let (inner, now) = (entry.state.inner.borrow(), entry.state.now());
    (0..8).filter(|n| inner.liveness.is_live(&format!("entry-{n}").as_str().into(), now)).count()
}

/// Guards against entries of two groups that do not know each other, each of which grants all permits of an
/// endpoint that limits its requests.
#[actix_rt::test]
async fn an_entry_that_starts_after_the_secret_was_lost_joins_the_others() {
    let (mut cluster, copy) = Cluster::with_empty_copy().await;
    cluster.wait(|c| c.entries.iter().all(|e| heard(e) == 1)).await;
    let secret = cluster.store.text("oriole/secret");
    cluster.store.restore(&copy);
    cluster.wait(|c| c.store.text("oriole/secret") == secret).await;
    let added = cluster.entry(2).await;
    cluster.entries.push(added);
    cluster.wait(|c| c.entries.iter().all(|e| heard(e) == 2)).await;
}

/// The same where the entry that starts finds no secret yet, and makes one of its own.
#[actix_rt::test]
async fn entries_with_two_secrets_settle_on_the_one_that_the_store_holds() {
    let (mut cluster, copy) = Cluster::with_empty_copy().await;
    cluster.wait(|c| c.entries.iter().all(|e| heard(e) == 1)).await;
    cluster.store.restore(&copy);
    cluster.store.put_text("oriole/secret", "of-an-entry-that-starts");
    let added = cluster.entry(2).await;
    cluster.entries.push(added);
    cluster.wait(|c| c.entries.iter().all(|e| heard(e) == 2)).await;
    assert_eq!(cluster.store.text("oriole/secret").as_deref(), Some("of-an-entry-that-starts"));
}
