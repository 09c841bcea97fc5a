//! Tests of a running entry over HTTP, as callers and operators use it.

#[path = "http/fixture.rs"]
mod fixture;

use std::time::Duration;

use actix_rt::time::sleep;
use awc::Client;
use fixture::{Fixture, KEY};
use futures_util::StreamExt;
use oriole_adapter::limits::Limits;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";

fn chat_request(stream: bool, max_tokens: u32) -> String {
    let messages = [json!({ "role": "user", "content": "hello" })];
    json!({ "model": "m", "messages": messages, "stream": stream, "max_tokens": max_tokens })
        .to_string()
}

/// Text of the answer of the fake side: each token is its position, which starts after the three
/// tokens of the prompt.
fn text(tokens: u32) -> String {
    (3..3 + tokens).map(|position| format!("{position} ")).collect()
}

/// Invalid requests are refused before they reach a back end, each with a reason that says that
/// nothing ran, and are counted for their workspace.
#[actix_rt::test]
async fn bad_input_gets_a_typed_error_and_is_counted() {
    let fixture = Fixture::start().await;
    let large = "x".repeat(5 * 1024 * 1024);
    let cases: [(&str, &str, &str, u16, &str); 9] = [
        ("/nothing", KEY, "", 404, "not-found"),
        (CHAT, "another key", "{}", 401, "unauthorized"),
        (CHAT, KEY, "{\"model\":", 400, "malformed"),
        (CHAT, KEY, "{\"model\":\"x\",\"messages\":[]}", 404, "not-found"),
        (CHAT, KEY, &chat_request(false, 0), 400, "malformed"),
        (CHAT, KEY, &chat_request(false, 1_000_000), 413, "too-large"),
        (CHAT, KEY, &chat_request(false, u32::MAX), 413, "too-large"),
        (CHAT, KEY, &large, 413, "too-large"),
        ("/v1/services/unknown/x", KEY, "", 404, "not-found"),
    ];
    for (path, key, body, status, reason) in cases {
        let (seen, problem) = fixture.post(path, key, body).await;
        let start: String = body.chars().take(40).collect();
        assert_eq!((seen, problem["reason"].as_str()), (status, Some(reason)), "{path} {start}");
        assert_eq!(problem["ran"], "no");
        assert!(!problem["detail"].as_str().unwrap().is_empty());
    }
    for (header, value) in [
        ("x-deadline-ms", "0"),
        ("x-deadline-ms", "-5"),
        ("x-deadline-ms", "99999999999999999999"),
        ("idempotency-key", "1"),
        ("idempotency-key", "b1f1b8a0-0000-4000-8000-000000000000"),
    ] {
        let request = Client::default().post(fixture.url("/v1/services/s/x")).bearer_auth(KEY);
        let response = request.insert_header((header, value)).send().await.unwrap();
        assert_eq!(response.status(), 400, "{header}: {value}");
    }
    let (_, counters) = fixture.get("/v1/counters").await;
    assert_eq!(counters["refused.too-large"]["workspace/w"], 3);
    assert_eq!(counters["refused.unauthorized"]["total"], 1);
    assert_eq!(counters["refused.malformed"]["workspace/w"], 7);
    assert!(fixture.side.calls.borrow().is_empty());
}

/// A deadline of `u64::MAX` milliseconds is valid: it is reduced to the contract's longest one. A
/// deadline that cannot be met is refused.
#[actix_rt::test]
async fn a_long_deadline_is_cut_and_a_short_one_refused_at_once() {
    let fixture = Fixture::start().await;
    for (ms, status) in [("18446744073709551615", 200), ("1", 504)] {
        let request = Client::default().post(fixture.url(CHAT)).bearer_auth(KEY);
        let request = request.insert_header(("x-deadline-ms", ms));
        let response = request.send_body(chat_request(false, 200)).await.unwrap();
        assert_eq!(response.status(), status, "{ms}");
        assert_eq!(response.headers().contains_key("retry-after"), status == 504);
    }
}

/// A client that sends an endless header or stops in the middle of a body must not block others.
#[actix_rt::test]
async fn oversized_headers_and_slow_senders_do_not_affect_other_callers() {
    let fixture = Fixture::start().await;
    let mut stream = TcpStream::connect(fixture.http).await.unwrap();
    let head = format!("GET /healthz HTTP/1.1\r\nhost: x\r\na: {}\r\n", "y".repeat(300_000));
    // The entry may close the connection during the write.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    // A sender that stops in the middle of a body blocks only its own connection.
    let mut slow = TcpStream::connect(fixture.http).await.unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 99\r\n\r\n"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let (status, completion) = fixture.post(CHAT, KEY, &chat_request(false, 3)).await;
    assert_eq!((status, content(&completion)), (200, text(3).as_str()));
}

fn content(completion: &Value) -> &str {
    completion["choices"][0]["message"]["content"].as_str().unwrap_or_default()
}

#[actix_rt::test]
async fn answers_are_buffered_or_streamed_and_can_be_explained() {
    let fixture = Fixture::start().await;
    let (status, completion) = fixture.post(CHAT, KEY, &chat_request(false, 20)).await;
    assert_eq!((status, content(&completion)), (200, text(20).as_str()));
    assert_eq!(completion["usage"]["completion_tokens"], 20);
    let request = Client::default().post(fixture.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(chat_request(true, 20)).await.unwrap();
    let id = response.headers().get("x-request-id").unwrap().to_str().unwrap().to_owned();
    let body = response.body().await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    assert!(body.ends_with("data: [DONE]\n\n"));
    let pieces = body.split("\n\n").filter_map(|event| {
        let value: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        Some(value["choices"][0]["delta"]["content"].as_str()?.to_owned())
    });
    assert_eq!(pieces.collect::<String>(), text(20));
    let (status, record) = fixture.get(&format!("/v1/explain/{id}")).await;
    assert_eq!((status, record["workspace"].as_str()), (200, Some("w")));
    let facts = record["facts"].to_string();
    for fact in ["admitted", "planned", "token", "answered", "engine"] {
        assert!(facts.contains(fact), "{fact} in {facts}");
    }
    assert_eq!(fixture.get("/v1/explain/req-1-2-3").await.0, 404);
    assert_eq!(fixture.get("/v1/explain/nothing").await.0, 400);
    assert_eq!(fixture.get("/v1/status").await.1["generations"], 0);
}

#[actix_rt::test]
async fn a_service_gets_the_path_query_and_body_of_the_caller() {
    let fixture = Fixture::start().await;
    let request = Client::default().put(fixture.url("/v1/services/s/a/b?c=d")).bearer_auth(KEY);
    let mut response = request.send_body("body").await.unwrap();
    assert_eq!(response.status(), 201);
    assert_eq!(response.body().await.unwrap(), "body");
    assert_eq!(*fixture.side.calls.borrow(), ["/a/b?c=d"]);
}

/// Guards against a stream that is broken off since connections without a request need its place.
#[actix_rt::test]
async fn a_stream_keeps_its_connection_when_others_come() {
    // Descriptors for three connections of callers.
    let limits = Limits { file_descriptors: 208, ..Limits::default() };
    let fixture = Fixture::with_limits(limits).await;
    fixture.side.token_us.set(20_000);
    let request = Client::default().post(fixture.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(chat_request(true, 20)).await.unwrap();
    let mut others = vec![];
    for _ in 0..10 {
        others.push(TcpStream::connect(fixture.http).await.unwrap());
        sleep(Duration::from_millis(5)).await;
    }
    let body = response.body().await.unwrap();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
}

/// Without backpressure, a caller that does not read makes the queue in the entry grow without
/// bound; without cancellation, a generation goes on for a caller that has left.
#[actix_rt::test]
async fn a_slow_caller_pauses_the_generation_and_a_lost_one_cancels_it() {
    let fixture = Fixture::start().await;
    fixture.side.padding.set(20_000);
    let request = Client::default().post(fixture.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(chat_request(true, 90_000)).await.unwrap();
    assert!(response.next().await.is_some());
    // Unread tokens fill the sockets and then the queue in the entry; then the feeds stop.
    let mut before = 0;
    while fixture.side.feeds.get() != before {
        before = fixture.side.feeds.get();
        assert!(before < 5_000, "{before} tokens for a caller that does not read");
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(fixture.side.cancels.get(), 0);
    drop(response);
    for _ in 0..100 {
        if fixture.side.cancels.get() > 0 {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(fixture.side.cancels.get(), 1);
    assert_eq!(fixture.get("/v1/status").await.1["generations"], 0);
}

/// Load balancers notice a stop only after a delay, so a stopping entry reports itself as not ready
/// first and takes requests for a while longer. Open streams are answered to their end.
#[actix_rt::test]
async fn a_graceful_stop_fails_readiness_first_and_completes_open_streams() {
    let mut fixture = Fixture::start().await;
    fixture.side.token_us.set(20_000);
    let request = Client::default().post(fixture.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(chat_request(true, 60)).await.unwrap();
    assert_eq!(fixture.get("/readyz").await.0, 200);
    let stopped = actix_rt::spawn(fixture.entry.take().unwrap().stop());
    sleep(Duration::from_millis(50)).await;
    assert_eq!(fixture.get("/readyz").await.0, 503);
    assert_eq!(fixture.get("/healthz").await.0, 200);
    // A load balancer may not have noticed yet: the entry still takes requests.
    assert_eq!(fixture.post(CHAT, KEY, &chat_request(false, 1)).await.0, 200);
    sleep(Duration::from_millis(400)).await;
    let (status, problem) = fixture.post(CHAT, KEY, &chat_request(false, 1)).await;
    assert_eq!((status, problem["reason"].as_str()), (503, Some("stopping")));
    let body = response.body().await.unwrap();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    stopped.await.unwrap();
}

/// Before the first configuration arrives no key can be checked. A refusal as unauthorized would
/// make callers give up a valid key.
#[actix_rt::test]
async fn an_entry_without_a_configuration_refuses_as_starting_not_as_unauthorized() {
    let (_entry, address) = fixture::start_without_configuration();
    let get = |path: &str| Client::default().get(format!("http://{address}{path}")).send();
    assert_eq!(get("/readyz").await.unwrap().status(), 503);
    let chat = Client::default().post(format!("http://{address}{CHAT}")).bearer_auth(KEY);
    let mut response = chat.send_body(chat_request(false, 1)).await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers().get("retry-after").unwrap(), "1");
    let problem: Value = response.json().await.unwrap();
    assert_eq!((&problem["reason"], &problem["ran"]), (&json!("starting"), &json!("no")));
}
