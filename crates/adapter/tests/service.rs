//! Tests of the clients of plain services and engines against servers that misbehave.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use oriole_adapter::{engine, service};
use oriole_core::message::{Call, Term};
use oriole_core::request::Id;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Answers each request with its path, and before that, if it is not the first one of its connection,
/// with a second copy of the answer before.
async fn serve_twice(mut stream: TcpStream) {
    let mut previous: Option<String> = None;
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let path = request.split(' ').nth(1).unwrap().to_owned();
        let body = format!("\"{path}\"");
        let status = if path.contains("refused") { "409 Conflict" } else { "200 OK" };
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let late = previous.replace(answer.clone()).unwrap_or_default();
        stream.write_all(format!("{late}{answer}").as_bytes()).await.unwrap();
    }
}

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve_twice(stream));
        }
    });
    address
}

fn call(path: &str) -> Call {
    Call {
        request: Id { host: 1, boot: 1, seq: 1 },
        attempt: 1,
        endpoint: "app".into(),
        workspace: "desk".into(),
        priority: 3,
        weight: 10,
        deadline_ms: 60_000,
        idempotent: false,
        method: "POST".into(),
        path: path.into(),
        content_type: String::new(),
        body: Vec::new(),
        roster: 0,
        term: Term::default(),
    }
}

#[actix_rt::test]
async fn a_late_second_copy_of_an_answer_is_not_the_answer_to_the_next_call() {
    let client = service::Client::new(start().await);
    for number in 0..5 {
        let path = format!("/call-{number}");
        let answer = client.call(&call(&path), TIMEOUT).await.unwrap();
        assert_eq!(String::from_utf8(answer.body).unwrap(), format!("\"{path}\""));
    }
}

/// Outcomes of steps have no name of what they are of: those of another batch would be taken for it.
#[actix_rt::test]
async fn a_late_second_copy_of_an_answer_is_not_the_answer_to_the_next_request_to_an_engine() {
    let client = engine::Client::new(start().await);
    for _ in 0..5 {
        assert_eq!(client.free("held", TIMEOUT).await, Ok(()));
        let refused = client.free("refused", TIMEOUT).await;
        assert_eq!(refused, Err(engine::Error::Status { status: 409 }));
    }
}

/// Starts a service that sends `bytes` as its answer to each request and closes the connection.
async fn service_sending(bytes: String) -> service::Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await.unwrap();
            stream.write_all(bytes.as_bytes()).await.unwrap();
            stream.shutdown().await.unwrap();
        }
    });
    service::Client::new(address)
}

/// Guards against a status that no answer has, which a caller would get as an answer.
#[actix_rt::test]
async fn a_status_that_no_answer_has_is_no_answer() {
    for status in ["000", "099", "101", "600", "999"] {
        let answer = format!("HTTP/1.1 {status} Any\r\ncontent-length: 5\r\n\r\nwhole");
        let failed = service_sending(answer).await.call(&call("/call"), TIMEOUT).await;
        assert!(failed.is_err(), "{status}: {failed:?}");
    }
}

/// Guards against a head that breaks off and is taken for an answer without a body.
#[actix_rt::test]
async fn a_head_that_breaks_off_anywhere_is_no_answer() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    for length in 0..head.len() {
        let client = service_sending(head[..length].to_owned()).await;
        let failed = client.call(&call("/call"), TIMEOUT).await;
        assert!(failed.is_err(), "{:?}: {failed:?}", &head[..length]);
    }
}
