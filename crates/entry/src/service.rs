//! Calls of plain services.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use oriole_adapter::server;
use oriole_core::entry::{Outcome, Request as Ask};
use oriole_core::request::Refusal;
use oriole_core::{home, name};
use uuid::Uuid;

use crate::caller::{self, Piece};
use crate::http::{BODY_TIMEOUT, MAX_BODY_BYTES, Problem, Shared, authorize, deadline, header};
use crate::problem;
use crate::process::Command;

/// Start of the paths of plain services.
pub(crate) const SERVICES: &str = "/v1/services/";

/// Answers one call.
pub(crate) async fn answer(
    mut request: Request,
    shared: &Rc<Shared>,
) -> Result<Response<BoxBody>, Problem> {
    let workspace = authorize(&request, shared)?;
    let fail = |problem: Problem| problem.of(&workspace);
    let deadline = deadline(&request).map_err(fail)?;
    let key = key(&request).map_err(fail)?;
    let rest = request.uri().path_and_query().map_or("", |p| p.as_str());
    let rest = rest.strip_prefix(SERVICES).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name::Service::from(service);
    let config = shared.config();
    let allowed = config.contracts.get(&workspace).is_some_and(|c| c.services.contains(&service));
    if !allowed {
        return Err(fail(Problem::new(Refusal::NotFound, format!("no service {service:?}"))));
    }
    let path = format!("/{path}");
    let method = request.method().to_string();
    let content_type = header(&request, "content-type").unwrap_or_default().to_owned();
    let body = server::read_body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = body.map_err(|e| fail(e.into()))?.to_vec();
    let ask = Ask { workspace, service, method, path, content_type, body, key, deadline };
    let (sender, mut pieces) = caller::channel(shared.commands.clone());
    shared.send(Command::Call(ask, sender)).await?;
    let Some(Piece::Accepted(id)) = pieces.recv().await else { return Err(Problem::stopping()) };
    let id = id.to_string();
    match pieces.recv().await {
        Some(Piece::End(Outcome::Answered(answer))) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = Response::build(status);
            response.insert_header(("content-type", answer.content_type));
            response.insert_header(("x-request-id", id));
            Ok(response.body(answer.body).map_into_boxed_body())
        }
        Some(Piece::End(Outcome::Refused(refused))) => Ok(problem::response(&id, &refused, "")),
        _ => Err(Problem::stopping()),
    }
}

/// The idempotency key, if the caller sent one.
fn key(request: &Request) -> Result<Option<u128>, Problem> {
    if !request.headers().contains_key("idempotency-key") {
        return Ok(None);
    }
    let text = header(request, "idempotency-key").unwrap_or_default();
    let key = Uuid::parse_str(text.trim_matches('"')).ok().map(|uuid| uuid.as_u128());
    key.filter(|key| home::issue_ms(*key).is_some()).map(Some).ok_or_else(|| {
        let detail = "header idempotency-key: expected a UUIDv7, made when the key is issued";
        Problem::new(Refusal::Malformed, detail)
    })
}
