//! Refusals as problem details (RFC 9457).

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use oriole_core::request::{Refusal, Refused};
use serde_json::{Value, json};

/// Returns the JSON body of a refusal. An empty `detail` is replaced by a text for the reason.
pub fn body(id: &str, refused: &Refused, detail: &str) -> Value {
    let detail = if detail.is_empty() { default_detail(refused.reason) } else { detail };
    json!({
        "type": "about:blank",
        "title": status(refused.reason).canonical_reason().unwrap_or("Refused"),
        "status": status(refused.reason).as_u16(),
        "detail": detail,
        "reason": refused.reason,
        "ran": refused.ran,
        "request": id,
        "retry-after-ms": refused.retry_after_ms,
    })
}

/// Returns the HTTP response for a refusal; see [`body`] for `detail`.
pub fn response(id: &str, refused: &Refused, detail: &str) -> Response<BoxBody> {
    let mut response = Response::build(status(refused.reason));
    response.insert_header(("content-type", "application/problem+json"));
    response.insert_header(("x-request-id", id));
    if let Some(ms) = refused.retry_after_ms {
        // The header has whole seconds. They are rounded up, since a retry that comes early is
        // refused again.
        response.insert_header(("retry-after", ms.div_ceil(1000).to_string()));
    }
    response.body(body(id, refused, detail).to_string()).map_into_boxed_body()
}

fn status(reason: Refusal) -> StatusCode {
    match reason {
        Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
        Refusal::Malformed => StatusCode::BAD_REQUEST,
        Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::NotFound => StatusCode::NOT_FOUND,
        Refusal::RequestRate | Refusal::TokenRate | Refusal::Concurrency => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Refusal::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Refusal::KeyInUse | Refusal::KeyMismatch | Refusal::OutcomeUnknown => StatusCode::CONFLICT,
        Refusal::EndpointFailed => StatusCode::BAD_GATEWAY,
        Refusal::NoChain
        | Refusal::Leaving
        | Refusal::QueueFull
        | Refusal::NoMemory
        | Refusal::Fenced
        | Refusal::Superseded
        | Refusal::Restarted
        | Refusal::RetryBudget
        | Refusal::HomeUnreachable
        | Refusal::Cancelled
        | Refusal::Starting
        | Refusal::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns a text for callers that describes a reason.
fn default_detail(reason: Refusal) -> &'static str {
    match reason {
        Refusal::Unauthorized => "the key matches no workspace",
        Refusal::Malformed => "the request could not be understood, or asks for no tokens",
        Refusal::TooLarge => "prompt and answer are longer than the model allows",
        Refusal::NoMemory => "there is no memory for the body",
        Refusal::NotFound => "no such model or service, or none that the contract allows",
        Refusal::RequestRate => "the contract's rate of requests is used up",
        Refusal::TokenRate => "the contract's rate of tokens is used up",
        Refusal::Concurrency => "the contract's number of concurrent requests is used up",
        Refusal::Deadline => "the deadline cannot be met, or has passed",
        Refusal::NoChain => "no endpoints that can serve the request are available now",
        Refusal::Leaving => "the endpoint is leaving",
        Refusal::QueueFull => "the endpoint's queue is full",
        Refusal::Fenced => "a newer attempt fences this one off",
        Refusal::Superseded => "the request was admitted under a superseded roster",
        Refusal::RetryBudget => {
            "the request could not run where it was sent, and the budget for \
            retries is used up"
        }
        Refusal::KeyInUse => "a request with this idempotency key still runs",
        Refusal::KeyMismatch => "the idempotency key was used for another request",
        Refusal::OutcomeUnknown => "a request with this idempotency key may have run before",
        Refusal::HomeUnreachable => "the idempotency key's home cannot be reached",
        Refusal::EndpointFailed => "the endpoints that ran the request failed",
        Refusal::Restarted => "the endpoint's side has restarted and cannot know",
        Refusal::Cancelled => "the caller went away",
        Refusal::Starting => "the entry has no configuration yet",
        Refusal::Stopping => "the entry is stopping",
    }
}
