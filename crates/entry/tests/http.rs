//! The running entry as callers and operators meet it.

#[path = "http/bench.rs"]
mod bench;

use std::time::Duration;

use actix_rt::time::sleep;
use awc::Client;
use bench::{Bench, KEY};
use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";

fn ask(stream: bool, max_tokens: u32) -> String {
    let messages = [json!({ "role": "user", "content": "hello" })];
    json!({ "model": "m", "messages": messages, "stream": stream, "max_tokens": max_tokens })
        .to_string()
}

/// Tokens that the fake side makes: each names its position, after the prompt's three.
fn text(tokens: u32) -> String {
    (3..3 + tokens).map(|position| format!("{position} ")).collect()
}

#[actix_rt::test]
async fn bad_input_gets_a_typed_error_and_is_counted() {
    let bench = Bench::start().await;
    let large = "x".repeat(5 * 1024 * 1024);
    let cases: [(&str, &str, &str, u16, &str); 9] = [
        ("/nothing", KEY, "", 404, "not-found"),
        (CHAT, "another key", "{}", 401, "unauthorized"),
        (CHAT, KEY, "{\"model\":", 400, "malformed"),
        (CHAT, KEY, "{\"model\":\"x\",\"messages\":[]}", 404, "not-found"),
        (CHAT, KEY, &ask(false, 0), 400, "malformed"),
        (CHAT, KEY, &ask(false, 1_000_000), 413, "too-large"),
        (CHAT, KEY, &ask(false, u32::MAX), 413, "too-large"),
        (CHAT, KEY, &large, 413, "too-large"),
        ("/v1/services/unknown/x", KEY, "", 404, "not-found"),
    ];
    for (path, key, body, status, reason) in cases {
        let (seen, problem) = bench.post(path, key, body).await;
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
        let request = Client::default().post(bench.url("/v1/services/s/x")).bearer_auth(KEY);
        let response = request.insert_header((header, value)).send().await.unwrap();
        assert_eq!(response.status(), 400, "{header}: {value}");
    }
    let (_, counters) = bench.get("/v1/counters").await;
    assert_eq!(counters["refused.too-large"]["workspace/w"], 3);
    assert_eq!(counters["refused.unauthorized"]["total"], 1);
    assert_eq!(counters["refused.malformed"]["workspace/w"], 7);
    assert!(bench.side.calls.borrow().is_empty());
}

/// An absurd but readable deadline is cut to the contract's longest.
#[actix_rt::test]
async fn a_long_deadline_is_cut_and_a_short_one_refused_at_once() {
    let bench = Bench::start().await;
    for (ms, status) in [("18446744073709551615", 200), ("1", 504)] {
        let request = Client::default().post(bench.url(CHAT)).bearer_auth(KEY);
        let request = request.insert_header(("x-deadline-ms", ms));
        let response = request.send_body(ask(false, 200)).await.unwrap();
        assert_eq!(response.status(), status, "{ms}");
        assert_eq!(response.headers().contains_key("retry-after"), status == 504);
    }
}

#[actix_rt::test]
async fn oversized_headers_and_slow_senders_disturb_no_one() {
    let bench = Bench::start().await;
    let mut stream = TcpStream::connect(bench.http).await.unwrap();
    let head = format!("GET /healthz HTTP/1.1\r\nhost: x\r\na: {}\r\n", "y".repeat(300_000));
    // The entry may close while this is being written.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    // A sender that stops in the middle of a body holds only its own connection.
    let mut slow = TcpStream::connect(bench.http).await.unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 99\r\n\r\n"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let (status, whole) = bench.post(CHAT, KEY, &ask(false, 3)).await;
    assert_eq!((status, content(&whole)), (200, text(3).as_str()));
}

fn content(whole: &Value) -> &str {
    whole["choices"][0]["message"]["content"].as_str().unwrap_or_default()
}

#[actix_rt::test]
async fn answers_come_whole_and_streamed_and_are_explained() {
    let bench = Bench::start().await;
    let (status, whole) = bench.post(CHAT, KEY, &ask(false, 20)).await;
    assert_eq!((status, content(&whole)), (200, text(20).as_str()));
    assert_eq!(whole["usage"]["completion_tokens"], 20);
    let request = Client::default().post(bench.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(ask(true, 20)).await.unwrap();
    let id = response.headers().get("x-request-id").unwrap().to_str().unwrap().to_owned();
    let body = response.body().await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    assert!(body.ends_with("data: [DONE]\n\n"));
    let pieces = body.split("\n\n").filter_map(|event| {
        let value: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        Some(value["choices"][0]["delta"]["content"].as_str()?.to_owned())
    });
    assert_eq!(pieces.collect::<String>(), text(20));
    let (status, record) = bench.get(&format!("/v1/explain/{id}")).await;
    assert_eq!((status, record["workspace"].as_str()), (200, Some("w")));
    let facts = record["facts"].to_string();
    for fact in ["admitted", "planned", "token", "answered", "engine"] {
        assert!(facts.contains(fact), "{fact} in {facts}");
    }
    assert_eq!(bench.get("/v1/explain/req-1-2-3").await.0, 404);
    assert_eq!(bench.get("/v1/explain/nothing").await.0, 400);
    assert_eq!(bench.get("/v1/status").await.1["generations"], 0);
}

#[actix_rt::test]
async fn a_service_is_called_with_what_the_caller_sent() {
    let bench = Bench::start().await;
    let request = Client::default().put(bench.url("/v1/services/s/a/b?c=d")).bearer_auth(KEY);
    let mut response = request.send_body("body").await.unwrap();
    assert_eq!(response.status(), 201);
    assert_eq!(response.body().await.unwrap(), "body");
    assert_eq!(*bench.side.calls.borrow(), ["/a/b?c=d"]);
}

#[actix_rt::test]
async fn a_caller_that_leaves_cancels_and_one_that_is_slow_stops_the_engine() {
    let bench = Bench::start().await;
    bench.side.padding.set(20_000);
    let request = Client::default().post(bench.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(ask(true, 90_000)).await.unwrap();
    assert!(response.next().await.is_some());
    // What is not read piles up in the sockets and then in the entry, and then the feeds stop.
    let mut before = 0;
    while bench.side.feeds.get() != before {
        before = bench.side.feeds.get();
        assert!(before < 5_000, "{before} tokens for a caller that does not read");
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(bench.side.cancels.get(), 0);
    drop(response);
    for _ in 0..100 {
        if bench.side.cancels.get() > 0 {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(bench.side.cancels.get(), 1);
    assert_eq!(bench.get("/v1/status").await.1["generations"], 0);
}

#[actix_rt::test]
async fn a_planned_stop_fails_readiness_first_and_cuts_nothing() {
    let mut bench = Bench::start().await;
    bench.side.token_us.set(20_000);
    let request = Client::default().post(bench.url(CHAT)).bearer_auth(KEY);
    let mut response = request.send_body(ask(true, 60)).await.unwrap();
    assert_eq!(bench.get("/readyz").await.0, 200);
    let stopped = actix_rt::spawn(bench.entry.take().unwrap().stop());
    sleep(Duration::from_millis(50)).await;
    assert_eq!(bench.get("/readyz").await.0, 503);
    assert_eq!(bench.get("/healthz").await.0, 200);
    // The balancer may not have noticed yet: requests are still taken.
    assert_eq!(bench.post(CHAT, KEY, &ask(false, 1)).await.0, 200);
    sleep(Duration::from_millis(400)).await;
    let (status, problem) = bench.post(CHAT, KEY, &ask(false, 1)).await;
    assert_eq!((status, problem["reason"].as_str()), (503, Some("stopping")));
    let body = response.body().await.unwrap();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    stopped.await.unwrap();
}

#[actix_rt::test]
async fn an_entry_without_a_configuration_says_so_and_not_that_the_key_is_wrong() {
    let (_entry, address) = bench::start_without_configuration();
    let get = |path: &str| Client::default().get(format!("http://{address}{path}")).send();
    assert_eq!(get("/readyz").await.unwrap().status(), 503);
    let chat = Client::default().post(format!("http://{address}{CHAT}")).bearer_auth(KEY);
    let mut response = chat.send_body(ask(false, 1)).await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers().get("retry-after").unwrap(), "1");
    let problem: Value = response.json().await.unwrap();
    assert_eq!((&problem["reason"], &problem["ran"]), (&json!("starting"), &json!("no")));
}
