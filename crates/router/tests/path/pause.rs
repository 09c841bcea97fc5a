//! Tests of an entry whose process was paused: it must not act on what held before.

use std::io::Write;
use std::time::Duration;

use oriole_platform_standin::caller;
use oriole_platform_standin::config::{KEY, config};
use oriole_platform_standin::fleet::Fault;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::cluster::Cluster;

/// Longer than endpoints that drain get requests, and than a change of the configuration may take.
const PAUSE: Duration = Duration::from_secs(3);

/// Sends a request, pauses all that runs in this process after `change`, and returns the answer.
async fn answer_after_pause(cluster: &Cluster, id: &str, change: impl FnOnce()) -> String {
    let request = caller::request_text("/once/a", id, KEY, 20_000);
    // The entry and the store are tasks of this thread, which do not run meanwhile.
    let mut stream = std::net::TcpStream::connect(cluster.entries[0].callers).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    change();
    std::thread::sleep(PAUSE);
    stream.set_nonblocking(true).unwrap();
    let mut stream = TcpStream::from_std(stream).unwrap();
    let mut answer = [0; 1024];
    let count = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

#[actix_rt::test]
async fn a_paused_entry_sends_nothing_to_an_endpoint_that_left_meanwhile() {
    let cluster = Cluster::new(1).await;
    assert_eq!(cluster.entries[0].call("/once/a", "before", KEY).await.status, 200);
    let used = cluster.fleet.runs("before")[0].clone();
    let leave = || cluster.fleet.set_fault(&used, Fault::Draining);
    let answer = answer_after_pause(&cluster, "after", leave).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_ne!(cluster.fleet.runs("after"), vec![used]);
}

#[actix_rt::test]
async fn a_paused_entry_admits_no_key_that_was_withdrawn_meanwhile() {
    let cluster = Cluster::new(1).await;
    let withdraw = || cluster.store.put("op/config", &config(2, &["another-key"]));
    let answer = answer_after_pause(&cluster, "after", withdraw).await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert_eq!(cluster.fleet.runs("after"), Vec::<String>::new());
}
