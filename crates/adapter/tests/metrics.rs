//! Export of counters to a StatsD collector.

#![allow(clippy::unwrap_used)]

use std::net::UdpSocket;

use oriole_adapter::metrics::{Count, Exporter};

fn count(value: u64) -> Count {
    Count { name: "refused.deadline".to_owned(), workspace: Some("gate-desk".to_owned()), value }
}

/// StatsD counters are increments, so a total that is sent twice would be counted twice.
#[test]
fn sends_only_the_increase_since_the_last_export() {
    let collector = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut exporter = Exporter::new("oriole.entry", collector.local_addr().unwrap()).unwrap();
    for value in [3, 3, 5] {
        exporter.export([count(value)]);
    }
    // When the counter `mark` arrives, all counters exported before it have been received.
    exporter.export([Count { name: "mark".to_owned(), workspace: None, value: 1 }]);
    let mut received = String::new();
    while !received.contains("mark") {
        let mut buffer = [0; 1024];
        let length = collector.recv(&mut buffer).unwrap();
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
        received.push('\n');
    }
    let deadlines: Vec<_> = received.lines().filter(|line| line.contains("deadline")).collect();
    assert_eq!(
        deadlines,
        [
            "oriole.entry.refused.deadline:3|c|#workspace:gate-desk",
            "oriole.entry.refused.deadline:2|c|#workspace:gate-desk"
        ]
    );
}
