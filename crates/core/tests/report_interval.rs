//! Tests that load reports stay within the budget of an entry in deployments of any size.

#![allow(clippy::unwrap_used)]

use oriole_core::message::{Load, Message, Term};
use oriole_core::report_interval::{Intervals, REPORT_BUDGET_BYTES_PER_S, REPORT_BYTES};

#[test]
fn reports_fit_the_budget_at_any_size() {
    for endpoints in [1, 43, 750, 5000] {
        let intervals = Intervals::new(endpoints);
        let bytes = (endpoints * REPORT_BYTES) as f64 / intervals.busy.as_secs_f64();
        assert!(bytes <= REPORT_BUDGET_BYTES_PER_S as f64 + 1.0, "{endpoints}: {bytes}");
        assert!(
            intervals.min <= intervals.busy
                && intervals.busy <= intervals.idle
                && intervals.idle < intervals.lifetime
        );
    }
}

#[test]
fn a_report_is_no_larger_than_assumed() {
    let load = Load {
        endpoint: "assist-model-hall-a-01".into(),
        open: true,
        queued: 100_000,
        running: 96,
        batch_us: 20_000,
        free: 200_000,
        prefixes: Vec::new(),
        term: Term { boot: u32::MAX, epoch: 100_000 },
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&Message::Load(load), &mut bytes).unwrap();
    assert!(bytes.len() <= REPORT_BYTES, "{}", bytes.len());
}
