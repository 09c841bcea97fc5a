//! Requests over the limits, and requests behind others on one connection.

use std::time::Duration;

use oriole_platform_standin::caller;
use oriole_platform_standin::config::{HOST, KEY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::cluster::{Cluster, WAIT_TIMEOUT};

/// Bytes of a body that is far over the limit of the configuration.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Sends a body of [`BODY_BYTES`] to its end, and returns what the caller reads then.
async fn send_whole(cluster: &Cluster, framing: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.entries[0].callers).await.unwrap();
    let head =
        format!("POST /page/a HTTP/1.1\r\nhost: {HOST}\r\napi-key: {KEY}\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut answer = vec![];
    timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await.unwrap().unwrap();
    String::from_utf8(answer).unwrap()
}

/// Guards against a connection that is reset before the caller, which still sends, has read why its request is
/// refused.
#[actix_rt::test]
async fn a_caller_whose_body_is_too_large_reads_the_refusal() {
    let cluster = Cluster::new(1).await;
    let length = format!("content-length: {BODY_BYTES}");
    let answer = send_whole(&cluster, &length, &vec![b'x'; BODY_BYTES]).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    let mut chunk = format!("{BODY_BYTES:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + BODY_BYTES, b'x');
    chunk.extend_from_slice(b"\r\n0\r\n\r\n");
    let answer = send_whole(&cluster, "transfer-encoding: chunked", &chunk).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against small requests that are lost since they came while another one on their connection was served.
#[actix_rt::test]
async fn small_requests_behind_another_are_answered() {
    let cluster = Cluster::new(1).await;
    let mut stream = TcpStream::connect(cluster.entries[0].callers).await.unwrap();
    let texts: Vec<String> =
        (0..5).map(|n| caller::request_text("/once/a", &format!("r{n}"), KEY, 5000)).collect();
    stream.write_all(texts.concat().as_bytes()).await.unwrap();
    let mut answers = String::new();
    let mut buffer = vec![0; 4096];
    while answers.matches("the whole page").count() < 5 {
        let reading = timeout(Duration::from_secs(30), stream.read(&mut buffer));
        let count = reading.await.unwrap().unwrap();
        assert!(count > 0, "closed after {answers}");
        answers.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    for n in 0..5 {
        assert_eq!(cluster.fleet.runs(&format!("r{n}")).len(), 1);
    }
}

/// Guards against an endpoint that is blamed, and a request that runs once more, since this entry has no memory for the
/// answer.
#[actix_rt::test]
async fn an_answer_that_finds_no_memory_is_no_failure_of_its_endpoint() {
    let cluster = Cluster::new(1).await;
    let state = &cluster.entries[0].state;
    let held = state.response_memory.begin(state.now());
    held.pin();
    held.resize(state.settings.limits.response_bytes() / 2, state.now()).unwrap();
    let answer = cluster.entries[0].call("/page/big", "r1", KEY).await;
    assert_eq!((answer.status, answer.is_complete), (502, true));
    let runs = cluster.fleet.runs("r1");
    assert_eq!(runs.len(), 1);
    let weight = state.inner.borrow().failures.weight(&runs[0].as_str().into(), state.now());
    assert!(weight.abs() < f64::EPSILON, "{weight}");
    drop(held);
    assert_eq!(cluster.entries[0].call("/page/big", "r2", KEY).await.status, 200);
}
