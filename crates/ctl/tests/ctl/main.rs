//! `oriolectl` against the stand-in of the key-value service and processes that follow it.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

mod fixture;

use std::time::Duration;

use fixture::Fixture;
use oriole_ctl::Error;

const GATE: &str = "contract/gate-desk";
const KERB: &str = "contract/kerb";

#[actix_rt::test]
async fn apply_puts_a_folder_in_force() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_all(&folder);
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

#[actix_rt::test]
async fn of_two_operators_both_or_one_land() {
    let f = Fixture::new().await;
    let (a, b) = (f.folder("a"), f.folder("b"));
    f.write_all(&a);
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
    // A folder of unknown origin could undo anything.
    let c = f.folder("c");
    f.write_all(&c);
    assert_eq!(f.run(&["apply", "--wait-s", "0"], &c).await, 3);
    assert_eq!(f.run(&["apply", "--wait-s", "0", "--overwrite"], &c).await, 0);
    assert!(f.document(GATE).contains("20/s"));
}

#[actix_rt::test]
async fn lost_replies_and_outages_are_told_truly() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_all(&folder);
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
                assert_eq!(f.head().number, number, "it was told that nothing was changed");
                f.result(&["apply", "--wait-s", "0"], &folder).await
            }
            Err(Error::Unknown { id, .. }) => {
                f.result(&["apply", "--wait-s", "0", "--change", &id], &folder).await
            }
            Err(e) => panic!("{e}"),
        };
        assert!(again.is_ok(), "{again:?}");
        number += 1;
        assert_eq!(f.head().number, number, "applied once");
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

#[actix_rt::test]
async fn a_service_that_went_back_is_not_changed_but_restored() {
    let f = Fixture::new().await;
    let (a, b) = (f.folder("a"), f.folder("b"));
    f.write_all(&a);
    assert_eq!(f.run(&["apply"], &a).await, 0);
    f.service.back_up();
    assert_eq!(f.run(&["get", "--dir", &b], "").await, 0);
    f.edit(&a, GATE, "20/s", "30/s");
    assert_eq!(f.run(&["apply"], &a).await, 0);
    f.service.restore_backup();
    assert_eq!(f.run(&["status"], "").await, 7);
    f.edit(&b, KERB, "20/s", "40/s");
    assert_eq!(f.run(&["apply"], &b).await, 7, "the processes know a later revision");
    assert_eq!(f.run(&["apply", "--restore"], &b).await, 7, "this folder is not the latest");
    assert_eq!(f.run(&["apply", "--restore"], &a).await, 0);
    assert_eq!(f.run(&["status"], "").await, 0);
    assert_eq!(f.run(&["apply"], &b).await, 0);
    assert!(f.document(GATE).contains("30/s") && f.document(KERB).contains("40/s"));
}

#[actix_rt::test]
async fn drain_changes_the_configuration_and_tells_the_side() {
    let f = Fixture::new().await;
    let folder = f.folder("a");
    f.write_all(&folder);
    assert_eq!(f.run(&["apply"], &folder).await, 0);
    assert_eq!(f.run(&["drain", "none"], "").await, 8);
    assert_eq!(f.run(&["drain", "status-1"], "").await, 0);
    assert!(f.document("endpoints").contains("# kept\n[status-1]\ndrain = true\n"));
    // Orders about endpoints at the same time do not shut each other out.
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
    f.write_all(&folder);
    f.stop_processes();
    assert_eq!(f.run(&["apply", "--wait-s", "1"], &folder).await, 6);
    assert_eq!(f.head().number, 1, "it is accepted all the same");
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(f.run(&["explain", "req-00000001-00000001-1"], "").await, 8);
}
