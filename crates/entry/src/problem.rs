//! Refusals as problem details (RFC 9457).

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use oriole_core::request::{Refusal, Refused};
use serde_json::{Value, json};

/// The members of a problem's body.
pub fn body(id: &str, refused: &Refused, detail: &str) -> Value {
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

/// The answer that carries a refusal.
pub fn response(id: &str, refused: &Refused, detail: &str) -> Response<BoxBody> {
    let mut response = Response::build(status(refused.reason));
    response.insert_header(("content-type", "application/problem+json"));
    response.insert_header(("x-request-id", id));
    if let Some(ms) = refused.retry_after_ms {
        // The header has whole seconds; an early retry would only be refused again.
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
        | Refusal::Fenced
        | Refusal::Superseded
        | Refusal::Restarted
        | Refusal::RetryBudget
        | Refusal::HomeUnreachable
        | Refusal::Cancelled
        | Refusal::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
