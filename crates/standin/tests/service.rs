//! The stand-ins for plain services and for the weight store, and the TCP relay.
#![allow(clippy::unwrap_used)] // helpers of tests fail by panic as the tests do

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::service::{Client, Error};
use oriole_core::message::{Call, Term};
use oriole_core::request::Id;
use oriole_standin::fault::Switch;
use oriole_standin::service::{Answer, Record, serve};
use oriole_standin::{relay, weights};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn start() -> (SocketAddr, Switch, Record) {
    let (listener, address) = listen().await;
    let (switch, record) = (Switch::new(), Record::default());
    actix_rt::spawn(serve(listener, Duration::ZERO, switch.clone(), record.clone()));
    (address, switch, record)
}

fn call(id: &str) -> Call {
    Call {
        request: Id { host: 1, boot: 1, seq: 1 },
        attempt: 1,
        endpoint: "status-app-1".into(),
        workspace: "gate-desk".into(),
        priority: 3,
        weight: 10,
        deadline_ms: 1000,
        idempotent: false,
        method: "POST".to_owned(),
        path: "/escorts".to_owned(),
        content_type: "application/json".to_owned(),
        body: format!("{{\"id\":\"{id}\"}}").into_bytes(),
        roster: 0,
        term: Term::default(),
    }
}

#[actix_rt::test]
async fn each_run_of_a_call_is_counted() {
    let (address, _switch, record) = start().await;
    let client = Client::new(address);
    client.call(&call("a"), TIMEOUT).await.unwrap();
    let answer = client.call(&call("a"), TIMEOUT).await.unwrap();
    let answer: Answer = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.runs, answer.path.as_str()), (2, "/escorts"));
    assert_eq!((record.runs("b"), record.duplicates()), (0, vec!["a".to_owned()]));
}

#[actix_rt::test]
async fn errors_say_whether_the_call_ran() {
    let (address, switch, record) = start().await;
    let client = Client::new(address);
    switch.fail_next(1);
    assert_eq!(client.call(&call("a"), TIMEOUT).await.unwrap().status, 503);
    assert_eq!(record.runs("a"), 0);
    switch.lose_replies(1);
    assert_eq!(client.call(&call("a"), TIMEOUT).await, Err(Error::Lost));
    assert_eq!(record.runs("a"), 1);
    switch.crash_after_running();
    assert_eq!(client.call(&call("b"), TIMEOUT).await, Err(Error::Lost));
    assert_eq!(record.runs("b"), 1);
    let error = Client::new(address).call(&call("c"), TIMEOUT).await.unwrap_err();
    assert!(error.is_not_run(), "{error}");
    assert_eq!(record.runs("c"), 0);
}

/// Makes a call on an open connection. Returns the beginning of the answer, or `None` if none comes within
/// `limit`.
async fn exchange(stream: &mut TcpStream, id: &str, limit: Duration) -> Option<String> {
    let body = format!("{{\"id\":\"{id}\"}}");
    let length = body.len();
    let request = format!("POST /c HTTP/1.1\r\nhost: s\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = [0; 4096];
    let count = timeout(limit, stream.read(&mut answer)).await.ok()?.unwrap();
    Some(String::from_utf8_lossy(&answer[..count]).into_owned())
}

#[actix_rt::test]
async fn silence_open_silences_open_connections_and_not_new_ones() {
    let (target, _service, record) = start().await;
    let (listener, address) = listen().await;
    let switch = relay::Switch::new();
    actix_rt::spawn(relay::serve(listener, target, switch.clone()));
    // The client opens a connection for each call, so that one that stays open is used by hand.
    let mut open = TcpStream::connect(address).await.unwrap();
    assert!(exchange(&mut open, "a", TIMEOUT).await.unwrap().starts_with("HTTP/1.1 200"));
    switch.silence_open();
    assert_eq!(exchange(&mut open, "b", Duration::from_millis(100)).await, None);
    assert_eq!((record.runs("a"), record.runs("b")), (1, 0));
    Client::new(address).call(&call("c"), TIMEOUT).await.unwrap();
}

#[actix_rt::test]
async fn close_open_leaves_new_connections_working() {
    let (target, _service, _record) = start().await;
    let (listener, address) = listen().await;
    let switch = relay::Switch::new();
    actix_rt::spawn(relay::serve(listener, target, switch.clone()));
    switch.silence_all();
    let client = Client::new(address);
    let silent = client.call(&call("a"), Duration::from_millis(100)).await;
    assert_eq!(silent, Err(Error::Timeout));
    switch.clear_faults();
    switch.close_open();
    Client::new(address).call(&call("b"), TIMEOUT).await.unwrap();
}

#[test]
fn weight_store_spaces_layers_by_its_rate() {
    let settings = weights::Settings {
        bytes_per_second: 1000,
        layer_bytes: 500,
        max_wait: Duration::from_secs(1),
    };
    let now = Instant::now();
    let mut limiter = weights::RateLimiter::new(settings, now);
    assert_eq!(limiter.reserve(now), Some(now + Duration::from_millis(500)));
    assert_eq!(limiter.reserve(now), Some(now + Duration::from_millis(1000)));
    assert_eq!(limiter.reserve(now), None);
}
