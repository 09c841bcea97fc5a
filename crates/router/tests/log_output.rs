//! What is left out of the log under load, or when nobody reads it.

#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::time::{Duration, Instant};

use oriole_router::log_output::Backlog;

fn served(n: usize) -> Vec<u8> {
    format!("[INFO generation] served id=s{n} head=e\n").into_bytes()
}

fn failed(n: usize) -> Vec<u8> {
    format!("[INFO serve] given up id=f{n} reason=NoRoom\n").into_bytes()
}

#[test]
fn a_flood_stays_under_a_limit_a_second() {
    let start = Instant::now();
    let (mut lines, mut left_out) = (0_u64, 0);
    let mut backlog = Backlog::new(start);
    for n in 0..100_000 {
        // Two seconds of 50,000 lines each.
        backlog.push(&served(n), start + Duration::from_micros(20 * n as u64));
        while let Some((_, missed)) = backlog.pop() {
            lines += 1;
            left_out += missed;
        }
    }
    assert!(lines <= 300, "{lines}");
    // The next line tells of all that were left out.
    backlog.push(&served(100_000), start + Duration::from_secs(10));
    left_out += backlog.pop().unwrap().1;
    assert_eq!(lines + left_out, 100_000);
}

#[test]
fn failed_requests_are_told_when_nobody_reads() {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    // 60 s without a reader: 100 served and 30 failed requests a second.
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        for n in 0..100 {
            backlog.push(&served(n), now);
        }
        for n in 0..30 {
            backlog.push(&failed(second as usize * 30 + n), now);
        }
    }
    let mut found = 0;
    let mut left_out = 0;
    while let Some((line, missed)) = backlog.pop() {
        left_out += missed;
        found += usize::from(line.windows(9).any(|part| part == b"given up "));
    }
    assert_eq!(found, 1800);
    assert!(left_out > 0);
}

#[test]
fn the_backlog_is_bounded() {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    for second in 0..1000 {
        for n in 0..400 {
            backlog.push(&failed(n), start + Duration::from_secs(second));
        }
    }
    let mut lines = 0;
    while backlog.pop().is_some() {
        lines += 1;
    }
    assert!(lines <= 4096);
}
