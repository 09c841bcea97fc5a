//! Tests of which log lines are dropped under load and when nobody reads the output.

#![allow(clippy::unwrap_used)] // a panic in a helper fails the test

use std::time::{Duration, Instant};

use oriole_router::log_output::Backlog;

fn served(n: usize) -> Vec<u8> {
    format!("[INFO generation] served id=s{n} head=e\n").into_bytes()
}

fn failed(n: usize) -> Vec<u8> {
    format!("[INFO serve] given up id=f{n} reason=NoRoom\n").into_bytes()
}

// A flood of requests must not cause an unbounded rate of log lines, and every dropped line must be
// counted.
#[test]
fn a_flood_of_lines_is_limited_per_second() {
    let start = Instant::now();
    let (mut lines, mut dropped) = (0_u64, 0);
    let mut backlog = Backlog::new(start);
    for n in 0..100_000 {
        // Two seconds of 50,000 lines each.
        backlog.push(&served(n), start + Duration::from_micros(20 * n as u64));
        while let Some((_, dropped_before)) = backlog.pop() {
            lines += 1;
            dropped += dropped_before;
        }
    }
    assert!(lines <= 300, "{lines}");
    // The next line comes with the number of all dropped lines.
    backlog.push(&served(100_000), start + Duration::from_secs(10));
    dropped += backlog.pop().unwrap().1;
    assert_eq!(lines + dropped, 100_000);
}

// If nobody reads the output for a minute, lines about served requests must not push out those that
// say why other requests failed.
#[test]
fn lines_about_failed_requests_are_kept_when_nobody_reads() {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    // 60 s without a reader, with 100 served and 30 failed requests per second.
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
    let mut dropped = 0;
    while let Some((line, dropped_before)) = backlog.pop() {
        dropped += dropped_before;
        found += usize::from(line.windows(9).any(|part| part == b"given up "));
    }
    assert_eq!(found, 1800);
    assert!(dropped > 0);
}

// Lines that nobody reads must not fill the memory, whatever their kind.
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

// If nobody reads the output, lines that hold long ids of callers must not use up the memory of the process.
#[test]
fn lines_that_wait_share_one_bound_on_memory() {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    let id = "x".repeat(16 * 1024);
    for n in 0..10_000 {
        let line = format!("[INFO serve] rejected id={id} reason=NoRoute\n");
        backlog.push(line.as_bytes(), start + Duration::from_millis(10 * n));
    }
    let waiting: usize = std::iter::from_fn(|| backlog.pop()).map(|(line, _)| line.len()).sum();
    assert!(waiting > 0 && waiting <= 1024 * 1024, "{waiting} bytes");
    backlog.push(&failed(1), start + Duration::from_secs(200));
    assert_eq!(backlog.pop(), Some((failed(1), 0)));
}
