//! Commands of `oriolectl` against the stand-in of the key-value service, with two processes that
//! follow its revisions.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

mod fixture;

use std::time::Duration;

use fixture::Fixture;
use oriole_ctl::Error;

const GATE: &str = "contract/gate-desk";
const KERB: &str = "contract/kerb";

/// Also guards against new revisions from an `apply` that changes nothing, and against invalid
/// documents that are accepted.
#[actix_rt::test]
async fn apply_puts_a_folder_in_force() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_sample(&folder);
    assert_eq!(f.run(&["check"], &folder).await, 0);
    assert_eq!(f.run(&["apply", "--wait-s", "60"], &folder).await, 0);
    assert_eq!(f.run(&["apply", "--wait-s", "60"], &folder).await, 0);
    assert_eq!(f.head().number, 1, "nothing was left to change");
    assert_eq!(f.run(&["diff"], &folder).await, 0);
    assert_eq!(f.run(&["status"], "").await, 0);
    assert_eq!(f.run(&["history"], "").await, 0);
    assert_eq!(f.run(&["get", GATE], "").await, 0);
    assert_eq!(f.run(&["get", "contract/none"], "").await, 8);
    f.edit(&folder, GATE, "20/s", "twenty");
    assert_eq!(f.run(&["check"], &folder).await, 2);
    assert_eq!(f.run(&["apply"], &folder).await, 2);
    assert_eq!(f.head().number, 1);
}

/// Guards against an `apply` that undoes what another operator changed since the folder was written
/// by `get` or last applied.
#[actix_rt::test]
async fn concurrent_changes_are_merged_or_refused_as_conflicts() {
    let f = Fixture::new().await;
    let (a, b) = (f.folder("a"), f.folder("b"));
    f.write_sample(&a);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &a).await, 0);
    assert_eq!(f.run(&["get", "--dir", &b], "").await, 0);
    f.edit(&a, GATE, "20/s", "30/s");
    f.edit(&b, KERB, "20/s", "40/s");
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &a).await, 0);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &b).await, 0);
    assert!(f.document(GATE).contains("30/s") && f.document(KERB).contains("40/s"));
    // Neither folder undoes what the other one changed.
    f.edit(&a, "weights", "500", "600");
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &a).await, 0);
    assert!(f.document(GATE).contains("30/s") && f.document(KERB).contains("40/s"));
    f.edit(&b, GATE, "20/s", "50/s");
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &b).await, 3);
    assert!(f.document(GATE).contains("30/s"));
    // A folder without a base could undo any change, so it needs --overwrite.
    let c = f.folder("c");
    f.write_sample(&c);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &c).await, 3);
    assert_eq!(f.run(&["apply", "--wait-s", "0", "--overwrite"], &c).await, 0);
    assert!(f.document(GATE).contains("20/s"));
}

/// Guards against a change that is reported as not applied although it was, or that is applied
/// twice. This comes about if the reply to a write is lost; here, the replies to the first 1 to 11
/// calls of an `apply` are lost.
#[actix_rt::test]
async fn reported_outcomes_are_true_under_lost_replies_and_outages() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_sample(&folder);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &folder).await, 0);
    let mut number = 1;
    for lost in 1..12 {
        f.edit(&folder, "weights", &(499 + lost).to_string(), &(500 + lost).to_string());
        f.switch.lose_replies(lost);
        let result = f.result(&["apply", "--wait-s", "0"], &folder).await;
        f.switch.lose_replies(0);
        let again = match result {
            Ok(()) => Ok(()),
            Err(Error::Unreachable(_)) => {
                assert_eq!(
                    f.head().number,
                    number,
                    "reported as not applied, so nothing may be changed"
                );
                f.result(&["apply", "--wait-s", "0"], &folder).await
            }
            Err(Error::OutcomeUnknown { id, .. }) => {
                f.result(&["apply", "--wait-s", "0", "--change", &id], &folder).await
            }
            Err(e) => panic!("{e}"),
        };
        assert!(again.is_ok(), "{again:?}");
        number += 1;
        assert_eq!(f.head().number, number, "applied exactly once");
    }
    f.edit(&folder, "weights", "511", "700");
    f.switch.fail_next(1000);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &folder).await, 4);
    f.switch.fail_next(0);
    assert_eq!(f.head().number, 12);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &folder).await, 0);
    f.switch.fail_next(1000);
    assert_eq!(f.run(&["status"], "").await, 4);
}

/// Guards against changes on top of an older revision, which would undo accepted changes. This
/// comes about if the key-value service is restored from a backup.
#[actix_rt::test]
async fn a_service_with_older_contents_is_not_changed_but_restored() {
    let f = Fixture::new().await;
    let (a, b) = (f.folder("a"), f.folder("b"));
    f.write_sample(&a);
    assert_eq!(f.run(&["apply"], &a).await, 0);
    f.service.back_up();
    assert_eq!(f.run(&["get", "--dir", &b], "").await, 0);
    f.edit(&a, GATE, "20/s", "30/s");
    assert_eq!(f.run(&["apply"], &a).await, 0);
    f.service.restore_backup();
    assert_eq!(f.run(&["status"], "").await, 7);
    f.edit(&b, KERB, "20/s", "40/s");
    assert_eq!(f.run(&["apply"], &b).await, 7, "the processes have a later revision in force");
    assert_eq!(
        f.run(&["apply", "--restore"], &b).await,
        7,
        "no unchanged copy of the latest revision"
    );
    assert_eq!(f.run(&["apply", "--restore"], &a).await, 0);
    assert_eq!(f.run(&["status"], "").await, 0);
    assert_eq!(f.run(&["apply"], &b).await, 0);
    assert!(f.document(GATE).contains("30/s") && f.document(KERB).contains("40/s"));
}

/// Guards against the loss of comments in the document, and against concurrent drains and undrains
/// that make each other fail as conflicts.
#[actix_rt::test]
async fn drain_changes_the_configuration_and_notifies_the_side() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_sample(&folder);
    assert_eq!(f.run(&["apply"], &folder).await, 0);
    assert_eq!(f.run(&["drain", "none"], "").await, 8);
    assert_eq!(f.run(&["drain", "status-1"], "").await, 0);
    assert!(f.document("endpoints").contains("# kept\n[status-1]\ndrain = true\n"));
    // Both commands edit the same document at the same time.
    let again = ["drain", "status-1", "--wait-s", "0"];
    let both = futures_util::future::join(f.run(&again, ""), f.run(&["undrain", "status-1"], ""));
    assert_eq!(both.await, (0, 0));
    assert_eq!(f.run(&["undrain", "status-1"], "").await, 0);
    assert!(!f.document("endpoints").contains("drain"));
    assert_eq!(f.posts().first().unwrap(), "/v1/drain?endpoint=status-1");
    assert_eq!(f.posts().last().unwrap(), "/v1/undrain?endpoint=status-1");
    assert_eq!(f.posts().len(), 4);
}

#[actix_rt::test]
async fn processes_that_are_behind_are_named() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_sample(&folder);
    f.stop_processes();
    assert_eq!(f.run(&["apply", "--wait-s", "1"], &folder).await, 6);
    assert_eq!(f.head().number, 1, "accepted although no process has it in force");
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(f.run(&["explain", "req-00000001-00000001-1"], "").await, 8);
}
