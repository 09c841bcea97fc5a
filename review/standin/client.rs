//! Clients, and the operator's configuration that allows their requests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::CRASHING;
use crate::http::{self, Message};
use crate::record::Record;

/// Service of plain engines.
pub const SERVICE: &str = "records";

/// Key of the only tenant.
const KEY: &str = "key-of-the-tenant";

/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Returns a configuration with one plain service, which idempotent requests reach under `/page/` and others
/// under `/once/`.
pub fn config(version: u64) -> String {
    let route = |kind: &str, prefix: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{kind}\",\"hostname\":\"calls.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"public\":false,\
             \"sticky\":false,\"resumable\":false}}"
        )
    };
    let routes = [route("idempotent", "/page/", 2), route("non_idempotent", "/once/", 1)].join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":200,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Sends an idempotent request that crashes the engines that run it. All of them are alike but for their ids.
pub fn get_crashing(entry: SocketAddr, id: &str, record: &Record) -> Option<Message> {
    let target = format!("GET /page/{CRASHING}");
    send_to(entry, &target, id, record)
}

/// Sends an idempotent request to an entry, and returns the answer if there is one.
pub fn get(entry: SocketAddr, id: &str, record: &Record) -> Option<Message> {
    send(entry, "GET /page", id, record)
}

/// Sends a request that is not idempotent to an entry, and returns the answer if there is one.
pub fn post(entry: SocketAddr, id: &str, record: &Record) -> Option<Message> {
    send(entry, "POST /once", id, record)
}

/// Sends a request that is not idempotent, with a body of `size` bytes that takes `time`, and returns its answer
/// if there is one.
pub fn upload(
    entry: SocketAddr,
    id: &str,
    size: usize,
    time: Duration,
    record: &Record,
) -> Option<Message> {
    let head = format!(
        "POST /once/{id} HTTP/1.1\r\nhost: calls.example\r\noriolelanding-request-id: {id}\r\n\
         oriolelanding-deadline-ms: {}\r\napi-key: {KEY}\r\ncontent-length: {size}\r\n\
         connection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    let answer = http::call_slowly(entry, head.as_bytes(), size, time, DEADLINE);
    match &answer {
        Ok(answer) => record.line(&format!("client: {id} gets {}", answer.status())),
        Err(error) => record.line(&format!("client: {id} gets no answer: {error}")),
    }
    answer.ok()
}

fn send(entry: SocketAddr, target: &str, id: &str, record: &Record) -> Option<Message> {
    send_to(entry, &format!("{target}/{id}"), id, record)
}

fn send_to(entry: SocketAddr, target: &str, id: &str, record: &Record) -> Option<Message> {
    let length = if target.starts_with("POST") { "content-length: 0\r\n" } else { "" };
    let request = format!(
        "{target} HTTP/1.1\r\nhost: calls.example\r\noriolelanding-request-id: {id}\r\n\
         oriolelanding-deadline-ms: {}\r\napi-key: {KEY}\r\n{length}connection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    record.line(&format!("client: sends {id}"));
    match http::call(entry, request.as_bytes(), DEADLINE) {
        Ok(answer) => {
            let server = answer.header("oriolelanding-response-signature").unwrap_or("none");
            record.line(&format!("client: {id} gets {}, signature {server}", answer.status()));
            Some(answer)
        }
        Err(error) => {
            record.line(&format!("client: {id} gets no answer: {error}"));
            None
        }
    }
}
