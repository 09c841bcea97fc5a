//! Analysis of log lines: how a request ended, and the state of entries.
//!
//! The lines in `LOG` come from two entries, one of which restarts.
#![allow(clippy::unwrap_used)]

use oriole_ctl::logs::line::Line;
use oriole_ctl::logs::losses::{Limits, Loss, Losses};
use oriole_ctl::logs::request::Report;
use oriole_ctl::logs::summary::{Layout, Summary};

const LOG: &str = "\
  0.5 entry-1 [2026-01-02T15:03:40Z INFO  oriole_router::state] endpoint does not work endpoint=i-9 word=entry-2
  1.0 entry-1 [2026-01-02T15:03:41Z INFO  oriole_router::process] started host=entry-1 zone=a
  1.1 entry-1 [2026-01-02T15:03:41Z INFO  oriole_router::state] routing table in force version=3 services=2
  1.2 entry-2 [2026-01-02T15:03:41Z INFO  oriole_router::state] routing table in force version=4 services=2
  1.3 entry-1 [2026-01-02T15:03:41Z INFO  oriole_router::state] plan in force number=7 revision=49 chains=1
  1.4 entry-1 [2026-01-02T15:03:41Z INFO  oriole_router::state] usable chain head=i-1 crossings=0 path=i-1=0-40,i-2=40-80
  2.0 entry-1 [2026-01-02T15:03:42Z INFO  oriole_router::state::load] load chain=i-1 requests=90 tokens=83000 event_ms=34 factor=1.2 waiting=4
  2.1 entry-1 [2026-01-02T15:03:42Z WARN  oriole_router::follow] store lost purpose=endpoints error=the store refused with status 503
  2.2 entry-1 [2026-01-02T15:03:42Z INFO  oriole_router::serve] given up id=4892 route=r-1 reason=NoRoom not_run=true waited_ms=251 table=3 plan=49
  2.3 entry-1 [2026-01-02T15:03:42Z INFO  oriole_router::generation] served id=77 head=i-1 waited_ms=0 first_ms=40 pause_ms=60 took_ms=900
  2.4 entry-1 [2026-01-02T15:03:42Z INFO  oriole_router::state::load] load chain=i-1 requests=10 tokens=9000 event_ms=20 factor=1 waiting=0
no log line
";

fn lines() -> Vec<Line> {
    LOG.lines().filter_map(|text| Line::parse(text, "file")).collect()
}

#[test]
fn a_refused_request_is_explained_by_the_state_that_its_entry_logged_before() {
    let report = Report::find(&lines(), "4892").unwrap();
    assert!(report.verdict.contains("no chain or endpoint had room"), "{}", report.verdict);
    assert!(report.verdict.contains("has not run"), "{}", report.verdict);
    let messages: Vec<&str> = report.entry_state.iter().map(|l| l.message.as_str()).collect();
    assert_eq!(messages, ["routing table in force", "plan in force", "load", "store lost"]);
    assert_eq!(
        report.entry_state[2].get("requests"),
        "90",
        "the load before the request ended, not a later one"
    );
    assert_eq!(report.entry_state[3].get("error"), "the store refused with status 503");
    assert!(Report::find(&lines(), "nobody").is_none());
}

#[test]
fn the_summary_keeps_entries_apart() {
    let summary = Summary::of(&lines());
    assert_eq!(summary.entries["entry-2"].table.as_deref(), Some("4"));
    let entry = &summary.entries["entry-1"];
    assert_eq!(entry.requests["given up NoRoom"], 1);
    assert_eq!(entry.requests["served"], 1);
    assert!(entry.store_lost.contains("endpoints"));
    let layout = Layout::of(&summary).unwrap();
    assert_eq!((layout.plan.as_str(), layout.chains["i-1"].as_str()), ("7", "i-1=0-40,i-2=40-80"));
}

#[test]
fn a_line_without_a_collector_prefix_has_its_file_as_source() {
    let text = "[2026-01-02T15:03:41Z INFO  oriole_router::state] plan in force number=7";
    let line = Line::parse(text, "entry-9").unwrap();
    assert_eq!((line.source.as_str(), line.at.as_str()), ("entry-9", "2026-01-02T15:03:41Z"));
}

#[test]
fn lost_requests_are_counted_by_second_and_first_cause() {
    let text = "\
  9.9 entry-1 [T INFO  m] attempt failed id=1 head=i-1 waited_ms=0 took_ms=90 failure=Doubted
  10.1 entry-1 [T INFO  m] attempt failed id=1 head=i-2 waited_ms=9 took_ms=90 failure=NotExecuted
  10.2 entry-1 [T INFO  m] served id=1 head=i-3 waited_ms=9 first_ms=40 pause_ms=900 took_ms=2000
  10.3 entry-1 [T INFO  m] served id=2 head=i-3 waited_ms=9 first_ms=501 pause_ms=60 took_ms=2000
  10.4 entry-1 [T INFO  m] served id=3 head=i-3 waited_ms=9 first_ms=500 pause_ms=250 took_ms=2000
  9.5 entry-2 [T INFO  m] given up id=4 route=r reason=NoRoom not_run=true waited_ms=251 table=3 plan=4
  9.6 entry-2 [T INFO  m] given up id=5 route=r reason=NoRoom not_run=true waited_ms=251 table=3 plan=4
  10.9 entry-2 [T INFO  m] caller left id=6 waited_ms=3000 table=3 plan=4
";
    let lines: Vec<Line> = text.lines().filter_map(|text| Line::parse(text, "file")).collect();
    let losses = Losses::of(&lines, Limits { first_ms: 500, pause_ms: 250 });
    assert_eq!(losses.requests, 6);
    let found: Vec<_> =
        losses.lost.iter().map(|g| (g.at.as_str(), g.loss, g.cause.as_str(), g.count)).collect();
    assert_eq!(
        found,
        [
            ("9", Loss::GivenUp, "NoRoom after: no earlier line", 2),
            ("10", Loss::LateFirstEvent, "no earlier line", 1),
            ("10", Loss::LongPause, "attempt failed: Doubted", 1),
            ("10", Loss::CallerLeft, "no earlier line", 1),
        ]
    );
    assert!(losses.to_string().starts_with("5 of 6 requests were not served in time"));
}
